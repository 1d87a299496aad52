"""A stand-in plain service that takes bookings."""

import asyncio
import collections
import json
import os

from aiohttp import web
import defopt

from pimentowalk.core import logs
from tools import programs


class BookingService:
    """Run bookings and keep a record of how often each id ran.

    With `fail_every` N, each Nth booking runs but its connection ends
    before the answer. A body that contains `crash_marker` ends the process.
    """

    def __init__(
        self,
        *,
        host='127.0.0.1',
        port=0,
        delay_s=0.0,
        fail_every=0,
        crash_marker='',
        record_file='',
        crash=lambda: os._exit(70),
    ):
        self.ran = collections.Counter()
        self.calls = 0
        self.host = host
        self.port = port
        self._delay_s = delay_s
        self._fail_every = fail_every
        self._crash_marker = crash_marker.encode()
        self._crash = crash
        self._file = None
        if record_file:
            self._file = open(record_file, 'ab', buffering=0)
        self._runner = None

    async def start(self):
        """Listen; with port 0 the system chooses one, see `port`."""
        app = web.Application()
        app.router.add_post('/bookings', self._book)
        app.router.add_get('/bookings', self._list)
        app.router.add_get('/healthz', self._health)
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=1.0
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, self.host, self.port).start()
        self.port = self._runner.addresses[0][1]

    async def stop(self):
        """Stop listening and close the connections."""
        await self._runner.cleanup()

    async def _book(self, request):
        content = await request.read()
        if self._crash_marker and self._crash_marker in content:
            self._crash()
        try:
            booking = str(json.loads(content)['id'])
        except (KeyError, TypeError, ValueError):
            return web.json_response({'error': 'no id'}, status=400)
        # Counted before the delay: a booking that was begun has run, even
        # if its caller leaves in the meantime.
        self._count(booking)
        number = self.calls
        await asyncio.sleep(self._delay_s)
        if self._fail_every and number % self._fail_every == 0:
            request.transport.abort()
        return web.json_response(
            {'id': booking, 'state': 'booked', 'number': number}, status=201
        )

    def _count(self, booking):
        self.calls += 1
        self.ran[booking] += 1
        if self._file is not None:
            self._file.write(json.dumps({'id': booking}).encode() + b'\n')

    async def _list(self, request):
        return web.json_response({'ran': dict(self.ran)})

    async def _health(self, request):
        return web.json_response({'status': 'ok'})


def main(
    *,
    host: str = '127.0.0.1',
    port: int = 0,
    delay_s: float = 0.0,
    fail_every: int = 0,
    crash_marker: str = '',
    record_file: str = '',
):
    """Run a stand-in booking service until it is stopped.

    :param host: numeric IP address to listen on
    :param port: port to listen on; 0 lets the system choose
    :param delay_s: time that a booking takes
    :param fail_every: drop the answer of each Nth booking; 0 is never
    :param crash_marker: exit at once on a body that contains this
    :param record_file: append what ran to this file as JSON lines
    """
    logs.configure('standin-service')
    options = locals()
    asyncio.run(_run(options))


async def _run(options):
    service = BookingService(**options)
    await programs.run_until_stopped(
        service, lambda: f'http://{service.host}:{service.port}'
    )


if __name__ == '__main__':
    defopt.run(main, cli_options='has_default', short={})
