"""Guard the relay, by which link faults are made."""

import asyncio
import contextlib
import signal

import pytest

from pimentowalk.core import timers
from tools import relay as relay_module
from tools.tests import waiting


class Link:
    """A relay in front of an echo server, and one client connection."""

    def __init__(self, relay, reader, writer):
        self.relay = relay
        self.reader = reader
        self.writer = writer

    async def receive(self, size):
        async with asyncio.timeout(waiting.TIMEOUT_S):
            return await self.reader.readexactly(size)

    async def taken(self, size):
        """Wait until the relay has read so many bytes in total."""
        await waiting.until(lambda: self.relay.taken_bytes >= size)

    async def pending(self):
        """Return what has arrived after all ready work has run."""
        for _ in range(50):
            await asyncio.sleep(0)
        return bytes(self.reader._buffer)


async def echo(reader, writer):
    with contextlib.suppress(OSError, asyncio.CancelledError):
        while data := await reader.read(65536):
            writer.write(data)
    writer.close()


@contextlib.asynccontextmanager
async def linked(**options):
    server = await asyncio.start_server(echo, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    relay = relay_module.Relay('127.0.0.1', port, **options)
    await relay.start()
    reader, writer = await asyncio.open_connection('127.0.0.1', relay.port)
    try:
        yield Link(relay, reader, writer)
    finally:
        writer.close()
        await relay.stop()
        server.close()


async def test_bytes_pass_unchanged_and_end_is_passed_on():
    """A relay that alters bytes would blame the code under test."""
    data = bytes(range(256)) * 4000
    async with linked() as link:
        link.writer.write(data)
        assert await link.receive(len(data)) == data
        link.writer.write_eof()
        async with asyncio.timeout(waiting.TIMEOUT_S):
            assert await link.reader.read() == b''


@pytest.mark.parametrize('direction', [None, *relay_module.Direction])
async def test_a_cut_holds_bytes_until_healed(direction):
    """A cut that loses bytes would be no partition of TCP."""
    async with linked() as link:
        link.writer.write(b'one')
        assert await link.receive(3) == b'one'
        link.relay.cut(*[direction] if direction else [])
        link.writer.write(b'two')
        crossed = direction is relay_module.Direction.BACK
        await link.taken(12 if crossed else 9)
        assert await link.pending() == b''
        link.relay.heal()
        assert await link.receive(3) == b'two'


async def test_delay_and_rate_hold_bytes_for_their_time():
    """A delay that is not applied would make a slow link look healthy."""
    clock = timers.ManualTimerService()
    async with linked(delay_s=1.0, timers=clock) as link:
        link.writer.write(b'data')
        await link.taken(4)
        await clock.advance(0.9)
        assert link.relay.taken_bytes == 4
        await clock.advance(0.2)
        await link.taken(8)
        assert await link.pending() == b''
        await clock.advance(1.0)
        assert await link.receive(4) == b'data'
        link.relay.delay_s = 0
        link.relay.bytes_per_s = 2.0
        link.writer.write(b'slow')
        await link.taken(12)
        await clock.advance(1.9)
        assert link.relay.taken_bytes == 12
        await clock.advance(0.2)
        await link.taken(16)
        await clock.advance(2.0)
        assert await link.receive(4) == b'slow'


async def test_reset_breaks_connections_and_new_ones_work():
    """After a reset the peers must be able to dial again."""
    async with linked() as link:
        link.writer.write(b'one')
        await link.receive(3)
        link.relay.reset()
        async with asyncio.timeout(waiting.TIMEOUT_S):
            with contextlib.suppress(ConnectionError):
                assert await link.reader.read() == b''
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', link.relay.port
        )
        writer.write(b'two')
        async with asyncio.timeout(waiting.TIMEOUT_S):
            assert await reader.readexactly(3) == b'two'
        writer.close()


@pytest.mark.processes
async def test_program_cuts_heals_and_stops_on_signals():
    """A launcher must be able to make faults in a separate process."""
    server = await asyncio.start_server(echo, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    async with waiting.program(
        'tools.relay', '127.0.0.1', str(port)
    ) as process:
        address = (await waiting.line(process)).split(':')
        reader, writer = await asyncio.open_connection(*address)
        for number, state in [
            (signal.SIGUSR1, 'cut'),
            (signal.SIGUSR2, 'healed'),
        ]:
            process.send_signal(number)
            assert await waiting.line(process) == state
        writer.write(b'one')
        async with asyncio.timeout(waiting.TIMEOUT_S):
            assert await reader.readexactly(3) == b'one'
        writer.close()
        process.terminate()
        assert await waiting.exit_status(process) == 0
    server.close()
