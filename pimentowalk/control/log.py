"""The durable log of a control replica, and its vote."""

import asyncio
import concurrent.futures
import json
import logging
import os
import secrets

import attrs
import xxhash

from pimentowalk.control import files as control_files
from pimentowalk.control import segments
from pimentowalk.core import logs

LOG = logging.getLogger(__name__)

VOTE = 'vote'
VOTE_FORMAT = 1
SEGMENT_BYTES = 8 << 20
EXIT_STATUS = 70


def end_process(error):
    """End the process after a failed write or sync, or a like fault.

    What a failed sync left on the disk is unknown, and a second sync may
    report success without writing, so that nothing can be answered for.
    """
    LOG.critical(
        'cannot keep the log: %r',
        error,
        exc_info=error,
        extra=logs.fields(step='log'),
    )
    logging.shutdown()
    os._exit(EXIT_STATUS)


@attrs.frozen
class Vote:
    """The vote file: who this replica is, and for whom it voted.

    Identity and vote share one file, so that neither can be lost alone.
    `cluster_id` is empty until the replica takes part in a cluster.
    """

    identity: str
    cluster_id: str = ''
    term: int = 0
    voted_for: str = ''
    synced_index: int = 0

    def encode(self):
        """Return the content of the vote file."""
        fields = attrs.asdict(self) | {'format': VOTE_FORMAT}
        body = json.dumps(fields).encode()
        return xxhash.xxh3_64_hexdigest(body).encode() + b'\n' + body

    @classmethod
    def decode(cls, data):
        """Return the vote of a file; raise DamagedData."""
        checksum, _, body = data.partition(b'\n')
        if checksum != xxhash.xxh3_64_hexdigest(body).encode():
            raise segments.damaged('the vote file is damaged')
        fields = json.loads(body)
        version = fields.pop('format')
        if version != VOTE_FORMAT:
            raise segments.damaged(
                f'the vote file has format version {version}, '
                f'this program reads {VOTE_FORMAT}'
            )
        return cls(**fields)


