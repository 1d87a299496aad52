"""Attempts of one request at a head and a later stage.

The network keeps every frame, so that each may arrive late, out of order
and any number of times. The decisions are those of `agent.rules`.
"""

import attrs

from pimentowalk.agent import rules
from pimentowalk.wire import messages
from specs import agent_record

STATES = messages.AttemptState
TOKENS = 2
ATTEMPTS = 2
HEAD = 'head'
STAGE = 'stage'
NONE = frozenset()


@attrs.frozen
class Sequence:
    """An open sequence; `running` is the step in the engine, or -1."""

    attempt: int
    next_index: int
    running: int = -1


@attrs.frozen
class State:
    """All of the entry, the head, the stage and the network."""

    attempt: int = 0
    received: int = 0
    queued: tuple = ()
    preparing: tuple = ()
    head: agent_record.Record = agent_record.Record()
    stage: agent_record.Record = agent_record.Record()
    head_sequence: Sequence | None = None
    stage_sequence: Sequence | None = None
    network: frozenset = NONE
    ran: frozenset = NONE
    reports: frozenset = NONE
    draining: bool = False
    crashed: bool = False
    violation: str = ''

    def send(self, *frames):
        """Return the state after frames were sent."""
        return attrs.evolve(self, network=self.network | set(frames))

    def report(self, attempt, state):
        """Return the state after the head has reported to the entry."""
        return attrs.evolve(self, reports=self.reports | {(attempt, state)})


def initial():
    """Return the state before the entry opens the first attempt."""
    return State()


def steps(state):
    """Yield labels and the states that may follow."""
    yield from _entry_steps(state)
    yield from _agent_steps(state)
    for frame in state.network:
        yield f'deliver {frame}', DELIVERIES[frame[0]](state, *frame[1:])


def violation(state):
    """Return what is wrong with a state, or ''."""
    if state.violation:
        return state.violation
    for attempt, report in state.reports:
        ran = any(key[1] == attempt for key in state.ran)
        if report in messages.NEVER_ADMITTED and ran:
            return f'attempt {attempt} ran but is reported as {report}'
    return ''


def _entry_steps(state):
    if state.attempt < ATTEMPTS and state.received < TOKENS:
        attempt = state.attempt + 1
        frames = [('open', attempt, state.received)]
        if state.attempt:
            frames.append(('close', state.attempt))
        after = attrs.evolve(state, attempt=attempt).send(*frames)
        yield 'next attempt', after


def _agent_steps(state):
    if state.queued and not state.preparing and not state.head_sequence:
        attempt, start = state.queued[0]
        after = attrs.evolve(
            state, queued=state.queued[1:], preparing=(attempt, start)
        )
        yield 'take from the queue', after.send(('prepare', attempt, start))
    if _is_running(state.head_sequence):
        yield 'head computes', _computed(state, 'head_sequence', 'step')
    if _is_running(state.stage_sequence):
        yield 'stage computes', _computed(state, 'stage_sequence', 'token')
    if not state.draining:
        after = attrs.evolve(state, draining=True, queued=())
        for attempt, _ in state.queued:
            after = after.report(attempt, rules.state_after_failure(False))
            after = attrs.evolve(after, head=after.head.close(attempt))
        yield 'drain', after
    if state.stage_sequence and not state.crashed:
        attempt = state.stage_sequence.attempt
        after = attrs.evolve(
            state,
            crashed=True,
            stage=state.stage.close(attempt),
            stage_sequence=None,
        )
        yield 'engine crash', after.send(('failed', attempt))


def _is_running(sequence):
    return sequence is not None and sequence.running >= 0


def _computed(state, name, frame):
    sequence = getattr(state, name)
    idle = attrs.evolve(sequence, running=-1)
    after = attrs.evolve(state, **{name: idle})
    return after.send((frame, sequence.attempt, sequence.running))


def _run(state, agent, index):
    """Run a step of the open sequence of an agent, if the rules let it."""
    sequence = getattr(state, f'{agent}_sequence')
    record = getattr(state, agent)
    accepted = rules.accepts_step(
        record.for_rules(),
        sequence.attempt,
        sequence.next_index,
        sequence.running,
        index,
    )
    if not accepted:
        return state
    key = (agent, sequence.attempt, index)
    record = attrs.evolve(record, admitted=record.admitted | {key[1]})
    fresh = attrs.evolve(sequence, next_index=index + 1, running=index)
    return attrs.evolve(
        state,
        ran=state.ran | {key},
        violation=_wrong_step(state, agent, sequence, index),
        **{agent: record, f'{agent}_sequence': fresh},
    )


def _wrong_step(state, agent, sequence, index):
    attempt = sequence.attempt
    earlier = [
        key[2] for key in state.ran if key[0] == agent and key[1] == attempt
    ]
    if index in earlier:
        return f'{agent} ran step {index} of attempt {attempt} twice'
    if earlier and index != max(earlier) + 1:
        return f'{agent} ran step {index} out of order'
    if not earlier and ('open', attempt, index) not in state.network:
        return f'{agent} began with step {index}'
    if attempt <= getattr(state, agent).highest_fenced:
        return f'{agent} ran a step of the fenced attempt {attempt}'
    return ''


