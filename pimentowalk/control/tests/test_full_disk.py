"""Guard that a full disk delays control and ends nothing."""

import errno

import pytest

from pimentowalk.control import files
from pimentowalk.control import log as control_log
from pimentowalk.control.tests import faulty_files
from pimentowalk.wire import messages


class FullFile:
    """Refuse some writes as a full disk does, then take them."""

    def __init__(self, refusals, code=errno.ENOSPC):
        self.refusals = refusals
        self.code = code
        self.content = b''

    def write_at(self, offset, data):
        """Take half of the data at a time."""
        if self.refusals:
            self.refusals -= 1
            raise OSError(self.code, 'refused')
        piece = bytes(data)[: max(1, len(data) // 2)]
        self.content = self.content[:offset] + piece
        return len(piece)


@pytest.fixture(autouse=True)
def no_waiting(monkeypatch):
    monkeypatch.setattr(files, 'DISK_FULL_RETRY_S', 0)


def test_write_waits_for_room():
    """A process that ends on a full disk takes its requests with it."""
    file = FullFile(refusals=3)
    files.write_all(file, 0, b'abcdef')
    assert file.content == b'abcdef'


def test_other_failures_are_not_repeated():
    """What a faulty disk holds after an error is unknown."""
    file = FullFile(refusals=1, code=errno.EIO)
    with pytest.raises(OSError, match='refused'):
        files.write_all(file, 0, b'abcdef')


async def test_log_goes_on_after_a_full_disk(monkeypatch):
    """What is acknowledged later must be whole on the disk."""
    folder = faulty_files.FaultyFiles()
    failed = []
    log = control_log.DurableLog(
        'x',
        files=folder,
        on_fatal=failed.append,
        run_blocking=faulty_files.run_inline,
    )
    await log.open()
    write_at = faulty_files.FaultyFile.write_at
    refusals = iter([True, True, False, True])

    def sometimes_full(file, offset, data):
        if next(refusals, False):
            raise OSError(errno.ENOSPC, 'full')
        return write_at(file, offset, data)

    monkeypatch.setattr(faulty_files.FaultyFile, 'write_at', sometimes_full)
    log.append([messages.LogRecord(1, 1, 'command', b'one')])
    await log.sync()
    monkeypatch.undo()
    again = control_log.DurableLog(
        'x', files=folder, run_blocking=faulty_files.run_inline
    )
    await again.open()
    assert failed == []
    assert [r.content for r in again.retained_records()] == [b'one']
