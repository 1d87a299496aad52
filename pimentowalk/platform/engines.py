"""HTTP client for backend servers: requests, reports and orders."""

import asyncio
import functools
import json
import logging
import re

import aiohttp
from aiohttp import client_proto
from aiohttp import payload
import yarl

from pimentowalk.core import errors
from pimentowalk.core import http_client
from pimentowalk.core import logs
from pimentowalk.dispatch import calls
from pimentowalk.dispatch import transport
from pimentowalk.platform import names
from pimentowalk.topology import documents

LOG = logging.getLogger(__name__)

# A server on the local network accepts within milliseconds; one that is
# unreachable does not answer at all.
CONNECT_TIMEOUT_S = 0.5
# A control call without an answer within this time is treated as lost.
CONTROL_CALL_TIMEOUT_S = 0.8
# A healthy server returns its report within a few milliseconds.
REPORT_TIMEOUT_S = 0.2
# A single lost connection does not prove that a server is down. Both requests
# share the timeout, so that a silent server is detected no later.
REPORT_ATTEMPTS = 2
MAX_LINE_BYTES = 32768
READ_BUFFER_BYTES = 1 << 16
# Bytes that are read at once of a body that is read whole: 1,000 of them held
# 100 MB beside what was counted with the 256 KB of asyncio. Streams are read
# as before, so that endless comments are seen before the response starts.
READ_BYTES = 1 << 14
WHOLE_BUFFER_BYTES = 1 << 13
WRITE_BYTES = 1 << 16
# Servers send one interim response (100, 103), or one each few seconds (102).
MAX_INTERIM_RESPONSES = 32
HEAD_PIECE_BYTES = 2048
FIRST_FINAL_STATUS = 200
EVENT_STREAM = 'text/event-stream'
REPORT_PATH = '/v1/report'
ORDER_PATH = '/v1/order'
MISDIRECTED = 421
UNAVAILABLE = 503
CONFLICT = 409
ACCEPTED_STATUSES = (200, 202)
# Invalid pauses are logged once a server, for this many servers at most.
MAX_LOGGED_PAUSES = 1000
# The HTTP library accepts these in a header but does not send them.
CONTROL_CHARACTER = re.compile(r'[\x00-\x08\x0a-\x1f\x7f]')
# A report with a larger factor is faulty.
MAX_SLOWNESS = 1000.0


class StrictResponseHandler(client_proto.ResponseHandler):
    """Fail responses that are truncated or consist of bytes without end.

    aiohttp treats any end of the connection as the end of a body without a
    Content-Length, so that a body truncated by a reset would pass for
    complete. It also accepts any number of interim responses, empty lines
    and chunk extensions, which are no content.
    """

    def __init__(self, loop, max_head_bytes):
        super().__init__(loop=loop)
        self._max_head_bytes = max_head_bytes
        self._bytes_without_content = 0
        self._interim_responses = 0
        self._has_head = False
        self._has_failed = False

    def set_response_params(self, *, read_bufsize=READ_BUFFER_BYTES, **params):
        """Prepare for a response; read little at once for a small buffer."""
        if read_bufsize < READ_BUFFER_BYTES and self.transport is not None:
            self.transport.max_size = READ_BYTES
        super().set_response_params(read_bufsize=read_bufsize, **params)

    def _content_bytes(self):
        return getattr(self._payload, 'total_bytes', 0)

    def feed_data(self, data, size=0):
        """Take the head of a response, which may be an interim one."""
        message, _ = data
        self._has_head = message.code >= FIRST_FINAL_STATUS
        self._interim_responses += not self._has_head
        super().feed_data(data, size)

    def data_received(self, data):
        """Parse data, the head in pieces.

        Interim responses are counted after each piece: those of one read would
        keep the event loop busy for tens of milliseconds.
        """
        first = 0
        while first < len(data) and not self._has_failed:
            size = len(data) if self._has_head else HEAD_PIECE_BYTES
            self._receive(data[first : first + size])
            first += size
            if self._interim_responses > MAX_INTERIM_RESPONSES:
                self._fail_response(
                    f'more than {MAX_INTERIM_RESPONSES} interim responses'
                )

    def _receive(self, data):
        content_bytes = self._content_bytes()
        super().data_received(data)
        if self._content_bytes() > content_bytes:
            self._bytes_without_content = 0
            return
        self._bytes_without_content += len(data)
        if self._bytes_without_content > self._max_head_bytes:
            self._fail_response(
                f'more than {self._max_head_bytes} bytes without content'
            )

    def _fail_response(self, reason):
        self._has_failed = True
        error = aiohttp.ClientPayloadError(reason)
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(error)
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc):
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError(f'connection reset: {exc!r}')
            )
        super().connection_lost(exc)


