"""Snapshot files of the state machine."""

import struct

import attrs
import xxhash

from pimentowalk.control import files as control_files
from pimentowalk.core import errors

SNAPSHOT_SUFFIX = '.snapshot'
MAGIC = b'PWSN'
FORMAT_VERSION = 1
# The header has magic, format version and a checksum over the body. The body
# starts with last index, last term and the length of the member list.
HEADER_LAYOUT = struct.Struct('>4sIQ')
BODY_LAYOUT = struct.Struct('>QQI')


@attrs.frozen
class Snapshot:
    """State and members after the record at `last_index` is applied."""

    last_index: int
    last_term: int
    members: bytes
    state: bytes

    def encode(self):
        """Return the content of the snapshot file."""
        body = BODY_LAYOUT.pack(
            self.last_index, self.last_term, len(self.members)
        )
        body += self.members + self.state
        checksum = xxhash.xxh3_64_intdigest(body)
        return HEADER_LAYOUT.pack(MAGIC, FORMAT_VERSION, checksum) + body

    @classmethod
    def decode(cls, data):
        """Return the snapshot that a file holds; raise DamagedData."""
        start = HEADER_LAYOUT.size + BODY_LAYOUT.size
        if len(data) < start or data[:4] != MAGIC:
            raise _damage_error('a snapshot has no valid header')
        _, version, checksum = HEADER_LAYOUT.unpack_from(data)
        if version != FORMAT_VERSION:
            raise _damage_error(
                f'a snapshot has format version {version}, '
                f'this program reads {FORMAT_VERSION}'
            )
        if xxhash.xxh3_64_intdigest(data[HEADER_LAYOUT.size :]) != checksum:
            raise _damage_error('a snapshot has a bad checksum')
        index, term, length = BODY_LAYOUT.unpack_from(data, HEADER_LAYOUT.size)
        split = start + length
        return cls(index, term, data[start:split], data[split:])


def _damage_error(text):
    return errors.DamagedData(text, step='read snapshot')


def _name(snapshot):
    return (
        f'{snapshot.last_index:020d}-{snapshot.last_term:020d}'
        f'{SNAPSHOT_SUFFIX}'
    )


def load(files):
    """Return the latest snapshot of a folder, or None."""
    files.make_folder()
    _remove_unfinished(files)
    names = [name for name in files.names() if name.endswith(SNAPSHOT_SUFFIX)]
    if not names:
        return None
    # A file gets its name only once it is complete, so an invalid file is
    # damaged, and an older snapshot must not be used in its place.
    return Snapshot.decode(files.read(names[-1]))


def _remove_unfinished(files):
    # The name has the index, so that no later snapshot replaces the file.
    suffix = SNAPSHOT_SUFFIX + control_files.TEMPORARY_SUFFIX
    for name in files.names():
        if name.endswith(suffix):
            files.remove(name)


def save(files, snapshot):
    """Write a snapshot durably, then remove the older ones."""
    name = _name(snapshot)
    control_files.replace_durably(files, name, snapshot.encode())
    for other in files.names():
        if other.endswith(SNAPSHOT_SUFFIX) and other < name:
            files.remove(other)
    # An older snapshot whose removal is lost is not used.
    control_files.retry_while_disk_full(files.sync_folder)
