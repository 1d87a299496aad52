"""Audit records of applied changes."""

import collections
import heapq
import itertools

from pimentowalk.control import commands
from pimentowalk.control import parts

OPERATOR_RECORDS = 20_000
# Claims and crash reports are frequent; a smaller bound of their own keeps
# them from displacing the records of operators.
AUTOMATIC_RECORDS = 2_000
READ_LIMIT = 1_000


@parts.part('audit')
class Audit(parts.Part):
    """Keep the latest audit records of operators and of nodes as JSON."""

    def __init__(
        self,
        operator_records=OPERATOR_RECORDS,
        automatic_records=AUTOMATIC_RECORDS,
    ):
        self._operator = collections.deque(maxlen=operator_records)
        self._automatic = collections.deque(maxlen=automatic_records)

    def add(self, record, *, operator):
        """Keep one record."""
        text = commands.CONVERTER.dumps(record)
        records = self._operator if operator else self._automatic
        records.append((record.index, text))

    def after(self, index, limit):
        """Return at most `limit` records after a log index."""
        merged = heapq.merge(self._operator, self._automatic)
        later = (text for at, text in merged if at > index)
        return [
            commands.CONVERTER.loads(text, commands.AuditRecord)
            for text in itertools.islice(later, min(limit, READ_LIMIT))
        ]

    def lines(self):
        """Return the records, each after its table and its index."""
        return [
            f'{name}\t{index}\t{text}'
            for name, records in self._tables().items()
            for index, text in records
        ]

    def restore_lines(self, lines):
        """Replace the records."""
        tables = self._tables()
        for records in tables.values():
            records.clear()
        for line in lines:
            name, index, text = line.split('\t')
            tables[name].append((int(index), text))

    def _tables(self):
        return {'operator': self._operator, 'automatic': self._automatic}
