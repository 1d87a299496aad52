"""Explore racing publishes and claims, and show that faults are found."""

import pytest

from pimentowalk.control import claims as control_claims
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


def _forget_settled(self, body):
    return self._claims.pop(control_claims.table_key(body), None) is not None


SEEDS = {
    **test_proofs.FAULTS,
    'settled claim forgotten': (
        control_claims.Claims,
        'settle',
        _forget_settled,
    ),
}


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
    monkeypatch.setattr(*SEEDS[name])
    assert explorer.explore(FAULTS[name]()).violation
