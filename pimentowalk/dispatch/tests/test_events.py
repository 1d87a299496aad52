"""Guard that each event of a stream reaches the caller once and whole."""

import doctest

import pytest

from pimentowalk.admission import window_budget
from pimentowalk.dispatch import events


def _event(number):
    return f'id: {number}\ndata: piece {number}\n\n'.encode()


WHOLE = b''.join(_event(n) for n in range(1, 6))


def test_docstring_examples_hold():
    """An example that no longer holds misleads its reader."""
    for module in (events, window_budget):
        assert doctest.testmod(module).failed == 0


@pytest.mark.parametrize('size', [1, 2, 3, 7, 30, len(WHOLE)])
def test_pieces_of_any_size_give_the_same_events(size):
    """The network cuts a stream anywhere."""
    found = events.EventFilter(0)
    pieces = [WHOLE[at : at + size] for at in range(0, len(WHOLE), size)]
    assert b''.join(found.feed(piece) for piece in pieces) == WHOLE
    assert found.last_id == 5
    assert not found.holds_partial


def test_cut_event_is_not_passed_on():
    """A server may stop in the middle of an event."""
    found = events.EventFilter(0)
    assert found.feed(_event(1) + b'id: 2\nda') == _event(1)
    assert found.holds_partial
    found.restart()
    assert found.feed(_event(2)) == _event(2)


def test_repeated_events_are_dropped():
    """A server that goes on may begin before the last event."""
    found = events.EventFilter(0)
    found.feed(_event(1) + _event(2))
    assert found.feed(_event(2) + _event(3)) == _event(3)


def test_caller_that_resumes_gets_only_what_it_lacks():
    """The caller has the events up to the id that it names."""
    found = events.EventFilter(3)
    assert found.feed(WHOLE) == _event(4) + _event(5)


def test_endless_event_is_an_error():
    """A server that sends no event end must not fill the memory."""
    found = events.EventFilter(0)
    with pytest.raises(ValueError, match='too long'):
        found.feed(b'x' * (events.MAX_EVENT_BYTES + 1))


def test_repeats_are_bounded_by_share_and_number():
    """Repeats of all nodes together must not multiply a failure."""
    now = [0.0]
    budget = window_budget.WindowBudget(
        lambda: now[0], window_s=10, ratio=0.2, extra=20
    )
    for _ in range(100):
        budget.count_request('svc')
    taken = sum(budget.take('svc', nodes=4) for _ in range(100))
    assert 0 < taken <= 100 * 0.2 + 20 / 4


def test_repeats_return_as_the_window_slides():
    """A budget that is used up once must not stay so."""
    now = [0.0]
    budget = window_budget.WindowBudget(
        lambda: now[0], window_s=10, ratio=0, extra=2
    )
    assert budget.take('svc', nodes=1)
    assert not budget.take('svc', nodes=1)
    now[0] = 10.1
    assert budget.take('svc', nodes=1)
