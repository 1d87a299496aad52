"""Test that each event of a stream is passed on once and whole."""

import doctest

import pytest

from pimentowalk.admission import window_budget
from pimentowalk.dispatch import events


def _event(number):
    return f'id: {number}\ndata: piece {number}\n\n'.encode()


WHOLE = b''.join(_event(n) for n in range(1, 6))


def test_docstring_examples():
    """A wrong example misleads its reader."""
    for module in (events, window_budget):
        assert doctest.testmod(module).failed == 0


@pytest.mark.parametrize('size', [1, 2, 3, 7, 30, len(WHOLE)])
def test_chunks_of_any_size_give_the_same_events(size):
    """The network may split a stream anywhere."""
    event_filter = events.EventFilter(0)
    chunks = [WHOLE[at : at + size] for at in range(0, len(WHOLE), size)]
    assert b''.join(event_filter.feed(chunk) for chunk in chunks) == WHOLE
    assert event_filter.last_id == 5
    assert not event_filter.has_partial


def test_incomplete_event_is_not_passed_on():
    """A server may stop in the middle of an event."""
    event_filter = events.EventFilter(0)
    assert event_filter.feed(_event(1) + b'id: 2\nda') == _event(1)
    assert event_filter.has_partial
    event_filter.discard_partial()
    assert event_filter.feed(_event(2)) == _event(2)


def test_repeated_events_are_dropped():
    """A server that resumes a stream may repeat the last events."""
    event_filter = events.EventFilter(0)
    event_filter.feed(_event(1) + _event(2))
    assert event_filter.feed(_event(2) + _event(3)) == _event(3)


def test_resuming_client_gets_only_the_missing_events():
    """The client has the events up to the id that it sends."""
    event_filter = events.EventFilter(3)
    assert event_filter.feed(WHOLE) == _event(4) + _event(5)


@pytest.mark.parametrize(
    ('fed', 'is_unnumbered'),
    [
        ([b'data: x\n\n'], True),
        ([_event(1) + b'data: x\n\n'], True),
        ([b'data: x\n\n', _event(1)], False),
        ([b'data: x\n\n' + _event(1) + b': alive\n\n'], False),
        ([b'data: x\n\n', b': alive\n\n'], True),
        ([_event(1), b': alive\n\n'], False),
    ],
)
def test_stream_that_ends_without_an_id_is_known(fed, is_unnumbered):
    """Another server cannot tell which events the client has."""
    event_filter = events.EventFilter(0)
    for data in fed:
        event_filter.feed(data)
    assert event_filter.has_unnumbered is is_unnumbered


def test_endless_event_is_an_error():
    """An event without an end must not fill the memory."""
    event_filter = events.EventFilter(0, max_event_bytes=100)
    with pytest.raises(ValueError, match='too long'):
        event_filter.feed(b'x' * 101)


def test_retries_are_bounded_by_share_and_number():
    """Retries of all nodes together must not amplify a failure."""
    now = [0.0]
    budget = window_budget.WindowBudget(
        lambda: now[0], window_s=10, ratio=0.2, extra=20
    )
    for _ in range(100):
        budget.count_request('svc')
    taken = sum(budget.take('svc', nodes=4) for _ in range(100))
    assert 0 < taken <= 100 * 0.2 + 20 / 4


def test_retry_budget_recovers_as_the_window_slides():
    """An exhausted budget must become available again."""
    now = [0.0]
    budget = window_budget.WindowBudget(
        lambda: now[0], window_s=10, ratio=0, extra=2
    )
    assert budget.take('svc', nodes=1)
    assert not budget.take('svc', nodes=1)
    now[0] = 10.1
    assert budget.take('svc', nodes=1)


@pytest.mark.parametrize(
    'odd',
    [
        b'HTTP/1.1 500 error\r\nRetry-After: 1\r\n\r\n',
        b'the error of a server\n\n',
        b'{"error": "not run"}\n\n',
        b'id: 3\ndaHTTP/1.1 503 busy\r\nAt-Server: x\r\n\r\n',
    ],
)
def test_text_of_an_error_is_no_event(odd):
    """Callers found the error of a server, with its head, in a stream."""
    filtered = events.EventFilter(0)
    filtered.feed(b'id: 1\ndata: x\n\n')
    with pytest.raises(ValueError, match='no field'):
        filtered.feed(b'id: 2\ndata: x\n\n' + odd)
    # The event before it was not passed on, and is sent again elsewhere.
    assert filtered.last_id == 1


@pytest.mark.parametrize(
    'sound',
    [
        b': keep-alive\n\n',
        b'data\n\n',
        b'event: end\r\ndata: {"a": 1}\r\n\r\n',
        b'pimentowalk-weights-version: 3\nid: 2\ndata: x\n\n',
        b'id: 2\ndata: HTTP/1.1 500 error\n\n',
    ],
)
def test_fields_of_any_name_and_comments_are_passed_on(sound):
    """The platform adds a field, and other servers send comments."""
    filtered = events.EventFilter(0)
    assert filtered.feed(sound) == sound


def test_comments_without_end_are_refused():
    """A server that sends nothing else keeps the node busy for good."""
    event_filter = events.EventFilter(0, max_comment_bytes=100)
    comment = b': x\n\n'
    for number in range(1, 4):
        assert event_filter.feed(comment * 15) == comment * 15
        assert event_filter.feed(_event(number)) == _event(number)
    with pytest.raises(ValueError, match='without an event'):
        for _ in range(10):
            event_filter.feed(comment * 15)