def _release(state, attempt):
    """Forget an attempt at the head and fence it at the stage."""
    held = {
        'queued': tuple(q for q in state.queued if q[0] != attempt),
        'head': state.head.close(attempt),
    }
    if state.preparing and state.preparing[0] == attempt:
        held['preparing'] = ()
    if state.head_sequence and state.head_sequence.attempt == attempt:
        held['head_sequence'] = None
    return attrs.evolve(state, **held).send(('stage close', attempt))


def _known(state):
    """Return the attempts that the head queues, prepares or drives."""
    known = {attempt for attempt, _ in state.queued}
    known.update(state.preparing[:1])
    if state.head_sequence:
        known.add(state.head_sequence.attempt)
    return known


def _cancel(state, attempt):
    admitted = attempt in state.head.admitted
    after = state.report(attempt, rules.state_after_close(admitted))
    return _release(after, attempt)


def _on_open(state, attempt, start):
    record = state.head.for_rules()
    if not rules.accepts_attempt(record, attempt):
        fenced = attempt <= record.highest_fenced
        if fenced and attempt not in record.admitted:
            return state.report(attempt, STATES.CANCELLED)
        return state
    state = attrs.evolve(
        state, head=attrs.evolve(state.head, highest_attempt=attempt)
    )
    for lower in sorted(_known(state)):
        state = _cancel(state, lower) if lower < attempt else state
    code = rules.refusal_code(
        draining=state.draining, ready=True, stale=False, quarantined=False
    )
    if code:
        refused = attrs.evolve(state, head=state.head.close(attempt))
        return refused.report(attempt, STATES.REFUSED)
    return attrs.evolve(state, queued=(*state.queued, (attempt, start)))


def _on_close(state, attempt):
    admitted = attempt in state.head.admitted
    known = _known(state)
    state = attrs.evolve(state, head=state.head.close(attempt))
    for one in sorted(known):
        state = _cancel(state, one) if one <= attempt else state
    if attempt not in known and not admitted:
        return state.report(attempt, STATES.CANCELLED)
    return state


def _on_prepare(state, attempt, start):
    if not rules.accepts_attempt(state.stage.for_rules(), attempt):
        return state.send(('refused', attempt))
    after = attrs.evolve(
        state,
        stage=attrs.evolve(state.stage, highest_attempt=attempt),
        stage_sequence=Sequence(attempt, start),
    )
    return after.send(('prepared', attempt))


def _on_prepared(state, attempt):
    if state.preparing[:1] != (attempt,):
        return state
    start = state.preparing[1]
    allowed = rules.may_admit(
        state.head.for_rules(), attempt, draining=state.draining, ready=True
    )
    if not allowed:
        return _fail(state, attempt)
    after = attrs.evolve(
        state, preparing=(), head_sequence=Sequence(attempt, start)
    )
    after = _run(after, HEAD, start)
    if state.draining and not after.violation:
        text = f'attempt {attempt} was admitted while draining'
        after = attrs.evolve(after, violation=text)
    return after


def _fail(state, attempt):
    if attempt not in _known(state):
        return state
    admitted = attempt in state.head.admitted
    after = state.report(attempt, rules.state_after_failure(admitted))
    return _release(after, attempt)


def _on_refused(state, attempt):
    if state.preparing[:1] != (attempt,):
        return state
    return _fail(state, attempt)


def _on_step(state, attempt, index):
    sequence = state.stage_sequence
    if sequence is None or sequence.attempt != attempt:
        return state
    return _run(state, STAGE, index)


def _on_token(state, attempt, index):
    sequence = state.head_sequence
    if sequence is None or sequence.attempt != attempt:
        return state
    if not rules.accepts_token(sequence.next_index, sequence.running, index):
        return state
    state = state.send(('answer', attempt, index))
    if index + 1 == TOKENS:
        return _release(state.report(attempt, STATES.FINISHED), attempt)
    return _run(state, HEAD, index + 1)


def _on_stage_close(state, attempt):
    after = attrs.evolve(state, stage=state.stage.close(attempt))
    sequence = state.stage_sequence
    if sequence is not None and sequence.attempt <= attempt:
        after = attrs.evolve(after, stage_sequence=None)
    return after


def _on_answer(state, attempt, index):
    if (attempt, index) != (state.attempt, state.received):
        return state
    return attrs.evolve(state, received=index + 1)


DELIVERIES = {
    'open': _on_open,
    'close': _on_close,
    'prepare': _on_prepare,
    'prepared': _on_prepared,
    'refused': _on_refused,
    'step': _on_step,
    'token': _on_token,
    'stage close': _on_stage_close,
    'failed': _fail,
    'answer': _on_answer,
}
