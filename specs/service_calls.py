"""A non-idempotent call, its claim, and a second entry that resends it.

The first entry may send late, for it can be frozen. The second entry asks
the agent about the first call and sends its own only after a proof that
the first never left. Frames may arrive repeatedly and in any order until
the agent restarts, which ends all connections. A restarted agent has no
records, so entries send nothing to it on behalf of its earlier life.
"""

import attrs

from pimentowalk.agent import rules
from pimentowalk.wire import messages
from specs import agent_record

STATES = messages.AttemptState
FIRST = 'first'
SECOND = 'second'
ATTEMPT = 1
NONE = frozenset()


@attrs.frozen
class State:
    """The agent, the two entries, the claim and the network."""

    incarnation: int = 0
    sent: frozenset = NONE
    claimed_by: str = FIRST
    records: tuple = tuple(
        (request, agent_record.Record()) for request in (FIRST, SECOND)
    )
    queued: frozenset = NONE
    running: frozenset = NONE
    left: tuple = ()
    network: frozenset = NONE
    draining: bool = False
    cancelled: frozenset = NONE

    def record(self, request):
        """Return the record of a request as the rules take it."""
        return dict(self.records)[request].for_rules()

    def keep(self, request, record):
        """Return the state with a changed record."""
        held = dict(self.records)
        held[request] = agent_record.Record(
            record.highest_attempt,
            record.highest_fenced,
            frozenset(record.admitted),
        )
        return attrs.evolve(self, records=tuple(held.items()))

    def send(self, frame):
        """Return the state after a frame was sent."""
        return attrs.evolve(self, network=self.network | {frame})


def may_send(named, found):
    """Return whether an entry sends a call to the agent that it has found.

    `named` is the incarnation in the claim; `connect_to` of `entry.pool`
    compares.
    """
    return named == found


def initial():
    """Return the state in which the first entry holds the claim."""
    return State()


def steps(state):
    """Yield labels and the states that may follow."""
    yield from _entry_steps(state)
    yield from _agent_steps(state)
    for frame in state.network:
        yield f'deliver {frame}', DELIVERIES[frame[0]](state, *frame)


def violation(state):
    """Return what is wrong with a state, or ''."""
    if len(state.left) > 1:
        return f'the call left {len(state.left)} times'
    for request in state.cancelled:
        if request in state.left:
            return f'the {request} call left but was reported as not run'
    return ''


def _entry_steps(state):
    if FIRST not in state.sent and may_send(0, state.incarnation):
        after = attrs.evolve(state, sent=state.sent | {FIRST})
        yield 'first entry sends', after.send(('call', FIRST))
    if state.claimed_by == FIRST:
        yield 'second entry asks', state.send(('query', FIRST))
        yield 'first entry gives up', state.send(('close', FIRST))
    if state.claimed_by == SECOND and SECOND not in state.sent:
        after = attrs.evolve(state, sent=state.sent | {SECOND})
        yield 'second entry sends', after.send(('call', SECOND))


def _agent_steps(state):
    for request in state.queued:
        yield f'admit {request}', _admit(state, request)
    for request in state.running:
        rest = state.running - {request}
        yield f'end {request}', attrs.evolve(state, running=rest)
    if not state.draining:
        yield 'drain', _drain(state)
    if state.incarnation == 0:
        yield (
            'agent restarts',
            attrs.evolve(
                State(),
                incarnation=1,
                sent=state.sent,
                claimed_by=state.claimed_by,
                left=state.left,
                cancelled=state.cancelled,
            ),
        )


def _admit(state, request):
    record = state.record(request)
    state = attrs.evolve(state, queued=state.queued - {request})
    if not rules.may_admit(
        record, ATTEMPT, draining=state.draining, ready=True
    ):
        return _ended(state, request, rules.state_after_failure(False))
    record.admitted.add(ATTEMPT)
    after = attrs.evolve(
        state,
        running=state.running | {request},
        left=(*state.left, request),
    )
    return after.keep(request, record)


def _drain(state):
    after = attrs.evolve(state, draining=True, queued=NONE)
    for request in state.queued:
        record = after.record(request)
        record.highest_fenced = max(record.highest_fenced, ATTEMPT)
        after = after.keep(request, record)
        after = _ended(after, request, rules.state_after_failure(False))
    return after


def _ended(state, request, report):
    """Return the state after the entry of a call has got its reply."""
    if report not in messages.NEVER_ADMITTED:
        return state
    after = attrs.evolve(state, cancelled=state.cancelled | {request})
    if request == FIRST:
        after = attrs.evolve(after, claimed_by=SECOND)
    return after


def _on_call(state, _, request):
    record = state.record(request)
    if not rules.accepts_attempt(record, ATTEMPT):
        fenced = ATTEMPT <= record.highest_fenced
        if fenced and ATTEMPT not in record.admitted:
            return _ended(state, request, STATES.CANCELLED)
        return state
    record.highest_attempt = ATTEMPT
    if rules.refusal_code(
        draining=state.draining, ready=True, stale=False, quarantined=False
    ):
        record.highest_fenced = ATTEMPT
        after = state.keep(request, record)
        return _ended(after, request, STATES.REFUSED)
    after = attrs.evolve(state, queued=state.queued | {request})
    return after.keep(request, record)


def _fence(state, request):
    record = state.record(request)
    record.highest_fenced = max(record.highest_fenced, ATTEMPT)
    after = attrs.evolve(state, queued=state.queued - {request})
    return after.keep(request, record), record


def _on_close(state, _, request):
    waited = request in state.queued
    after, _ = _fence(state, request)
    if waited:
        return _ended(after, request, rules.state_after_close(False))
    return after


def _on_query(state, _, request):
    after, record = _fence(state, request)
    if request in after.running:
        return after
    never = rules.was_never_admitted(
        record, ATTEMPT, same_incarnation=state.incarnation == 0
    )
    if never:
        return _ended(after, request, STATES.CANCELLED)
    return after


DELIVERIES = {'call': _on_call, 'close': _on_close, 'query': _on_query}
