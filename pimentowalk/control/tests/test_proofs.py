"""Compare control with naive versions, and show that faults are found."""

import itertools

import attrs
import hypothesis
import pytest

from pimentowalk.control import change_results
from pimentowalk.control import claims
from pimentowalk.control import commands
from pimentowalk.control import deltas
from pimentowalk.control import fences
from pimentowalk.control import publishing
from pimentowalk.control import quarantine
from pimentowalk.control.tests import deliveries
from pimentowalk.control.tests import differential
from pimentowalk.core import errors

EXAMPLES = 400
STATES = (differential.steps(), differential.check_states)
NODES = (deliveries.steps(), deliveries.check_nodes)


def prove(proof, examples, phases=tuple(hypothesis.Phase)):
    """Run a proof on random steps from a fixed seed."""
    strategy, check = proof

    @hypothesis.settings(
        max_examples=examples,
        derandomize=True,
        deadline=None,
        database=None,
        phases=phases,
        report_multiple_bugs=False,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(strategy)
    def run(actions):
        check(actions)

    run()


def test_state_agrees_with_the_naive_version():
    """Indexes, bounds and snapshots must not change any answer."""
    prove(STATES, 600)


def test_nodes_agree_with_the_history_of_publishes():
    """Late, repeated and reordered pushes must not revert a node."""
    prove(NODES, 600)


PUBLISHING = publishing.Publishing
CLAIMS = claims.Claims
_OPEN = CLAIMS.open
_CHANGED_AFTER = PUBLISHING.changed_after
_PUBLISHED_CONTRACT = publishing.PublishedContract
_REPORT = quarantine.Quarantine.record_crash
_INCARNATIONS = itertools.count(10)


def _nothing(*arguments):
    return None


def _check_without_comparison(self, body):
    changed, removed = self._compare(body.sources)
    self._check_references(changed, removed)
    return changed, removed


def _open_again(self, body, time_s):
    old = self.get(claims.table_key(body))
    if old is not None and old.state == claims.OPEN:
        return commands.ClaimResult('new', old), False
    return _OPEN(self, body, time_s)


def _replace_released(self, key, old, body, time_s):
    del self._claims[key]
    return self._create(key, body, time_s), True


def _release_settled(self, body):
    claim = self._get_owned(claims.table_key(body), body.claim_id)
    del self._claims[claims.table_key(body)]
    return claim is not None


def _own_any(self, key, claim_id):
    claim = self.get(key)
    if claim is None:
        raise errors.PimentowalkError('no claim', code='not_found')
    return claim


def _issue_last(self, server_id):
    self._highest[server_id] = self._last_issued
    return self._last_issued


def _report_anew(self, body, time_s):
    fresh = attrs.evolve(body, incarnation=next(_INCARNATIONS))
    return _REPORT(self, fresh, time_s)


# What a fault replaces and by what, for proofs of states and of nodes.
STATE_FAULTS = {
    'compare-and-set left out': (
        PUBLISHING,
        'check',
        _check_without_comparison,
    ),
    'change id not remembered': (
        change_results.ChangeResults,
        'record_result',
        _nothing,
    ),
    'change ids lost on restart': (
        change_results.ChangeResults,
        'restore_lines',
        _nothing,
    ),
    'scope version not raised': (
        publishing,
        'PublishedContract',
        lambda source, contract, version: _PUBLISHED_CONTRACT(
            source, contract, 1
        ),
    ),
    'claim taken twice': (CLAIMS, 'open', _open_again),
    'released claim retaken by a repeat': (
        CLAIMS,
        '_replace_released',
        _replace_released,
    ),
    'settled claim released': (CLAIMS, 'release', _release_settled),
    'claim of another settled': (CLAIMS, '_get_owned', _own_any),
    'fence not raised': (fences.Fences, 'issue', _issue_last),
    'fences lost on restart': (fences.Fences, 'restore', _nothing),
    'quarantine never ends': (quarantine.Quarantine, '_expire', _nothing),
    'same crash counted twice': (
        quarantine.Quarantine,
        'record_crash',
        _report_anew,
    ),
}
NODE_FAULTS = {
    'node applies a lower version': (
        deltas,
        'is_applicable',
        lambda own, start, end: start <= own.version,
    ),
    'node applies changes over a gap': (
        deltas,
        'is_applicable',
        lambda own, start, end: end > own.version,
    ),
    'removal not pushed': (
        PUBLISHING,
        'changed_after',
        lambda self, version: (_CHANGED_AFTER(self, version)[0], []),
    ),
}
FAULTS = STATE_FAULTS | NODE_FAULTS


@pytest.mark.parametrize('name', FAULTS)
def test_seeded_fault_is_found(name, monkeypatch):
    """A proof that passes with a fault would prove nothing."""
    proof = STATES if name in STATE_FAULTS else NODES
    monkeypatch.setattr(*FAULTS[name])
    with pytest.raises(AssertionError):
        prove(proof, EXAMPLES, [hypothesis.Phase.generate])
