"""Log records in append-only segment files, with checksums."""

import struct

import attrs
import xxhash

from pimentowalk.control import files as control_files
from pimentowalk.core import errors
from pimentowalk.wire import messages

SUFFIX = '.log'
MARKER = 'synced'
FORMAT_VERSION = 1
SEGMENT_HEADER = struct.Struct('>4sIQ')
SEGMENT_MAGIC = b'PWLG'
# Magic, payload length, checksum; then index, term and synced end, which
# the checksum covers together with the payload.
RECORD_PREFIX = struct.Struct('>4sIQ')
RECORD_FIELDS = struct.Struct('>QQQ')
RECORD_MAGIC = b'PREC'
RECORD_BYTES = RECORD_PREFIX.size + RECORD_FIELDS.size
MARKER_FIELDS = struct.Struct('>QQ')


def damaged(text):
    """Return the error for data that fails a check."""
    return errors.DamagedData(text, step='open log')


def encode_record(record, synced_index):
    """Return the bytes of a record.

    `synced_index` is the synced end of the log when the record is written.
    It proves on reading that everything up to there was once durable.
    """
    kind = record.kind.encode()
    payload = bytes([len(kind)]) + kind + record.content
    fields = RECORD_FIELDS.pack(record.index, record.term, synced_index)
    checksum = _checksum(len(payload), fields, payload)
    prefix = RECORD_PREFIX.pack(RECORD_MAGIC, len(payload), checksum)
    return prefix + fields + payload


def _checksum(length, fields, payload):
    digest = xxhash.xxh3_64(length.to_bytes(4, 'big'))
    digest.update(fields)
    digest.update(payload)
    return digest.intdigest()


def decode_record(data, offset):
    """Return (record, synced index, end offset), or None if it is bad."""
    if offset + RECORD_BYTES > len(data):
        return None
    magic, length, checksum = RECORD_PREFIX.unpack_from(data, offset)
    start = offset + RECORD_BYTES
    if magic != RECORD_MAGIC or start + length > len(data) or not length:
        return None
    fields = data[offset + RECORD_PREFIX.size : start]
    payload = data[start : start + length]
    if _checksum(length, fields, payload) != checksum:
        return None
    index, term, synced = RECORD_FIELDS.unpack(fields)
    split = 1 + payload[0]
    record = messages.LogRecord(
        index, term, payload[1:split].decode(), payload[split:]
    )
    return record, synced, start + length


def _synced_after(data, offset):
    """Return the highest synced index in intact records past a bad one."""
    highest = 0
    while (offset := data.find(RECORD_MAGIC, offset + 1)) >= 0:
        found = decode_record(data, offset)
        if found is not None:
            highest = max(highest, found[1])
    return highest


@attrs.define
class Segment:
    """One segment file; `ends` holds the end offset of each record."""

    first_index: int
    name: str
    file: object
    ends: list[int] = attrs.field(factory=list)

    @property
    def last_index(self):
        """Return the index of the last record."""
        return self.first_index + len(self.ends) - 1

    @property
    def size(self):
        """Return the size up to the last record."""
        return self.ends[-1] if self.ends else SEGMENT_HEADER.size


