"""Bound what a connection of a client sends and does not read.

aiohttp bounds a single header field and one read buffer. It does not bound the
bytes of many fields, of requests that wait on their connections, or of all
connections together, nor the time of a client.
"""

import asyncio
import collections
import socket

from aiohttp import http
from aiohttp import http_exceptions
from aiohttp import web
from aiohttp import web_protocol

from pimentowalk.core import errors
from pimentowalk.core import sockets

# asyncio accepts this many connections before it can count them.
ACCEPT_BATCH = 4
# Bytes that are read at once; aiohttp holds three times as many of a body that
# nobody reads. Larger reads would not be bounded by its buffer limits.
READ_BYTES = 16_384
BODY_BUFFER_BYTES = 4096
# Buffers of a connection in the kernel, and unsent bytes of a response in
# the process. They allow 10 MB a second over a round trip of 6 ms.
KERNEL_BUFFER_BYTES = 65_536
UNSENT_BYTES = 16_384
# A header section is held as received bytes, as decoded text and in the
# buffer of the parser; each field adds six small Python objects.
HEADER_COPIES = 3
FIELD_BYTES = 400
# A reader of fewer bytes within `response_timeout_ms` has stalled.
READ_PROGRESS_BYTES = 4096
# How long the rest of a refused body is discarded, so that the client reads
# the refusal before its connection is reset.
LINGER_S = 2.0
REFUSAL = b'HTTP/1.1 %d %s\r\nContent-Length: 0\r\nConnection: close\r\n%s\r\n'
TOO_LARGE_HEADER = 431
REFUSALS = {
    408: (b'Request Timeout', b''),
    TOO_LARGE_HEADER: (b'Request Header Fields Too Large', b''),
    503: (b'Service Unavailable', b'Retry-After: 1\r\n'),
}


