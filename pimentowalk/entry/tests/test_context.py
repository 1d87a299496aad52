"""Tests of the routing state that an entry derives from its view."""

import random

from pimentowalk.core import timers as core_timers
from pimentowalk.entry import context as entry_context
from pimentowalk.entry.tests import fake_control
from pimentowalk.membership import view
from pimentowalk.routing.tests import clusters
from pimentowalk.topology import contracts
from pimentowalk.wire import messages

REQUESTS = 100


class Entry:
    """The context of an entry and the real view that it follows."""

    def __init__(self):
        self.timers = core_timers.ManualTimerService()
        session = fake_control.FakeSession(contracts.Configuration())
        session.view = view.View()
        self.view = session.view
        hello = messages.Hello('entry-1', 'entry', 1, 'z1')
        self.context = entry_context.build_context(
            hello, session, self.timers, rng=random.Random(3)
        )

    def update(self, *numbers, whole=False):
        """Apply what a control instance reports."""
        servers = [clusters.server(n, (0, clusters.LAYERS)) for n in numbers]
        change = messages.ViewUpdate(whole, servers, [], 1)
        self.view.update('control-1', change, self.timers.now_s())
        self.context.update_from_view()

    def requests_at(self, server_id):
        """Return how many of `REQUESTS` new ones go to a server."""
        policy = self.context.chain_policy('least_cost')
        routing = self.context.routing
        found = 0
        charges = []
        for _ in range(REQUESTS):
            chain = policy.choose(clusters.query())
            ids = [server.server_id for server in chain]
            charges.append(routing.loads.charge(ids, 10))
            found += server_id in ids
        for charge in charges:
            routing.loads.settle(charge)
        return found


async def test_servers_found_while_control_warms_up_share_the_work():
    """The first server reported would get nearly all work for seconds."""
    entry = Entry()
    for number in (1, 2):
        entry.update(number)
        await entry.timers.advance(0.2)
    assert 40 <= entry.requests_at('s2') <= 60
    entry.update(1, 2, whole=True)
    entry.update(3)
    assert 1 <= entry.requests_at('s3') <= 15
