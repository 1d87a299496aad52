"""Guard the document of which the highest version is in force."""

from hypothesis import given
from hypothesis import strategies

from pimentowalk.control import commands
from pimentowalk.control import documents
from pimentowalk.control import state as control_state


def _put(state, index, version, content):
    body = documents.PutDocument(version, content)
    return state.apply(index, commands.to_log(body), float(index))


def test_repeated_change_is_acknowledged_again():
    """An operator that lost the reply sends the same change again."""
    state = control_state.ControlState()
    assert _put(state, 1, 7, b'a') == documents.DocumentVersion(7, True)
    assert _put(state, 2, 7, b'a') == documents.DocumentVersion(7, False)


def test_other_content_under_the_held_version_is_never_in_force():
    """Two operators may have used one version for two documents."""
    state = control_state.ControlState()
    _put(state, 1, 7, b'a')
    _put(state, 2, 7, b'b')
    assert state.part('document').content == b'a'


@given(strategies.lists(strategies.integers(1, 20), min_size=1))
def test_highest_version_wins_in_any_order(versions):
    """Changes overtake each other on their way."""
    state = control_state.ControlState()
    for index, version in enumerate(versions, 1):
        _put(state, index, version, str(version).encode())
    part = state.part('document')
    assert part.version == max(versions)
    assert part.content == str(max(versions)).encode()


def test_snapshot_keeps_the_document():
    """A restarted instance must not show an older document."""
    state = control_state.ControlState()
    _put(state, 1, 7, bytes(range(256)))
    again = control_state.ControlState()
    again.restore(state.snapshot())
    assert again.part('document').version == 7
    assert again.part('document').content == bytes(range(256))


def test_snapshot_from_before_the_part_is_read():
    """An instance of the former release has no document."""
    state = control_state.ControlState()
    lines = state.snapshot().split(b'\n')
    header = commands.CONVERTER.loads(lines[0].decode(), dict)
    del header['parts']['document']
    lines[0] = commands.CONVERTER.dumps(header).encode()
    again = control_state.ControlState()
    again.restore(b'\n'.join(lines))
    assert again.part('document').version == 0
