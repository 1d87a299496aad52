"""Guard the durable log against crashes, short writes and damage."""

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
    """Return a log over faulty files."""
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
    """Compare the log with a list, across crashes at any operation.

    Of `records`, the first `synced` must survive a crash, and the others
    may; `votes` holds what the vote file may hold after one.
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
        # The base of a snapshot whose saving was cut off.
        self.cut_off_base = None

    def teardown(self):
        self.loop.close()

    def attempt(self, operation):
        """Run an operation; return whether it succeeded."""
        try:
            self.loop.run_until_complete(operation)
        except errors.DamagedData:
            assert self.fatal, 'only a failed write may end an operation'
            return False
        return True

    def last_index(self):
        return self.base[0] + len(self.records)

    @stateful.precondition(lambda self: not self.fatal)
    @stateful.rule(sizes=strategies.lists(strategies.integers(0, 200)))
    def append(self, sizes):
        fresh = [
            messages.LogRecord(
                self.last_index() + offset, self.term, 'command', b'x' * size
            )
            for offset, size in enumerate(sizes, 1)
        ]
        self.log.append(fresh)
        self.records += fresh

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
    @stateful.rule(term=strategies.integers(0, 9), name=strategies.text('ab'))
    def save_vote(self, term, name):
        self.votes.add((term, name))
        if self.attempt(self.log.save_vote(term, name)):
            self.votes = {(term, name)}

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
    def install(self, ahead):
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
        self.cut_off_base = base
        return False

    @stateful.rule(countdown=strategies.integers(0, 8))
    def arm_failure(self, countdown):
        if not self.fatal:
            self.files.fail_after = countdown

    @stateful.rule(short=strategies.booleans())
    def switch_short_writes(self, short):
        self.files.short_writes = short

    @stateful.rule(
        seed=strategies.integers(0, 2**32),
        countdown=strategies.none() | strategies.integers(0, 6),
    )
    def crash_and_reopen(self, seed, countdown):
        chooser = random.Random(seed)
        self.files.crash(chooser)
        if countdown is not None:
            # A second crash may come while the first is being repaired.
            self.files.fail_after = countdown
            self.attempt(open_log(self.files, self.fatal))
            self.files.crash(chooser)
        self.fatal.clear()
        self.log = self.loop.run_until_complete(
            open_log(self.files, self.fatal)
        )
        self._take_survivors()

    def _take_survivors(self):
        log = self.log
        base = (log.base_index, log.base_term)
        if base != self.base:
            # Only a snapshot whose saving was cut off may be the base.
            assert self.cut_off_base == base
            self._move_base(base)
        self.cut_off_base = None
        survivors = log.retained_records()
        assert survivors == self.records[: len(survivors)]
        assert len(survivors) >= self.synced
        assert (log.vote.term, log.vote.voted_for) in self.votes
        assert log.synced_index == log.last_index
        self.records = survivors
        self.synced = len(survivors)
        self.votes = {(log.vote.term, log.vote.voted_for)}
        self.term += 1

    def _move_base(self, base):
        kept = [r for r in self.records if r.index > base[0]]
        at = [r.term for r in self.records if r.index == base[0]]
        if at != [base[1]]:
            kept = []
        dropped = len(self.records) - len(kept)
        self.synced = max(0, self.synced - dropped)
        self.records, self.base = kept, base

    @stateful.invariant()
    def same_records(self):
        if not self.fatal:
            assert self.log.retained_records() == self.records
            assert self.log.last_index == self.last_index()


TestLogMachine = LogMachine.TestCase
TestLogMachine.settings = hypothesis.settings(
    max_examples=250, stateful_step_count=30, derandomize=True, deadline=None
)


async def synced_log(files):
    """Return a closed log of 12 records over three segments."""
    log = await open_log(files)
    for index in range(1, 13):
        log.append([messages.LogRecord(index, 1, 'command', b'x' * 20)])
        await log.sync()
    await log.save_vote(3, 'c1')


@hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
@hypothesis.given(data=strategies.data())
def test_damage_before_the_synced_end_is_refused(data):
    """A silently shortened log could lose acknowledged commands."""
    files = faulty_files.FaultyFiles()
    asyncio.run(synced_log(files))
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
async def test_missing_segments_are_refused(count, first):
    """A lost file must not look like a shorter log."""
    files = faulty_files.FaultyFiles()
    await synced_log(files)
    names = [n for n in files.names() if n.endswith(segments.SEGMENT_SUFFIX)]
    for name in names[:count] if first else names[-count:]:
        files.remove(name)
    with pytest.raises(errors.DamagedData):
        await open_log(files)


async def test_lost_vote_file_is_refused():
    """A replica without its vote could vote twice in one term."""
    files = faulty_files.FaultyFiles()
    await synced_log(files)
    files.remove(control_log.VOTE_FILE)
    with pytest.raises(errors.DamagedData, match='vote file is missing'):
        await open_log(files)


async def test_newer_formats_are_refused(monkeypatch):
    """A file of a newer program must not be misread."""
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
            await synced_log(files)
            if module is control_snapshot:
                control_snapshot.save(files, snapshot)
        with pytest.raises(errors.DamagedData, match='format version 2'):
            await open_log(files)


async def test_nothing_is_written_after_a_failed_sync():
    """A second sync may report success for data that was dropped."""
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


async def test_log_on_a_real_folder_survives_reopening(tmp_path):
    """The real file operations must agree with the fake ones."""
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
