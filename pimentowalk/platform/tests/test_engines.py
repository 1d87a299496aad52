"""Test which responses of a backend server are accepted."""

import asyncio
import contextlib
import errno
import logging
import socket
import struct
import time

from aiohttp import web
import pytest
import pytest_asyncio

from pimentowalk.core import errors
from pimentowalk.dispatch import calls
from pimentowalk.dispatch import transport
from pimentowalk.placement import planner
from pimentowalk.platform import documents
from pimentowalk.platform import engines
from pimentowalk.platform.tests import samples
from pimentowalk.platform.tests import standin
from pimentowalk.topology import backends

# SO_LINGER with a timeout of 0: close() sends a reset.
LINGER_ZERO = struct.pack('ii', 1, 0)


class RawServer:
    """Send fixed bytes on each connection, then close or reset it."""

    def __init__(self, content, *, resets=False):
        self._content = content
        self._resets = resets
        self._server = None
        self._tasks = set()
        self.port = 0

    async def start(self):
        """Listen on a free port, chosen by the operating system."""
        self._server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _accept(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        await self._serve(reader, writer)

    async def _serve(self, reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(self._content)
        await writer.drain()
        # Gives the client time to read: a reset discards unread bytes.
        await asyncio.sleep(0.05)
        if self._resets:
            writer.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO
            )
        writer.close()

    async def stop(self):
        """Stop listening and wait until the connections are closed."""
        self._server.close()
        await asyncio.gather(*self._tasks)


def _call():
    document = documents.decode(samples.configuration())
    return calls.Call(
        request_id='r1',
        method='GET',
        target='/look/2f',
        forwarded_headers=[('Pimentowalk-Request-Id', 'r1')],
        body=b'',
        document=document,
        route=document.route('a.example', '/look/2f'),
        account=None,
        received_s=0.0,
        deadline_s=5.0,
        timeout_at_s=5.0,
    )


@pytest_asyncio.fixture
async def client():
    backend_client = engines.BackendClient()
    await backend_client.start()
    yield backend_client
    await backend_client.stop()


async def _exchange(client, content, **changes):
    server = RawServer(content, **changes)
    await server.start()
    try:
        backend = backends.Backend('s', 1, 1, 'svc', '127.0.0.1', server.port)
        answer = await client.send(_call(), calls.Target(backend), 1000, 0)
        chunks = []
        try:
            while chunk := await answer.read():
                chunks.append(chunk)
        finally:
            answer.close()
        return answer.status, b''.join(chunks)
    finally:
        await server.stop()


RESPONSE_HEAD = b'HTTP/1.1 200 OK\r\nPimentowalk-Request-Id: r1\r\n'


async def test_body_without_length_ends_when_the_connection_closes(client):
    """Closing the connection is a valid end of such a body."""
    assert await _exchange(client, RESPONSE_HEAD + b'\r\nwhole') == (
        200,
        b'whole',
    )


async def test_reset_body_without_length_is_rejected(client):
    """A body truncated by a reset must not be forwarded as complete."""
    with pytest.raises(calls.Broken):
        await _exchange(client, RESPONSE_HEAD + b'\r\nhal', resets=True)


async def test_truncated_body_is_rejected(client):
    """A body shorter than its Content-Length is truncated."""
    with pytest.raises(calls.Broken):
        await _exchange(
            client, RESPONSE_HEAD + b'Content-Length: 9\r\n\r\nhal'
        )


@pytest.mark.parametrize('character', [b'\x00', b'\x01', b'\x1f', b'\x7f'])
async def test_header_that_cannot_be_forwarded_is_rejected(client, character):
    """The caller got 500 though the call could have been tried elsewhere."""
    with pytest.raises(calls.Broken):
        await _exchange(
            client,
            RESPONSE_HEAD + b'X-A: a' + character + b'b\r\n\r\nwhole',
        )


async def test_bytes_after_the_response_are_discarded(client):
    """A second response must not be used as the answer to another request."""
    content = (
        RESPONSE_HEAD
        + b'Content-Length: 3\r\n\r\none'
        + RESPONSE_HEAD
        + b'\r\ntwo'
    )
    assert await _exchange(client, content) == (200, b'one')


@pytest.mark.parametrize(
    'content',
    [
        b'HTTP/1.1 200 OK\r\nPimentowalk-Request-Id: r2\r\n\r\nother',
        b'HTTP/1.1 200 OK\r\n\r\nunnamed',
        b'this is no answer\r\n\r\n',
        b'',
    ],
)
async def test_answer_of_another_request_is_refused(client, content):
    """A caller must never receive the answer to another request."""
    with pytest.raises(calls.Broken):
        await _exchange(client, content)


class EndlessServer(RawServer):
    """Send first bytes, then others without end until the peer closes."""

    def __init__(self, first, repeated):
        super().__init__(first)
        self._repeated = repeated
        self.sent_bytes = 0
        self.closed = asyncio.Event()

    async def _serve(self, reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(self._content)
        try:
            while True:
                writer.write(self._repeated)
                await writer.drain()
                self.sent_bytes += len(self._repeated)
                await asyncio.sleep(0)
        except ConnectionError:
            self.closed.set()
        finally:
            writer.transport.abort()


async def _endless_exchange(client, first, repeated):
    server = EndlessServer(first, repeated)
    await server.start()
    try:
        backend = backends.Backend('s', 1, 1, 'svc', '127.0.0.1', server.port)
        answer = await client.send(_call(), calls.Target(backend), 1000, 0)
        try:
            await transport.read_body(
                answer, transport.ResponseLimits(), backend.address
            )
        finally:
            answer.close()
    finally:
        async with asyncio.timeout(5):
            await server.closed.wait()
        await server.stop()
    return server


@pytest.mark.parametrize(
    ('first', 'repeated'),
    [
        (b'', b'x' * 1000),
        (b'', b'\r\n' * 500),
        (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 40),
        (b'HTTP/1.1 200 OK\r\n', b'X-A: b\r\n' * 100),
        (RESPONSE_HEAD, b'X-A: b\r\n' * 100),
        (RESPONSE_HEAD + b'\r\n', b'x' * 10_000),
        (
            RESPONSE_HEAD + b'Transfer-Encoding: chunked\r\n\r\n3;',
            b'e' * 1000,
        ),
        (
            RESPONSE_HEAD
            + b'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n',
            b'T: x\r\n' * 100,
        ),
    ],
    ids=[
        'no-status-line',
        'empty-lines',
        'interim-responses',
        'anonymous-head',
        'head',
        'body',
        'chunk-extension',
        'trailers',
    ],
)
async def test_response_without_end_is_cut(client, first, repeated):
    """A server that never stops sending occupies a node for good."""
    async with asyncio.timeout(10):
        with pytest.raises(calls.Broken):
            await _endless_exchange(client, first, repeated)


async def test_few_interim_responses_are_parsed():
    """A read held ten thousand of them, and delayed all other requests."""
    handler = engines.StrictResponseHandler(
        asyncio.get_running_loop(), transport.ResponseLimits().head_bytes
    )
    handler.set_response_params()
    handler.data_received(b'HTTP/1.1 100 Continue\r\n\r\n' * 10_000)
    assert handler.exception() is not None
    assert len(handler._buffer) < 200


async def test_report_without_end_is_cut(client):
    """A check of a faulty server must not fill the memory of the node."""
    server = EndlessServer(b'HTTP/1.1 200 OK\r\n\r\n', b'x' * 100_000)
    await server.start()
    backend = backends.Backend('s', 1, 1, 'svc', '127.0.0.1', server.port)
    with pytest.raises(calls.TryFailed):
        await client.report(backend)
    async with asyncio.timeout(5):
        await server.closed.wait()
    await server.stop()


async def test_refusal_of_another_request_proves_nothing(client):
    """An earlier refusal, written again, would hide that a call has run."""
    content = (
        b'HTTP/1.1 503 Full\r\nPimentowalk-Not-Executed: 1\r\n'
        b'Pimentowalk-Request-Id: r0\r\nContent-Length: 0\r\n\r\n'
    )
    with pytest.raises(calls.Broken):
        await _exchange(client, content)


@pytest.mark.parametrize(
    'head',
    [
        b'HTTP/1.1 503 Full\r\nPimentowalk-Not-Executed: 1\r\n',
        b'HTTP/1.1 421 Other\r\nAt-Server: 10.0.0.9:80\r\n',
    ],
)
async def test_proof_of_no_execution_is_recognised(client, head):
    """Only these two responses prove that the request did not run."""
    with pytest.raises(calls.Refused):
        await _exchange(client, head + b'Content-Length: 0\r\n\r\n')


async def test_plain_503_proves_nothing(client):
    """A 503 without the header does not rule out that the request ran."""
    content = b'HTTP/1.1 503 X\r\nPimentowalk-Request-Id: r1\r\n'
    status, _ = await _exchange(client, content + b'Content-Length: 0\r\n\r\n')
    assert status == 503


async def test_refused_connection_proves_that_the_server_is_down(client):
    """A refused connection means that no process listens on the port."""
    backend = backends.Backend('s', 1, 1, 'svc', '127.0.0.1', 1)
    with pytest.raises(calls.Unreachable) as caught:
        await client.send(_call(), calls.Target(backend), 1000, 0)
    assert calls.proves_server_down(caught.value)


def test_invalid_load_header_is_logged(caplog):
    """An invalid load header must be logged, a missing one must not."""
    caplog.set_level(logging.INFO)
    assert engines._parse_load(None) is None
    assert not caplog.records
    assert engines._parse_load('3,x,96') is None
    assert '3,x,96' in caplog.text
    assert engines._parse_load('3,1,96') == (3, 1, 96)


class OrderedServer(standin.StandInServer):
    """A server whose report can say that it executes an order."""

    is_busy = False

    async def _report(self, request):
        return web.json_response({'sequence': 3, 'busy': self.is_busy})


@pytest_asyncio.fixture
async def ordered_server():
    server = OrderedServer('m-1', '127.0.0.1', 'model')
    server.accepted_orders = 3
    await server.start()
    yield server
    await server.stop()


ASSIGNMENT = planner.Assignment('m-1', 0, 8)


def _backend(server):
    return backends.Backend('m-1', 1, 1, 'svc', '127.0.0.1', server.port)


async def test_order_is_sent_only_with_a_valid_lease(client, ordered_server):
    """The lease of a leader may end while it waits for the report."""
    backend = _backend(ordered_server)

    def validate():
        raise errors.NotLeader('the leadership ended')

    with pytest.raises(errors.NotLeader):
        await client.order_layers(backend, ASSIGNMENT, 5, validate=validate)
    assert ordered_server.layers is None
    await client.order_layers(backend, ASSIGNMENT, 5)
    assert ordered_server.layers == (0, 8)


async def test_busy_server_gets_no_second_order(client, ordered_server):
    """After a hand-over the next leader would repeat a running order."""
    ordered_server.is_busy = True
    with pytest.raises(errors.Conflict):
        await client.order_layers(_backend(ordered_server), ASSIGNMENT, 5)
    assert ordered_server.layers is None


@pytest.mark.parametrize(
    'text',
    [
        b'[' * 30_000,
        b'{"stalled": 5}',
        b'{"stalled": [5, {"id": [], "address": {}}]}',
        b'{"pace": 1e999}',
        b'{"pace": NaN}',
        b'{"pace": -1}',
        b'{"pace": []}',
    ],
)
async def test_odd_report_is_a_failed_try_or_ignored(client, text):
    """A stream that asked its head and got this never asked again."""
    head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(text)
    server = RawServer(head + text)
    await server.start()
    backend = backends.Backend('s', 1, 1, 'svc', '127.0.0.1', server.port)
    try:
        report = await client.fetch_report(backend)
    except calls.TryFailed:
        return
    finally:
        await server.stop()
    assert 0 < report.slowness < 1e6
    assert all(isinstance(x, str) for x in report.stalled.values())


@pytest.mark.parametrize(
    'head',
    [
        b'HTTP/1.1 200',
        b'HTTP/1.1 200 OK\r\n',
        RESPONSE_HEAD,
        RESPONSE_HEAD + b'Content-Type: text/event-stream\r\n',
        RESPONSE_HEAD + b'Content-Length: 5',
        RESPONSE_HEAD + b'Content-Length: 5\r\n',
        RESPONSE_HEAD + b'Transfer-Encoding: chunked\r\n',
    ],
)
@pytest.mark.parametrize('resets', [False, True])
async def test_head_that_breaks_off_is_no_answer(client, head, resets):
    """Callers got a 200 with an empty body, framed as whole."""
    with pytest.raises(calls.Broken):
        await _exchange(client, head, resets=resets)


NOTICES = [
    (b'200 OK', b'Server-Leaving: 1', (True, 0.0)),
    (b'200 OK', b'Server-Leaving: 0', None),
    (b'200 OK', b'Retry-After: 2', None),
    (b'503 Busy', b'Retry-After: 0.5', (False, 0.5)),
    (b'503 Busy', b'Retry-After: 2\r\nServer-Leaving: 1', (True, 2.0)),
    (b'503 Busy', b'Retry-After: 99999999', (False, 60.0)),
    (b'503 Busy', b'Retry-After: inf', (False, 60.0)),
    (b'503 Busy', b'Retry-After: nan', None),
    (b'503 Busy', b'Retry-After: -3', None),
    (b'503 Busy', b'Retry-After: Sat, 05 Dec 2026 03:00:00 GMT', None),
    (b'503 Busy', b'Retry-After:', None),
    # Another server has the address by now.
    (b'421 Misdirected', b'Server-Leaving: 1', None),
]


@pytest.mark.parametrize(('status', 'header', 'expected'), NOTICES)
async def test_notices_of_a_server_are_decoded(
    client, status, header, expected, caplog
):
    """A bad value must neither stop the use of a server nor fill the log."""
    notices = []
    client.on_notice = lambda backend, notice: notices.append(
        (notice.is_leaving, notice.pause_s)
    )
    content = (
        b'HTTP/1.1 %s\r\nPimentowalk-Request-Id: r1\r\n'
        b'Content-Length: 0\r\n%s\r\n\r\n' % (status, header)
    )
    server = RawServer(content)
    await server.start()
    backend = backends.Backend('s', 1, 1, 'svc', '127.0.0.1', server.port)
    for _ in range(2):
        try:
            answer = await client.send(_call(), calls.Target(backend), 900, 0)
            answer.close()
        except calls.Refused:
            pass
    await server.stop()
    assert notices == ([expected] * 2 if expected else [])
    assert caplog.text.count('invalid pause') <= 1


async def test_notice_in_the_answer_of_another_request_is_ignored(client):
    """A late copy of an answer may be that of an earlier incarnation."""
    notices = []
    client.on_notice = lambda *notice: notices.append(notice)
    content = (
        b'HTTP/1.1 503 Busy\r\nPimentowalk-Request-Id: other\r\n'
        b'Content-Length: 0\r\nServer-Leaving: 1\r\nRetry-After: 9\r\n\r\n'
    )
    with pytest.raises(calls.Broken):
        await _exchange(client, content)
    assert notices == []


class ResettingServer(RawServer):
    """Reset the first connections; answer, or stay silent, on the others."""

    def __init__(self, resets, *, answers=True):
        super().__init__(b'', resets=True)
        self._resets_left = resets
        self._answers = answers
        self.requests = 0

    async def _serve(self, reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        self.requests += 1
        if self._resets_left:
            self._resets_left -= 1
            writer.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO
            )
        elif self._answers:
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}')
        else:
            await reader.read()
        writer.close()


@contextlib.asynccontextmanager
async def _resetting_server(resets, **options):
    server = ResettingServer(resets, **options)
    await server.start()
    try:
        yield (
            server,
            backends.Backend('s', 1, 1, 'svc', '127.0.0.1', server.port),
        )
    finally:
        await server.stop()


async def test_report_is_repeated_after_one_reset(client):
    """A single reset connection counted as proof that the server is down."""
    async with _resetting_server(1) as (server, backend):
        assert await client.report(backend) == {}
        assert server.requests == 2


async def test_second_reset_of_a_report_is_no_answer(client):
    """LOST: streams left a server that only had too many connections.

    It must not be asked for ever either.
    """
    async with _resetting_server(10) as (server, backend):
        with pytest.raises(calls.NoAnswer) as caught:
            await client.report(backend)
        assert not calls.proves_server_down(caught.value)
        assert server.requests == 2


async def test_report_that_is_no_http_is_no_answer(client):
    """LOST: streams left a server that sent one faulty response."""
    server = RawServer(b'no response\r\n\r\n')
    await server.start()
    try:
        backend = backends.Backend('s', 1, 1, 'svc', '127.0.0.1', server.port)
        with pytest.raises(calls.NoAnswer) as caught:
            await client.report(backend)
        assert not calls.proves_server_down(caught.value)
    finally:
        await server.stop()


async def test_refused_report_proves_that_the_server_is_down(client):
    """Streams would stay at a server that has crashed."""
    backend = backends.Backend('s', 1, 1, 'svc', '127.0.0.1', 1)
    with pytest.raises(calls.Unreachable) as caught:
        await client.report(backend)
    assert calls.proves_server_down(caught.value)


async def test_want_of_descriptors_does_not_prove_that_a_server_is_down(
    client, monkeypatch
):
    """LOST: a node without free descriptors took all servers for crashed."""
    backend = backends.Backend('s', 1, 1, 'svc', '127.0.0.1', 1)

    def fail(*arguments, **others):
        raise OSError(errno.EMFILE, 'Too many open files')

    monkeypatch.setattr(socket, 'socket', fail)
    for step in (
        client.report(backend),
        client.send(_call(), calls.Target(backend), 1000, 0),
    ):
        with pytest.raises(calls.Unreachable) as caught:
            await step
        assert not calls.proves_server_down(caught.value)


async def test_repeated_report_takes_no_longer_than_one(client):
    """A second timeout would delay the detection of a silent server."""
    async with _resetting_server(1, answers=False) as (server, backend):
        started_s = time.monotonic()
        with pytest.raises(calls.NoAnswer):
            await client.report(backend)
        elapsed_s = time.monotonic() - started_s
        assert server.requests == 2
        assert elapsed_s < 1.5 * engines.REPORT_TIMEOUT_S


async def test_order_is_not_repeated_after_a_reset(client):
    """The server may have executed the order whose answer was lost."""
    async with _resetting_server(10) as (server, backend):
        with pytest.raises(calls.Unreachable):
            await client.reroute(backend, 'r1', ())
        assert server.requests == 1


@pytest.mark.parametrize('method', ['GET', 'HEAD', 'PUT', 'DELETE', 'POST'])
async def test_call_is_sent_once_if_the_connection_is_lost(client, method):
    """The HTTP library sent some calls again that may have been executed."""
    call = _call()
    call.method = method
    async with _resetting_server(10) as (server, backend):
        with pytest.raises(calls.Broken):
            await client.send(call, calls.Target(backend), 1000, 0)
        assert server.requests == 1