class SegmentStore:
    """The segment files of one folder; all calls block."""

    def __init__(self, files, segment_bytes):
        self._files = files
        self._segment_bytes = segment_bytes
        self._segments = []
        self._marker = None
        # The highest index that is known to have been synced.
        self.proven_index = 0

    def load(self):
        """Return all intact records; cut a torn tail.

        Raises DamagedData where a record that was synced is bad.
        """
        self._marker = self._files.open(MARKER)
        self.proven_index = self._read_marker()
        records = []
        names = [n for n in self._files.names() if n.endswith(SUFFIX)]
        for position, name in enumerate(names):
            last = position == len(names) - 1
            records.extend(self._load_segment(name, last))
        if self._segments:
            self._segments[-1].file.sync()
        return records

    def _read_marker(self):
        data = self._files.read(MARKER) or b''
        if len(data) != MARKER_FIELDS.size:
            return 0
        index, checksum = MARKER_FIELDS.unpack(data)
        # The marker is not synced, so that a torn one proves nothing.
        return index if checksum == _marker_checksum(index) else 0

    def _load_segment(self, name, last):
        data = self._files.read(name)
        first_index = int(name.removesuffix(SUFFIX))
        if not self._header_intact(data, name, first_index):
            if not last or first_index <= self.proven_index:
                raise damaged(f'the header of {name} is damaged')
            self._remove(name)
            return []
        if self._segments and self._segments[-1].last_index + 1 != first_index:
            raise damaged(f'records are missing before {name}')
        segment = Segment(first_index, name, self._files.open(name))
        records = self._read_records(segment, data)
        self._segments.append(segment)
        if segment.size < len(data):
            self._cut_tail(segment, data, last)
        return records

    def _header_intact(self, data, name, first_index):
        if len(data) < SEGMENT_HEADER.size:
            return False
        magic, version, index = SEGMENT_HEADER.unpack_from(data)
        if magic != SEGMENT_MAGIC or index != first_index:
            return False
        if version != FORMAT_VERSION:
            raise damaged(
                f'{name} has format version {version}, '
                f'this program reads {FORMAT_VERSION}'
            )
        return True

    def _read_records(self, segment, data):
        records = []
        offset = SEGMENT_HEADER.size
        while (found := decode_record(data, offset)) is not None:
            record, synced, offset = found
            if record.index != segment.last_index + 1:
                raise damaged(f'{segment.name} skips to {record.index}')
            segment.ends.append(offset)
            records.append(record)
            self.proven_index = max(self.proven_index, synced)
        return records

    def _cut_tail(self, segment, data, last):
        proven = max(self.proven_index, _synced_after(data, segment.size))
        if not last or segment.last_index < proven:
            raise damaged(
                f'{segment.name} is damaged at byte {segment.size}, '
                f'before the synced end at index {proven}'
            )
        segment.file.truncate(segment.size)
        segment.file.sync()

    def write(self, records, synced_index):
        """Write and sync records that follow the last one."""
        chunk = []
        for record in records:
            data = encode_record(record, synced_index)
            if self._needs_segment(len(data)):
                self._flush(chunk)
                chunk = []
                self._add_segment(record.index)
            segment = self._segments[-1]
            segment.ends.append(segment.size + len(data))
            chunk.append(data)
        self._flush(chunk)
        self._mark(records[-1].index)

    def _needs_segment(self, added_bytes):
        if not self._segments:
            return True
        segment = self._segments[-1]
        return bool(segment.ends) and (
            segment.size + added_bytes > self._segment_bytes
        )

    def _flush(self, chunk):
        if chunk:
            segment = self._segments[-1]
            data = b''.join(chunk)
            offset = segment.size - len(data)
            control_files.write_all(segment.file, offset, data)
            segment.file.sync()

    def _add_segment(self, first_index):
        name = f'{first_index:020d}{SUFFIX}'
        file = self._files.open(name)
        header = SEGMENT_HEADER.pack(
            SEGMENT_MAGIC, FORMAT_VERSION, first_index
        )
        control_files.write_all(file, 0, header)
        file.sync()
        self._files.sync_folder()
        self._segments.append(Segment(first_index, name, file))

    def _mark(self, index, *, sync=False):
        # Not synced after each write: that would double the cost of a
        # commit. Records carry the synced end too.
        data = MARKER_FIELDS.pack(index, _marker_checksum(index))
        control_files.write_all(self._marker, 0, data)
        if sync:
            self._marker.sync()
        self.proven_index = index

    def truncate_from(self, index):
        """Remove the record at an index and all after it."""
        self._mark(min(self.proven_index, index - 1), sync=True)
        # Segments go from the last one backwards, so that a crash leaves
        # no gap.
        while self._segments and self._segments[-1].first_index >= index:
            self._drop(len(self._segments) - 1)
        if self._segments:
            segment = self._segments[-1]
            del segment.ends[index - segment.first_index :]
            segment.file.truncate(segment.size)
            segment.file.sync()

    def drop_through(self, index):
        """Remove the segments whose records are all at or below an index."""
        while (
            len(self._segments) > 1 and self._segments[0].last_index <= index
        ):
            self._drop(0)

    def reset(self, index):
        """Remove all records; the log goes on after an index."""
        while self._segments:
            self._drop(len(self._segments) - 1)
        self._mark(index, sync=True)

    def _drop(self, position):
        segment = self._segments.pop(position)
        segment.file.close()
        self._remove(segment.name)

    def _remove(self, name):
        self._files.remove(name)
        self._files.sync_folder()

    def close(self):
        """Close all files."""
        for segment in self._segments:
            segment.file.close()
        if self._marker is not None:
            self._marker.close()


def _marker_checksum(index):
    return xxhash.xxh3_64_intdigest(f'{MARKER}{index}'.encode())
