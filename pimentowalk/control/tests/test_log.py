"""Test the durable log under crashes, short writes and corruption."""

import asyncio
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from pimentowalk.control import log as control_log
from pimentowalk.control import segments
from pimentowalk.control import snapshot as control_snapshot
from pimentowalk.control.tests import faulty_files
from pimentowalk.core import errors
from pimentowalk.wire import messages

# Small, so that a few records fill a segment.
SEGMENT_BYTES = 300


def make_log(files, fatal=None):
    """Return a log on faulty files."""
    return control_log.DurableLog(
        '',
        files=files,
        on_fatal=[].append if fatal is None else fatal.append,
        segment_bytes=SEGMENT_BYTES,
        new_identity=lambda: 'identity',
        run_blocking=faulty_files.run_inline,
    )


async def open_log(files, fatal=None):
    """Open a log as a replica does, snapshot first."""
    log = make_log(files, fatal)
    snapshot = await log.run_file_operation(control_snapshot.load)
    if snapshot is None:
        await log.open()
    else:
        await log.open(snapshot.last_index, snapshot.last_term)
    return log


class LogMachine(stateful.RuleBasedStateMachine):
    """Compare the log with a list of records, with crashes at any operation.

    The first `synced` of `records` must survive a crash, the others may;
    `votes` has the possible contents of the vote file after a crash.
    """

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.files = faulty_files.FaultyFiles()
        self.fatal = []
        self.log = self.loop.run_until_complete(
            open_log(self.files, self.fatal)
        )
        self.records = []
        self.synced = 0
        self.base = (0, 0)
        self.term = 1
        self.votes = {(0, '')}
        # The base of a snapshot whose save was interrupted by a failure.
        self.interrupted_base = None

    def teardown(self):
        self.loop.close()

    def attempt(self, operation):
        """Run an operation; return whether it succeeded."""
        try:
            self.loop.run_until_complete(operation)
        except errors.DamagedData:
            assert self.fatal, 'an operation failed without a failed write'
            return False
        return True

    def last_index(self):
        return self.base[0] + len(self.records)

    @stateful.precondition(lambda self: not self.fatal)
    @stateful.rule(sizes=strategies.lists(strategies.integers(0, 200)))
    def append(self, sizes):
        new_records = [
            messages.LogRecord(
                self.last_index() + offset, self.term, 'command', b'x' * size
            )
            for offset, size in enumerate(sizes, 1)
        ]
        self.log.append(new_records)
        self.records += new_records

    @stateful.precondition(lambda self: not self.fatal)
    @stateful.rule()
    def sync(self):
        if self.attempt(self.log.sync()):
            self.synced = len(self.records)

    @stateful.precondition(lambda self: not self.fatal and self.records)
    @stateful.rule(data=strategies.data())
    def truncate(self, data):
        offset = data.draw(strategies.integers(0, len(self.records) - 1))
        old = list(self.records)
        self.synced = min(self.synced, offset)
        index = self.records[offset].index
        if self.attempt(self.log.truncate_from(index)):
            del self.records[offset:]
        else:
            self.records = old
        self.term += 1

    @stateful.precondition(lambda self: not self.fatal)
    @stateful.rule(
        term=strategies.integers(0, 9), voted_for=strategies.text('ab')
    )
    def save_vote(self, term, voted_for):
        self.votes.add((term, voted_for))
        if self.attempt(self.log.save_vote(term, voted_for)):
            self.votes = {(term, voted_for)}

    @stateful.precondition(lambda self: not self.fatal and self.records)
    @stateful.rule(data=strategies.data())
    def compact(self, data):
        offset = data.draw(strategies.integers(0, len(self.records) - 1))
        record = self.records[offset]
        base = (record.index, record.term)
        if not self._save_snapshot(base):
            return
        self.records = self.records[offset + 1 :]
        self.synced = max(0, self.synced - offset - 1)
        self.base = base
        self.attempt(self.log.compact(record.index))

    @stateful.precondition(lambda self: not self.fatal)
    @stateful.rule(ahead=strategies.integers(1, 5))
    def install_snapshot(self, ahead):
        base = (self.last_index() + ahead, self.term)
        if not self._save_snapshot(base):
            return
        self.records, self.synced, self.base = [], 0, base
        self.attempt(self.log.reset(*base))

    def _save_snapshot(self, base):
        snapshot = control_snapshot.Snapshot(*base, b'[]', b'%d' % base[0])
        if self.attempt(
            self.log.run_file_operation(control_snapshot.save, snapshot)
        ):
            return True
        self.interrupted_base = base
        return False

    @stateful.rule(countdown=strategies.integers(0, 8))
    def schedule_failure(self, countdown):
        if not self.fatal:
            self.files.fail_after = countdown

    @stateful.rule(short_writes=strategies.booleans())
    def set_short_writes(self, short_writes):
        self.files.short_writes = short_writes

    @stateful.rule(
        seed=strategies.integers(0, 2**32),
        countdown=strategies.none() | strategies.integers(0, 6),
    )
    def crash_and_reopen(self, seed, countdown):
        rng = random.Random(seed)
        self.files.crash(rng)
        if countdown is not None:
            # A second crash may happen during recovery from the first.
            self.files.fail_after = countdown
            self.attempt(open_log(self.files, self.fatal))
            self.files.crash(rng)
        self.fatal.clear()
        self.log = self.loop.run_until_complete(
            open_log(self.files, self.fatal)
        )
        self._check_recovered_log()

    def _check_recovered_log(self):
        log = self.log
        base = (log.base_index, log.base_term)
        if base != self.base:
            # Only an interrupted save of a snapshot may have moved the base.
            assert self.interrupted_base == base
            self._advance_base(base)
        self.interrupted_base = None
        recovered = log.retained_records()
        assert recovered == self.records[: len(recovered)]
        assert len(recovered) >= self.synced
        assert (log.vote.term, log.vote.voted_for) in self.votes
        assert log.synced_index == log.last_index
        self.records = recovered
        self.synced = len(recovered)
        self.votes = {(log.vote.term, log.vote.voted_for)}
        self.term += 1

    def _advance_base(self, base):
        kept = [r for r in self.records if r.index > base[0]]
        terms_at_base = [r.term for r in self.records if r.index == base[0]]
        if terms_at_base != [base[1]]:
            kept = []
        dropped = len(self.records) - len(kept)
        self.synced = max(0, self.synced - dropped)
        self.records, self.base = kept, base

    @stateful.invariant()
    def log_matches_model(self):
        if not self.fatal:
            assert self.log.retained_records() == self.records
            assert self.log.last_index == self.last_index()