class StrictConnector(aiohttp.TCPConnector):
    """Open a new connection for each request.

    A server may send bytes after a complete response, or drop an idle
    connection without notice; on a reused connection, either would affect
    another request.
    """

    def __init__(self, max_head_bytes):
        super().__init__(force_close=True, limit=0, use_dns_cache=False)
        self._factory = functools.partial(
            StrictResponseHandler,
            loop=asyncio.get_running_loop(),
            max_head_bytes=max_head_bytes,
        )


class BodyPayload(payload.BytesPayload):
    """A request body that is written in pieces.

    Of a body that is written at once, the transport copies what the server
    does not take at once, so that it would be held twice.
    """

    async def write_with_length(self, writer, content_length):
        """Write the body, up to a number of bytes."""
        size_bytes = len(self._value)
        if content_length is not None:
            size_bytes = min(size_bytes, content_length)
        for first in range(0, size_bytes, WRITE_BYTES):
            end = min(first + WRITE_BYTES, size_bytes)
            await writer.write(self._value[first:end])

    async def write(self, writer):
        """Write the whole body."""
        await self.write_with_length(writer, None)


def is_event_stream(headers):
    """Return whether headers announce a body of server-sent events."""
    return headers.get('Content-Type', '').startswith(EVENT_STREAM)


class BackendResponse(transport.Response):
    """A response whose body is read from its connection as it arrives."""

    def __init__(self, response, load, peer):
        self.status = response.status
        self.headers = response.headers
        self.load = load
        self.is_event_stream = is_event_stream(response.headers)
        self._response = response
        self._peer = peer

    async def read(self):
        """Return the next body chunk, empty at the end; raise Broken."""
        try:
            return await self._response.content.readany()
        except (aiohttp.ClientError, OSError) as error:
            raise calls.Broken(
                f'the answer broke off: {error!r}', peer=self._peer
            ) from None

    def close(self):
        """Close the connection."""
        self._response.close()


