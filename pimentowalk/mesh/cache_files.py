"""Files in which a node keeps for its next start what it knows of servers.

If all nodes restart together, they know no server until each has announced
itself again, which takes a period of about a second, and no request that has
crashed servers until it has crashed more of them. A file is a cache: it is
not used if it is missing, damaged or of an incompatible release.
"""

import abc
import asyncio
import logging
import os
import pathlib
import time

import attrs
import cattrs
from cattrs import gen
from cattrs.preconf import json as json_converter

from pimentowalk.control import files
from pimentowalk.core import identifiers
from pimentowalk.core import logs
from pimentowalk.topology import backends
from pimentowalk.wire import node_messages

LOG = logging.getLogger(__name__)

# Combines bursts of changes into one write.
SAVE_INTERVAL_S = 0.5
# A larger file is not read when a node starts.
MAX_BYTES = 8 << 20
# Fields are saved by name, so a file of another release is either read
# correctly or not used.
CONVERTER = json_converter.make_converter(forbid_extra_keys=True)
# All that is read from a file is restored. Releases that do not know
# `ended_by` read files of servers without it.
CONVERTER.register_unstructure_hook(
    backends.Backend,
    gen.make_dict_unstructure_fn(
        backends.Backend,
        CONVERTER,
        is_restored=gen.override(omit=True),
        ended_by=gen.override(omit_if_default=True),
    ),
)


class CacheFile(abc.ABC):
    """Save some objects whenever they change, and load them at a start.

    `name` is that of the file, `content_type` the type of what it holds.
    """

    name = ''
    content_type = None

    def __init__(self, folder, timers):
        self._path = pathlib.Path(folder) / self.name
        self._timers = timers
        self._saved_generation = self._generation()

    @abc.abstractmethod
    def _generation(self):
        """Return a number that changes with the content."""

    @abc.abstractmethod
    def _content(self):
        """Return what to save."""

    @abc.abstractmethod
    def _restore(self, content):
        """Apply what was saved; return the number of items used."""

    def load(self):
        """Restore the saved content; return the number of items used."""
        try:
            content = _decode(
                self._path.read_bytes()[: MAX_BYTES + 1], self.content_type
            )
        except FileNotFoundError:
            return 0
        except (
            OSError,
            ValueError,
            TypeError,
            cattrs.BaseValidationError,
        ) as error:
            LOG.warning(
                'saved file not used: %s',
                error,
                extra=logs.fields(step='load', file=self.name),
            )
            return 0
        count = self._restore(content)
        self._saved_generation = self._generation()
        LOG.info(
            'saved file loaded',
            extra=logs.fields(step='load', file=self.name, items=count),
        )
        return count

    async def run(self):
        """Save changes until cancelled."""
        while True:
            await self._timers.sleep(SAVE_INTERVAL_S)
            generation = self._generation()
            if generation == self._saved_generation:
                continue
            data = _encode(self._content())
            try:
                # A disk may block for seconds, which must not block the node.
                await asyncio.to_thread(self._write, data)
            except OSError as error:
                LOG.warning(
                    'file not saved: %s',
                    error,
                    extra=logs.fields(step='save', file=self.name),
                )
                continue
            self._saved_generation = generation

    def _write(self, data):
        replace_file(self._path, data)


class ViewFile(CacheFile):
    """Save the announcements and departures of backend servers."""

    name = 'servers.json'
    content_type = list[backends.Backend]

    def __init__(self, folder, table, timers):
        self._table = table
        super().__init__(folder, timers)

    def _generation(self):
        return self._table.generation

    def _content(self):
        return self._table.announcements() + self._table.saved_departures()

    def _restore(self, content):
        for backend in content:
            restore_backend(self._table, backend)
        return len(content)


@attrs.frozen
class SavedCrashes:
    """The crashes that a node knew at a time of day."""

    saved_s: float
    notes: list[node_messages.CrashNote]


class CrashFile(CacheFile):
    """Save the crashes from which a tracker infers deadly requests."""

    name = 'crashes.json'
    content_type = SavedCrashes

    def __init__(self, folder, tracker, timers):
        self._tracker = tracker
        super().__init__(folder, timers)

    def _generation(self):
        return self._tracker.generation

    def _content(self):
        return SavedCrashes(time.time(), self._tracker.notes())

    def _restore(self, content):
        elapsed_ms = max(0, int((time.time() - content.saved_s) * 1000))
        for note in content.notes:
            self._tracker.record(
                attrs.evolve(note, age_ms=note.age_ms + elapsed_ms)
            )
        return len(content.notes)


def restore_backend(table, backend):
    """Apply a saved announcement with an age at which it soon expires.

    Servers that do not announce themselves may have left meanwhile.
    """
    if backend.state == backends.GONE:
        table.apply(backend, backend.heard_ms / 1000)
    else:
        table.restore(backend, table.restored_age_s)


def replace_file(path, data):
    """Replace a file durably; raise OSError, also if the disk is full."""
    temporary = path.with_suffix('.tmp')
    with open(temporary, 'wb') as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)
    # Without it, a loss of power may undo the rename.
    files.sync_path(path.parent)


def _encode(content):
    text = CONVERTER.dumps(content).encode()
    return b'%016x\n' % identifiers.hash64(text) + text


def _decode(data, content_type):
    if len(data) > MAX_BYTES:
        raise ValueError(f'file is larger than {MAX_BYTES} bytes')
    digest, _, text = data.partition(b'\n')
    if digest != b'%016x' % identifiers.hash64(text):
        raise ValueError('checksum does not match')
    return CONVERTER.loads(text.decode(), content_type)
