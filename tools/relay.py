"""A TCP relay that cuts, delays and limits the rate of connections."""

import asyncio
import collections
import enum
import signal

import defopt

from pimentowalk.core import timers as timers_module
from tools import programs

READ_BYTES = 65536
# Beyond this much delayed data a sender is held back, as on a real link.
MAX_HELD_BYTES = 4 << 20


class Direction(enum.Enum):
    """The way of the bytes: to the target, or back from it."""

    FORWARD = 'forward'
    BACK = 'back'


BOTH = tuple(Direction)


class _Pipe:
    """Carry the bytes of one connection in one direction."""

    def __init__(self, relay, direction, reader, writer):
        self._relay = relay
        self._direction = direction
        self._reader = reader
        self._writer = writer
        self._held = collections.deque()
        self._held_bytes = 0
        self._changed = asyncio.Condition()

    async def read(self):
        """Take in bytes and note when they arrived."""
        data = b'begin'
        while data:
            data = await self._reader.read(READ_BYTES)
            async with self._changed:
                await self._changed.wait_for(
                    lambda: self._held_bytes < MAX_HELD_BYTES
                )
                self._held.append((self._relay.timers.now_s(), data))
                self._held_bytes += len(data)
                self._relay.taken_bytes += len(data)
                self._changed.notify_all()

    async def write(self):
        """Pass bytes on when the link lets them through."""
        while True:
            async with self._changed:
                await self._changed.wait_for(lambda: self._held)
                arrived_s, data = self._held.popleft()
                self._held_bytes -= len(data)
                self._changed.notify_all()
            await self._relay.pass_link(self._direction, arrived_s, len(data))
            if not data:
                self._writer.write_eof()
                return
            self._writer.write(data)
            await self._writer.drain()


class Relay:
    """Forward connections to a target; use `start` and `stop`.

    `delay_s` and `bytes_per_s` (0 is unlimited) can be changed at any time.
    A cut link holds bytes back, as a network partition does, and delivers
    them after `heal`. `reset` breaks the open connections.
    """

    def __init__(
        self,
        target_host,
        target_port,
        *,
        host='127.0.0.1',
        port=0,
        delay_s=0.0,
        bytes_per_s=0.0,
        timers=None,
    ):
        self.target = (target_host, target_port)
        self.host = host
        self.port = port
        self.delay_s = delay_s
        self.bytes_per_s = bytes_per_s
        self.timers = timers or timers_module.TimerService()
        self.taken_bytes = 0
        self._open = {way: asyncio.Event() for way in Direction}
        self._server = None
        self._tasks = set()
        self._writers = set()
        self.heal()

    async def start(self):
        """Listen; with port 0 the system chooses one, see `port`."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        """Stop listening and break the connections."""
        self._server.close()
        self.reset()
        await timers_module.cancel_all(list(self._tasks))

    def cut(self, *directions):
        """Hold bytes back in the given directions, or in both."""
        for direction in directions or BOTH:
            self._open[direction].clear()

    def heal(self):
        """Let bytes through again."""
        for event in self._open.values():
            event.set()

    def reset(self):
        """Break the open connections at once."""
        for writer in self._writers:
            writer.transport.abort()

    @property
    def connections(self):
        """Return the number of open connections."""
        return len(self._tasks)

    async def pass_link(self, direction, arrived_s, size):
        """Wait until bytes that arrived at a time have crossed the link."""
        delay_s = arrived_s + self.delay_s - self.timers.now_s()
        if delay_s > 0:
            await self.timers.sleep(delay_s)
        if self.bytes_per_s and size:
            await self.timers.sleep(size / self.bytes_per_s)
        await self._open[direction].wait()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            await self._relay(reader, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()
            self._writers.discard(writer)
            self._tasks.discard(task)

    async def _relay(self, reader, writer):
        # A partition also holds back the opening of a connection.
        await self._open[Direction.FORWARD].wait()
        target_reader, target_writer = await asyncio.open_connection(
            *self.target
        )
        self._writers.add(target_writer)
        pipes = [
            _Pipe(self, Direction.FORWARD, reader, target_writer),
            _Pipe(self, Direction.BACK, target_reader, writer),
        ]
        try:
            async with asyncio.TaskGroup() as group:
                for pipe in pipes:
                    group.create_task(pipe.read())
                    group.create_task(pipe.write())
        except* OSError:
            pass
        finally:
            target_writer.transport.abort()
            self._writers.discard(target_writer)


def main(
    target_host: str,
    target_port: int,
    *,
    host: str = '127.0.0.1',
    port: int = 0,
    delay_s: float = 0.0,
    bytes_per_s: float = 0.0,
):
    """Relay TCP connections; SIGUSR1 cuts the link and SIGUSR2 heals it.

    :param target_host: numeric IP address of the target
    :param target_port: port of the target
    :param host: numeric IP address to listen on
    :param port: port to listen on; 0 lets the system choose
    :param delay_s: delay in each direction
    :param bytes_per_s: rate of a connection in each direction
    """

    options = locals()
    asyncio.run(_run(options))


async def _run(options):
    relay = Relay(**options)
    loop = asyncio.get_running_loop()
    for number, change, state in [
        (signal.SIGUSR1, relay.cut, 'cut'),
        (signal.SIGUSR2, relay.heal, 'healed'),
    ]:
        loop.add_signal_handler(number, _change, change, state)
    await programs.run_until_stopped(
        relay, lambda: f'{relay.host}:{relay.port}'
    )


def _change(change, state):
    change()
    print(state, flush=True)


if __name__ == '__main__':
    defopt.run(main, cli_options='has_default', short={})
