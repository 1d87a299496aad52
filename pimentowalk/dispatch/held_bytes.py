"""Bound the bytes of all requests and responses that a node holds at once.

Each of them is bounded by itself, but the memory of a process bounds their
sum: many bodies that do not end would exhaust it together, and with the
process all other requests would be lost.
"""

import logging
import time

import attrs

from pimentowalk.core import errors
from pimentowalk.core import logs
from pimentowalk.core import refusals
from pimentowalk.dispatch import calls

LOG = logging.getLogger(__name__)

# Part of the limit that requests may hold, so that they leave room for
# responses to those that have been forwarded.
REQUEST_SHARE = 0.75
# Part of the bytes of requests that large ones may hold. Prompts and bookings
# have a few KB; a few uploads must not shut them out.
LARGE_SHARE = 0.75
LARGE_BYTES = 65_536
# Part of the limit up to which whole responses are not cut for others: what
# requests leave. The caller of a whole one gets no other answer, while others
# can still be tried again or answered with an error.
WHOLE_SHARE = 1 - REQUEST_SHARE
# Single bytes are no progress: a client could hold its reservation with them.
PROGRESS_BYTES = 4096


@attrs.define(eq=False)
class Holding:
    """The bytes that are held of one response.

    `cut()` ends the response; it is called once, if the bytes of all
    responses exceed the limit and this one holds the most. `is_whole` tells
    that it only waits for its caller.
    """

    cut: object
    request_id: str = ''
    peer: str = ''
    size_bytes: int = 0
    is_cut: bool = False
    is_whole: bool = False


@attrs.define(eq=False)
class Reservation:
    """The bytes that are reserved for one request.

    `cut()` ends a request whose body stalls. It is called once, before the
    body is whole, and so before the request is forwarded.
    """

    cut: object = None
    size_bytes: int = 0
    received_bytes: int = 0
    progress_bytes: int = 0
    progress_s: float = 0.0
    is_cut: bool = False


class HeldBytes:
    """Admit requests, count bytes, and cut the largest response.

    Requests hold `request_limit_bytes` of `limit_bytes` at most. A body that
    has made no progress for `stalled_s` is cut if others need its bytes.
    """

    def __init__(
        self,
        limit_bytes,
        metrics=None,
        *,
        request_limit_bytes=0,
        stalled_s=1.0,
        now_s=time.monotonic,
    ):
        self._limit_bytes = limit_bytes
        self._request_limit_bytes = request_limit_bytes or int(
            limit_bytes * REQUEST_SHARE
        )
        self._stalled_s = stalled_s
        self._metrics = metrics
        self._now_s = now_s
        self._refusals = refusals.Refusals(now_s, metrics)
        self._holdings = set()
        self._unfinished = set()
        self.request_bytes = 0
        self.total_bytes = 0

    def reserve(self, size_bytes, cut=None):
        """Admit a request before it is read; raise NotRun if it won't fit.

        With `cut`, its body is read until `finish`, and may be cut before.
        """
        reservation = Reservation(cut, progress_s=self._now_s())
        self.resize_request(reservation, size_bytes)
        if cut is not None:
            self._unfinished.add(reservation)
        return reservation

    def resize_request(self, reservation, size_bytes):
        """Change a reservation; raise NotRun if it does not fit."""
        added_bytes = size_bytes - reservation.size_bytes
        if added_bytes > 0:
            self._make_room(reservation, size_bytes)
        self.request_bytes += added_bytes
        self.total_bytes += added_bytes
        reservation.size_bytes = size_bytes

    def receive(self, reservation, count_bytes):
        """Record that bytes of a body have arrived; raise NotRun if cut."""
        if reservation.is_cut:
            raise errors.NotRun('the body stalled', step='read')
        reservation.received_bytes += count_bytes
        progress_bytes = reservation.received_bytes
        progress_bytes -= reservation.progress_bytes
        if progress_bytes >= PROGRESS_BYTES:
            reservation.progress_bytes = reservation.received_bytes
            reservation.progress_s = self._now_s()

    def finish(self, reservation):
        """Record that a body is whole; raise NotRun if it was cut."""
        if reservation.is_cut:
            raise errors.NotRun('the body stalled', step='read')
        self._unfinished.discard(reservation)
        self.resize_request(reservation, reservation.received_bytes)

    def release_request(self, reservation):
        """Stop counting a request; harmless if repeated."""
        self._unfinished.discard(reservation)
        self.resize_request(reservation, 0)

    def _make_room(self, reservation, size_bytes):
        while not self._fits(reservation, size_bytes):
            stalled = self._longest_stalled(reservation)
            if stalled is None:
                self._refusals.record(
                    'bytes', 'max_request_bytes', self._request_limit_bytes
                )
                raise errors.NotRun(
                    'the requests hold too many bytes', step='admit'
                )
            self._refusals.record(
                'stalled_body', 'stalled_body_ms', self._stalled_s * 1000
            )
            self.release_request(stalled)
            stalled.is_cut = True
            stalled.cut()

    def _fits(self, reservation, size_bytes):
        added_bytes = size_bytes - reservation.size_bytes
        is_large = size_bytes > LARGE_BYTES
        # A small one is not refused because responses do not end: the next
        # of their bytes cut the largest of them.
        if is_large and self.total_bytes + added_bytes > self._limit_bytes:
            return False
        if self.request_bytes == reservation.size_bytes:
            # A single request is served, also where limits are set low.
            return True
        share = LARGE_SHARE if is_large else 1.0
        available_bytes = share * self._request_limit_bytes
        return self.request_bytes + added_bytes <= available_bytes

    def _longest_stalled(self, reservation):
        stalled = min(
            self._unfinished - {reservation},
            key=lambda other: other.progress_s,
            default=None,
        )
        if stalled is None:
            return None
        is_stalled = self._now_s() - stalled.progress_s >= self._stalled_s
        return stalled if is_stalled else None

    def resize(self, holding, size_bytes):
        """Set the size of a holding; raise Broken if it has been cut."""
        if size_bytes == holding.size_bytes and not holding.is_cut:
            return
        if not holding.is_cut:
            self._holdings.add(holding)
            self.total_bytes += size_bytes - holding.size_bytes
            holding.size_bytes = size_bytes
            while self.total_bytes > self._limit_bytes and self._holdings:
                self._cut(self._find_largest())
        if holding.is_cut:
            raise calls.Broken(
                f'all responses hold more than {self._limit_bytes} bytes, '
                'and this one the most',
                peer=holding.peer,
            )

    def _find_largest(self):
        """Return the largest response, a whole one only if they hold much."""
        received = [h for h in self._holdings if not h.is_whole]
        whole_bytes = sum(h.size_bytes for h in self._holdings if h.is_whole)
        if received and whole_bytes <= WHOLE_SHARE * self._limit_bytes:
            return max(received, key=lambda h: h.size_bytes)
        return max(self._holdings, key=lambda h: h.size_bytes)

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
