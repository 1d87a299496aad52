"""Guard what becomes of servers that are not heard any more."""

import asyncio
import types

import pytest

from pimentowalk.core import metrics
from pimentowalk.core import timers as core_timers
from pimentowalk.dispatch import calls
from pimentowalk.dispatch import checks
from pimentowalk.dispatch import dispatcher
from pimentowalk.dispatch import transport
from pimentowalk.membership import backends as membership
from pimentowalk.topology import backends

SERVER = backends.Backend('i-1', 100, 5, 'svc', '10.0.0.1', 80, 'z1')
OTHER = backends.Backend('i-2', 100, 5, 'svc', '10.0.0.2', 80, 'z1')
PERIOD_S = 0.01


class Book:
    """A work book that nobody uses."""

    record_report = set_engines = record_slowness = staticmethod(
        lambda *_: None
    )


class Servers:
    """Answer reports as a test says."""

    def __init__(self, answers):
        self.answers = list(answers)
        self.asked = []

    async def fetch_report(self, backend):
        self.asked.append(backend.server_id)
        answer = self.answers.pop(0) if self.answers else None
        if isinstance(answer, calls.NoAnswer):
            # A question without an answer ends with its time limit.
            await asyncio.sleep(1.5 * checks.FRESH_S)
        if answer is not None:
            raise answer
        return transport.ServerReport({})


def build(answers):
    """Return a dispatcher whose table has one silent server."""
    timers = core_timers.TimerService()
    table = membership.BackendTable(timers.now_s, PERIOD_S)
    servers = Servers(answers)
    node = types.SimpleNamespace(
        backends=table,
        subscribe=lambda *_: None,
        on_document=lambda *_: None,
        publish=lambda *_: None,
    )
    found = dispatcher.Dispatcher(
        node,
        servers,
        timers,
        book=Book(),
        budget=None,
        crashes=None,
        metrics=metrics.Metrics('test'),
        zone='z1',
    )
    table.apply(SERVER, age_s=60.0)
    table.apply(OTHER)
    return found, table, servers


async def expire(found):
    """Look for silent servers and wait until they have been asked."""
    found._expire()
    await asyncio.gather(*found._verifying.values())


async def test_server_that_answers_is_kept():
    """A server whose announcements get lost must stay in use."""
    found, table, servers = build([None])
    await expire(found)
    assert servers.asked == ['i-1']
    assert {b.server_id for b in table.usable('svc')} == {'i-1', 'i-2'}


async def test_one_lost_answer_does_not_remove_a_server():
    """A packet may get lost; only a second silence counts."""
    found, table, _ = build([calls.NoAnswer('silent'), None])
    await expire(found)
    assert table.get('i-1') is not None


@pytest.mark.parametrize(
    'answers',
    [
        [calls.Unreachable('refused')],
        [calls.Broken('another server answers with 421')],
        [calls.NoAnswer('silent'), calls.NoAnswer('silent')],
    ],
)
async def test_server_that_does_not_answer_is_removed(answers):
    """A server that is gone, or whose address has a new owner."""
    found, table, _ = build(answers)
    await expire(found)
    assert [b.server_id for b in table.usable('svc')] == ['i-2']
