"""The departures of backend servers that an instance has on its disk.

A departure that was acknowledged must hold after a restart of all nodes. The
file of known servers is written too seldom for that, and is too large to be
written for each departure.
"""

import asyncio
import logging
import os
import pathlib
import time

import attrs
import cattrs
from cattrs.preconf import json as json_converter

from pimentowalk.core import errors
from pimentowalk.core import identifiers
from pimentowalk.core import logs
from pimentowalk.mesh import cache_files
from pimentowalk.topology import backends

LOG = logging.getLogger(__name__)

# Files in the same folder that end in `.log` are segments of the control log.
NAME = 'departures.journal'
# Departures of this time share one sync. It adds to the time of an
# acknowledgement, for which clients wait one second.
GROUP_INTERVAL_S = 0.1
# The log is replaced by the departures that the table still holds once it has
# grown by this much.
MAX_GROWTH_BYTES = 1 << 20
CONVERTER = json_converter.make_converter()


@attrs.frozen
class SavedDeparture:
    """A server that drains or has left, and when that was saved."""

    saved_s: float
    backend: backends.Backend


@attrs.define(eq=False)
class _Group:
    """Departures that are written with one sync.

    `done` is set once `error` tells whether that failed.
    """

    departures: dict = attrs.field(factory=dict)
    done: asyncio.Event = attrs.field(factory=asyncio.Event)
    error: OSError | None = None


class DepartureLog:
    """Write departures to disk in groups, and apply them at a start."""

    def __init__(self, folder, table, timers):
        self._path = pathlib.Path(folder) / NAME
        self._table = table
        self._timers = timers
        self._durable = {}
        self._next_group = _Group()
        self._written_group = _Group()
        self._has_departures = asyncio.Event()
        # After a failed sync, it is unknown what the file holds.
        self._is_intact = False
        self._growth_bytes = 0
        self.sync_count = 0

    def load(self):
        """Apply the departures on disk to the table; return their number."""
        try:
            lines = self._path.read_bytes().splitlines()
        except FileNotFoundError:
            return 0
        except OSError as error:
            LOG.error('departures not read: %s', error, extra=_fields('load'))
            return 0
        count = 0
        for line in lines:
            try:
                saved = _decode(line)
            except (
                ValueError,
                TypeError,
                cattrs.BaseValidationError,
            ) as error:
                # The last line is torn if the write was interrupted.
                LOG.warning(
                    'saved departure not used: %r',
                    error,
                    extra=_fields('load'),
                )
                continue
            elapsed_ms = max(0, int((time.time() - saved.saved_s) * 1000))
            cache_files.restore_backend(
                self._table, attrs.evolve(saved.backend, heard_ms=elapsed_ms)
            )
            count += 1
        LOG.info('departures loaded', extra=_fields('load', items=count))
        return count

    def add(self, backend):
        """Queue an announcement that the table has applied."""
        if backend.state == backends.READY:
            # It may drain again later.
            for known in (
                self._durable,
                self._written_group.departures,
                self._next_group.departures,
            ):
                known.pop(backend.identity, None)
        elif self._group_of(backend) is None and not self._is_durable(backend):
            self._queue(backend)

    async def wait_durable(self, backend, timeout_s):
        """Return once a departure is on disk; raise NotDurable."""
        if self._is_durable(backend):
            return
        group = self._group_of(backend) or self._queue(backend)
        try:
            async with asyncio.timeout(timeout_s):
                await group.done.wait()
        except TimeoutError:
            raise errors.NotDurable(
                f'the disk did not answer within {timeout_s} s', step='leave'
            ) from None
        if group.error is not None:
            raise errors.NotDurable(
                f'the disk failed: {group.error}', step='leave'
            )

    def _is_durable(self, backend):
        return _covers(self._durable.get(backend.identity), backend)

    def _group_of(self, backend):
        """Return the group that writes a departure, or None."""
        for group in (self._written_group, self._next_group):
            known = group.departures.get(backend.identity)
            if not group.done.is_set() and _covers(known, backend):
                return group
        return None

    def _queue(self, backend):
        self._next_group.departures[backend.identity] = backend
        self._has_departures.set()
        return self._next_group

    async def run(self):
        """Write groups of departures until cancelled."""
        while True:
            await self._has_departures.wait()
            await self._timers.sleep(GROUP_INTERVAL_S)
            self._has_departures.clear()
            group, self._next_group = self._next_group, _Group()
            self._written_group = group
            try:
                await self._write(group)
            except OSError as error:
                self._is_intact = False
                group.error = error
                LOG.warning(
                    'departures not saved: %s',
                    error,
                    extra=_fields('save', items=len(group.departures)),
                )
            else:
                self._durable.update(group.departures)
            group.done.set()

    async def _write(self, group):
        if self._is_intact and self._growth_bytes < MAX_GROWTH_BYTES:
            data = _encode(group.departures.values())
            # A disk may block for seconds, which must not block the node.
            await asyncio.to_thread(self._append, data)
            self._growth_bytes += len(data)
        else:
            departures = {
                backend.identity: backend
                for backend in self._table.all_departures()
                if not backend.is_inferred
            }
            departures |= group.departures
            data = _encode(departures.values())
            await asyncio.to_thread(cache_files.replace_file, self._path, data)
            self._is_intact = True
            self._growth_bytes = 0
            self._durable = {
                identity: backend
                for identity, backend in self._durable.items()
                if identity in departures
            }
        self.sync_count += 1

    def _append(self, data):
        # A file that is missing is not created: its folder is not synced.
        with open(self._path, 'r+b') as file:
            file.seek(0, os.SEEK_END)
            file.write(data)
            file.flush()
            os.fsync(file.fileno())


def _covers(known, backend):
    """Return whether a known departure makes another one needless."""
    if known is None or known.born_ms < backend.born_ms:
        return False
    return known.state in (backend.state, backends.GONE)


def _encode(departures):
    """Return a line with a checksum for each departure."""
    saved_s = time.time()
    lines = []
    for backend in departures:
        left_s = saved_s - backend.heard_ms / 1000
        text = CONVERTER.dumps(SavedDeparture(left_s, backend)).encode()
        lines.append(b'%016x %s\n' % (identifiers.hash64(text), text))
    return b''.join(lines)


def _decode(line):
    digest, _, text = line.partition(b' ')
    if digest != b'%016x' % identifiers.hash64(text):
        raise ValueError('checksum does not match')
    return CONVERTER.loads(text.decode(), SavedDeparture)


def _fields(step, **others):
    return logs.fields(step=step, file=NAME, **others)
