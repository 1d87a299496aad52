"""Log records in append-only segment files, with checksums."""

import errno
import struct

import attrs
import xxhash

from pimentowalk.control import files as control_files
from pimentowalk.core import errors
from pimentowalk.wire import messages

SEGMENT_SUFFIX = '.log'
MARKER_FILE = 'synced'
FORMAT_VERSION = 1
SEGMENT_HEADER_LAYOUT = struct.Struct('>4sIQ')
SEGMENT_MAGIC = b'PWLG'
# A record starts with magic, payload length and checksum. Index, term and
# synced index follow; the checksum covers them and the payload.
RECORD_PREFIX_LAYOUT = struct.Struct('>4sIQ')
RECORD_FIELDS_LAYOUT = struct.Struct('>QQQ')
RECORD_MAGIC = b'PREC'
RECORD_OVERHEAD_BYTES = RECORD_PREFIX_LAYOUT.size + RECORD_FIELDS_LAYOUT.size
MARKER_LAYOUT = struct.Struct('>QQ')


def damage_error(text):
    """Return a DamagedData error for data that fails a check."""
    return errors.DamagedData(text, step='open log')


def encode_record(record, synced_index):
    """Return the bytes of a record.

    `synced_index` is the index up to which the log was synced when the
    record was written. When the log is read again, it shows that all records
    up to there were durable.
    """
    kind = record.kind.encode()
    payload = bytes([len(kind)]) + kind + record.content
    fields = RECORD_FIELDS_LAYOUT.pack(record.index, record.term, synced_index)
    checksum = _checksum(len(payload), fields, payload)
    prefix = RECORD_PREFIX_LAYOUT.pack(RECORD_MAGIC, len(payload), checksum)
    return prefix + fields + payload


def _checksum(length, fields, payload):
    digest = xxhash.xxh3_64(length.to_bytes(4, 'big'))
    digest.update(fields)
    digest.update(payload)
    return digest.intdigest()


def decode_record(data, offset):
    """Return (record, synced index, end offset), or None if invalid."""
    if offset + RECORD_OVERHEAD_BYTES > len(data):
        return None
    magic, length, checksum = RECORD_PREFIX_LAYOUT.unpack_from(data, offset)
    start = offset + RECORD_OVERHEAD_BYTES
    if magic != RECORD_MAGIC or start + length > len(data) or not length:
        return None
    fields = data[offset + RECORD_PREFIX_LAYOUT.size : start]
    payload = data[start : start + length]
    if _checksum(length, fields, payload) != checksum:
        return None
    index, term, synced = RECORD_FIELDS_LAYOUT.unpack(fields)
    split = 1 + payload[0]
    record = messages.LogRecord(
        index, term, payload[1:split].decode(), payload[split:]
    )
    return record, synced, start + length


def _highest_synced_index(data, offset):
    """Return the highest synced index in valid records after an offset."""
    highest = 0
    while (offset := data.find(RECORD_MAGIC, offset + 1)) >= 0:
        decoded = decode_record(data, offset)
        if decoded is not None:
            highest = max(highest, decoded[1])
    return highest


@attrs.define
class Segment:
    """One segment file; `record_ends` has the end offset of each record."""

    first_index: int
    name: str
    file: object
    record_ends: list[int] = attrs.field(factory=list)

    @property
    def last_index(self):
        """Return the index of the last record."""
        return self.first_index + len(self.record_ends) - 1

    @property
    def size(self):
        """Return the size in bytes up to the end of the last record."""
        return (
            self.record_ends[-1]
            if self.record_ends
            else SEGMENT_HEADER_LAYOUT.size
        )


