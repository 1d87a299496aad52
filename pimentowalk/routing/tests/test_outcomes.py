"""Guard that servers that fail part of their calls get fewer of them."""

import random

from pimentowalk.dispatch import plain
from pimentowalk.routing import outcomes
from pimentowalk.routing import work
from pimentowalk.topology import backends

NAMES = ('a', 'b', 'c')


def _book(now):
    return outcomes.OutcomeTracker(lambda: now[0])


def test_failures_decay():
    """A server that recovered must not stay out."""
    now = [0.0]
    book = _book(now)
    for _ in range(20):
        book.record('a', failed=True)
    assert book.failure_share('a') > 0.8
    now[0] = 10 * outcomes.HALF_LIFE_S
    assert book.failure_share('a') < 0.1


def test_single_failure_says_little():
    """One lost answer must not move all work to the others."""
    book = _book([0.0])
    book.record('a', failed=True)
    assert book.failure_share('a') < 0.5


def test_grey_server_gets_a_small_share():
    """Pattern: one of three servers fails 40% of its calls, health good."""
    rng = random.Random(1)
    now = [0.0]
    book = _book(now)
    work_book = work.InFlightTracker('n', lambda: now[0])
    servers = [
        backends.Backend(name, 1, 1, 'svc', f'10.0.0.{n}', 80, 'z1', slots=6)
        for n, name in enumerate(NAMES, 1)
    ]
    chosen = dict.fromkeys(NAMES, 0)
    for _ in range(600):
        now[0] += 0.2
        server = plain.choose_server(
            servers, work_book, book, zone='z1', avoid=set(), rng=rng
        )
        chosen[server.server_id] += 1
        failed = server.server_id == 'a' and rng.random() < 0.4
        book.record(server.server_id, failed=failed)
    assert chosen['a'] < 0.5 * min(chosen['b'], chosen['c'])
    assert chosen['a'] > 0


def test_forgotten_servers_take_no_memory():
    """Servers get a new id with each start."""
    book = _book([0.0])
    book.record('a', failed=True)
    book.keep_only({'b'})
    assert book.failure_share('a') == 0.0