TestLogMachine = LogMachine.TestCase
TestLogMachine.settings = hypothesis.settings(
    max_examples=250, stateful_step_count=30, derandomize=True, deadline=None
)


async def write_synced_log(files):
    """Write a log of 12 synced records in several segments, and a vote."""
    log = await open_log(files)
    for index in range(1, 13):
        log.append([messages.LogRecord(index, 1, 'command', b'x' * 20)])
        await log.sync()
    await log.save_vote(3, 'c1')


@hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
@hypothesis.given(data=strategies.data())
def test_damage_before_the_synced_index_is_detected(data):
    """A log that is silently truncated could lose acknowledged commands."""
    files = faulty_files.FaultyFiles()
    asyncio.run(write_synced_log(files))
    names = [n for n in files.names() if n != segments.MARKER_FILE]
    assert len(names) > 3
    file = files.open(data.draw(strategies.sampled_from(names)))
    position = data.draw(strategies.integers(0, len(file.current) - 1))
    mask = data.draw(strategies.integers(1, 255))
    damaged = bytearray(file.current)
    damaged[position] ^= mask
    file.current = bytes(damaged)
    with pytest.raises(errors.DamagedData):
        asyncio.run(open_log(files))


@pytest.mark.parametrize('count', [1, 2])
@pytest.mark.parametrize('first', [True, False])
async def test_missing_segments_are_detected(count, first):
    """A log with a lost segment file must not pass for a shorter log."""
    files = faulty_files.FaultyFiles()
    await write_synced_log(files)
    names = [n for n in files.names() if n.endswith(segments.SEGMENT_SUFFIX)]
    for name in names[:count] if first else names[-count:]:
        files.remove(name)
    with pytest.raises(errors.DamagedData):
        await open_log(files)


async def test_missing_vote_file_is_detected():
    """A replica without its vote could vote twice in one term."""
    files = faulty_files.FaultyFiles()
    await write_synced_log(files)
    files.remove(control_log.VOTE_FILE)
    with pytest.raises(errors.DamagedData, match='vote file is missing'):
        await open_log(files)


async def test_newer_formats_are_rejected(monkeypatch):
    """A file that a newer version wrote must not be misread."""
    files = faulty_files.FaultyFiles()
    snapshot = control_snapshot.Snapshot(1, 1, b'[]', b'state')
    for module, name in (
        (segments, 'FORMAT_VERSION'),
        (control_log, 'VOTE_FORMAT_VERSION'),
        (control_snapshot, 'FORMAT_VERSION'),
    ):
        with monkeypatch.context() as patch:
            files.wipe()
            patch.setattr(module, name, 2)
            await write_synced_log(files)
            if module is control_snapshot:
                control_snapshot.save(files, snapshot)
        with pytest.raises(errors.DamagedData, match='format version 2'):
            await open_log(files)


async def test_nothing_is_written_after_a_failed_sync():
    """After a failed sync, a second one may report success for lost data."""
    files = faulty_files.FaultyFiles()
    fatal = []
    log = await open_log(files, fatal)
    log.append([messages.LogRecord(1, 1, 'command', b'x')])
    files.fail_after = 0
    with pytest.raises(errors.DamagedData):
        await log.sync()
    files.fail_after = None
    assert len(fatal) == 1
    with pytest.raises(errors.DamagedData):
        await log.save_vote(2, 'c1')
    assert log.synced_index == 0
    assert log.vote.term == 0


async def test_log_on_a_real_folder_can_be_reopened(tmp_path):
    """The real file operations must behave like the simulated ones."""
    log = control_log.DurableLog(tmp_path / 'log', segment_bytes=300)
    await log.open()
    records = [
        messages.LogRecord(index, 1, 'command', b'y' * 50)
        for index in range(1, 20)
    ]
    log.append(records)
    await log.sync()
    await log.truncate_from(11)
    identity = log.vote.identity
    await log.close()
    log = control_log.DurableLog(tmp_path / 'log', segment_bytes=300)
    await log.open()
    assert log.retained_records() == records[:10]
    assert log.vote.identity == identity
    await log.close()