class DurableLog:
    """Records of the replicated log, synced on demand.

    `append` only queues; `sync` writes what is queued with one sync, in a
    thread. Records after the compacted base are also held in memory.
    `on_fatal(error)` is called on a failed write or sync;
    `run_blocking(function, *arguments)` runs file operations in a thread.
    """

    def __init__(
        self,
        folder,
        *,
        files=None,
        on_fatal=end_process,
        segment_bytes=SEGMENT_BYTES,
        new_identity=lambda: secrets.token_hex(16),
        run_blocking=None,
    ):
        self.files = files or control_files.Files(folder)
        self.on_fatal = on_fatal
        self._new_identity = new_identity
        self._store = segments.SegmentStore(self.files, segment_bytes)
        self._executor = concurrent.futures.ThreadPoolExecutor(
            1, thread_name_prefix='log'
        )
        self._run_blocking = run_blocking or self._run_in_thread
        self._lock = asyncio.Lock()
        self._records = []
        self._pending = []
        self._failed = None
        self.base_index = 0
        self.base_term = 0
        self.synced_index = 0
        self.vote = None
        self.sync_count = 0

    @property
    def last_index(self):
        """Return the index of the last record, synced or not."""
        return self.base_index + len(self._records)

    @property
    def last_term(self):
        """Return the term of the last record."""
        return self._records[-1].term if self._records else self.base_term

    def term_at(self, index):
        """Return the term at an index, or None if it is not in the log."""
        if index == self.base_index:
            return self.base_term
        offset = index - self.base_index - 1
        if 0 <= offset < len(self._records):
            return self._records[offset].term
        return None

    def record_at(self, index):
        """Return the record at an index; raise IndexError if not held."""
        offset = index - self.base_index - 1
        if offset < 0:
            raise IndexError(index)
        return self._records[offset]

    def entries(self, first_index, max_bytes):
        """Return records from an index on, at least one if there is any."""
        found = []
        total = 0
        offset = first_index - self.base_index - 1
        for record in self._records[offset : offset + 4096]:
            total += len(record.content) + segments.RECORD_BYTES
            if found and total > max_bytes:
                break
            found.append(record)
        return found

    def held(self):
        """Return the records after the base."""
        return list(self._records)

    async def open(self, base_index=0, base_term=0):
        """Read the folder; raise DamagedData.

        The base is the position of the snapshot, if there is one.
        """
        await self._exclusive(self._open(base_index, base_term))

    async def _open(self, base_index, base_term):
        await self._run(self._read_vote, base_index)
        records = await self._run(self._store.load)
        if _precedes(records, base_index, base_term):
            # A crash came between installing a snapshot and the reset.
            await self._rewind_vote(base_index)
            await self._run(self._store.reset, base_index)
            records = []
        if records and records[0].index > base_index + 1:
            raise segments.damaged(
                f'records {base_index + 1} to {records[0].index - 1} '
                'are missing'
            )
        self.base_index, self.base_term = base_index, base_term
        self._records = [r for r in records if r.index > base_index]
        self.synced_index = self.last_index
        proven = max(self._store.proven_index, self.vote.synced_index)
        if self.last_index < proven:
            raise segments.damaged(
                f'the log ends at {self.last_index}, but was synced to '
                f'{proven}'
            )

    def _read_vote(self, base_index):
        self.files.make_folder()
        data = self.files.read(VOTE)
        if data is not None:
            self.vote = Vote.decode(data)
            return
        names = self.files.names()
        if base_index or any(n.endswith(segments.SUFFIX) for n in names):
            raise segments.damaged('the vote file is missing')
        self._write_vote(Vote(self._new_identity()))

    def append(self, records):
        """Queue records that follow the last one; nothing is synced."""
        for record in records:
            if record.index != self.last_index + 1:
                raise ValueError(f'record {record.index} leaves a gap')
            self._records.append(record)
            self._pending.append(record)

    async def sync(self):
        """Write and sync all queued records with one sync."""
        await self._exclusive(self._sync())

    async def _sync(self):
        pending, self._pending = self._pending, []
        if pending:
            await self._run(self._store.write, pending, self.synced_index)
            self.synced_index = pending[-1].index
            self.sync_count += 1

    async def truncate_from(self, index):
        """Remove the record at an index and all after it, durably."""
        await self._exclusive(self._truncate_from(index))

    async def _truncate_from(self, index):
        if index <= self.base_index:
            raise ValueError(f'record {index} is compacted')
        del self._records[index - self.base_index - 1 :]
        self._pending = [r for r in self._pending if r.index < index]
        if index <= self.synced_index:
            self.synced_index = index - 1
            await self._rewind_vote(index - 1)
            await self._run(self._store.truncate_from, index)

    async def save_vote(self, term, voted_for, cluster_id=None):
        """Return once term and vote are on the disk."""
        await self._exclusive(self._save_vote(term, voted_for, cluster_id))

    async def _save_vote(self, term, voted_for, cluster_id):
        vote = attrs.evolve(
            self.vote,
            term=term,
            voted_for=voted_for,
            synced_index=self.synced_index,
        )
        if cluster_id is not None:
            vote = attrs.evolve(vote, cluster_id=cluster_id)
        await self._run(self._write_vote, vote)

    async def _rewind_vote(self, synced_index):
        if self.vote.synced_index > synced_index:
            vote = attrs.evolve(self.vote, synced_index=synced_index)
            await self._run(self._write_vote, vote)

    def _write_vote(self, vote):
        control_files.replace_durably(self.files, VOTE, vote.encode())
        self.vote = vote

    async def compact(self, index):
        """Forget records up to an index that a snapshot covers."""
        await self._exclusive(self._compact(index))

    async def _compact(self, index):
        if index <= self.base_index:
            return
        term = self.term_at(index)
        del self._records[: index - self.base_index]
        self.base_index, self.base_term = index, term
        await self._run(self._store.drop_through, index)

    async def reset(self, index, term):
        """Drop all records; go on after an installed snapshot."""
        await self._exclusive(self._reset(index, term))

    async def _reset(self, index, term):
        self._records, self._pending = [], []
        self.base_index, self.base_term = index, term
        self.synced_index = index
        await self._rewind_vote(index)
        await self._run(self._store.reset, index)

    async def close(self):
        """Close the files; what is not synced is dropped."""
        await self._exclusive(self._run(self._store.close))
        self._executor.shutdown()

    async def _exclusive(self, operation):
        # Shielded, so that a cancelled caller cannot leave memory and disk
        # in different states.
        async def hold():
            async with self._lock:
                await operation

        await asyncio.shield(asyncio.ensure_future(hold()))

    def _run_in_thread(self, function, *arguments):
        loop = asyncio.get_running_loop()
        return loop.run_in_executor(self._executor, function, *arguments)

    async def run_file_operation(self, function, *arguments):
        """Run other blocking work on this folder; errors are fatal too."""
        return await self._run(function, self.files, *arguments)

    async def _run(self, function, *arguments):
        if self._failed is not None:
            raise segments.damaged(f'an earlier write failed: {self._failed}')
        try:
            return await self._run_blocking(function, *arguments)
        except OSError as error:
            self._failed = error
            self.on_fatal(error)
            raise segments.damaged(f'a write failed: {error}') from error


def _precedes(records, base_index, base_term):
    """Return whether the records belong to a log before the base."""
    if not records or records[-1].index < base_index:
        return bool(records)
    offset = base_index - records[0].index
    return offset >= 0 and records[offset].term != base_term
