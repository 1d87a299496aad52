"""Show that the proofs notice seeded faults and pass without them."""

import random

import attrs
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
REFUSED = messages.AttemptState.REFUSED


@attrs.frozen
class Fault:
    """Replace one decision; the proofs named here must then fail."""

    name: str
    owner: object
    attribute: str
    replacement: object
    noticed_by: list


FAULTS = [
    Fault(
        'sequence check left out',
        rules,
        'accepts_step',
        lambda record, attempt, next_index, running, index: (
            running < 0 and not rules.is_fenced(record, attempt)
        ),
        [proofs.attempts_specification, proofs.real_roles],
    ),
    Fault(
        'duplicate step run',
        rules,
        'accepts_step',
        lambda record, attempt, next_index, running, index: (
            not rules.is_fenced(record, attempt)
            and running < 0
            and index in (next_index, next_index - 1)
        ),
        [proofs.attempts_specification, proofs.real_roles],
    ),
    Fault(
        'fence not checked',
        rules,
        'is_fenced',
        lambda record, attempt: False,
        [
            proofs.attempts_specification,
            proofs.calls_specification,
            proofs.real_roles,
        ],
    ),
    Fault(
        'repeated attempt accepted',
        rules,
        'accepts_attempt',
        lambda record, attempt: (
            attempt > record.closed and attempt >= record.highest
        ),
        [proofs.attempts_specification, proofs.real_roles],
    ),
    Fault(
        'refused after admission',
        rules,
        'failure_state',
        lambda admitted: REFUSED,
        [proofs.attempts_specification, proofs.real_roles],
    ),
    Fault(
        'cancelled after admission',
        rules,
        'closing_state',
        lambda admitted: messages.AttemptState.CANCELLED,
        [proofs.attempts_specification, proofs.real_roles],
    ),
    Fault(
        'drain still admits',
        rules,
        'may_admit',
        lambda record, attempt, *, draining, ready: (
            ready and not rules.is_fenced(record, attempt)
        ),
        [proofs.attempts_specification, proofs.real_roles],
    ),
    Fault(
        'running call proven not run',
        rules,
        'was_never_admitted',
        lambda record, attempt, *, same_incarnation: same_incarnation,
        [proofs.calls_specification],
    ),
    Fault(
        'proof by a restarted agent',
        rules,
        'was_never_admitted',
        lambda record, attempt, *, same_incarnation: (
            attempt <= record.closed and attempt not in record.admitted
        ),
        [proofs.calls_specification],
    ),
    Fault(
        'entry sends to a restarted agent',
        service_calls,
        'may_send',
        lambda named, found: True,
        [proofs.calls_specification],
    ),
    Fault(
        'old order accepted',
        rules,
        'accepts_order',
        lambda highest_fence, fence: True,
        [proofs.orders_in_sequence],
    ),
    Fault(
        'repeated order accepted',
        rules,
        'accepts_order',
        lambda highest_fence, fence: fence >= highest_fence,
        [proofs.orders_in_sequence],
    ),
    Fault(
        'clock jump ignored',
        rules,
        'clock_jumped',
        lambda last_s, now_s: False,
        [proofs.lease_times],
    ),
    Fault(
        'older version accepted',
        rules,
        'is_stale',
        lambda scope_version, known_version, known_for_s: False,
        [proofs.lease_times],
    ),
    Fault(
        'no reserved places',
        fair_queue.QueueLimits,
        'max_long_running',
        property(lambda limits: limits.max_running),
        [proofs.queue_shares],
    ),
    Fault(
        'suspects run together',
        fair_queue.BaseQueue,
        '_runs_suspect',
        lambda queue: False,
        [proofs.one_suspect_at_a_time],
    ),
    Fault(
        'suspect acquitted at once',
        rules,
        'on_probation',
        lambda isolate, first_index, next_index: False,
        [proofs.one_suspect_at_a_time],
    ),
    Fault(
        'predictions not corrected',
        fair_queue.FairQueue,
        'correct',
        lambda queue, work, difference: None,
        [proofs.queue_shares],
    ),
]
CASES = [
    pytest.param(fault, proof, id=f'{fault.name}-{proof.__name__}')
    for fault in FAULTS
    for proof in fault.noticed_by
]


@pytest.mark.parametrize('proof', PROOFS)
def test_proof_passes_without_a_fault(proof):
    """A proof that fails on right code would prove nothing."""
    proof()


@pytest.mark.parametrize(('fault', 'proof'), CASES)
def test_fault_is_noticed(fault, proof, monkeypatch):
    """A proof that misses its fault would give false confidence."""
    monkeypatch.setattr(fault.owner, fault.attribute, fault.replacement)
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
