"""Guard the sums of the work that other nodes reported."""

import random

import pytest

from pimentowalk.routing import work
from pimentowalk.wire import node_messages


@pytest.fixture
def now():
    """Return the time of the book, to be set by tests."""
    return [100.0]


@pytest.fixture
def book(now):
    """Return an empty book."""
    return work.InFlightTracker('own', lambda: now[0])


def report(book, node_id, **loads):
    """Let a node report (requests, tokens) by server."""
    book.record_report(
        node_messages.LoadNews(
            node_id,
            [
                node_messages.ServerLoad(server_id, *load)
                for server_id, load in loads.items()
            ],
        )
    )


def test_sums_equal_those_of_the_newest_reports(book, now):
    """Sums that are kept up to date must not drift from a full count."""
    rng = random.Random(3)
    newest = {}
    for _ in range(300):
        now[0] += 0.01
        node_id = f'n{rng.randrange(5)}'
        loads = {
            f's{number}': (rng.randrange(3), rng.randrange(500))
            for number in rng.sample(range(6), rng.randrange(6))
        }
        report(book, node_id, **loads)
        newest[node_id] = loads
        for number in range(6):
            held = [x.get(f's{number}', (0, 0)) for x in newest.values()]
            assert book.requests(f's{number}') == sum(r for r, _ in held)
            assert book.tokens(f's{number}') == sum(t for _, t in held)


def test_silent_nodes_are_forgotten(book, now):
    """The work of a node that is gone must not keep servers full."""
    report(book, 'n1', s1=(2, 300))
    now[0] += work.REPORT_EXPIRY_S / 2
    report(book, 'n2', s1=(1, 100))
    assert book.tokens('s1') == 400
    now[0] += work.REPORT_EXPIRY_S * 0.6
    report(book, 'n3', s2=(1, 10))
    assert book.tokens('s1') == 100
    assert book.requests('s1') == 1


def test_own_report_is_not_counted_twice(book):
    """Control passes a node's report back to it as well."""
    book.begin(['s1'], 50)
    report(book, 'own', s1=(1, 50))
    assert book.tokens('s1') == 50
