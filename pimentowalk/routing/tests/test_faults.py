"""Show that the tests of the policies fail on seeded faults."""

import inspect

import pytest

from pimentowalk.routing import index
from pimentowalk.routing import links
from pimentowalk.routing import loads
from pimentowalk.routing import policies
from pimentowalk.routing import search
from pimentowalk.routing.tests import test_policies as proofs


def _cheapest_sum_only(paths):
    return [min(paths, key=lambda path: path.total_s)]


def _remove_nothing(self, server):
    return set()


def _willing_to_avoid(self, sample, query):
    servers = list({s.server_id: s for s in sample}.values())
    return servers[: self._servers]


def _blame_nobody(self, source_id, target_id):
    return None


def _charge_nothing(self, server_ids, tokens):
    return loads.Charge(tuple(server_ids), tokens, 0.0)


# Name of the fault, what it replaces, by what, and the test that finds it.
FAULTS = [
    (
        'paths compared by their sum only',
        (search, '_efficient', _cheapest_sum_only),
        proofs.test_speed_and_queue_are_weighed_against_each_other,
    ),
    (
        'way back of the tokens left out',
        (search.ChainCost, 'return_link', lambda self, last, head: 0.0),
        proofs.test_whole_sample_gives_the_cheapest_of_all_chains,
    ),
    (
        'servers that left stay in the index',
        (index.ServerIndex, '_remove', _remove_nothing),
        proofs.test_index_follows_the_view,
    ),
    (
        'failed servers not avoided',
        (policies.LeastCost, '_willing', _willing_to_avoid),
        proofs.test_servers_to_avoid_are_used_only_if_nothing_else_is_left,
    ),
    (
        'failed links not blamed',
        (links.LinkTracker, 'record_failure', _blame_nobody),
        proofs.test_failed_link_is_avoided_and_forgiven,
    ),
    (
        'sent work not counted',
        (loads.LoadTracker, 'charge', _charge_nothing),
        proofs.test_sent_work_counts_until_a_report_includes_it,
    ),
    (
        'joining servers not ramped up',
        (policies.LeastCost, '_accepts', lambda self, server: True),
        proofs.test_joining_server_receives_a_growing_share,
    ),
]


@pytest.mark.parametrize('fault', FAULTS, ids=lambda fault: fault[0])
async def test_faults_of_routing_are_found(fault, monkeypatch):
    """A test that passes with its fault would prove nothing."""
    _, change, proof = fault
    monkeypatch.setattr(*change)
    with pytest.raises(AssertionError):
        result = proof()
        if inspect.isawaitable(result):
            await result
