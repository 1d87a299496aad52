"""Explore racing publishes and claims, and show that faults are found."""

import pytest

from pimentowalk.control.tests import test_proofs
from specs import claims
from specs import explorer
from specs import versions
from specs.tests import test_attempts


def test_no_order_of_publishes_and_pushes_reverts_a_node():
    """Repeated commands and late pushes must not break R7."""
    states = test_attempts.all_states(versions.Versions())
    assert any(state.nodes == (3, 3) for state in states)
    refused = {
        name for s in states for name, a in s.answers if a[0] != 'version'
    }
    assert refused == {'a', 'b'}


def test_no_order_of_claims_runs_a_call_twice():
    """Lost replies, crashes and late commands must not break R4."""
    states = test_attempts.all_states(claims.Claims())
    ways = {(state.calls, state.entries) for state in states}
    assert (('never', 'ran'), ('gone', 'sent')) in ways


def _settled_claim_forgotten(monkeypatch):
    def settle(self, body):
        return self._claims.pop(table_key(body), None) is not None

    table_key = test_proofs.claims.table_key
    monkeypatch.setattr(test_proofs.claims.Claims, 'settle', settle)


FAULTS = {
    'compare-and-set left out': versions.Versions,
    'change id not remembered': versions.Versions,
    'change ids lost on restart': versions.Versions,
    'node applies a lower version': versions.Versions,
    'node applies changes over a gap': versions.Versions,
    'removal not pushed': versions.Versions,
    'claim taken twice': claims.Claims,
    'settled claim forgotten': claims.Claims,
}


@pytest.mark.parametrize('name', FAULTS)
def test_exploration_finds_seeded_fault(name, monkeypatch):
    """A specification without decisions of its own proves nothing."""
    seeds = {n: seed for n, (seed, _) in test_proofs.FAULTS.items()}
    seeds['settled claim forgotten'] = _settled_claim_forgotten
    seeds[name](monkeypatch)
    assert explorer.explore(FAULTS[name]()).violation
