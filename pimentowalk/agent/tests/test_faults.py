"""Show that the proofs notice seeded faults and pass without them."""

import random

import pytest

from pimentowalk.admission import fair_queue
from pimentowalk.agent import rules
from pimentowalk.agent.tests import proofs
from pimentowalk.agent.tests import world
from pimentowalk.wire import messages
from specs import service_calls

# specs/tests runs the specifications without a fault.
PROOFS = [
    proofs.real_roles,
    proofs.orders_in_sequence,
    proofs.lease_times,
    proofs.queue_shares,
    proofs.one_suspect_at_a_time,
]
WALKED = (proofs.attempts_specification, proofs.real_roles)
CALLS = (proofs.calls_specification,)
ORDERS = (proofs.orders_in_sequence,)
LEASES = (proofs.lease_times,)
SHARES = (proofs.queue_shares,)
SUSPECTS = (proofs.one_suspect_at_a_time,)


def _true(*arguments):
    return True


def _false(*arguments):
    return False


def _step_out_of_sequence(record, attempt, next_index, running, index):
    return running < 0 and not rules.is_fenced(record, attempt)


def _step_repeated(record, attempt, next_index, running, index):
    unfenced = running < 0 and not rules.is_fenced(record, attempt)
    return unfenced and index in (next_index, next_index - 1)


def _attempt_repeated(record, attempt):
    return (
        attempt > record.highest_fenced and attempt >= record.highest_attempt
    )


def _admitted_in_a_drain(record, attempt, *, draining, ready):
    return ready and not rules.is_fenced(record, attempt)


def _proven_while_running(record, attempt, *, same_incarnation):
    return same_incarnation


def _proven_after_a_restart(record, attempt, *, same_incarnation):
    return attempt <= record.highest_fenced and attempt not in record.admitted


def _order_repeated(highest_fence, fence):
    return fence >= highest_fence


def _refused(admitted):
    return messages.AttemptState.REFUSED


def _cancelled(admitted):
    return messages.AttemptState.CANCELLED


def _uncorrected(queue, work, difference):
    return None


LIMITS = fair_queue.QueueLimits
ALL_RUNNING = property(lambda limits: limits.max_running)
QUEUE = fair_queue.BaseQueue
# What a fault replaces and by what, and the proofs that must notice it.
FAULTS = {
    'sequence check left out': (
        (rules, 'accepts_step', _step_out_of_sequence),
        WALKED,
    ),
    'duplicate step run': ((rules, 'accepts_step', _step_repeated), WALKED),
    'fence not checked': ((rules, 'is_fenced', _false), WALKED + CALLS),
    'repeated attempt accepted': (
        (rules, 'accepts_attempt', _attempt_repeated),
        WALKED,
    ),
    'refused after admission': (
        (rules, 'state_after_failure', _refused),
        WALKED,
    ),
    'cancelled after admission': (
        (rules, 'state_after_close', _cancelled),
        WALKED,
    ),
    'drain still admits': ((rules, 'may_admit', _admitted_in_a_drain), WALKED),
    'running call proven not run': (
        (rules, 'was_never_admitted', _proven_while_running),
        CALLS,
    ),
    'proof by a restarted agent': (
        (rules, 'was_never_admitted', _proven_after_a_restart),
        CALLS,
    ),
    'entry sends to a restarted agent': (
        (service_calls, 'may_send', _true),
        CALLS,
    ),
    'old order accepted': ((rules, 'accepts_order', _true), ORDERS),
    'repeated order accepted': (
        (rules, 'accepts_order', _order_repeated),
        ORDERS,
    ),
    'clock jump ignored': ((rules, 'clock_jumped', _false), LEASES),
    'older version accepted': ((rules, 'is_stale', _false), LEASES),
    'no reserved places': ((LIMITS, 'max_long_running', ALL_RUNNING), SHARES),
    'suspects run together': ((QUEUE, '_runs_suspect', _false), SUSPECTS),
    'suspect cleared at once': ((rules, 'on_probation', _false), SUSPECTS),
    'predictions not corrected': (
        (fair_queue.FairQueue, 'correct', _uncorrected),
        SHARES,
    ),
}
CASES = [
    pytest.param(change, proof, id=f'{name}-{proof.__name__}')
    for name, (change, noticed_by) in FAULTS.items()
    for proof in noticed_by
]


@pytest.mark.parametrize('proof', PROOFS)
def test_proof_passes_without_a_fault(proof):
    """A proof that fails on right code would prove nothing."""
    proof()


@pytest.mark.parametrize(('change', 'proof'), CASES)
def test_fault_is_noticed(change, proof, monkeypatch):
    """A proof that misses its fault would give false confidence."""
    monkeypatch.setattr(*change)
    with pytest.raises(AssertionError):
        proof()


async def test_walks_reach_complete_answers():
    """Walks in which nothing happens would prove nothing."""
    chance = random.Random(5)
    complete = 0
    for _ in range(50):
        choices = [chance.randrange(10_000) for _ in range(60)]
        end = await world.walk(choices)
        complete += end.received == world.TOKENS
    assert complete >= 10
