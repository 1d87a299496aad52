"""Apply committed records to the state machine, and take snapshots."""

import asyncio
import logging
import struct

from pimentowalk.control import consensus as control_consensus
from pimentowalk.control import members as control_members
from pimentowalk.control import snapshot as control_snapshot
from pimentowalk.core import errors
from pimentowalk.core import logs

LOG = logging.getLogger(__name__)

TIMESTAMP = struct.Struct('>d')
# The applier yields to the event loop after this many records, so that a
# long catch-up does not delay heartbeats.
RECORDS_PER_YIELD = 64


def encode_command(command, time_s):
    """Return the content of a command record."""
    return TIMESTAMP.pack(time_s) + command


def decode_command(content):
    """Return the command and the time of a record; raise PimentowalkError."""
    if len(content) < TIMESTAMP.size:
        raise errors.PimentowalkError(
            'the record has no timestamp', code='bad_request', step='apply'
        )
    return content[TIMESTAMP.size :], TIMESTAMP.unpack_from(content)[0]


class Applier:
    """Apply records in log order and resolve the futures of proposals.

    A snapshot is taken every `snapshot_every` records. The log keeps the
    last `kept_records` records before it, so that members that lag by less
    need no snapshot.
    """

    def __init__(self, consensus, state_machine, snapshot_every, kept_records):
        self._consensus = consensus
        self._state_machine = state_machine
        self._snapshot_every = snapshot_every
        self._kept_records = kept_records
        self._waiters = {}
        self._applied = control_consensus.Signal()
        self._snapshot_due = asyncio.Event()
        self.applied_index = 0
        self.last_time_s = 0.0
        self.snapshot = None

    def load(self, snapshot):
        """Restore the state from a stored snapshot, or do nothing for None."""
        self.snapshot = snapshot
        if snapshot is None:
            return
        self._state_machine.restore(snapshot.state)
        self.applied_index = snapshot.last_index
        self._consensus.commit_index = snapshot.last_index
        self._consensus.load_members(
            snapshot.last_index,
            control_members.MemberSet.decode(snapshot.members),
        )

    def result_future(self, record):
        """Return a future that gets the result when the record is applied."""
        future = asyncio.get_running_loop().create_future()
        self._waiters[record.index] = (record.term, future)
        return future

    async def wait_applied(self, index):
        """Wait until the record at an index has been applied."""
        while self.applied_index < index:
            await self._applied.wait()

    async def wait_applied_change(self):
        """Wait until further records have been applied."""
        await self._applied.wait()

    async def run(self):
        """Apply records as they are committed, until cancelled."""
        while True:
            committed = self._consensus.commit_advanced.wait()
            waiting = asyncio.ensure_future(committed)
            try:
                await self._apply_committed()
                await waiting
            finally:
                waiting.cancel()

    async def _apply_committed(self):
        consensus = self._consensus
        applied_count = 0
        while self.applied_index < consensus.commit_index:
            record = consensus.log.record_at(self.applied_index + 1)
            self._apply(record)
            applied_count += 1
            if applied_count % RECORDS_PER_YIELD == 0:
                self._applied.notify()
                await asyncio.sleep(0)
            if self._is_snapshot_due():
                self._snapshot_due.set()
        self._applied.notify()

    def _apply(self, record):
        result, error = None, None
        if record.kind == control_consensus.COMMAND:
            result, error = self._apply_command(record)
        self.applied_index = record.index
        self._resolve_waiter(record, result, error)
        if record.kind == control_consensus.MEMBERS:
            self._step_down_if_removed(record)

    def _apply_command(self, record):
        try:
            command, time_s = decode_command(record.content)
        except errors.PimentowalkError as error:
            LOG.error(
                'record %d is skipped: %s',
                record.index,
                error,
                extra=logs.fields(step='apply'),
            )
            return None, error
        self.last_time_s = max(self.last_time_s, time_s)
        try:
            return self._state_machine.apply(
                record.index, command, time_s
            ), None
        except errors.PimentowalkError as error:
            return None, error
        except Exception as error:
            LOG.exception('a command failed', extra=logs.fields(step='apply'))
            return None, error

    def _resolve_waiter(self, record, result, error):
        term, future = self._waiters.pop(record.index, (0, None))
        if future is None or future.done():
            return
        if term != record.term:
            # Another record is committed at this index, so the proposed
            # one never will be.
            future.set_exception(
                errors.NotLeader(
                    'another record was committed at this index',
                    step='propose',
                    peer=self._consensus.leader_id,
                )
            )
        elif error is not None:
            future.set_exception(error)
        else:
            future.set_result(result)

    def _step_down_if_removed(self, record):
        consensus = self._consensus
        is_leader = consensus.role == control_consensus.LEADER
        if is_leader and record.index == consensus.members_index:
            if not consensus.is_voter:
                consensus.become_follower()

    def _is_snapshot_due(self):
        last_snapshot_index = self.snapshot.last_index if self.snapshot else 0
        return self.applied_index - last_snapshot_index >= self._snapshot_every

    async def run_snapshots(self):
        """Take snapshots as they become due, until cancelled.

        The disk may block for seconds, which must not delay the results of
        commands.
        """
        while True:
            await self._snapshot_due.wait()
            self._snapshot_due.clear()
            if self._is_snapshot_due():
                await self.take_snapshot()

    async def take_snapshot(self):
        """Write a snapshot of the applied state and compact the log."""
        consensus = self._consensus
        index = self.applied_index
        term = consensus.log.term_at(index)
        if term is None:
            # A later snapshot is being installed and has replaced the log.
            return
        snapshot = control_snapshot.Snapshot(
            index,
            term,
            consensus.members_at(index).encode(),
            self._state_machine.snapshot(),
        )
        await consensus.log.run_file_operation(control_snapshot.save, snapshot)
        if self.snapshot is None or self.snapshot.last_index < index:
            self.snapshot = snapshot
        await consensus.log.compact(index - self._kept_records)

    async def install_snapshot(self, snapshot):
        """Replace the state and the log with a snapshot from the leader."""
        consensus = self._consensus
        index, term = snapshot.last_index, snapshot.last_term
        if index <= consensus.commit_index:
            return
        # The log is about to drop the records that are still to be applied.
        await self.wait_applied(consensus.commit_index)
        await consensus.log.run_file_operation(control_snapshot.save, snapshot)
        if consensus.log.term_at(index) == term:
            await consensus.log.sync()
            await consensus.log.compact(index)
        else:
            await consensus.log.reset(index, term)
        self.fail_waiters('a snapshot replaced the record')
        self.load(snapshot)
        self._applied.notify()

    def fail_waiters(self, text):
        """Fail all pending proposals with OutcomeUnknown."""
        waiters, self._waiters = self._waiters, {}
        for _, future in waiters.values():
            if not future.done():
                future.set_exception(
                    errors.OutcomeUnknown(text, step='propose')
                )
