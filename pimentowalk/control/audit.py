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
class Audit:
    """Keep the latest audit records of operators and of nodes."""

    def __init__(
        self,
        operator_records=OPERATOR_RECORDS,
        automatic_records=AUTOMATIC_RECORDS,
    ):
        self._operator = collections.deque(maxlen=operator_records)
        self._automatic = collections.deque(maxlen=automatic_records)

    def add(self, record, *, operator):
        """Keep one record."""
        (self._operator if operator else self._automatic).append(record)

    def after(self, index, limit):
        """Return at most `limit` records after a log index."""
        merged = heapq.merge(
            self._operator, self._automatic, key=lambda r: r.index
        )
        later = (record for record in merged if record.index > index)
        return list(itertools.islice(later, min(limit, READ_LIMIT)))

    def snapshot(self):
        """Return the records as JSON data."""
        unstructure = commands.CONVERTER.unstructure
        return {
            'operator': unstructure(list(self._operator)),
            'automatic': unstructure(list(self._automatic)),
        }

    def restore(self, data):
        """Replace the records."""
        for name, records in (
            ('operator', self._operator),
            ('automatic', self._automatic),
        ):
            records.clear()
            records.extend(
                commands.CONVERTER.structure(
                    data[name], list[commands.AuditRecord]
                )
            )
