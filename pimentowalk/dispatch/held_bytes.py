"""Bound the bytes of all responses that a node holds at once.

Each response is bounded by itself, but the memory of a process bounds their
sum: many responses that do not end would exhaust it together, and with the
process all other requests would be lost.
"""

import logging

import attrs

from pimentowalk.core import logs
from pimentowalk.dispatch import calls

LOG = logging.getLogger(__name__)


@attrs.define(eq=False)
class Holding:
    """The bytes that are held of one response.

    `cut()` ends the response; it is called once, if the bytes of all
    responses exceed the limit and this one holds the most.
    """

    cut: object
    request_id: str = ''
    peer: str = ''
    size_bytes: int = 0
    is_cut: bool = False


class HeldBytes:
    """Count the bytes of responses, and cut the largest above a limit."""

    def __init__(self, limit_bytes, metrics=None):
        self._limit_bytes = limit_bytes
        self._metrics = metrics
        self._holdings = set()
        self.total_bytes = 0

    def resize(self, holding, size_bytes):
        """Set the size of a holding; raise Broken if it has been cut."""
        if size_bytes == holding.size_bytes and not holding.is_cut:
            return
        if not holding.is_cut:
            self._holdings.add(holding)
            self.total_bytes += size_bytes - holding.size_bytes
            holding.size_bytes = size_bytes
            while self.total_bytes > self._limit_bytes:
                self._cut(max(self._holdings, key=lambda h: h.size_bytes))
        if holding.is_cut:
            raise calls.Broken(
                f'all responses hold more than {self._limit_bytes} bytes, '
                'and this one the most',
                peer=holding.peer,
            )

    def release(self, holding):
        """Stop counting a holding."""
        if holding in self._holdings:
            self._holdings.remove(holding)
            self.total_bytes -= holding.size_bytes

    def _cut(self, holding):
        LOG.warning(
            'responses hold too many bytes; the largest is cut',
            extra=logs.fields(
                step='hold',
                peer=holding.peer,
                request_id=holding.request_id,
                size_bytes=holding.size_bytes,
                total_bytes=self.total_bytes,
                limit_bytes=self._limit_bytes,
                responses=len(self._holdings),
            ),
        )
        if self._metrics is not None:
            self._metrics.count('cut_holdings')
        self.release(holding)
        holding.is_cut = True
        holding.cut()
