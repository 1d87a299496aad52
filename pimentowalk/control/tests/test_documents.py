"""Tests of the document of which the highest version is in force."""

from hypothesis import given
from hypothesis import strategies
import pytest

from pimentowalk.control import commands
from pimentowalk.control import documents
from pimentowalk.control import packing
from pimentowalk.control import state as control_state
from pimentowalk.core import errors
from pimentowalk.topology import documents as topology_documents


def _put(state, index, version, content):
    body = documents.PutDocument(version, content)
    return state.apply(index, commands.to_log(body), float(index))


def _put_unsupported(state, index, **changes):
    """Apply a record of a release that accepts other documents."""
    body = {'version': UNSUPPORTED_VERSION, 'content': ''} | changes
    record = packing.pack({'name': 'PutDocument', 'body': body})
    return state.apply(index, record, float(index))


def test_repeated_change_is_acknowledged_again():
    """An operator who lost the reply sends the same change again."""
    state = control_state.ControlState()
    assert _put(state, 1, 7, b'a') == documents.DocumentVersion(7, True)
    assert _put(state, 2, 7, b'a') == documents.DocumentVersion(7, False)


def test_other_content_with_the_current_version_is_ignored():
    """Two operators may use one version for different documents."""
    state = control_state.ControlState()
    _put(state, 1, 7, b'a')
    _put(state, 2, 7, b'b')
    assert state.part('document').content == b'a'


@given(strategies.lists(strategies.integers(1, 20), min_size=1))
def test_highest_version_wins_in_any_order(versions):
    """Changes may arrive out of order."""
    state = control_state.ControlState()
    for index, version in enumerate(versions, 1):
        _put(state, index, version, str(version).encode())
    part = state.part('document')
    assert part.version == max(versions)
    assert part.content == str(max(versions)).encode()


def test_snapshot_keeps_the_document():
    """A restarted instance must not return an older document."""
    state = control_state.ControlState()
    _put(state, 1, 7, bytes(range(256)))
    restored = control_state.ControlState()
    restored.restore(state.snapshot())
    assert restored.part('document').version == 7
    assert restored.part('document').content == bytes(range(256))


def test_snapshot_without_the_part_is_accepted():
    """Snapshots of the previous release have no document."""
    state = control_state.ControlState()
    lines = state.snapshot().split(b'\n')
    header = commands.CONVERTER.loads(lines[0].decode(), dict)
    del header['parts']['document']
    lines[0] = commands.CONVERTER.dumps(header).encode()
    restored = control_state.ControlState()
    restored.restore(b'\n'.join(lines))
    assert restored.part('document').version == 0


UNSUPPORTED_VERSION = topology_documents.MAX_VERSION + 1


@pytest.mark.parametrize(
    'changes', [{}, {'version': None}, {'content': 7}, {'version': 'x'}]
)
@pytest.mark.parametrize('is_restored', [False, True])
def test_skipped_record_leaves_no_older_document(caplog, changes, is_restored):
    """Keys that the skipped document had revoked were accepted again."""
    state = control_state.ControlState()
    _put(state, 1, 7, b'a')
    result = _put_unsupported(state, 2, **changes)
    assert (type(result), result.code) == (commands.Refusal, 'bad_request')
    assert 'record 2 is skipped' in caplog.text
    if is_restored:
        snapshot = state.snapshot()
        state = control_state.ControlState()
        state.restore(snapshot)
    part = state.part('document')
    assert (part.version, part.content, part.is_withdrawn) == (7, b'', True)
    # The skipped one may have replaced it for a reason.
    assert _put(state, 3, 7, b'a') == documents.DocumentVersion(7)
    assert part.is_withdrawn
    assert _put(state, 4, 8, b'b') == documents.DocumentVersion(8, True)
    assert (part.content, part.is_withdrawn) == (b'b', False)


def test_snapshot_with_an_unsupported_version_holds_no_document(caplog):
    """It would keep each later document from being accepted."""
    state = control_state.ControlState()
    _put(state, 1, 7, b'a')
    state.part('document').version = UNSUPPORTED_VERSION
    restored = control_state.ControlState()
    restored.restore(state.snapshot())
    assert restored.part('document').version == 0
    assert 'version' in caplog.text
    assert _put(restored, 2, 8, b'b') == documents.DocumentVersion(8, True)


def test_command_with_an_unsupported_version_is_refused():
    """A request of another node must be refused before it is committed."""
    body = {'version': UNSUPPORTED_VERSION, 'content': ''}
    with pytest.raises(errors.PimentowalkError) as caught:
        commands.decode(packing.pack(body), documents.PutDocument)
    assert caught.value.code == 'bad_request'
