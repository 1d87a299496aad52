"""Test that a full disk only delays writes and never ends the process."""

import asyncio
import errno
import os
import threading
import types

import pytest

from pimentowalk.control import files
from pimentowalk.control import log as control_log
from pimentowalk.control import segments
from pimentowalk.control import snapshot
from pimentowalk.control.tests import faulty_files
from pimentowalk.core import errors
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


async def open_log(files_on_disk, fatal_errors, segment_bytes=1 << 20):
    """Return a log in the given files whose fatal errors are collected."""
    log = control_log.DurableLog(
        'x',
        files=files_on_disk,
        on_fatal=fatal_errors.append,
        segment_bytes=segment_bytes,
        run_blocking=faulty_files.run_inline,
    )
    await log.open()
    return log


def make_room_after_retries(monkeypatch, files_on_disk, count):
    """Give the disk room once some operations have been retried."""
    delays_s = []

    def sleep(delay_s):
        delays_s.append(delay_s)
        if len(delays_s) == count:
            files_on_disk.refused = frozenset()

    monkeypatch.setattr(files, 'time', types.SimpleNamespace(sleep=sleep))
    return delays_s


@pytest.mark.parametrize('code', [errno.ENOSPC, errno.EDQUOT])
@pytest.mark.parametrize(
    ('operation', 'refused'),
    [
        (lambda log: log.save_vote(7, 'a'), faulty_files.ALL),
        (lambda log: log.save_vote(7, 'a'), [faulty_files.TRUNCATE]),
        (lambda log: log.truncate_from(2), faulty_files.ALL),
        (lambda log: log.truncate_from(2), [faulty_files.TRUNCATE]),
        (lambda log: log.reset(9, 3), faulty_files.ALL),
        (lambda log: log.sync(), faulty_files.ALL),
    ],
)
async def test_process_does_not_end_while_the_disk_refuses_changes(
    monkeypatch, operation, refused, code
):
    """A disk that also refused to shorten a file ended the process."""
    files_on_disk = faulty_files.FaultyFiles()
    fatal_errors = []
    log = await open_log(files_on_disk, fatal_errors)
    log.append(
        [messages.LogRecord(n, 1, 'command', b'one') for n in (1, 2, 3)]
    )
    await log.sync()
    log.append([messages.LogRecord(4, 1, 'command', b'two')])
    files_on_disk.refused = refused
    files_on_disk.full_error = code
    retries = make_room_after_retries(monkeypatch, files_on_disk, 3)
    await operation(log)
    assert len(retries) == 3
    assert fatal_errors == []


def lose_power(files_on_disk):
    """Lose all that was not synced."""
    random_source = types.SimpleNamespace(
        choice=lambda options: options[0], randint=lambda low, high: low
    )
    files_on_disk.crash(random_source)


def contents(log):
    """Return the contents of the records of a log."""
    return [record.content for record in log.retained_records()]


@pytest.mark.parametrize('code', [errno.ENOSPC, errno.EDQUOT])
@pytest.mark.parametrize(
    'refused',
    [
        [faulty_files.SYNC],
        [faulty_files.SYNC_FOLDER],
        [faulty_files.SYNC, faulty_files.SYNC_FOLDER],
        [faulty_files.SYNC, *faulty_files.ALL],
    ],
)
@pytest.mark.parametrize('segment_bytes', [1, 1 << 20])
async def test_record_is_durable_after_a_sync_on_a_full_disk(
    monkeypatch, segment_bytes, refused, code
):
    """The process ended; a second sync of the file would write nothing."""
    files_on_disk = faulty_files.FaultyFiles()
    fatal_errors = []
    log = await open_log(files_on_disk, fatal_errors, segment_bytes)
    log.append([messages.LogRecord(1, 1, 'command', b'one')])
    await log.sync()
    log.append([messages.LogRecord(n, 1, 'command', b'more') for n in (2, 3)])
    files_on_disk.refused = refused
    files_on_disk.full_error = code
    make_room_after_retries(monkeypatch, files_on_disk, 3)
    await log.sync()
    files_on_disk.refused = frozenset()
    assert (fatal_errors, log.synced_index) == ([], 3)
    log.append([messages.LogRecord(4, 1, 'command', b'last')])
    await log.sync()
    lose_power(files_on_disk)
    reopened = await open_log(files_on_disk, fatal_errors, segment_bytes)
    assert contents(reopened) == [b'one', b'more', b'more', b'last']


