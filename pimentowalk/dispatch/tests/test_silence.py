"""Test which servers are candidates when streams stall."""

import attrs

from pimentowalk.dispatch import silence
from pimentowalk.topology import backends

NOW_S = 10.0


@attrs.frozen
class Run:
    """A stream over some servers."""

    servers: tuple
    progress_s: float
    has_output: bool = True


def _server(name):
    return backends.Backend(name, 1, 1, 'svc', '10.0.0.1', 80)


def _stalled(*names):
    return Run(tuple(map(_server, names)), NOW_S - 2 * silence.SILENT_AFTER_S)


def _progressing(*names):
    return Run(tuple(map(_server, names)), NOW_S - 0.01)


def _candidates(*runs):
    return sorted(s.server_id for s in silence.candidates(runs, NOW_S))


def test_shared_server_of_stalled_streams_is_a_candidate():
    """One failed stage stalls all streams of its zone at once."""
    runs = [
        _stalled('a', 'x', 'c'),
        _stalled('b', 'x', 'd'),
        _progressing('a', 'd'),
    ]
    assert _candidates(*runs) == ['x']


def test_server_of_a_progressing_stream_is_no_candidate():
    """A stream that makes progress proves that all its servers work."""
    assert _candidates(_stalled('a', 'b'), _progressing('a', 'b')) == []


def test_progressing_streams_give_no_candidates():
    """Without a stall there is nothing to check."""
    assert _candidates(_progressing('a'), _progressing('b')) == []


def test_stream_before_its_first_event_is_not_stalled():
    """The prompt is read first, which takes longer than other events."""
    waiting = Run((_server('a'),), NOW_S - 1.0, has_output=False)
    assert _candidates(waiting) == []


def test_without_a_common_server_all_servers_are_candidates():
    """Streams also stall together under load."""
    assert _candidates(_stalled('a', 'b'), _stalled('c')) == ['a', 'b', 'c']


def test_one_stalled_stream_gives_no_candidates_on_a_long_path():
    """Under load nearly all streams are silent for a while; checking all
    their servers takes more processor time than the streams.
    """
    assert _candidates(_stalled(*'abcdefghij')) == []
    runs = [_stalled(*'abcdex'), _stalled(*'fghijx')]
    assert _candidates(*runs) == ['x']
