"""Test how a gateway that stops closes the connections of callers."""

import asyncio

from aiohttp import web_protocol

from pimentowalk.platform import daemon


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
