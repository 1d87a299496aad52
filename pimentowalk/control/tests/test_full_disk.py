"""Test that a full disk only delays writes and never ends the process."""

import errno

import pytest

from pimentowalk.control import files
from pimentowalk.control import log as control_log
from pimentowalk.control.tests import faulty_files
from pimentowalk.wire import messages


class FileOnFullDisk:
    """Fail some writes as a full disk does, then accept them."""

    def __init__(self, failures, code=errno.ENOSPC):
        self.failures = failures
        self.code = code
        self.content = b''

    def write_at(self, offset, data):
        """Fail, or write half of the data."""
        if self.failures:
            self.failures -= 1
            raise OSError(self.code, 'write failed')
        written = bytes(data)[: max(1, len(data) // 2)]
        self.content = self.content[:offset] + written
        return len(written)


@pytest.fixture(autouse=True)
def no_retry_delay(monkeypatch):
    monkeypatch.setattr(files, 'DISK_FULL_RETRY_S', 0)


def test_write_is_retried_while_the_disk_is_full():
    """A process that exits on a full disk would abort its requests."""
    file = FileOnFullDisk(failures=3)
    files.write_all(file, 0, b'abcdef')
    assert file.content == b'abcdef'


def test_other_errors_are_not_retried():
    """After another error the content of the disk is unknown."""
    file = FileOnFullDisk(failures=1, code=errno.EIO)
    with pytest.raises(OSError, match='write failed'):
        files.write_all(file, 0, b'abcdef')


async def test_log_continues_after_a_full_disk(monkeypatch):
    """A record that is acknowledged after the delay must be on disk."""
    files_on_disk = faulty_files.FaultyFiles()
    fatal_errors = []
    log = control_log.DurableLog(
        'x',
        files=files_on_disk,
        on_fatal=fatal_errors.append,
        run_blocking=faulty_files.run_inline,
    )
    await log.open()
    write_at = faulty_files.FaultyFile.write_at
    failures = iter([True, True, False, True])

    def write_or_fail(file, offset, data):
        if next(failures, False):
            raise OSError(errno.ENOSPC, 'full')
        return write_at(file, offset, data)

    monkeypatch.setattr(faulty_files.FaultyFile, 'write_at', write_or_fail)
    log.append([messages.LogRecord(1, 1, 'command', b'one')])
    await log.sync()
    monkeypatch.undo()
    reopened = control_log.DurableLog(
        'x', files=files_on_disk, run_blocking=faulty_files.run_inline
    )
    await reopened.open()
    assert fatal_errors == []
    assert [r.content for r in reopened.retained_records()] == [b'one']
