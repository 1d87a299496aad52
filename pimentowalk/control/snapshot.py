"""Snapshots of the state machine, one file each."""

import struct

import attrs
import xxhash

from pimentowalk.control import files as control_files
from pimentowalk.core import errors

SUFFIX = '.snapshot'
MAGIC = b'PWSN'
FORMAT_VERSION = 1
# Magic, format version, checksum over the rest; then last index, last
# term and the length of the member list.
PREFIX = struct.Struct('>4sIQ')
FIELDS = struct.Struct('>QQI')


@attrs.frozen
class Snapshot:
    """The state after the entry at `last_index`, and the members then."""

    last_index: int
    last_term: int
    members: bytes
    state: bytes

    def encode(self):
        """Return the content of the snapshot file."""
        body = FIELDS.pack(self.last_index, self.last_term, len(self.members))
        body += self.members + self.state
        checksum = xxhash.xxh3_64_intdigest(body)
        return PREFIX.pack(MAGIC, FORMAT_VERSION, checksum) + body

    @classmethod
    def decode(cls, data):
        """Return the snapshot of a file; raise DamagedData."""
        start = PREFIX.size + FIELDS.size
        if len(data) < start or data[:4] != MAGIC:
            raise _damaged('a snapshot has no intact header')
        _, version, checksum = PREFIX.unpack_from(data)
        if version != FORMAT_VERSION:
            raise _damaged(
                f'a snapshot has format version {version}, '
                f'this program reads {FORMAT_VERSION}'
            )
        if xxhash.xxh3_64_intdigest(data[PREFIX.size :]) != checksum:
            raise _damaged('a snapshot has a bad checksum')
        index, term, length = FIELDS.unpack_from(data, PREFIX.size)
        split = start + length
        return cls(index, term, data[start:split], data[split:])


def _damaged(text):
    return errors.DamagedData(text, step='read snapshot')


def _name(snapshot):
    return f'{snapshot.last_index:020d}-{snapshot.last_term:020d}{SUFFIX}'


def load(files):
    """Return the latest snapshot of a folder, or None."""
    files.make_folder()
    names = [n for n in files.names() if n.endswith(SUFFIX)]
    if not names:
        return None
    # A renamed file is complete, so that a bad one is damage, and an older
    # one must not take its place.
    return Snapshot.decode(files.read(names[-1]))


def save(files, snapshot):
    """Write a snapshot durably, then remove older ones."""
    name = _name(snapshot)
    control_files.replace_durably(files, name, snapshot.encode())
    for old in files.names():
        if old.endswith(SUFFIX) and old < name:
            files.remove(old)
    files.sync_folder()
