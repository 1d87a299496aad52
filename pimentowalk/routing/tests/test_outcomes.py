"""Tests of failure rates: failing servers receive fewer calls."""

import random

from pimentowalk.dispatch import plain
from pimentowalk.routing import outcomes
from pimentowalk.routing import work
from pimentowalk.topology import backends

NAMES = ('a', 'b', 'c')


def _tracker(now):
    return outcomes.OutcomeTracker(lambda: now[0])


def test_failures_decay():
    """A server that has recovered must receive calls again."""
    now = [0.0]
    tracker = _tracker(now)
    for _ in range(20):
        tracker.record('a', failed=True)
    assert tracker.failure_share('a') > 0.8
    now[0] = 10 * outcomes.HALF_LIFE_S
    assert tracker.failure_share('a') < 0.1


def test_single_failure_has_little_effect():
    """One failed call must not move all load to the other servers."""
    tracker = _tracker([0.0])
    tracker.record('a', failed=True)
    assert tracker.failure_share('a') < 0.5


def test_partly_failing_server_gets_a_small_share():
    """One of three servers fails 40% of its calls but passes its checks."""
    rng = random.Random(1)
    now = [0.0]
    tracker = _tracker(now)
    in_flight = work.InFlightTracker('n', lambda: now[0])
    servers = [
        backends.Backend(name, 1, 1, 'svc', f'10.0.0.{n}', 80, 'z1', slots=6)
        for n, name in enumerate(NAMES, 1)
    ]
    chosen = dict.fromkeys(NAMES, 0)
    for _ in range(600):
        now[0] += 0.2
        server = plain.choose_server(
            servers, in_flight, tracker, zone='z1', excluded=set(), rng=rng
        )
        chosen[server.server_id] += 1
        failed = server.server_id == 'a' and rng.random() < 0.4
        tracker.record(server.server_id, failed=failed)
    assert chosen['a'] < 0.5 * min(chosen['b'], chosen['c'])
    assert chosen['a'] > 0


def test_forgotten_servers_take_no_memory():
    """Servers get a new id at each start, so that old ids accumulate."""
    tracker = _tracker([0.0])
    tracker.record('a', failed=True)
    tracker.keep_only({'b'})
    assert tracker.failure_share('a') == 0.0
