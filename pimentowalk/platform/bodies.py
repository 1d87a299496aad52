"""Read the bodies of requests, each after its bytes have been reserved."""

import asyncio
import contextlib

from aiohttp import http

from pimentowalk.core import errors

# A body without a declared length is reserved in steps of this size.
STEP_BYTES = 65_536


async def expect_nothing(request):
    """Leave the interim response to the reader of the body."""


class BodyReader:
    """Read the body of one request, and hold its reservation."""

    def __init__(self, request, held, now_s):
        self._request = request
        self._held = held
        self._now_s = now_s
        self._reservation = None
        self._timeout = None

    def release(self):
        """Stop counting the body, which is not held any more."""
        if self._reservation is not None:
            self._held.release_request(self._reservation)

    def _cut(self):
        """End the reading, since the body has stalled."""
        # It may have ended for another reason already.
        with contextlib.suppress(RuntimeError):
            self._timeout.reschedule(asyncio.get_running_loop().time())

    async def read(self, limit_bytes, until_s):
        """Return the body; raise PimentowalkError.

        The error is NotRun if there is no room for the body.
        """
        request = self._request
        declared_bytes = request.content_length
        if declared_bytes is None:
            declared_bytes = STEP_BYTES if request.body_exists else 0
        elif declared_bytes > limit_bytes:
            raise self._too_large(limit_bytes)
        try:
            async with asyncio.timeout(until_s - self._now_s()) as timeout:
                self._timeout = timeout
                self._reservation = self._held.reserve(
                    declared_bytes, self._cut
                )
                await self._ask_for_body()
                return await self._read_all(limit_bytes)
        except TimeoutError:
            if self._reservation is not None and self._reservation.is_cut:
                raise errors.NotRun(
                    'the body stalled while others needed its bytes',
                    step='read',
                ) from None
            raise errors.PimentowalkError(
                'the body did not arrive within the timeout of the route',
                code='deadline',
                step='read',
            ) from None

    async def _ask_for_body(self):
        """Send the interim response that a client may wait for."""
        request = self._request
        is_expected = request.headers.get('Expect', '').lower()
        if (
            is_expected == '100-continue'
            and request.version == http.HttpVersion11
        ):
            await request.writer.write(b'HTTP/1.1 100 Continue\r\n\r\n')
            # The final response has not begun.
            request.writer.output_size = 0

    async def _read_all(self, limit_bytes):
        held = self._held
        reservation = self._reservation
        # One array: the objects of a body in single bytes would take 40 times
        # its size.
        body = bytearray()
        while chunk := await self._request.content.readany():
            body += chunk
            held.receive(reservation, len(chunk))
            if len(body) > limit_bytes:
                raise self._too_large(limit_bytes)
            if len(body) > reservation.size_bytes:
                held.resize_request(reservation, len(body) + STEP_BYTES)
        held.finish(reservation)
        return bytes(body)

    def _too_large(self, limit_bytes):
        return errors.PimentowalkError(
            f'the body is longer than {limit_bytes} bytes',
            code='too_large',
            step='read',
        )
