"""Test that the checks detect injected faults and pass without them."""

import random

import pytest

from pimentowalk.admission import fair_queue
from pimentowalk.agent import rules
from pimentowalk.agent.tests import proofs
from pimentowalk.agent.tests import world
from pimentowalk.wire import messages
from specs import service_calls

# The specifications without a fault are run by specs/tests.
CHECKS = [
    proofs.randomized_roles,
    proofs.orders_in_sequence,
    proofs.lease_limits,
    proofs.queue_shares,
    proofs.one_suspect_at_a_time,
]
ATTEMPT_CHECKS = (proofs.attempts_specification, proofs.randomized_roles)
CALL_CHECKS = (proofs.calls_specification,)
ORDER_CHECKS = (proofs.orders_in_sequence,)
LEASE_CHECKS = (proofs.lease_limits,)
QUEUE_CHECKS = (proofs.queue_shares,)
SUSPECT_CHECKS = (proofs.one_suspect_at_a_time,)


def _always_true(*arguments):
    return True


def _always_false(*arguments):
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
# For each fault: the object, attribute and replacement, and the checks that
# must detect it.
FAULTS = {
    'sequence check left out': (
        (rules, 'accepts_step', _step_out_of_sequence),
        ATTEMPT_CHECKS,
    ),
    'duplicate step run': (
        (rules, 'accepts_step', _step_repeated),
        ATTEMPT_CHECKS,
    ),
    'fence not checked': (
        (rules, 'is_fenced', _always_false),
        ATTEMPT_CHECKS + CALL_CHECKS,
    ),
    'repeated attempt accepted': (
        (rules, 'accepts_attempt', _attempt_repeated),
        ATTEMPT_CHECKS,
    ),
    'refused after admission': (
        (rules, 'state_after_failure', _refused),
        ATTEMPT_CHECKS,
    ),
    'cancelled after admission': (
        (rules, 'state_after_close', _cancelled),
        ATTEMPT_CHECKS,
    ),
    'drain still admits': (
        (rules, 'may_admit', _admitted_in_a_drain),
        ATTEMPT_CHECKS,
    ),
    'running call proven not run': (
        (rules, 'was_never_admitted', _proven_while_running),
        CALL_CHECKS,
    ),
    'proof by a restarted agent': (
        (rules, 'was_never_admitted', _proven_after_a_restart),
        CALL_CHECKS,
    ),
    'entry sends to a restarted agent': (
        (service_calls, 'may_send', _always_true),
        CALL_CHECKS,
    ),
    'old order accepted': (
        (rules, 'accepts_order', _always_true),
        ORDER_CHECKS,
    ),
    'repeated order accepted': (
        (rules, 'accepts_order', _order_repeated),
        ORDER_CHECKS,
    ),
    'clock jump ignored': (
        (rules, 'clock_jumped', _always_false),
        LEASE_CHECKS,
    ),
    'older version accepted': (
        (rules, 'is_stale', _always_false),
        LEASE_CHECKS,
    ),
    'no reserved places': (
        (LIMITS, 'max_long_running', ALL_RUNNING),
        QUEUE_CHECKS,
    ),
    'suspects run together': (
        (QUEUE, '_runs_suspect', _always_false),
        SUSPECT_CHECKS,
    ),
    'suspect cleared at once': (
        (rules, 'on_probation', _always_false),
        SUSPECT_CHECKS,
    ),
    'predictions not corrected': (
        (fair_queue.FairQueue, 'correct', _uncorrected),
        QUEUE_CHECKS,
    ),
}
CASES = [
    pytest.param(change, check, id=f'{name}-{check.__name__}')
    for name, (change, checks) in FAULTS.items()
    for check in checks
]


@pytest.mark.parametrize('check', CHECKS)
def test_check_passes_without_a_fault(check):
    """A check that fails on correct code cannot show that a fault is found."""
    check()


@pytest.mark.parametrize(('change', 'check'), CASES)
def test_fault_is_detected(change, check, monkeypatch):
    """A check that passes despite its fault would give false confidence."""
    monkeypatch.setattr(*change)
    with pytest.raises(AssertionError):
        check()


async def test_random_schedules_reach_complete_answers():
    """Random schedules that make no progress would check nothing."""
    rng = random.Random(5)
    complete = 0
    for _ in range(50):
        choices = [rng.randrange(10_000) for _ in range(60)]
        simulation = await world.run_schedule(choices)
        complete += simulation.received_tokens == world.TOKENS
    assert complete >= 10
