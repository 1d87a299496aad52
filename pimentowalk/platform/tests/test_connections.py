"""Test how a gateway that stops closes the connections of callers."""

import asyncio

from aiohttp import web_protocol
import attrs
import pytest

from pimentowalk.platform import daemon
from pimentowalk.platform.tests import test_intake
from tools.tests import waiting


async def test_stop_closes_idle_connections(cluster, monkeypatch):
    """A request on a keep-alive connection might never be answered."""
    monkeypatch.setattr(daemon, 'SHUTDOWN_DELAY_S', 0.1)
    gateway = cluster.gateways[0]
    address = gateway.settings.front
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(b'GET /no HTTP/1.1\r\nHost: a.example\r\n\r\n')
    await reader.readuntil(b'\r\n\r\n')
    running = asyncio.ensure_future(gateway.run())
    gateway.request_stop()
    async with asyncio.timeout(5):
        while await reader.read(1000):
            pass
    writer.close()
    await running


async def test_stop_answers_a_request_that_was_just_read(cluster, monkeypatch):
    """A request must not be cut between its arrival and its handler."""
    gateway = cluster.gateways[0]
    address = gateway.settings.front
    receive = web_protocol.RequestHandler.data_received

    def receive_and_stop(protocol, data):
        receive(protocol, data)
        if b'/no' in data:
            gateway._close_connections()

    monkeypatch.setattr(
        web_protocol.RequestHandler, 'data_received', receive_and_stop
    )
    # The second request finds a connection that waits for it.
    for count in (1, 2):
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        request = b'GET /first HTTP/1.1\r\nHost: a.example\r\n\r\n'
        for _ in range(count - 1):
            writer.write(request)
            await reader.readuntil(b'}')
        writer.write(request.replace(b'first', b'no'))
        async with asyncio.timeout(5):
            answer = await reader.read()
        assert answer.startswith(b'HTTP/1.1 ')
        writer.close()


@pytest.mark.parametrize(
    ('own', 'raised', 'idle_s', 'fields'),
    [
        ({}, {'max-header-bytes': 65_536}, 0.0, 5),
        ({'idle_timeout_ms': 300.0}, {'idle-timeout-ms': 60_000}, 0.8, 1),
    ],
    ids=['header', 'idle'],
)
async def test_raised_limits_hold_for_open_connections(
    cluster, own, raised, idle_s, fields
):
    """LOST: a client kept a connection for as long as the configuration
    allows, and found it closed; or its request was refused with 431.
    """
    gateway = cluster.gateways[0]
    intake = gateway.intake
    intake.settings = attrs.evolve(intake.settings, **own)
    limits = {'idle-timeout-ms': 300, 'header-timeout-ms': 3000}
    await cluster.platform.configure(version=12, limits=limits)
    await waiting.until(lambda: gateway.node.document_version == 12)
    async with test_intake.connect(gateway) as (reader, writer):
        writer.write((test_intake.POST + '\r\n').encode())
        assert await test_intake.read_status(reader) == 200
        await cluster.platform.configure(version=13, limits=limits | raised)
        await waiting.until(lambda: gateway.node.document_version == 13)
        await asyncio.sleep(idle_s)
        request = test_intake.POST.replace('r1', 'r2')
        request += ('X: ' + 'b' * 8000 + '\r\n') * fields + '\r\n'
        writer.write(request.encode())
        assert await test_intake.read_status(reader) == 200
