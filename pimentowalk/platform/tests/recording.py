"""Stand-in servers behind relays that record their runs, for the soak test."""

import asyncio
import collections

from aiohttp import web

from pimentowalk.platform import names
from pimentowalk.platform.tests import peers
from pimentowalk.platform.tests import standin
from tools import relay

EVENTS = 12
EVENT_INTERVAL_S = 0.01


class RecordingServer(standin.StandInServer):
    """A stand-in server that counts runs by request id.

    Its answers contain the request id.
    """

    def __init__(self, number, service):
        super().__init__(f'i-{service}-{number}', '127.0.0.1', service)
        self.number = number
        self.events = EVENTS
        self.relay = None
        self.runs = collections.Counter()
        # Runs that were in progress when the server crashed or its link was
        # cut, and runs that began while it was cut.
        self.lost_runs = collections.Counter()
        self._running = collections.Counter()
        self._is_cut = False
        self.accounts = {}
        self.bad_paths = []
        self.service_time_s = 0.01
        # The number of next runs whose answers are lost after execution.
        self.answers_to_lose = 0
        # Cleared while streams are paused.
        self.may_stream = asyncio.Event()
        self.may_stream.set()

    @property
    def address(self):
        """Return the address of the relay, which is the announced address."""
        return f'127.0.0.1:{self.relay.port}'

    async def start(self):
        """Start the server and the relay in front of it."""
        await super().start()
        self.relay = relay.Relay('127.0.0.1', self.port)
        await self.relay.start()

    async def stop(self):
        """Stop the relay and the server."""
        await self.relay.stop()
        await super().stop()

    def cut(self, *ways):
        """Drop all traffic on the link, in both directions or in one."""
        self._is_cut = True
        self._lose_runs()
        self.relay.cut(*ways)

    def heal(self):
        """Restore the link."""
        self._is_cut = False
        self.relay.heal()

    def _lose_runs(self):
        self.lost_runs.update(self._running)
        self._running.clear()

    def crash(self):
        """Reset all connections and restart empty with a new identity."""
        self._lose_runs()
        self.born_ms += 1
        self.server_id = f'i-{self.service}-{self.number}-{self.born_ms}'
        self.sequence = 0
        self.accepted_orders = 0
        self.layers = None
        self.state = 'ready'
        self.leaves = False
        self.relay.reset()

    async def _serve(self, request):
        request_id = request.headers.get(names.REQUEST_ID, '')
        body = await request.read()
        if request.headers.get(names.EXPECT_INSTANCE) != self.server_id:
            return web.Response(status=421)
        if self.state != 'ready' or self.refuses:
            headers = {
                names.REQUEST_ID: request_id,
                names.NOT_EXECUTED: '1',
                **self._notices(),
            }
            if self.pause_text is not None:
                headers[names.RETRY_AFTER] = self.pause_text
            return web.Response(status=503, headers=headers)
        self._note_run(request_id)
        try:
            return await self._run(request, request_id, body)
        finally:
            self._running -= collections.Counter({request_id: 1})

    def _note_run(self, request_id):
        self.runs[request_id] += 1
        if self._is_cut:
            self.lost_runs[request_id] += 1
        else:
            self._running[request_id] += 1

    async def _run(self, request, request_id, body):
        self.accounts[request_id] = request.headers.get(names.TENANT)
        headers = {
            names.REQUEST_ID: request_id,
            peers.SEAL: f'seal-{request_id}',
            **self._notices(),
        }
        if self.service == 'model':
            self._check_path(request)
            try:
                return await self._stream(request, headers)
            except ConnectionError:
                # The link was reset; the run is already counted.
                return web.Response(status=499)
        await asyncio.sleep(self.service_time_s)
        if self.answers_to_lose > 0:
            self.answers_to_lose -= 1
            request.transport.abort()
            return web.Response(status=500)
        text = f'done {request_id} {body.decode()}'
        return web.Response(text=text, headers=headers)

    def _check_path(self, request):
        next_layer = 0
        for hop in request.headers.get(names.HOPS, '').split(','):
            first, _, end = hop.rpartition('=')[2].partition('-')
            if int(first) != next_layer:
                self.bad_paths.append(request.headers[names.HOPS])
                return
            next_layer = int(end)
        if next_layer != standin.samples.ENGINE['layers']:
            self.bad_paths.append(request.headers[names.HOPS])

    async def _stream(self, request, headers):
        request_id = headers[names.REQUEST_ID]
        response = web.StreamResponse(
            headers=headers | {'Content-Type': 'text/event-stream'}
        )
        await response.prepare(request)
        first = int(request.headers.get(names.LAST_EVENT_ID, 0)) + 1
        for number in range(first, self.events + 1):
            await self.may_stream.wait()
            text = f'id: {number}\ndata: {request_id}/{number}\n\n'
            await response.write(text.encode())
            await asyncio.sleep(EVENT_INTERVAL_S)
        await response.write_eof()
        return response


def build(model_count, plain_count):
    """Create the servers of both services."""
    return [
        RecordingServer(number, 'model') for number in range(model_count)
    ] + [RecordingServer(number, 'jobs') for number in range(plain_count)]
