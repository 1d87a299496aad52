"""Save the known backend servers on disk for the next start.

If all nodes restart together, they know no server until each has announced
itself again, which takes a period of about a second. The file is a cache: it
is not used if it is missing, damaged or of an incompatible release.
"""

import asyncio
import logging
import os
import pathlib

import cattrs
from cattrs.preconf import json as json_converter

from pimentowalk.core import identifiers
from pimentowalk.core import logs
from pimentowalk.topology import backends

LOG = logging.getLogger(__name__)

FILE_NAME = 'servers.json'
# Combines bursts of changes into one write.
SAVE_INTERVAL_S = 0.5
# A larger file is not read when a node starts.
MAX_BYTES = 8 << 20
# Fields are saved by name, so a file of another release is either read
# correctly or not used.
CONVERTER = json_converter.make_converter(forbid_extra_keys=True)


class ViewFile:
    """Save the announcements of a table and load them at the next start."""

    def __init__(self, folder, table, timers):
        self._path = pathlib.Path(folder) / FILE_NAME
        self._table = table
        self._timers = timers
        self._saved_generation = table.generation

    def load(self):
        """Fill the table; return the number of servers loaded.

        They are loaded with an age at which they soon expire if they do not
        announce themselves, since they may have left in the meantime.
        """
        try:
            servers = _decode(self._path.read_bytes()[: MAX_BYTES + 1])
        except FileNotFoundError:
            return 0
        except (
            OSError,
            ValueError,
            TypeError,
            cattrs.BaseValidationError,
        ) as error:
            LOG.warning(
                'saved backend servers not used: %s',
                error,
                extra=logs.fields(step='load view'),
            )
            return 0
        age_s = self._table.expiry_s - self._table.complete_after_s
        for backend in servers:
            self._table.apply(backend, age_s)
        self._saved_generation = self._table.generation
        LOG.info(
            'saved backend servers loaded',
            extra=logs.fields(step='load view', servers=len(servers)),
        )
        return len(servers)

    async def run(self):
        """Save changes until cancelled."""
        while True:
            await self._timers.sleep(SAVE_INTERVAL_S)
            if self._table.generation == self._saved_generation:
                continue
            generation = self._table.generation
            data = _encode(self._table.announcements())
            try:
                # A disk may block for seconds, which must not block the node.
                await asyncio.to_thread(self._write, data)
            except OSError as error:
                LOG.warning(
                    'backend servers not saved: %s',
                    error,
                    extra=logs.fields(step='save view'),
                )
                continue
            self._saved_generation = generation

    def _write(self, data):
        temporary = self._path.with_suffix('.tmp')
        with open(temporary, 'wb') as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(self._path)


def _encode(servers):
    text = CONVERTER.dumps(servers).encode()
    return b'%016x\n' % identifiers.hash64(text) + text


def _decode(data):
    if len(data) > MAX_BYTES:
        raise ValueError(f'file is larger than {MAX_BYTES} bytes')
    digest, _, text = data.partition(b'\n')
    if digest != b'%016x' % identifiers.hash64(text):
        raise ValueError('checksum does not match')
    return CONVERTER.loads(text.decode(), list[backends.Backend])
