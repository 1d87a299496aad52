"""Mutation tests: the tests of the policies must detect seeded faults."""

import inspect

import pytest

from pimentowalk.routing import index
from pimentowalk.routing import links
from pimentowalk.routing import loads
from pimentowalk.routing import policies
from pimentowalk.routing import search
from pimentowalk.routing.tests import test_policies as policy_tests


def _cheapest_sum_only(paths):
    return [min(paths, key=lambda path: path.total_s)]


def _remove_nothing(self, server):
    return set()


def _keep_avoided(self, sample, query):
    servers = list({s.server_id: s for s in sample}.values())
    return servers[: self._servers]


def _record_no_failure(self, source_id, target_id):
    return None


def _charge_no_work(self, server_ids, tokens):
    return loads.SentWork(tuple(server_ids), tokens, 0.0)


# Name of the fault, arguments of setattr, and the test that detects it.
FAULTS = [
    (
        'paths compared by total cost only',
        (search, '_pareto_optimal', _cheapest_sum_only),
        policy_tests.test_speed_and_queue_are_weighed_against_each_other,
    ),
    (
        'return link not counted',
        (search.ChainCost, 'return_link', lambda self, last, head: 0.0),
        policy_tests.test_whole_sample_gives_the_cheapest_of_all_chains,
    ),
    (
        'removed servers stay in the index',
        (index.ServerIndex, '_remove', _remove_nothing),
        policy_tests.test_index_follows_the_view,
    ),
    (
        'failed servers not avoided',
        (policies.LeastCost, '_filter_sample', _keep_avoided),
        policy_tests.test_servers_to_avoid_are_used_only_if_nothing_else_is_left,
    ),
    (
        'failed links not penalized',
        (links.LinkTracker, 'record_failure', _record_no_failure),
        policy_tests.test_failed_link_is_avoided_until_it_recovers,
    ),
    (
        'sent work not counted',
        (loads.LoadTracker, 'charge', _charge_no_work),
        policy_tests.test_sent_work_counts_until_a_report_includes_it,
    ),
    (
        'joining servers not ramped up',
        (policies.LeastCost, '_accepts_by_ramp', lambda self, server: True),
        policy_tests.test_joining_server_receives_a_growing_share,
    ),
]


@pytest.mark.parametrize('fault', FAULTS, ids=lambda fault: fault[0])
async def test_seeded_faults_are_detected(fault, monkeypatch):
    """A test that passes despite a fault does not guard against it."""
    _, change, test = fault
    monkeypatch.setattr(*change)
    with pytest.raises(AssertionError):
        result = test()
        if inspect.isawaitable(result):
            await result