@pytest.mark.parametrize(
    ('operation', 'expected'),
    [
        (lambda log: log.truncate_from(2), ([b'one'], 0)),
        (lambda log: log.save_vote(7, 'a'), ([b'one', b'one', b'one'], 7)),
        (lambda log: log.reset(0, 0), ([], 0)),
    ],
)
async def test_changed_file_is_durable_after_a_sync_on_a_full_disk(
    monkeypatch, operation, expected
):
    """A record that was removed would come back after a power loss."""
    files_on_disk = faulty_files.FaultyFiles()
    fatal_errors = []
    log = await open_log(files_on_disk, fatal_errors)
    log.append(
        [messages.LogRecord(n, 1, 'command', b'one') for n in (1, 2, 3)]
    )
    await log.sync()
    files_on_disk.refused = [faulty_files.SYNC]
    make_room_after_retries(monkeypatch, files_on_disk, 3)
    await operation(log)
    lose_power(files_on_disk)
    reopened = await open_log(files_on_disk, fatal_errors)
    assert fatal_errors == []
    assert (contents(reopened), reopened.vote.term) == expected


async def test_log_opens_while_syncs_fail_on_a_full_disk(monkeypatch):
    """A process that restarted on a full disk ended again and again."""
    files_on_disk = faulty_files.FaultyFiles()
    fatal_errors = []
    log = await open_log(files_on_disk, fatal_errors)
    log.append([messages.LogRecord(1, 1, 'command', b'one')])
    await log.sync()
    segment = files_on_disk.open(log._store._segments[-1].name)
    segment.write_at(len(segment.current), b'PREC torn')
    files_on_disk.refused = [faulty_files.SYNC]
    make_room_after_retries(monkeypatch, files_on_disk, 3)
    for _ in range(2):
        reopened = await open_log(files_on_disk, fatal_errors)
        assert fatal_errors == []
        assert contents(reopened) == [b'one']
        lose_power(files_on_disk)


async def test_record_that_changed_after_a_failed_sync_is_not_kept(
    monkeypatch,
):
    """A record that was read back wrong would be acknowledged."""
    files_on_disk = faulty_files.FaultyFiles()
    fatal_errors = []
    log = await open_log(files_on_disk, fatal_errors)
    log.append([messages.LogRecord(1, 1, 'command', b'one')])
    await log.sync()
    segment = files_on_disk.open(log._store._segments[-1].name)
    segment.current = segment.current[:-1] + b'?'
    log.append([messages.LogRecord(2, 1, 'command', b'two')])
    files_on_disk.refused = [faulty_files.SYNC]
    make_room_after_retries(monkeypatch, files_on_disk, 1)
    with pytest.raises(errors.DamagedData):
        await log.sync()
    assert len(fatal_errors) == 1
    assert log.synced_index == 1


async def test_other_errors_of_a_sync_end_the_process(monkeypatch):
    """The disk may be broken, and the content is unknown."""
    files_on_disk = faulty_files.FaultyFiles()
    fatal_errors = []
    log = await open_log(files_on_disk, fatal_errors)
    log.append([messages.LogRecord(1, 1, 'command', b'one')])
    await log.sync()
    log.append([messages.LogRecord(2, 1, 'command', b'two')])
    files_on_disk.refused = [faulty_files.SYNC]
    files_on_disk.full_error = errno.EIO
    with pytest.raises(errors.DamagedData):
        await log.sync()
    assert len(fatal_errors) == 1


def test_file_of_an_interrupted_replacement_is_removed(tmp_path):
    """Each crash while a segment was replaced used up room for good."""
    folder = files.Files(tmp_path)
    folder.open('00000000000000000001.log.tmp').close()
    segments.SegmentStore(folder, 1 << 20).load()
    assert folder.names() == [segments.MARKER_FILE]


