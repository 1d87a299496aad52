"""Test what clients within the limits get, and what others are refused."""

import asyncio
import contextlib

import pytest

from pimentowalk.core import errors
from pimentowalk.core import timers as core_timers
from pimentowalk.dispatch import held_bytes
from pimentowalk.platform import names
from pimentowalk.settings import gateway as gateway_settings
from tools.tests import waiting

HEAD = (
    f'%s /book/x HTTP/1.1\r\nHost: a.example\r\n{names.KEY}: k1\r\n'
    f'{names.REQUEST_ID}: r1\r\n'
)
POST = HEAD % 'POST'
BODY_BYTES = 4_194_304
BODY = b'x' * BODY_BYTES
LENGTH = f'Content-Length: {BODY_BYTES}\r\n'
CHUNKED = b'10000\r\n' + b'x' * 65_536 + b'\r\n'


@contextlib.asynccontextmanager
async def connect(gateway):
    """Connect to the front of a gateway."""
    front = gateway.settings.front
    reader, writer = await asyncio.open_connection(front.host, front.port)
    try:
        yield reader, writer
    finally:
        writer.close()


async def read_status(reader):
    """Return the status of the next response, whose body is read too."""
    head = (await reader.readuntil(b'\r\n\r\n')).lower()
    _, _, length = head.partition(b'content-length: ')
    if length:
        await reader.readexactly(int(length.split(b'\r\n')[0]))
    return int(head.split()[1])


@pytest.mark.parametrize(
    ('parts', 'expected'),
    [
        ([POST + LENGTH, '\r\n', BODY], 200),
        ([POST + ('X: ' + 'b' * 8000 + '\r\n') * 2 + '\r\n'], 200),
        (
            [
                POST + 'Transfer-Encoding: chunked\r\n\r\n',
                CHUNKED * 64,
                b'0\r\n\r\n',
            ],
            200,
        ),
        ([POST + 'Content-Length: 2\r\n\r\n', b'a', b'b'], 200),
        ([POST + 'Content-Length: 4194305\r\n\r\n'], 413),
        ([POST + 'Transfer-Encoding: chunked\r\n\r\n', CHUNKED * 65], 413),
        ([POST + 'X: b\r\n' * 200 + '\r\n'], 431),
        ([POST + 'X: ' + 'b' * 40_000 + '\r\n\r\n'], 431),
        ([POST + ('X: ' + 'b' * 9000 + '\r\n') * 5 + '\r\n'], 431),
        ([POST + LENGTH + 'Expect: 100-continue\r\n\r\n'], 100),
    ],
)
async def test_only_requests_over_a_limit_are_refused(
    cluster, parts, expected
):
    """A limit that is too low would refuse well-behaved clients."""
    for server in cluster.servers[2:]:
        server._runner.app._client_max_size = 2 * BODY_BYTES
    async with connect(cluster.gateways[0]) as (reader, writer):
        for part in parts:
            writer.write(part if isinstance(part, bytes) else part.encode())
            await asyncio.sleep(0.01)
        assert await read_status(reader) == expected
    held = cluster.gateways[0].dispatcher.held_bytes
    await waiting.until(lambda: held.total_bytes == 0)


async def test_request_behind_the_end_of_a_body_is_answered(cluster):
    """The parser stayed paused after the body of a request in progress."""
    async with connect(cluster.gateways[0]) as (reader, writer):
        writer.write(f'{POST}Content-Length: 2\r\n\r\na'.encode())
        await asyncio.sleep(0.05)
        ahead = (HEAD % 'GET' + '\r\n').replace('/book/', '/look/').encode()
        writer.write(b'b' + ahead * 5)
        assert [await read_status(reader) for _ in range(6)] == [200] * 6


async def test_header_that_is_too_long_cuts_no_earlier_request(cluster):
    """LOST: a whole request got no answer because of the next one."""
    gateway = cluster.gateways[0]
    released = asyncio.Event()
    for server in cluster.servers[2:]:
        server.released = released
    async with connect(gateway) as (reader, writer):
        writer.write(
            (HEAD % 'GET' + '\r\n').replace('/book/', '/look/').encode()
        )
        await waiting.until(lambda: gateway.dispatcher.runs)
        writer.write((POST + ('X: ' + 'b' * 7000 + '\r\n') * 20).encode())
        await asyncio.sleep(0.1)
        released.set()
        assert await read_status(reader) == 200


async def test_readiness_is_answered_without_the_body(cluster):
    """Bodies on this address would be read before anybody checks them."""
    address = cluster.gateways[0].settings.ready
    reader, writer = await asyncio.open_connection(address.host, address.port)
    head = f'GET /v1/readiness HTTP/1.1\r\nHost: a\r\n{LENGTH}\r\n'
    writer.write(head.encode())
    assert await read_status(reader) in {200, 503}
    assert await reader.read() == b''
    writer.close()


async def test_body_that_does_not_fit_is_refused_and_a_stalled_one_cut():
    """Clients that stop short of the end would hold all bytes."""
    timers = core_timers.ManualTimerService()
    cuts = []
    held = held_bytes.HeldBytes(
        1000, request_limit_bytes=600, stalled_s=1.0, now_s=timers.now_s
    )
    stalled = held.reserve(500, lambda: cuts.append('stalled'))
    with pytest.raises(errors.NotRun):
        held.reserve(200, lambda: cuts.append('new'))
    await timers.advance(1.0)
    held.reserve(200, lambda: cuts.append('new'))
    assert cuts == ['stalled']
    with pytest.raises(errors.NotRun):
        held.finish(stalled)
    assert held.request_bytes == 200


@pytest.mark.parametrize(
    ('text', 'key'),
    [
        ('max_request_bytes = 60000000', 'max_request_bytes'),
        ('header_timeout_ms = 31000', 'header_timeout_ms'),
        ('max_connections = 0', 'max_connections'),
    ],
)
def test_contradicting_limits_are_reported(tmp_path, text, key):
    """A gateway would start, and refuse all clients."""
    path = tmp_path / 'gateway.ini'
    path.write_text(f'[clients]\n{text}\n')
    with pytest.raises(errors.SettingsError, match=rf'\[clients\] {key}'):
        gateway_settings.load(path)