class ClientConnection(web_protocol.RequestHandler):
    """A connection of a client, within the limits of an `Intake`."""

    def __init__(self, manager, intake, *, reads_bodies=True, **options):
        limits = intake.limits()
        options |= {
            'max_line_size': limits.max_header_bytes,
            'max_field_size': limits.max_header_bytes,
            'max_headers': limits.max_header_fields,
            'keepalive_timeout': limits.idle_timeout_ms / 1000,
            'lingering_time': LINGER_S if reads_bodies else 0.0,
            'read_bufsize': BODY_BUFFER_BYTES,
            'auto_decompress': False,
        }
        super().__init__(manager, **options)
        self._limits = limits
        self._intake = intake
        self._reads_bodies = reads_bodies
        self._limit_requests_ahead(limits.max_requests_ahead)
        self._client = None
        self._body = None
        self._header_bytes = 0
        self._header_lines = 0
        self._header_since_s = None
        self._costs_bytes = collections.deque()
        # Why no request of the connection is served any more.
        self.refusal = None
        # Which limit made this process cut the connection.
        self.cut_reason = ''
        self._reservation = intake.held.reserve(0)
        self._unread_bytes = 0
        self._unread_since_s = None

    def _limit_requests_ahead(self, count):
        """Replace the number of pipelined requests that aiohttp reads ahead.

        It is a constant there, and 32 requests of 16 KB hold 1.3 MB.
        """
        self._max_msg_queue_size = count
        self._msg_queue_resume_size = count // 2
        self._parser = http.HttpRequestParser(
            self,
            self._loop,
            BODY_BUFFER_BYTES,
            max_line_size=self.max_line_size,
            max_field_size=self.max_field_size,
            max_headers=self.max_headers,
            payload_exception=web_protocol.RequestPayloadError,
            auto_decompress=False,
            max_msg_queue_size=count,
        )

    def _update_limits(self):
        """Take the limits in force, if a newer configuration has changed them.

        Only between requests, since the parser is replaced.
        """
        limits = self._intake.limits()
        is_idle = self._waiter is not None and not self._waiter.done()
        if limits is self._limits or self._header_bytes or not is_idle:
            return
        self._limits = limits
        self.max_line_size = self.max_field_size = limits.max_header_bytes
        self.max_headers = limits.max_header_fields
        self._limit_requests_ahead(limits.max_requests_ahead)

    def _process_keepalive(self):
        """Close an idle connection, later if the timeout has been raised."""
        timeout_s = self._intake.limits().idle_timeout_ms / 1000
        close_time_s = self._next_keepalive_close_time + max(
            0.0, timeout_s - self._keepalive_timeout
        )
        if self._loop.time() < close_time_s:
            self._keepalive_handle = self._loop.call_at(
                close_time_s, self._process_keepalive
            )
            return
        super()._process_keepalive()

    def connection_made(self, transport):
        """Accept a connection, or abort it if there are too many."""
        if not self._intake.admit(self):
            transport.abort()
            return
        self._client = transport
        transport.max_size = READ_BYTES
        transport.set_write_buffer_limits(UNSENT_BYTES)
        super().connection_made(transport)

    def connection_lost(self, exc):
        """Release what is held for the connection."""
        self._intake.forget(self)
        self._intake.held.release_request(self._reservation)
        super().connection_lost(exc)

    @property
    def has_whole_request(self):
        """Return whether a request has been received but not answered."""
        # The parser passes on a request once all before it are whole.
        count = len(self._costs_bytes)
        return count > 1 or (count == 1 and self._body.is_eof())

    @property
    def has_requests_ahead(self):
        """Return whether requests wait behind another one."""
        return len(self._costs_bytes) > 1

    @property
    def has_unsent_bytes(self):
        """Return whether a part of a response has not left the process."""
        return self._client.get_write_buffer_size() > 0

    def cut(self, reason):
        """Close the connection, without waiting for unsent bytes."""
        self.cut_reason = reason
        if self.has_unsent_bytes:
            self._client.abort()
        else:
            self._client.close()

    def _refuse(self, status):
        """Answer a header section that is not whole, and close."""
        if self.has_whole_request:
            self.refusal = errors.PimentowalkError(
                'a later request of the connection was refused',
                code='header_too_large',
                step='read',
            )
            self._pause_transport_reading()
        elif self._waiter is not None:
            reason, field = REFUSALS[status]
            self._client.write(REFUSAL % (status, reason, field))
            self._client.close()
        else:
            # The response to an earlier request is not whole.
            self.cut_reason = f'status {status} for a later request'
            self._client.abort()

    def data_received(self, data):
        """Parse bytes, and count those that are no content of a body."""
        self._update_limits()
        body = self._body
        in_body = body is not None and not body.is_eof()
        content_bytes = body.total_bytes if in_body else 0
        count = self._request_count
        super().data_received(data)
        if self._request_count > count and self._messages:
            self._take_requests(self._request_count - count)
        elif in_body and body.total_bytes > content_bytes:
            self._header_bytes = self._header_lines = 0
        else:
            # Part of a header section, of trailers or of chunk extensions.
            self._header_bytes += len(data)
            self._header_lines += data.count(b'\n')
            if data and not in_body and self._header_since_s is None:
                self._header_since_s = self._intake.now_s()
        if self._client is None or self._client.is_closing():
            return
        self._count_header()
        if in_body and body.is_eof():
            self._count_finished_body(body)

    def _take_requests(self, count):
        """Count the header sections of requests that have been parsed."""
        for message, _ in list(self._messages)[-count:]:
            self._costs_bytes.append(self._check_header(message))
        self._body = self._messages[-1][1]
        self._header_bytes = self._header_lines = 0
        self._header_since_s = None
        if not self._reads_bodies:
            self._pause_transport_reading()

    def _check_header(self, message):
        """Return the bytes that are held of a header section."""
        fields = getattr(message, 'raw_headers', ())
        size_bytes = len(getattr(message, 'path', ''))
        # Each line has a colon, a space and an end of two bytes.
        size_bytes += sum(len(name) + len(text) + 4 for name, text in fields)
        if size_bytes > self._limits.max_header_bytes:
            self._intake.refuse('header_bytes', 'max_header_bytes')
            self.refusal = errors.PimentowalkError(
                'the header section is too long',
                code='header_too_large',
                step='read',
            )
        return HEADER_COPIES * size_bytes + FIELD_BYTES * len(fields)

    def _count_finished_body(self, body):
        """Let the parser go on after the body of a request in progress.

        It counts a request when it is whole, and discounts it when its
        handler starts. It pauses for one whose handler has already started.
        """
        if all(payload is not body for _, payload in self._messages):
            self._parser.message_consumed()
            if not self._buffer_paused:
                self.data_received(b'')

    def _count_header(self):
        if self._header_bytes > self._limits.max_header_bytes:
            self._intake.refuse('header_bytes', 'max_header_bytes')
            self._refuse(TOO_LARGE_HEADER)
            return
        try:
            self._resize_reservation()
        except errors.NotRun as error:
            if self._costs_bytes:
                # Without the frames, which hold the connection.
                self.refusal = error.with_traceback(None)
            else:
                self._refuse(503)

    def _resize_reservation(self):
        size_bytes = HEADER_COPIES * self._header_bytes
        fields = min(self._limits.max_header_fields, self._header_lines)
        size_bytes += FIELD_BYTES * fields + sum(self._costs_bytes)
        self._intake.held.resize_request(self._reservation, size_bytes)

    async def _handle_request(self, request, start_time, request_handler):
        """Answer a request, also one that reaches no handler of ours."""
        try:
            return await super()._handle_request(
                request, start_time, request_handler
            )
        finally:
            self._intake.end_request(self)

    def end_request(self):
        """Release the header section of the request that has ended."""
        if self._costs_bytes:
            self._costs_bytes.popleft()
        if self._header_since_s is not None:
            self._header_since_s = self._intake.now_s()
        # Less is held than before, which always fits.
        self._resize_reservation()

    def check_progress(self):
        """Cut the connection if its client has stalled."""
        now_s = self._intake.now_s()
        if self._is_late(now_s, self._header_since_s, 'header_timeout_ms'):
            if self._waiter is not None:
                self._intake.refuse('header_timeout', 'header_timeout_ms')
                self._refuse(408)
            return
        unread_bytes = self._client.get_write_buffer_size()
        has_read = unread_bytes <= self._unread_bytes - READ_PROGRESS_BYTES
        if not unread_bytes or has_read or self._unread_since_s is None:
            self._unread_bytes = unread_bytes
            self._unread_since_s = now_s if unread_bytes else None
        elif self._is_late(now_s, self._unread_since_s, 'response_timeout_ms'):
            self._intake.refuse('unread_response', 'response_timeout_ms')
            self.cut_reason = 'response_timeout_ms'
            self._client.abort()

    def _is_late(self, now_s, since_s, setting):
        timeout_s = getattr(self._limits, setting) / 1000
        return since_s is not None and now_s - since_s > timeout_s

    def handle_error(self, request, status=500, exc=None, message=None):
        """Answer a request that cannot be parsed, without a trace."""
        if not isinstance(exc, http_exceptions.HttpProcessingError):
            return super().handle_error(request, status, exc, message)
        kind, setting = 'malformed', ''
        if isinstance(exc, http_exceptions.LineTooLong):
            kind, setting = 'header_bytes', 'max_header_bytes'
        elif 'Too many headers' in (message or ''):
            kind, setting = 'header_fields', 'max_header_fields'
        if setting:
            status = TOO_LARGE_HEADER
        self._intake.refuse(kind, setting)
        response = web.Response(status=status)
        response.force_close()
        return response


class ClientSite(web.SockSite):
    """Accept the connections of clients within the limits of an `Intake`."""

    def __init__(self, runner, listener, intake, *, reads_bodies=True):
        super().__init__(runner, listener)
        self._intake = intake
        self._reads_bodies = reads_bodies

    async def start(self):
        """Accept connections, a few at once."""
        await web.BaseSite.start(self)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            # Accepted sockets inherit it.
            self._sock.setsockopt(
                socket.SOL_SOCKET, option, KERNEL_BUFFER_BYTES
            )
        self._server = await asyncio.get_running_loop().create_server(
            self._connect, sock=self._sock, backlog=ACCEPT_BATCH
        )
        # asyncio uses one number for both the batch and the queue.
        self._sock.listen(sockets.BACKLOG)

    def _connect(self):
        return ClientConnection(
            self._runner.server,
            self._intake,
            reads_bodies=self._reads_bodies,
            loop=asyncio.get_running_loop(),
            access_log=None,
        )