class BackendClient(transport.Transport):
    """Send calls, report queries and orders to backend servers."""

    def __init__(self, limits=None):
        super().__init__()
        self._limits = limits or transport.ResponseLimits()
        self._session = None
        self._logged_pauses = set()

    async def start(self):
        """Create the client session in the running event loop."""
        self._session = aiohttp.ClientSession(
            connector=StrictConnector(self._limits.head_bytes),
            middlewares=(http_client.send_once,),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=CONNECT_TIMEOUT_S
            ),
            skip_auto_headers=('User-Agent', 'Accept', 'Accept-Encoding'),
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            read_bufsize=READ_BUFFER_BYTES,
        )

    async def stop(self):
        """Close all connections."""
        await self._session.close()

    async def send(self, call, target, remaining_ms, last_event_id):
        """Send a call and return the response; raise `calls.TryFailed`."""
        backend = target.backend
        peer = backend.address
        headers = [
            *_without_event_id(call.forwarded_headers, last_event_id),
            (names.DEADLINE_MS, str(remaining_ms)),
            (names.EXPECT_INSTANCE, backend.server_id),
        ]
        if call.account is not None:
            headers.append((names.TENANT, call.account.name))
        if last_event_id:
            headers.append((names.LAST_EVENT_ID, str(last_event_id)))
        if target.hops:
            headers.append((names.HOPS, _format_hops(target.hops)))
            headers.append((names.URGENCY, str(min(call.priority, 9))))
        url = yarl.URL(f'http://{peer}{call.target}', encoded=True)
        is_stream = call.route.kind == documents.STREAMING
        try:
            response = await self._session.request(
                call.method,
                url,
                headers=headers,
                data=BodyPayload(call.body) if call.body else None,
                allow_redirects=False,
                skip_auto_headers=('Content-Type',),
                read_bufsize=(
                    READ_BUFFER_BYTES if is_stream else WHOLE_BUFFER_BYTES
                ),
            )
        except aiohttp.ConnectionTimeoutError as error:
            raise calls.NoAnswer(
                f'cannot connect: {error!r}', peer=peer, culprit=peer
            ) from None
        except aiohttp.ClientConnectorError as error:
            raise _connection_failure(error, peer) from None
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise calls.Broken(f'no answer: {error!r}', peer=peer) from None
        return self._validate_response(call, response, backend)

    def _validate_response(self, call, response, backend):
        """Return the response, or raise if it does not answer this call."""
        headers = response.headers
        peer = backend.address
        answered_id = headers.get(names.REQUEST_ID, call.request_id)
        if answered_id != call.request_id:
            # Not even a refusal: it may be an earlier one, written again.
            response.close()
            raise calls.Broken('the answer names another request', peer=peer)
        if response.status < FIRST_FINAL_STATUS:
            # No call asks for another protocol.
            response.close()
            raise calls.Broken(f'status {response.status}', peer=peer)
        self._report_notice(backend, response)
        if names.NOT_EXECUTED in headers or response.status == MISDIRECTED:
            culprit = headers.get(names.AT_SERVER, '')
            response.close()
            raise calls.Refused(
                f'refused with {response.status}', peer=peer, culprit=culprit
            )
        if names.REQUEST_ID not in headers:
            response.close()
            raise calls.Broken('the answer names no request', peer=peer)
        if any(CONTROL_CHARACTER.search(text) for text in headers.values()):
            response.close()
            raise calls.Broken(
                'the answer has a control character in a header', peer=peer
            )
        return BackendResponse(
            response, _parse_load(headers.get(names.LOAD)), peer
        )

    def _report_notice(self, backend, response):
        """Report what a server says of itself beside an answer."""
        if response.status == MISDIRECTED:
            # Another server may have the address now.
            return
        is_leaving = response.headers.get(names.SERVER_LEAVING) == '1'
        pause_s = 0.0
        if response.status == UNAVAILABLE:
            text = response.headers.get(names.RETRY_AFTER)
            pause_s = self._parse_pause(backend, text)
        if is_leaving or pause_s > 0:
            self.on_notice(
                backend, transport.ServerNotice(is_leaving, pause_s)
            )

    def _parse_pause(self, backend, text):
        """Return the pause that a server asks for in seconds, 0 if none."""
        if text is None:
            return 0.0
        max_pause_s = self._limits.max_pause_s
        try:
            pause_s = float(text)
        except ValueError:
            pause_s = -1.0
        if 0 <= pause_s <= max_pause_s:
            return pause_s
        logged = self._logged_pauses
        if backend.address not in logged and len(logged) < MAX_LOGGED_PAUSES:
            logged.add(backend.address)
            LOG.warning(
                'a server asks for an invalid pause: %.80s',
                text,
                extra=logs.fields(
                    step='forward', peer=backend.address, limit_s=max_pause_s
                ),
            )
        return max_pause_s if pause_s > max_pause_s else 0.0

    async def fetch_report(self, backend):
        """Fetch and decode the report of a server; raise `calls.TryFailed`."""
        report = await self.report(backend)
        stalled = report.get('stalled')
        return transport.ServerReport(
            {
                str(item.get('id')): str(item.get('address', ''))
                for item in (stalled if isinstance(stalled, list) else ())
                if isinstance(item, dict)
            },
            _parse_slowness(report.get('pace')),
        )

    async def reroute(self, backend, request_id, hops):
        """Order the head server to run a request over other hops."""
        status, data = await self._control_call(
            backend,
            'POST',
            ORDER_PATH,
            {
                'operation': 'repath',
                'id': request_id,
                'path': _format_hops(hops),
            },
        )
        if status not in ACCEPTED_STATUSES:
            culprit = data.get('address') if isinstance(data, dict) else ''
            raise calls.Broken(
                f'new path refused with {status}: {data}',
                peer=backend.address,
                culprit=culprit or '',
            )

    async def report(self, backend):
        """Fetch the raw report of a server; raise `calls.TryFailed`."""
        status, data = await self._control_call(
            backend,
            'GET',
            REPORT_PATH,
            timeout_s=REPORT_TIMEOUT_S,
            attempts=REPORT_ATTEMPTS,
        )
        if status != 200 or not isinstance(data, dict):
            raise calls.Broken(
                f'report answered with {status}', peer=backend.address
            )
        return data

    async def order_layers(
        self,
        backend,
        assignment,
        fence,
        *,
        preempt=False,
        validate=lambda: None,
    ):
        """Order a server to hold a range of layers; raise PimentowalkError.

        The precondition is the number of orders that the server has accepted,
        so that an order that arrives late cannot override a newer one. A
        server that executes the order of an earlier leader gets no other one.
        `validate()` is called last, since the report takes time, and raises
        PimentowalkError if the order must not be sent any more.
        """
        report = await self.report(backend)
        if report.get('busy'):
            raise errors.Conflict(
                'the server executes another order',
                step='place',
                peer=backend.address,
            )
        validate()
        body = {
            'operation': 'place',
            'from': assignment.first_layer,
            'to': assignment.end_layer,
            'method': 'preempt' if preempt else 'queue',
            'fence': fence,
            # "sequence" of a report counts accepted orders; in announcements
            # it counts announcements.
            'precondition': report.get('sequence', 0),
        }
        status, data = await self._control_call(
            backend, 'POST', ORDER_PATH, body
        )
        if status not in ACCEPTED_STATUSES:
            raise errors.Conflict(
                f'order refused with {status}: {data}',
                step='place',
                peer=backend.address,
            )

    async def _control_call(
        self,
        backend,
        method,
        path,
        body=None,
        *,
        timeout_s=CONTROL_CALL_TIMEOUT_S,
        attempts=1,
    ):
        peer = backend.address
        try:
            async with asyncio.timeout(timeout_s):
                for attempt in range(1, attempts + 1):
                    try:
                        status, text = await self._exchange(
                            backend, method, path, body
                        )
                        break
                    except http_client.LostConnection:
                        if attempt == attempts:
                            raise
        except TimeoutError:
            raise calls.NoAnswer(
                f'no answer to {path}', peer=peer, culprit=peer
            ) from None
        except aiohttp.ClientConnectorError as error:
            raise _connection_failure(error, peer) from None
        except (aiohttp.ClientError, OSError) as error:
            # A server above its limit of connections resets new ones.
            raise calls.NoAnswer(
                f'{path}: {error!r}', peer=peer, culprit=peer
            ) from None
        try:
            return status, json.loads(text) if text else None
        except (ValueError, RecursionError):
            raise calls.Broken(f'{path}: not JSON', peer=peer) from None

    async def _exchange(self, backend, method, path, body):
        """Send a control call; return the status and body of the response."""
        peer = backend.address
        async with self._session.request(
            method,
            f'http://{peer}{path}',
            headers={names.EXPECT_INSTANCE: backend.server_id},
            json=body,
        ) as response:
            self._report_notice(backend, response)
            text = await transport.read_body(
                BackendResponse(response, None, peer), self._limits, peer
            )
            return response.status, text


