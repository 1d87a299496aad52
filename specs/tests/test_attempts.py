"""Explore the specifications of attempts and of non-idempotent calls."""

import collections

from specs import attempts
from specs import service_calls


def explore(spec):
    """Visit every state; return the first violation, or '', and all states.

    The states are those seen until then, in breadth-first order.
    """
    seen = {spec.initial(): None}
    waiting = collections.deque(seen)
    while waiting:
        for label, after in spec.successors(waiting.popleft()):
            if after in seen:
                continue
            seen[after] = None
            waiting.append(after)
            wrong = spec.violation(after)
            if wrong:
                return f'{wrong} (after {label})', list(seen)
    return '', list(seen)


def test_no_order_of_frames_breaks_an_attempt():
    """Late, repeated or swapped frames must not break R1 or R3."""
    wrong, states = explore(attempts)
    assert wrong == ''
    assert len(states) > 10_000
    # A specification in which nothing works would prove nothing.
    complete = {
        (state.attempt, state.crashed)
        for state in states
        if state.received == attempts.TOKENS
    }
    assert {(1, False), (2, True)} <= complete


def test_no_order_of_frames_repeats_a_call():
    """Two entries, a restart and late frames must not break R3 or R4."""
    wrong, states = explore(service_calls)
    assert wrong == ''
    assert any(state.left == ('second',) for state in states)