async def test_log_opens_after_a_torn_write_on_a_full_disk(monkeypatch):
    """A process that restarted on a full disk ended again and again."""
    files_on_disk = faulty_files.FaultyFiles()
    fatal_errors = []
    log = await open_log(files_on_disk, fatal_errors)
    log.append([messages.LogRecord(1, 1, 'command', b'one')])
    await log.sync()
    segment = files_on_disk.open(log._store._segments[-1].name)
    segment.write_at(len(segment.current), b'PREC torn')
    files_on_disk.refused = faulty_files.ALL
    make_room_after_retries(monkeypatch, files_on_disk, 3)
    reopened = await open_log(files_on_disk, fatal_errors)
    assert fatal_errors == []
    assert [r.content for r in reopened.retained_records()] == [b'one']


@pytest.mark.parametrize('name', ['open', 'replace', 'unlink'])
def test_change_of_names_is_retried_while_the_disk_is_full(
    monkeypatch, tmp_path, name
):
    """A folder entry may need room, too; the process ended without it."""
    folder = files.Files(tmp_path)
    call = getattr(os, name)
    failures = iter([True, True])

    def call_or_fail(*arguments):
        if next(failures, False):
            raise OSError(errno.ENOSPC, 'full')
        return call(*arguments)

    monkeypatch.setattr(os, name, call_or_fail)
    folder.open('a').close()
    folder.replace('a', 'b')
    folder.remove('b')
    assert next(failures, None) is None
    assert folder.names() == []


async def test_record_that_a_stop_interrupts_is_not_acknowledged(
    monkeypatch, tmp_path
):
    """A later sync found nothing to write and reported success."""
    log = control_log.DurableLog(tmp_path)
    await log.open()
    is_full = threading.Event()

    def reject(file, offset, data):
        is_full.set()
        raise OSError(errno.ENOSPC, 'full')

    monkeypatch.setattr(files.File, 'write_at', reject)
    log.append([messages.LogRecord(1, 1, 'command', b'one')])
    syncs = [asyncio.ensure_future(log.sync()) for _ in range(2)]
    await asyncio.to_thread(is_full.wait)
    async with asyncio.timeout(5.0):
        await log.close()
    for sync in syncs:
        with pytest.raises(errors.PimentowalkError):
            await sync
    assert log.synced_index == 0


def test_unfinished_snapshot_is_removed_at_the_next_start(tmp_path):
    """Each crash during the write of a snapshot used up room for good."""
    folder = files.Files(tmp_path)
    finished = snapshot.Snapshot(1, 1, b'', b'state')
    snapshot.save(folder, finished)
    folder.open(
        '00000000000000000009-00000000000000000001.snapshot.tmp'
    ).close()
    folder.open('servers.tmp').close()
    assert snapshot.load(folder) == finished
    assert len(folder.names()) == 2
    assert 'servers.tmp' in folder.names()


@pytest.mark.parametrize('code', [errno.EIO, errno.ENOSPC])
async def test_record_of_a_failed_sync_is_durable_after_a_restart(
    monkeypatch, code
):
    """A restarted process read the record from the cache of the system, and
    counted it as synced although its sync wrote nothing.
    """
    files_on_disk = faulty_files.FaultyFiles()
    fatal_errors = []
    log = await open_log(files_on_disk, fatal_errors)
    log.append([messages.LogRecord(1, 1, 'command', b'one')])
    await log.sync()
    log.append([messages.LogRecord(2, 1, 'command', b'two')])
    files_on_disk.refused = [faulty_files.SYNC]
    files_on_disk.full_error = code

    def stop():
        raise files.WriteStopped('stopped', step='write')

    monkeypatch.setattr(files, '_wait_before_retry', stop)
    with pytest.raises(errors.PimentowalkError):
        await log.sync()
    files_on_disk.refused = frozenset()
    restarted = await open_log(files_on_disk, [])
    synced = contents(restarted)[: restarted.synced_index]
    lose_power(files_on_disk)
    assert contents(await open_log(files_on_disk, [])) == synced
