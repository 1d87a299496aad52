"""Guard what is taken for an answer of a backend server."""

import asyncio
import logging
import socket
import struct

import pytest
import pytest_asyncio

from pimentowalk.dispatch import calls
from pimentowalk.platform import documents
from pimentowalk.platform import engines
from pimentowalk.platform.tests import samples
from pimentowalk.topology import backends

# Lingering for no time makes a close a reset.
RESET = struct.pack('ii', 1, 0)


class RawServer:
    """Answer each connection with fixed bytes, then close or reset it."""

    def __init__(self, content, *, resets=False):
        self._content = content
        self._resets = resets
        self._server = None
        self.port = 0

    async def start(self):
        """Listen on a port that the system chooses."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(self._content)
        await writer.drain()
        # The client reads before a reset could discard the bytes.
        await asyncio.sleep(0.05)
        if self._resets:
            writer.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET
            )
        writer.close()

    def stop(self):
        """Stop listening."""
        self._server.close()


def _call():
    document = documents.decode(samples.configuration())
    return calls.Call(
        request_id='r1',
        method='GET',
        target='/look/2f',
        forwarded_headers=[('Pimentowalk-Request-Id', 'r1')],
        body=b'',
        route=document.route('a.example', '/look/2f'),
        account=None,
        received_s=0.0,
        deadline_s=5.0,
        timeout_at_s=5.0,
    )


@pytest_asyncio.fixture
async def client():
    found = engines.EngineClient()
    await found.start()
    yield found
    await found.stop()


async def _answer(client, content, **changes):
    server = RawServer(content, **changes)
    await server.start()
    try:
        backend = backends.Backend('s', 1, 1, 'svc', '127.0.0.1', server.port)
        answer = await client.send(_call(), calls.Target(backend), 1000, 0)
        pieces = []
        try:
            while piece := await answer.read():
                pieces.append(piece)
        finally:
            answer.close()
        return answer.status, b''.join(pieces)
    finally:
        server.stop()


HEAD = b'HTTP/1.1 200 OK\r\nPimentowalk-Request-Id: r1\r\n'


async def test_body_without_length_ends_with_its_connection(client):
    """A server may close the connection to end its answer."""
    assert await _answer(client, HEAD + b'\r\nwhole') == (200, b'whole')


async def test_reset_body_without_length_is_not_whole(client):
    """A reset cut it off; passed on, it would look complete."""
    with pytest.raises(calls.Broken):
        await _answer(client, HEAD + b'\r\nhal', resets=True)


async def test_short_body_is_not_whole(client):
    """The length tells that bytes are missing."""
    with pytest.raises(calls.Broken):
        await _answer(client, HEAD + b'Content-Length: 9\r\n\r\nhal')


async def test_bytes_after_the_answer_belong_to_no_request(client):
    """A second answer must not be taken for that of another request."""
    content = HEAD + b'Content-Length: 3\r\n\r\none' + HEAD + b'\r\ntwo'
    assert await _answer(client, content) == (200, b'one')


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
    """A caller must never get another caller's answer."""
    with pytest.raises(calls.Broken):
        await _answer(client, content)


@pytest.mark.parametrize(
    'head',
    [
        b'HTTP/1.1 503 Full\r\nPimentowalk-Not-Executed: 1\r\n',
        b'HTTP/1.1 421 Other\r\nAt-Server: 10.0.0.9:80\r\n',
    ],
)
async def test_proof_of_not_run_is_recognised(client, head):
    """Only these two say that the request did not run."""
    with pytest.raises(calls.Refused):
        await _answer(client, head + b'Content-Length: 0\r\n\r\n')


async def test_plain_503_proves_nothing(client):
    """A booking that got it may have run."""
    content = b'HTTP/1.1 503 X\r\nPimentowalk-Request-Id: r1\r\n'
    status, _ = await _answer(client, content + b'Content-Length: 0\r\n\r\n')
    assert status == 503


async def test_refused_connection_is_proof_of_a_dead_server(client):
    """Nothing was sent, and nobody listens."""
    backend = backends.Backend('s', 1, 1, 'svc', '127.0.0.1', 1)
    with pytest.raises(calls.Unreachable) as caught:
        await client.send(_call(), calls.Target(backend), 1000, 0)
    assert calls.proves_server_down(caught.value)


def test_unreadable_load_is_logged(caplog):
    """A load that cannot be read must not look like one that is missing."""
    caplog.set_level(logging.INFO)
    assert engines._load(None) is None
    assert not caplog.records
    assert engines._load('3,x,96') is None
    assert '3,x,96' in caplog.text
    assert engines._load('3,1,96') == (3, 1, 96)
