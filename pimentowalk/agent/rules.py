"""Decisions of an agent, shared with the specification of attempts."""

import attrs

from pimentowalk.wire import messages

# An agent refuses an older scope version once it has known a newer one for
# this long; before that, pushes to the entries may still be under way.
STALE_AFTER_S = 2.0
ATTEMPT_LEASE_S = 10.0
# A request that crashes engines does so again near the token at which it
# did before. A suspect that gets this far beyond it is cleared, which
# frees the way for the next one long before its answer is complete.
PROBATION_TOKENS = 4


@attrs.define
class RequestRecord:
    """What an agent knows about the attempts of one request.

    Attempts up to `highest_fenced` are fenced. `admitted` holds the
    attempts that may have run at this agent.
    """

    highest_attempt: int = -1
    highest_fenced: int = -1
    admitted: set[int] = attrs.field(factory=set)


def is_fenced(record, attempt):
    """Return whether an attempt must not begin or go on."""
    return attempt <= record.highest_fenced or attempt < record.highest_attempt


def accepts_attempt(record, attempt):
    """Return whether a new attempt may be queued or prepared."""
    return not is_fenced(record, attempt) and attempt > record.highest_attempt


def accepts_step(record, attempt, next_index, running_index, index):
    """Return whether a step may run: unfenced, newest and in sequence.

    `running_index` is the step that the engine still has, or -1.
    """
    in_sequence = running_index < 0 and index == next_index
    return in_sequence and not is_fenced(record, attempt)


def head_places(hello):
    """Return how many attempts a head admits at once.

    A sequence is at one stage of its chain at a time, so that a chain of
    two stages with the places of one engine leaves half of both empty.
    """
    layers = max(1, hello.end_layer - hello.first_layer)
    stages = max(1, round(hello.total_layers / layers))
    return hello.max_running * stages


def on_probation(isolate, first_index, next_index):
    """Return whether a suspect may still crash the engine."""
    return isolate and next_index <= first_index + PROBATION_TOKENS


def crash_candidates(sequences):
    """Return the sequences that may have crashed their engine.

    Only a step that the engine had can have done it, and a suspect on
    probation is the likelier cause than those that ran beside it.
    """
    running = [s for s in sequences if s.running_index >= 0]
    suspects = [s for s in running if s.on_probation]
    return suspects or running


def accepts_token(next_index, running_index, index):
    """Return whether a token is the one that its head waits for.

    `next_index` and `running_index` belong to the head's own sequence,
    which is one step ahead of the token under way.
    """
    return running_index < 0 and index == next_index - 1


def may_admit(record, attempt, *, draining, ready):
    """Return whether a queued attempt may still be admitted."""
    return ready and not draining and not is_fenced(record, attempt)


def refusal_code(*, draining, ready, stale, quarantined):
    """Return the code with which new work is refused, or ''."""
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
    """Return whether work was sent under a scope version that is too old."""
    return scope_version < known_version and known_for_s >= STALE_AFTER_S


def state_after_failure(admitted):
    """Return the state in which an attempt ends when it cannot go on."""
    if admitted:
        return messages.AttemptState.FAILED
    return messages.AttemptState.REFUSED


def state_after_close(admitted):
    """Return the state in which an attempt ends when its entry closes it."""
    if admitted:
        return messages.AttemptState.FAILED
    return messages.AttemptState.CANCELLED


def was_never_admitted(record, attempt, *, same_incarnation):
    """Return whether the record proves that an attempt never ran here.

    The caller fences the attempt first, so that it cannot run later.
    """
    fenced = attempt <= record.highest_fenced
    return same_incarnation and fenced and attempt not in record.admitted


def accepts_order(highest_fence, fence):
    """Return whether the fencing number of an order is new."""
    return fence > highest_fence


def clock_jumped(last_s, now_s):
    """Return whether the process was away for longer than a lease."""
    return now_s - last_s > ATTEMPT_LEASE_S


def lease_passed(renewed_s, now_s):
    """Return whether a sequence had no step or renewal for a lease."""
    return now_s - renewed_s > ATTEMPT_LEASE_S
