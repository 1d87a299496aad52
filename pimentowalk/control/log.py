"""The durable log and vote file of a control replica."""

import asyncio
import concurrent.futures
import json
import logging
import os
import secrets
import threading

import attrs
import xxhash

from pimentowalk.control import files as control_files
from pimentowalk.control import segments
from pimentowalk.core import logs

LOG = logging.getLogger(__name__)

VOTE_FILE = 'vote'
VOTE_FORMAT_VERSION = 1
SEGMENT_BYTES = 8 << 20
EXIT_STATUS = 70


def terminate_process(error):
    """Exit the process after a failed write or sync, or a failed task.

    After a failed sync the content of the disk is unknown, and a second
    sync may report success without writing, so no record may be
    acknowledged any more.
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
    """Content of the vote file: identity, cluster, term and vote.

    Identity and vote share one file, so that neither can be lost alone.
    `cluster_id` is empty until the replica joins a cluster. `founders` has
    the content of the first record in the folder of a founder.
    """

    identity: str
    cluster_id: str = ''
    term: int = 0
    voted_for: str = ''
    synced_index: int = 0
    founders: str = ''

    def encode(self):
        """Return the content of the vote file."""
        fields = attrs.asdict(self) | {'format': VOTE_FORMAT_VERSION}
        body = json.dumps(fields).encode()
        return xxhash.xxh3_64_hexdigest(body).encode() + b'\n' + body

    @classmethod
    def decode(cls, data):
        """Return the vote that a file holds; raise DamagedData."""
        checksum, _, body = data.partition(b'\n')
        if checksum != xxhash.xxh3_64_hexdigest(body).encode():
            raise segments.damage_error('the vote file has a bad checksum')
        fields = json.loads(body)
        version = fields.pop('format')
        if version != VOTE_FORMAT_VERSION:
            raise segments.damage_error(
                f'the vote file has format version {version}, '
                f'this program reads {VOTE_FORMAT_VERSION}'
            )
        return cls(**fields)


class DurableLog:
    """Records of the replicated log, written and synced on demand.

    `append` only queues records; `sync` writes all of them with one sync,
    in a thread. Records after the base, up to which the log is compacted,
    are also kept in memory. `on_fatal(error)` is called after a failed
    write or sync; `run_blocking(function, *arguments)` runs file operations
    in a thread.
    """

    def __init__(
        self,
        folder,
        *,
        files=None,
        on_fatal=terminate_process,
        segment_bytes=SEGMENT_BYTES,
        new_identity=lambda: secrets.token_hex(16),
        run_blocking=None,
    ):
        self.files = files or control_files.Files(folder)
        self.on_fatal = on_fatal
        self._new_identity = new_identity
        self._store = segments.SegmentStore(self.files, segment_bytes)
        self._stopping = threading.Event()
        self._executor = concurrent.futures.ThreadPoolExecutor(
            1,
            thread_name_prefix='log',
            initializer=control_files.end_retries_on,
            initargs=(self._stopping,),
        )
        self._run_blocking = run_blocking or self._run_in_thread
        self._lock = asyncio.Lock()
        self._records = []
        self._pending = []
        self._failure = None
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
        """Return the term at an index, or None if the log lacks it."""
        if index == self.base_index:
            return self.base_term
        offset = index - self.base_index - 1
        if 0 <= offset < len(self._records):
            return self._records[offset].term
        return None

    def record_at(self, index):
        """Return the record at an index; raise IndexError if it is missing."""
        offset = index - self.base_index - 1
        if offset < 0:
            raise IndexError(index)
        return self._records[offset]

    def records_from(self, first_index, max_bytes):
        """Return records up to `max_bytes` in total, but at least one."""
        batch = []
        total = 0
        offset = first_index - self.base_index - 1
        for record in self._records[offset : offset + 4096]:
            total += len(record.content) + segments.RECORD_OVERHEAD_BYTES
            if batch and total > max_bytes:
                break
            batch.append(record)
        return batch

    def retained_records(self):
        """Return the records after the base."""
        return list(self._records)

    async def open(self, base_index=0, base_term=0, *, first_vote=None):
        """Read the folder; raise DamagedData.

        The base is the last record that the snapshot covers, if there is one.
        An empty folder gets `first_vote`, or else a new identity.
        """
        await self._run_exclusively(
            self._open(base_index, base_term, first_vote)
        )

    async def _open(self, base_index, base_term, first_vote):
        await self._run(self._read_vote, base_index, first_vote)
        records = await self._run(self._store.load)
        if _is_superseded(records, base_index, base_term):
            # A crash came after a snapshot was installed and before the
            # log was reset.
            await self._lower_synced_index(base_index)
            await self._run(self._store.reset, base_index)
            records = []
        if records and records[0].index > base_index + 1:
            raise segments.damage_error(
                f'records {base_index + 1} to {records[0].index - 1} '
                'are missing'
            )
        self.base_index, self.base_term = base_index, base_term
        self._records = [r for r in records if r.index > base_index]
        self.synced_index = self.last_index
        known_synced = max(
            self._store.known_synced_index, self.vote.synced_index
        )
        if self.last_index < known_synced:
            raise segments.damage_error(
                f'the log ends at index {self.last_index}, but was synced to '
                f'{known_synced}'
            )

    def _read_vote(self, base_index, first_vote):
        self.files.make_folder()
        data = self.files.read(VOTE_FILE)
        if data is not None:
            self.vote = Vote.decode(data)
            return
        names = self.files.names()
        if base_index or any(
            n.endswith(segments.SEGMENT_SUFFIX) for n in names
        ):
            raise segments.damage_error('the vote file is missing')
        self._write_vote(first_vote or Vote(self._new_identity()))

    def append(self, records):
        """Queue records that follow the last one, without writing them."""
        for record in records:
            if record.index != self.last_index + 1:
                raise ValueError(
                    f'record {record.index} does not follow record '
                    f'{self.last_index}'
                )
            self._records.append(record)
            self._pending.append(record)

    async def sync(self):
        """Write and sync all queued records with one sync."""
        await self._run_exclusively(self._sync())

    async def _sync(self):
        self._check_intact()
        pending, self._pending = self._pending, []
        if pending:
            await self._run(self._store.write, pending, self.synced_index)
            self.synced_index = pending[-1].index
            self.sync_count += 1

    async def truncate_from(self, index):
        """Remove the record at an index and all after it, durably."""
        await self._run_exclusively(self._truncate_from(index))

    async def _truncate_from(self, index):
        if index <= self.base_index:
            raise ValueError(
                f'record {index} is compacted; the base is {self.base_index}'
            )
        del self._records[index - self.base_index - 1 :]
        self._pending = [r for r in self._pending if r.index < index]
        if index <= self.synced_index:
            self.synced_index = index - 1
            await self._lower_synced_index(index - 1)
            await self._run(self._store.truncate_from, index)

    async def save_vote(self, term, voted_for, cluster_id=None):
        """Save term, vote and cluster id; return once they are on disk."""
        await self._run_exclusively(
            self._save_vote(term, voted_for, cluster_id)
        )

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

    async def _lower_synced_index(self, synced_index):
        if self.vote.synced_index > synced_index:
            vote = attrs.evolve(self.vote, synced_index=synced_index)
            await self._run(self._write_vote, vote)

    def _write_vote(self, vote):
        control_files.replace_durably(self.files, VOTE_FILE, vote.encode())
        self.vote = vote

    async def compact(self, index):
        """Remove the records up to an index that a snapshot covers."""
        await self._run_exclusively(self._compact(index))

    async def _compact(self, index):
        if index <= self.base_index:
            return
        term = self.term_at(index)
        del self._records[: index - self.base_index]
        self.base_index, self.base_term = index, term
        await self._run(self._store.remove_through, index)

    async def reset(self, index, term):
        """Drop all records; continue after an installed snapshot."""
        await self._run_exclusively(self._reset(index, term))

    async def _reset(self, index, term):
        self._records, self._pending = [], []
        self.base_index, self.base_term = index, term
        self.synced_index = index
        await self._lower_synced_index(index)
        await self._run(self._store.reset, index)

    async def close(self):
        """Close the files; queued records that are not synced are lost."""
        self._stopping.set()
        await self._run_exclusively(self._close())
        self._executor.shutdown()

    async def _close(self):
        if self._failure is None:
            await self._run(self._store.close)

    async def _run_exclusively(self, operation):
        # Shielded, so that cancelling a caller cannot leave memory and disk
        # inconsistent.
        async def run_locked():
            async with self._lock:
                await operation

        await asyncio.shield(asyncio.ensure_future(run_locked()))

    def _run_in_thread(self, function, *arguments):
        loop = asyncio.get_running_loop()
        return loop.run_in_executor(self._executor, function, *arguments)

    async def run_file_operation(self, function, *arguments):
        """Run `function(files, *arguments)`; an OSError is fatal."""
        return await self._run(function, self.files, *arguments)

    def _check_intact(self):
        """Raise DamagedData if memory and disk may differ."""
        if self._failure is not None:
            raise segments.damage_error(
                f'an earlier write failed: {self._failure}'
            )

    async def _run(self, function, *arguments):
        self._check_intact()
        try:
            return await self._run_blocking(function, *arguments)
        except control_files.WriteStopped as error:
            self._failure = error
            raise
        except OSError as error:
            self._failure = error
            self.on_fatal(error)
            raise segments.damage_error(f'a write failed: {error}') from error


def _is_superseded(records, base_index, base_term):
    """Return whether a snapshot with this base replaces all the records."""
    if not records or records[-1].index < base_index:
        return bool(records)
    offset = base_index - records[0].index
    return offset >= 0 and records[offset].term != base_term
