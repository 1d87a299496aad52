"""Gateway processes whose backend servers send bytes without end."""

import asyncio
import contextlib
import pathlib
import re

import aiohttp
import attrs

from pimentowalk.platform.tests import peers
from pimentowalk.platform.tests import samples
from pimentowalk.platform.tests import standin
from tools.soak import processes
from tools.tests import waiting

HOST = '127.0.0.1'
ANNOUNCE_INTERVAL_S = 0.3
SOUND_INTERVAL_S = 0.05
CALL_TIMEOUT_S = 8.0
REQUEST_ID = re.compile(rb'pimentowalk-request-id: *([^\r\n]*)', re.IGNORECASE)
HEAD = b'HTTP/1.1 200 OK\r\nPimentowalk-Request-Id: %s\r\n'
EVENTS = b'Content-Type: text/event-stream\r\n'
# What a server sends first, once, and then again and again.
KINDS = {
    'empty lines': (b'', b'\r\n' * 500),
    'interim responses': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 40),
    'header lines': (HEAD, b'X-A: b\r\n' * 100),
    'body with a length': (
        HEAD + b'Content-Length: 99999999999\r\n\r\n',
        b'x' * 16_384,
    ),
    'body without a length': (HEAD + b'\r\n', b'x' * 16_384),
    'event': (HEAD + EVENTS + b'\r\nid: 1\ndata: ', b'x' * 16_384),
    'comments': (HEAD + EVENTS + b'\r\n', b': x\n\n' * 1000),
    'chunk extension': (
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n3;',
        b'e' * 1000,
    ),
    'error': (
        HEAD.replace(b'200 OK', b'500 Error') + b'\r\n',
        b'x' * 16_384,
    ),
    'refusal': (
        HEAD.replace(b'200 OK', b'503 Full')
        + b'Pimentowalk-Not-Executed: 1\r\n\r\n',
        b'x' * 16_384,
    ),
}
ROUTES = {
    'safe': samples.SAFE_ROUTE,
    'non_idempotent': samples.BOOK_ROUTE,
    'streaming': samples.STREAM_ROUTE,
}


class EndlessServer(standin.StandInServer):
    """A backend server that answers reports, and requests without end."""

    def __init__(self, server_id, kind):
        super().__init__(server_id, HOST, 'endless')
        self._first, self._repeated = KINDS[kind]
        self._server = None

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        """Stop listening; open connections end with their clients."""
        self._server.close()

    async def _accept(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b'\r\n\r\n')
            if b'/v1/report' in head:
                writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}')
                await writer.drain()
                writer.close()
                return
            found = REQUEST_ID.search(head)
            first = self._first
            writer.write(first % found[1] if b'%s' in first else first)
            while True:
                writer.write(self._repeated)
                await writer.drain()
        writer.transport.abort()


@attrs.define
class Result:
    """What callers and the process showed while servers sent without end."""

    peak_mb: float = 0.0
    statuses: list = attrs.field(factory=list)
    sound_statuses: list = attrs.field(factory=list)


class World:
    """Three gateways with disks and one without, which is measured."""

    def __init__(self, folder, kind):
        self.gateways = processes.build(folder, 4, disks=3)
        self.measured = self.gateways[-1]
        self.endless = [EndlessServer(f'e-{n}', kind) for n in range(3)]
        self.sound = [
            standin.StandInServer(f's-{n}', HOST, 'sound') for n in range(3)
        ]
        self._session = None
        self._tasks = []
        self._number = 0

    async def start(self):
        """Start everything; wait until sound requests are answered."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
        )
        for server in self.endless + self.sound:
            await server.start()
        await asyncio.gather(*(g.start() for g in self.gateways))
        self._tasks.append(asyncio.ensure_future(self._announce()))
        await waiting.until(self._configure)
        await waiting.until(self._is_ready)

    async def stop(self):
        """End all that was started here."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for gateway in self.gateways:
            await gateway.kill()
        await self._session.close()
        for server in self.endless + self.sound:
            await server.stop()

    async def _announce(self):
        while True:
            for number, server in enumerate(self.endless + self.sound):
                path, text = peers.announcement(server)
                gateway = self.gateways[number % len(self.gateways)]
                with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                    async with self._session.put(
                        gateway.control(path), data=text
                    ):
                        pass
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    async def _configure(self):
        routes = [
            route | {'service': 'endless', 'timeout-ms': 4000}
            for route in ROUTES.values()
        ]
        routes[1].pop('backends')
        routes.append(
            samples.SAFE_ROUTE
            | {
                'path-prefix': '/sound/',
                'name': 'r-s',
                'service': 'sound',
                'timeout-ms': 4000,
            }
        )
        text = samples.configuration(
            routes=routes,
            services=[
                {'name': name, 'health-path': '/health'}
                for name in ('endless', 'sound')
            ],
        )
        with contextlib.suppress(aiohttp.ClientError):
            async with self._session.put(
                self.gateways[0].control(peers.CONFIGURATION_PATH), data=text
            ) as response:
                return response.status == 200

    async def _is_ready(self):
        return await self._call('/sound/x') == 200

    async def _call(self, path):
        """Send a request to the measured gateway; return its status."""
        self._number += 1
        try:
            async with self._session.post(
                self.measured.front(path),
                data=b'body',
                headers=peers.call_headers(f'r{self._number}', 'k1', 5000),
            ) as response:
                await response.read()
                return response.status
        except aiohttp.ClientError:
            return 0

    async def _send_sound(self, statuses):
        while True:
            statuses.append(await self._call('/sound/x'))
            await asyncio.sleep(SOUND_INTERVAL_S)

    def peak_mb(self):
        """Return the most memory that the measured process has used."""
        path = pathlib.Path(f'/proc/{self.measured.process.pid}/status')
        (size_kb,) = re.findall(r'VmHWM:\s*(\d+) kB', path.read_text())
        return int(size_kb) / 1024

    async def measure(self, count):
        """Send requests at once, a third on each route; return a `Result`."""
        result = Result()
        sound = asyncio.ensure_future(self._send_sound(result.sound_statuses))
        paths = [route['path-prefix'] for route in ROUTES.values()]
        for _ in range(2):
            result.statuses += await asyncio.gather(
                *(self._call(f'{paths[n % 3]}{n}') for n in range(count))
            )
        sound.cancel()
        await asyncio.gather(sound, return_exceptions=True)
        result.peak_mb = self.peak_mb()
        return result


async def measure(folder, kind, count):
    """Measure a kind of bytes without end in processes of their own."""
    world = World(folder, kind)
    try:
        await world.start()
        return await world.measure(count)
    finally:
        await world.stop()
