"""Guard the inference of a failed server from streams that fell silent."""

import attrs

from pimentowalk.dispatch import silence
from pimentowalk.topology import backends

NOW_S = 10.0


@attrs.frozen
class Run:
    """A stream on some servers."""

    servers: tuple
    progress_s: float
    has_begun: bool = True


def _server(name):
    return backends.Backend(name, 1, 1, 'svc', '10.0.0.1', 80)


def _silent(*names):
    return Run(tuple(map(_server, names)), NOW_S - 2 * silence.SILENT_S)


def _moving(*names):
    return Run(tuple(map(_server, names)), NOW_S - 0.01)


def _found(*runs):
    return sorted(s.server_id for s in silence.candidates(runs, NOW_S))


def test_shared_server_of_silent_streams_is_found():
    """One lost stage stops all streams of its zone at once."""
    runs = [_silent('a', 'x', 'c'), _silent('b', 'x', 'd'), _moving('a', 'd')]
    assert _found(*runs) == ['x']


def test_server_of_a_moving_stream_is_cleared():
    """A stream that moves proves that all of its servers work."""
    assert _found(_silent('a', 'b'), _moving('a', 'b')) == []


def test_all_moving_gives_nobody():
    """Without a silence there is nothing to ask."""
    assert _found(_moving('a'), _moving('b')) == []


def test_stream_that_reads_its_prompt_is_no_silence():
    """Its first event may take several times as long as the others."""
    waiting = Run((_server('a'),), NOW_S - 1.0, has_begun=False)
    assert _found(waiting) == []


def test_streams_without_a_common_server_leave_all_in_question():
    """Streams also fall silent together under load."""
    assert _found(_silent('a', 'b'), _silent('c')) == ['a', 'b', 'c']


def test_one_silent_stream_does_not_put_its_whole_path_in_question():
    """Under load nearly all streams are silent for a while; asking all their
    servers took more processor time than the streams.
    """
    assert _found(_silent(*'abcdefghij')) == []
    runs = [_silent(*'abcdex'), _silent(*'fghijx')]
    assert _found(*runs) == ['x']