class SegmentStore:
    """The segment files of one folder; all methods block."""

    def __init__(self, files, segment_bytes):
        self._files = files
        self._segment_bytes = segment_bytes
        self._segments = []
        self._marker = None
        # The highest index that is known to have been synced at some time.
        self.known_synced_index = 0

    def load(self):
        """Return all valid records; truncate a torn tail.

        Raises DamagedData if a record that was synced is damaged.
        """
        self._marker = self._files.open(MARKER_FILE)
        self.known_synced_index = self._read_marker()
        self._remove_unfinished()
        records = []
        names = [
            name
            for name in self._files.names()
            if name.endswith(SEGMENT_SUFFIX)
        ]
        for position, name in enumerate(names):
            is_last = position == len(names) - 1
            records.extend(self._load_segment(name, is_last))
        if self._segments:
            self._sync(self._segments[-1])
        return records

    def _remove_unfinished(self):
        suffix = SEGMENT_SUFFIX + control_files.TEMPORARY_SUFFIX
        for name in self._files.names():
            if name.endswith(suffix):
                self._files.remove(name)

    def _read_marker(self):
        data = self._files.read(MARKER_FILE) or b''
        if len(data) != MARKER_LAYOUT.size:
            return 0
        index, checksum = MARKER_LAYOUT.unpack(data)
        # Most writes of the marker are not synced, so a torn marker is not
        # damage; it only says nothing about the synced index.
        return index if checksum == _marker_checksum(index) else 0

    def _load_segment(self, name, is_last):
        data = self._files.read(name)
        first_index = int(name.removesuffix(SEGMENT_SUFFIX))
        if not self._is_header_valid(data, name, first_index):
            if not is_last or first_index <= self.known_synced_index:
                raise damage_error(f'the header of {name} is damaged')
            self._remove_file(name)
            return []
        if self._segments and self._segments[-1].last_index + 1 != first_index:
            raise damage_error(f'records are missing before {name}')
        segment = Segment(first_index, name, self._files.open(name))
        records = self._read_records(segment, data)
        self._segments.append(segment)
        if segment.size < len(data):
            self._truncate_torn_tail(segment, data, is_last)
        return records

    def _is_header_valid(self, data, name, first_index):
        if len(data) < SEGMENT_HEADER_LAYOUT.size:
            return False
        magic, version, index = SEGMENT_HEADER_LAYOUT.unpack_from(data)
        if magic != SEGMENT_MAGIC or index != first_index:
            return False
        if version != FORMAT_VERSION:
            raise damage_error(
                f'{name} has format version {version}, '
                f'this program reads {FORMAT_VERSION}'
            )
        return True

    def _read_records(self, segment, data):
        records = []
        offset = SEGMENT_HEADER_LAYOUT.size
        while (decoded := decode_record(data, offset)) is not None:
            record, synced, offset = decoded
            if record.index != segment.last_index + 1:
                raise damage_error(
                    f'{segment.name} skips from record {segment.last_index} '
                    f'to {record.index}'
                )
            segment.record_ends.append(offset)
            records.append(record)
            self.known_synced_index = max(self.known_synced_index, synced)
        return records

    def _truncate_torn_tail(self, segment, data, is_last):
        known_synced = max(
            self.known_synced_index, _highest_synced_index(data, segment.size)
        )
        if not is_last or segment.last_index < known_synced:
            raise damage_error(
                f'{segment.name} is damaged at byte {segment.size}, '
                f'before the synced index {known_synced}'
            )
        control_files.truncate(segment.file, segment.size)
        self._sync(segment)

    def write(self, records, synced_index):
        """Write and sync records that follow the last one."""
        chunk = []
        for record in records:
            data = encode_record(record, synced_index)
            if self._needs_new_segment(len(data)):
                self._write_and_sync(chunk)
                chunk = []
                self._create_segment(record.index)
            segment = self._segments[-1]
            segment.record_ends.append(segment.size + len(data))
            chunk.append(data)
        self._write_and_sync(chunk)
        self._write_marker(records[-1].index)

    def _needs_new_segment(self, added_bytes):
        if not self._segments:
            return True
        segment = self._segments[-1]
        return bool(segment.record_ends) and (
            segment.size + added_bytes > self._segment_bytes
        )

    def _write_and_sync(self, chunk):
        if chunk:
            segment = self._segments[-1]
            data = b''.join(chunk)
            offset = segment.size - len(data)
            control_files.write_all(segment.file, offset, data)
            self._sync(segment, data)

    def _sync(self, segment, unsynced=b''):
        """Sync a segment that ends with `unsynced` bytes.

        If the disk is full, the segment is written to a new file, since the
        content of the old one on disk is unknown.
        """
        try:
            segment.file.sync()
        except OSError as error:
            if error.errno not in control_files.DISK_FULL_ERRORS:
                raise
            synced = self._read_synced(segment, segment.size - len(unsynced))
            segment.file = self._replace_file(
                segment.name, segment.file, synced + unsynced
            )

    def _read_synced(self, segment, size):
        """Return the first bytes of a segment; raise OSError if damaged."""
        data = (self._files.read(segment.name) or b'')[:size]
        copy = Segment(segment.first_index, segment.name, None)
        try:
            is_valid = self._is_header_valid(data, copy.name, copy.first_index)
            if is_valid:
                self._read_records(copy, data)
        except errors.DamagedData:
            is_valid = False
        if not is_valid or copy.size != size:
            raise OSError(
                errno.EIO, f'{segment.name} changed after a failed sync'
            )
        return data

    def _replace_file(self, name, file, data):
        """Replace an open file by a new one; return the new open file."""
        control_files.replace_durably(self._files, name, data)
        file.close()
        return self._files.open(name)

    def _create_segment(self, first_index):
        name = f'{first_index:020d}{SEGMENT_SUFFIX}'
        header = SEGMENT_HEADER_LAYOUT.pack(
            SEGMENT_MAGIC, FORMAT_VERSION, first_index
        )
        control_files.replace_durably(self._files, name, header)
        self._segments.append(
            Segment(first_index, name, self._files.open(name))
        )

    def _write_marker(self, index, *, sync=False):
        # Not synced after each write, because that would double the cost of
        # a commit. The records carry the synced index as well.
        data = MARKER_LAYOUT.pack(index, _marker_checksum(index))
        control_files.write_all(self._marker, 0, data)
        if sync:
            self._sync_marker(data)
        self.known_synced_index = index

    def _sync_marker(self, data):
        try:
            self._marker.sync()
        except OSError as error:
            if error.errno not in control_files.DISK_FULL_ERRORS:
                raise
            self._marker = self._replace_file(MARKER_FILE, self._marker, data)

    def truncate_from(self, index):
        """Remove the record at an index and all after it."""
        self._write_marker(min(self.known_synced_index, index - 1), sync=True)
        # Segments are removed from the last one backwards, so that a crash
        # leaves no gap.
        while self._segments and self._segments[-1].first_index >= index:
            self._remove_segment(len(self._segments) - 1)
        if self._segments:
            segment = self._segments[-1]
            del segment.record_ends[index - segment.first_index :]
            control_files.truncate(segment.file, segment.size)
            self._sync(segment)

    def remove_through(self, index):
        """Remove the segments that have only records up to an index."""
        while (
            len(self._segments) > 1 and self._segments[0].last_index <= index
        ):
            self._remove_segment(0)

    def reset(self, index):
        """Remove all records; the log continues after an index."""
        while self._segments:
            self._remove_segment(len(self._segments) - 1)
        self._write_marker(index, sync=True)

    def _remove_segment(self, position):
        segment = self._segments.pop(position)
        segment.file.close()
        self._remove_file(segment.name)

    def _remove_file(self, name):
        # A failed sync of the folder is fatal: a later removal could become
        # durable without this one, which would leave a gap in the log.
        self._files.remove(name)
        self._files.sync_folder()

    def close(self):
        """Close all files."""
        for segment in self._segments:
            segment.file.close()
        if self._marker is not None:
            self._marker.close()


def _marker_checksum(index):
    return xxhash.xxh3_64_intdigest(f'{MARKER_FILE}{index}'.encode())
