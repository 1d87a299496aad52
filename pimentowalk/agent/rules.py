"""Pure decision functions of an agent, shared with the specifications."""

import attrs

from pimentowalk.wire import messages

# An agent refuses an older scope version once it has known a newer one for
# this long. Until then the push of the newer version may not have reached
# all entries.
STALE_AFTER_S = 2.0
ATTEMPT_LEASE_S = 10.0
# A request that crashes engines crashes again near the same token, which is
# where an attempt that continues it starts. A suspect that gets this many
# tokens further is cleared, so that the next suspect can run long before the
# answer of this one is complete.
PROBATION_TOKENS = 4


@attrs.define
class RequestRecord:
    """State that an agent keeps about the attempts of one request.

    All attempts up to `highest_fenced` are fenced. `admitted` holds the
    attempts that may have run at this agent.
    """

    highest_attempt: int = -1
    highest_fenced: int = -1
    admitted: set[int] = attrs.field(factory=set)


def is_fenced(record, attempt):
    """Return whether an attempt must neither start nor continue."""
    return attempt <= record.highest_fenced or attempt < record.highest_attempt


def accepts_attempt(record, attempt):
    """Return whether a new attempt may be queued or prepared."""
    return not is_fenced(record, attempt) and attempt > record.highest_attempt


def accepts_step(record, attempt, next_index, running_index, index):
    """Return whether a step may run: not fenced, latest attempt, in order.

    `running_index` is the step that the engine is computing, or -1.
    """
    in_sequence = running_index < 0 and index == next_index
    return in_sequence and not is_fenced(record, attempt)


def max_head_attempts(hello):
    """Return how many attempts a head runs concurrently.

    A sequence occupies one stage of its chain at a time. With only as many
    attempts as one engine runs at once, each engine of a chain of two
    stages would be half idle.
    """
    layers = max(1, hello.end_layer - hello.first_layer)
    stages = max(1, round(hello.total_layers / layers))
    return hello.max_running * stages


def on_probation(isolate, first_index, next_index):
    """Return whether a suspect has not yet passed its probation tokens."""
    return isolate and next_index <= first_index + PROBATION_TOKENS


def crash_candidates(sequences):
    """Return the sequences that may have crashed their engine.

    Only a step that the engine was computing can be the cause. A suspect on
    probation is a more likely cause than the sequences that ran beside it.
    """
    running = [s for s in sequences if s.running_index >= 0]
    suspects = [s for s in running if s.on_probation]
    return suspects or running


def accepts_token(next_index, running_index, index):
    """Return whether a token is the one that the head expects next.

    `next_index` and `running_index` belong to the head's own sequence,
    whose next step comes after the token that is expected.
    """
    return running_index < 0 and index == next_index - 1


def may_admit(record, attempt, *, draining, ready):
    """Return whether a queued attempt may still be admitted."""
    return ready and not draining and not is_fenced(record, attempt)


def refusal_code(*, draining, ready, stale, quarantined):
    """Return the error code for refusing new work, or '' to accept it."""
    if draining:
        return 'draining'
    if not ready:
        return 'not_run'
    if stale:
        return 'stale_configuration'
    if quarantined:
        return 'quarantined'
    return ''


def is_stale(scope_version, known_version, known_for_s):
    """Return whether a scope version was superseded too long ago."""
    return scope_version < known_version and known_for_s >= STALE_AFTER_S


def state_after_failure(admitted):
    """Return the final state of an attempt that cannot continue."""
    if admitted:
        return messages.AttemptState.FAILED
    return messages.AttemptState.REFUSED


def state_after_close(admitted):
    """Return the final state of an attempt that its entry closes."""
    if admitted:
        return messages.AttemptState.FAILED
    return messages.AttemptState.CANCELLED


def was_never_admitted(record, attempt, *, same_incarnation):
    """Return whether the record proves that an attempt never ran here.

    The caller must fence the attempt first, so that it cannot run later.
    """
    fenced = attempt <= record.highest_fenced
    return same_incarnation and fenced and attempt not in record.admitted


def accepts_order(highest_fence, fence):
    """Return whether a fencing number is higher than all before."""
    return fence > highest_fence


def clock_jumped(last_s, now_s):
    """Return whether the process was suspended for longer than a lease."""
    return now_s - last_s > ATTEMPT_LEASE_S


def lease_expired(renewed_s, now_s):
    """Return whether a sequence had no step and no renewal for a lease."""
    return now_s - renewed_s > ATTEMPT_LEASE_S
