"""Compare control with naive versions, and show that faults are found."""

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


def _without_compare_and_set(monkeypatch):
    def check(self, body):
        changed, removed = self._compare(body.sources)
        self._check_references(changed, removed)
        return changed, removed

    monkeypatch.setattr(publishing.Publishing, 'check', check)


def _without_memory(monkeypatch):
    monkeypatch.setattr(change_results.Changes, 'remember', lambda *a: None)


def _memory_lost_on_restart(monkeypatch):
    monkeypatch.setattr(
        change_results.Changes, 'restore_lines', lambda *a: None
    )


def _lower_version_applied(monkeypatch):
    monkeypatch.setattr(
        deltas, 'is_applicable', lambda own, start, end: start <= own.version
    )


def _gap_applied(monkeypatch):
    monkeypatch.setattr(
        deltas, 'is_applicable', lambda own, start, end: end > own.version
    )


def _removal_not_pushed(monkeypatch):
    changed_after = publishing.Publishing.changed_after
    monkeypatch.setattr(
        publishing.Publishing,
        'changed_after',
        lambda self, version: (changed_after(self, version)[0], []),
    )


def _scope_version_kept(monkeypatch):
    def entry(source, contract, version):
        return original(source, contract, 1)

    original = publishing.Entry
    monkeypatch.setattr(publishing, 'Entry', entry)


def _claim_taken_twice(monkeypatch):
    def open_claim(self, body, time_s):
        old = self.get(claims.table_key(body))
        if old is not None and old.state == claims.OPEN:
            return commands.ClaimResult('new', old), False
        return original(self, body, time_s)

    original = claims.Claims.open
    monkeypatch.setattr(claims.Claims, 'open', open_claim)


def _released_claim_retaken(monkeypatch):
    def take(self, key, old, body, time_s):
        del self._claims[key]
        return self._take(key, body, time_s), True

    monkeypatch.setattr(claims.Claims, '_take_released', take)


def _settled_claim_released(monkeypatch):
    def release(self, body):
        claim = self._own(claims.table_key(body), body.claim_id)
        del self._claims[claims.table_key(body)]
        return claim is not None

    monkeypatch.setattr(claims.Claims, 'release', release)


def _claim_of_another_settled(monkeypatch):
    def own(self, key, claim_id):
        claim = self.get(key)
        if claim is None:
            raise errors.PimentowalkError('no claim', code='not_found')
        return claim

    monkeypatch.setattr(claims.Claims, '_own', own)


def _fence_not_raised(monkeypatch):
    def issue(self, server_id):
        self._highest[server_id] = self._last
        return self._last

    monkeypatch.setattr(fences.Fences, 'issue', issue)


def _fence_lost_on_restart(monkeypatch):
    monkeypatch.setattr(fences.Fences, 'restore', lambda *a: None)


def _quarantine_never_ends(monkeypatch):
    monkeypatch.setattr(quarantine.Quarantine, '_expire', lambda *a: None)


def _same_crash_counted_twice(monkeypatch):
    def report(self, body, time_s):
        numbers[0] += 1
        return original(
            self,
            commands.ReportCrash(
                body.fingerprint,
                body.account,
                body.server_id,
                numbers[0],
                body.request_id,
            ),
            time_s,
        )

    numbers = [10]
    original = quarantine.Quarantine.report
    monkeypatch.setattr(quarantine.Quarantine, 'report', report)


FAULTS = {
    'compare-and-set left out': (_without_compare_and_set, STATES),
    'change id not remembered': (_without_memory, STATES),
    'change ids lost on restart': (_memory_lost_on_restart, STATES),
    'scope version not raised': (_scope_version_kept, STATES),
    'claim taken twice': (_claim_taken_twice, STATES),
    'released claim retaken by a repeat': (_released_claim_retaken, STATES),
    'settled claim released': (_settled_claim_released, STATES),
    'claim of another settled': (_claim_of_another_settled, STATES),
    'fence not raised': (_fence_not_raised, STATES),
    'fences lost on restart': (_fence_lost_on_restart, STATES),
    'quarantine never ends': (_quarantine_never_ends, STATES),
    'same crash counted twice': (_same_crash_counted_twice, STATES),
    'node applies a lower version': (_lower_version_applied, NODES),
    'node applies changes over a gap': (_gap_applied, NODES),
    'removal not pushed': (_removal_not_pushed, NODES),
}


@pytest.mark.parametrize('name', FAULTS)
def test_seeded_fault_is_found(name, monkeypatch):
    """A proof that passes with a fault would prove nothing."""
    seed, proof = FAULTS[name]
    seed(monkeypatch)
    with pytest.raises(AssertionError):
        prove(proof, EXAMPLES, [hypothesis.Phase.generate])
