"""Test the frame format and the peer connections."""

import asyncio
import errno
import logging
import pathlib

import attrs
import hypothesis
from hypothesis import strategies
import pytest

from pimentowalk.core import errors
from pimentowalk.wire import codec
from pimentowalk.wire import connection
from pimentowalk.wire import messages
from pimentowalk.wire import schema
from tools.tests import waiting

HELLO = messages.Hello('node-a', 'entry', 1, 'zone-1')
# Frames of half a megabyte, more than the buffers of both sockets hold.
UNREAD_FRAMES = 64
ALL_BODIES = [cls for _, cls in messages.FRAMES.entries()]
bodies = strategies.sampled_from(ALL_BODIES).flatmap(strategies.from_type)
strategies.register_type_strategy(
    int, strategies.integers(min_value=0, max_value=2**64 - 1)
)
strategies.register_type_strategy(float, strategies.floats(allow_nan=False))
strategies.register_type_strategy(
    str,
    strategies.text(
        strategies.characters(exclude_categories=['Cs'], min_codepoint=1)
    ),
)


def test_committed_schema_matches_the_classes():
    """An outdated schema would decode the fields of frames wrongly."""
    path = pathlib.Path(schema.__file__).with_name('frames.capnp')
    assert path.read_text() == schema.render()


@hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
@hypothesis.given(bodies)
def test_every_body_survives_the_round_trip(body):
    """A field lost in the codec would corrupt a request silently."""
    frame = codec.encode(body, config_version=7, call_id=4)
    envelope = codec.decode(frame[codec.HEADER.size :])
    assert envelope == codec.Envelope(body, 7, 4)


@hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
@hypothesis.given(strategies.binary(max_size=200))
def test_arbitrary_bytes_give_a_coded_error_or_a_frame(payload):
    """A malformed frame must not raise anything but FrameError."""
    try:
        envelope = codec.decode(payload)
    except errors.FrameError:
        return
    assert attrs.has(type(envelope.body))


def test_header_of_a_newer_format_is_rejected():
    """A newer format must not be decoded as the current one."""
    header = codec.HEADER.pack(codec.MAGIC, codec.FORMAT_VERSION + 1, 8)
    with pytest.raises(errors.FrameError, match='format version'):
        codec.body_length(header)


def test_oversized_frame_is_rejected_on_both_sides():
    """A frame of unlimited size could exhaust the memory."""
    oversized = messages.Failure('internal', 'x' * codec.MAX_FRAME_BYTES)
    with pytest.raises(errors.FrameError):
        codec.encode(oversized)
    header = codec.HEADER.pack(
        codec.MAGIC, codec.FORMAT_VERSION, codec.MAX_FRAME_BYTES + 1
    )
    with pytest.raises(errors.FrameError):
        codec.body_length(header)


class EchoServer:
    """A server that returns each request and records closed connections."""

    def __init__(self):
        self.closed = []
        self.reply = None
        self.server = connection.PeerServer(
            '127.0.0.1', 0, messages.Hello('server', 'agent', 2), self.accept
        )

    def accept(self, peer):
        peer.on_frame = self.on_frame
        peer.on_close = lambda ended: self.closed.append(ended.peer)

    async def on_frame(self, peer, envelope):
        if isinstance(envelope.body, messages.Watch):
            raise errors.NotRun('refused', step='watch')
        if isinstance(envelope.body, messages.TimeoutNow):
            raise errors.FrameError('unexpected', step='receive')
        await peer.reply(envelope, self.reply or envelope.body)


@pytest.fixture
async def echo():
    echo_server = EchoServer()
    await echo_server.server.start()
    yield echo_server
    await echo_server.server.stop()


async def dial_echo(echo):
    peer = await connection.dial('127.0.0.1', echo.server.port, HELLO)
    return peer, asyncio.ensure_future(peer.run())


async def test_concurrent_calls_get_their_own_response_or_error(echo):
    """Each response must reach the call whose id it carries."""
    peer, task = await dial_echo(echo)
    requests = [messages.ConfigurationPull(n) for n in range(20)]
    responses = await asyncio.gather(*(peer.call(r, 5) for r in requests))
    assert responses == requests
    with pytest.raises(errors.PimentowalkError) as caught:
        await peer.call(messages.Watch([], 1), 5)
    assert (caught.value.code, caught.value.step) == ('not_run', 'watch')
    peer.close()
    await task


async def test_unexpected_frame_closes_only_its_connection(echo):
    """A faulty peer must not affect the connections of other peers."""
    bad, bad_task = await dial_echo(echo)
    good, good_task = await dial_echo(echo)
    with pytest.raises(errors.PimentowalkError):
        await bad.call(messages.TimeoutNow(1), 5)
    await bad_task
    assert bad.closed
    assert await good.call(messages.Empty(), 5) == messages.Empty()
    good.close()
    await good_task


async def test_connection_with_another_protocol_is_closed(echo):
    """An HTTP client sends no valid header and must be disconnected."""
    reader, writer = await asyncio.open_connection(
        '127.0.0.1', echo.server.port
    )
    writer.write(b'GET / HTTP/1.1\r\n\r\n')
    received = await reader.read()
    assert codec.MAGIC in received
    writer.close()