def _connection_failure(error, peer):
    """Return the failed try for a connection that was not established.

    Only a refused connection tells that no process listens. Other errors may
    be those of the network or of this node, such as a lack of descriptors.
    """
    is_refused = isinstance(error.os_error, ConnectionRefusedError)
    failure = calls.Unreachable if is_refused else calls.NoAnswer
    return failure(f'cannot connect: {error!r}', peer=peer, culprit=peer)


def _without_event_id(headers, last_event_id):
    """Remove the event id of the caller if a later one replaces it."""
    if not last_event_id:
        return headers
    name = names.LAST_EVENT_ID.lower()
    return [header for header in headers if header[0].lower() != name]


def _format_hops(hops):
    return ','.join(
        f'{hop.backend.address}={hop.first_layer}-{hop.end_layer}'
        for hop in hops
    )


def _parse_slowness(pace):
    """Return the factor on the times of the accelerator kind, or 1."""
    is_number = isinstance(pace, (int, float))
    return pace if is_number and 0 < pace < MAX_SLOWNESS else 1.0


def _parse_load(text):
    """Return (running, waiting, slots), or None if absent or invalid."""
    if text is None:
        return None
    try:
        running, waiting, slots = (int(part) for part in text.split(','))
    except ValueError:
        LOG.info(
            'invalid load header in a response: %.80s',
            text,
            extra=logs.fields(step='forward'),
        )
        return None
    return running, waiting, slots
