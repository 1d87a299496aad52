"""Tests of the totals over the load reports of other nodes."""

import random

import pytest

from pimentowalk.routing import load_totals
from pimentowalk.routing import work
from pimentowalk.wire import node_messages


@pytest.fixture
def now():
    """Return the time of the tracker, which tests can set."""
    return [100.0]


@pytest.fixture
def tracker(now):
    """Return an empty tracker."""
    return work.InFlightTracker('own', lambda: now[0])


def report(tracker, node_id, **loads):
    """Record a report of a node as (requests, tokens) by server."""
    tracker.record_report(
        node_messages.LoadNews(
            node_id,
            [
                node_messages.ServerLoad(server_id, *load)
                for server_id, load in loads.items()
            ],
        )
    )


def test_totals_equal_the_sums_of_the_latest_reports(tracker, now):
    """Totals that are updated incrementally must not drift."""
    rng = random.Random(3)
    latest = {}
    for _ in range(300):
        now[0] += 0.01
        node_id = f'n{rng.randrange(5)}'
        loads = {
            f's{number}': (rng.randrange(3), rng.randrange(500))
            for number in rng.sample(range(6), rng.randrange(6))
        }
        report(tracker, node_id, **loads)
        latest[node_id] = loads
        for number in range(6):
            loads_of_server = [
                x.get(f's{number}', (0, 0)) for x in latest.values()
            ]
            assert tracker.requests(f's{number}') == sum(
                r for r, _ in loads_of_server
            )
            assert tracker.tokens(f's{number}') == sum(
                t for _, t in loads_of_server
            )


def test_reports_of_silent_nodes_expire(tracker, now):
    """The load of a node that is down must not keep servers full."""
    report(tracker, 'n1', s1=(2, 300))
    now[0] += load_totals.REPORT_EXPIRY_S / 2
    report(tracker, 'n2', s1=(1, 100))
    assert tracker.tokens('s1') == 400
    now[0] += load_totals.REPORT_EXPIRY_S * 0.6
    report(tracker, 'n3', s2=(1, 10))
    assert tracker.tokens('s1') == 100
    assert tracker.requests('s1') == 1


def test_own_report_is_not_counted_twice(tracker):
    """Control forwards the report of a node to that node as well."""
    tracker.begin(['s1'], 50)
    report(tracker, 'own', s1=(1, 50))
    assert tracker.tokens('s1') == 50


def test_summary_replaces_single_reports_and_expires(tracker, now):
    """Without new summaries, the work of nodes that are down would stay."""
    report(tracker, 'n1', s1=(2, 300), s2=(1, 10))
    tracker.record_summary(3, {'s1': (4, 500)})
    assert tracker.tokens('s1') == 500
    assert tracker.tokens('s2') == 0
    now[0] += load_totals.REPORT_EXPIRY_S + 0.1
    assert tracker.tokens('s1') == 0


def test_unreported_work_is_estimated_for_the_nodes_of_a_summary(tracker):
    """Nodes with the same summary would all choose the same server."""
    tracker.record_summary(3, {})
    tracker.begin(['s1'], 50)
    assert tracker.tokens('s1') == 50 * 4


def test_unreported_work_is_estimated_before_the_first_reports(now):
    """All nodes sent to the same server after they had started together."""
    tracker = work.InFlightTracker('own', lambda: now[0], lambda: 7)
    tracker.begin(['s1'], 10)
    assert (tracker.requests('s1'), tracker.tokens('s1')) == (7, 70)
    tracker.record_summary(1, {})
    assert tracker.requests('s1') == 7
    now[0] += load_totals.REPORT_EXPIRY_S + 0.1
    tracker.begin(['s2'], 10)
    assert tracker.requests('s2') == 2