async def test_rejected_connection_is_logged(caplog):
    """The log must tell operators why a connection was rejected."""
    caplog.set_level(logging.INFO)
    server = connection.PeerServer('127.0.0.1', 0, HELLO, lambda peer: None)
    await server.start()
    _, writer = await asyncio.open_connection('127.0.0.1', server.port)
    writer.write(b'GET / HTTP/1.1\r\n\r\n' + b' ' * 64)
    await waiting.until(lambda: 'connection not accepted' in caplog.text)
    writer.close()
    await server.stop()


@pytest.mark.parametrize(
    'code', [errno.ECONNRESET, errno.EHOSTUNREACH, errno.ETIMEDOUT]
)
async def test_error_of_the_network_is_reported_as_a_lost_peer(
    echo, monkeypatch, code
):
    """Callers handle PeerLost; an OSError ended the task that sent."""
    peer, running = await dial_echo(echo)

    async def fail():
        raise OSError(code, 'broken')

    monkeypatch.setattr(peer._writer, 'drain', fail)
    with pytest.raises(errors.PeerLost):
        await peer.call(messages.Empty(), 10)
    peer.close()
    await running


async def test_peer_that_resets_at_once_is_reported_as_lost(monkeypatch):
    """Its connection has no address, and a TypeError ended the link."""
    server = await asyncio.start_server(
        lambda _, writer: writer.close(), '127.0.0.1', 0
    )
    open_connection = asyncio.open_connection

    async def open_without_address(host, port):
        reader, writer = await open_connection(host, port)
        monkeypatch.setattr(writer, 'get_extra_info', lambda _: None)
        return reader, writer

    monkeypatch.setattr(asyncio, 'open_connection', open_without_address)
    port = server.sockets[0].getsockname()[1]
    with pytest.raises(errors.PeerLost):
        await connection.dial('127.0.0.1', port, HELLO)
    server.close()


async def test_call_to_a_peer_that_does_not_read_times_out():
    """A full write buffer held the caller beyond its timeout."""
    may_read = asyncio.Event()

    def accept(peer):
        peer.on_frame = lambda peer, envelope: may_read.wait()

    server = connection.PeerServer('127.0.0.1', 0, HELLO, accept)
    await server.start()
    peer = await connection.dial('127.0.0.1', server.port, HELLO)
    running = asyncio.ensure_future(peer.run())
    content = messages.Failure('internal', 'x' * (codec.MAX_FRAME_BYTES // 2))
    for _ in range(UNREAD_FRAMES):
        peer.post(content)
    call = asyncio.ensure_future(peer.call(messages.Empty(), 0.05))
    await asyncio.wait([call], timeout=2)
    ended = call.done()
    may_read.set()
    peer.abort()
    await asyncio.gather(call, running, return_exceptions=True)
    await server.stop()
    assert ended
    assert isinstance(call.exception(), TimeoutError)


UNENCODABLE_BODIES = [
    attrs.evolve(HELLO, incarnation=2**64),
    attrs.evolve(HELLO, incarnation=-1),
    attrs.evolve(HELLO, node_id='\ud800'),
    attrs.evolve(HELLO, node_id=None),
    messages.Failure('internal', 'x' * codec.MAX_FRAME_BYTES),
]


@pytest.mark.parametrize(
    'body', UNENCODABLE_BODIES, ids=lambda body: repr(body)[:60]
)
async def test_body_that_cannot_be_encoded_keeps_the_connection(
    echo, body, caplog
):
    """One value that no frame can carry ended the task that sent it."""
    peer, running = await dial_echo(echo)
    peer.post(body)
    assert 'frame not sent' in caplog.text
    with pytest.raises(errors.EncodeError):
        await peer.call(body, 5)
    assert await peer.call(messages.Empty(), 5) == messages.Empty()
    peer.close()
    await running


async def test_reply_that_cannot_be_encoded_fails_its_call_alone(echo):
    """A reply too large for a frame closed the connection of all calls."""
    peer, running = await dial_echo(echo)
    echo.reply = UNENCODABLE_BODIES[0]
    with pytest.raises(errors.PimentowalkError) as caught:
        await peer.call(messages.Empty(), 5)
    assert caught.value.code == 'frame_error'
    echo.reply = None
    assert await peer.call(messages.Empty(), 5) == messages.Empty()
    peer.close()
    await running


@pytest.mark.parametrize('call_id', [0, 1000, 1001])
async def test_frame_that_cannot_be_decoded_is_skipped(
    echo, call_id, caplog, monkeypatch
):
    """A frame kind of a newer release closed the connection."""
    peer, running = await dial_echo(echo)
    frame = codec.encode(messages.Probe(), call_id=call_id)
    monkeypatch.delitem(messages.FRAMES._entries, 'probe')
    peer.post_encoded(frame)
    assert await peer.call(messages.Empty(), 5) == messages.Empty()
    assert 'frame skipped' in caplog.text
    peer.close()
    await running
