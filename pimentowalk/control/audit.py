"""Audit trail of applied changes."""

import collections
import heapq
import itertools

from pimentowalk.control import commands
from pimentowalk.control import parts

MAX_OPERATOR_RECORDS = 20_000
# Claims and crash reports are frequent. A separate, smaller limit prevents
# them from evicting the records of operators.
MAX_AUTOMATIC_RECORDS = 2_000
MAX_RECORDS_PER_READ = 1_000


@parts.part('audit')
class Audit(parts.Part):
    """Hold the latest audit records of operators and of nodes as JSON."""

    def __init__(
        self,
        operator_records=MAX_OPERATOR_RECORDS,
        automatic_records=MAX_AUTOMATIC_RECORDS,
    ):
        self._operator = collections.deque(maxlen=operator_records)
        self._automatic = collections.deque(maxlen=automatic_records)

    def add(self, record, *, operator):
        """Append a record; evict the oldest one when the table is full."""
        text = commands.CONVERTER.dumps(record)
        records = self._operator if operator else self._automatic
        records.append((record.index, text))

    def records_after(self, index, limit):
        """Return at most `limit` records after a log index."""
        merged = heapq.merge(self._operator, self._automatic)
        later = (text for record_index, text in merged if record_index > index)
        return [
            commands.CONVERTER.loads(text, commands.AuditRecord)
            for text in itertools.islice(
                later, min(limit, MAX_RECORDS_PER_READ)
            )
        ]

    def lines(self):
        """Return one line per record: table, index and JSON, tab-separated."""
        return [
            f'{name}\t{index}\t{text}'
            for name, records in self._tables().items()
            for index, text in records
        ]

    def restore_lines(self, lines):
        """Replace the records with those of a snapshot."""
        tables = self._tables()
        for records in tables.values():
            records.clear()
        for line in lines:
            name, index, text = line.split('\t')
            tables[name].append((int(index), text))

    def _tables(self):
        return {'operator': self._operator, 'automatic': self._automatic}
