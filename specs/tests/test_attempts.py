"""Explore the specifications of attempts and of non-idempotent calls."""

from specs import attempts
from specs import explorer
from specs import service_calls


def all_states(specification):
    """Return all states, after a check that none breaks an invariant."""
    states = []
    result = explorer.explore(specification, on_state=states.append)
    assert not result.violation, result.trace
    assert result.complete
    assert len(states) == result.states
    return states


def test_no_order_of_frames_breaks_an_attempt():
    """Late, repeated or swapped frames must not break R1 or R3."""
    states = all_states(attempts)
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
    states = all_states(service_calls)
    assert any(state.left == ('second',) for state in states)
