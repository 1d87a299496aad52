"""Compare control with reference models, and detect injected faults."""

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
STATE_CHECK = (differential.steps(), differential.check_states)
NODE_CHECK = (deliveries.steps(), deliveries.check_nodes)


def run_check(model_check, examples, phases=tuple(hypothesis.Phase)):
    """Run a check on random steps generated from a fixed seed."""
    strategy, run_steps = model_check

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
        run_steps(actions)

    run()


def test_state_agrees_with_the_reference_model():
    """Indexes, limits and snapshots must not change any result."""
    run_check(STATE_CHECK, 600)


def test_nodes_agree_with_the_history_of_publishes():
    """Late, duplicate and reordered pushes must not revert a node."""
    run_check(NODE_CHECK, 600)


PUBLISHING = publishing.Publishing
CLAIMS = claims.Claims
_OPEN = CLAIMS.open
_CHANGED_AFTER = PUBLISHING.changed_after
_PUBLISHED_CONTRACT = publishing.PublishedContract
_RECORD_CRASH = quarantine.Quarantine.record_crash
_INCARNATIONS = itertools.count(10)


def _do_nothing(*arguments):
    return None


def _check_without_comparison(self, body):
    changed, removed = self._compare(body.sources)
    self._check_references(changed, removed)
    return changed, removed


def _open_for_any_claim(self, body, time_s):
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


def _get_any_owner(self, key, claim_id):
    claim = self.get(key)
    if claim is None:
        raise errors.PimentowalkError('no claim', code='not_found')
    return claim


def _issue_same_number(self, server_id):
    self._highest[server_id] = self._last_issued
    return self._last_issued


def _record_as_new_crash(self, body, time_s):
    fresh = attrs.evolve(body, incarnation=next(_INCARNATIONS))
    return _RECORD_CRASH(self, fresh, time_s)


# Injected faults by name: object, attribute and replacement.
STATE_FAULTS = {
    'compare-and-set left out': (
        PUBLISHING,
        'check',
        _check_without_comparison,
    ),
    'change id not remembered': (
        change_results.ChangeResults,
        'record_result',
        _do_nothing,
    ),
    'change ids lost on restart': (
        change_results.ChangeResults,
        'restore_lines',
        _do_nothing,
    ),
    'scope version not raised': (
        publishing,
        'PublishedContract',
        lambda source, contract, version: _PUBLISHED_CONTRACT(
            source, contract, 1
        ),
    ),
    'claim taken twice': (CLAIMS, 'open', _open_for_any_claim),
    'released claim retaken by a repeat': (
        CLAIMS,
        '_replace_released',
        _replace_released,
    ),
    'settled claim released': (CLAIMS, 'release', _release_settled),
    'claim of another settled': (CLAIMS, '_get_owned', _get_any_owner),
    'fence not raised': (fences.Fences, 'issue', _issue_same_number),
    'fences lost on restart': (fences.Fences, 'restore', _do_nothing),
    'quarantine never ends': (quarantine.Quarantine, '_expire', _do_nothing),
    'same crash counted twice': (
        quarantine.Quarantine,
        'record_crash',
        _record_as_new_crash,
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
def test_injected_fault_is_found(name, monkeypatch):
    """A check that passes with an injected fault would be useless."""
    model_check = STATE_CHECK if name in STATE_FAULTS else NODE_CHECK
    monkeypatch.setattr(*FAULTS[name])
    with pytest.raises(AssertionError):
        run_check(model_check, EXAMPLES, [hypothesis.Phase.generate])
