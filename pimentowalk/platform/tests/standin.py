"""A minimal stand-in for the platform: backend servers and an operator."""

import asyncio
import json

import aiohttp
from aiohttp import web

from pimentowalk.platform import names
from pimentowalk.platform.tests import samples

EVENT_TOKENS = 4
# The head of an answer, and its body, within the body of another one.
ERROR_TEXT = b'HTTP/1.1 500 error\r\nRetry-After: 1\r\n\r\nthe error\n\n'


class StandInServer:
    """A backend server that holds layers, serves requests and accepts orders.

    Faults are injected by attributes: `refuses` answers 503 without running
    the request, `break_after_events` aborts a stream after that many events,
    `hangs` delays each answer by 60 s, `released` until this event is set,
    `status` and `body` are those of the answers to plain calls.
    A server crashes when it begins to answer a prompt with `deadly_part`, or
    a plain call of `deadly_target`.
    `leaves` adds to each answer that the server leaves, without announcing
    it; `pause_text` asks for a pause in the 503 of a server that refuses.
    `resume_answer` is (status, content type) of answers to resumed streams.
    """

    def __init__(self, server_id, host, service, *, zone='z1', kind='v100'):
        self.server_id = server_id
        self.host = host
        self.service = service
        self.zone = zone
        self.kind = kind
        self.port = 0
        self.born_ms = 1_700_000_000_000
        self.sequence = 0
        self.accepted_orders = 0
        self.state = 'ready'
        self.layers = None
        self.refuses = False
        self.break_after_events = None
        self.hangs = False
        self.released = None
        self.deadly_part = None
        self.deadly_target = None
        self.crashing = None
        self.resume_answer = None
        self.leaves = False
        self.pause_text = None
        self.reports_sent = 0
        self.status = 200
        self.body = b'done'
        self.events = 6
        self.event_interval_s = 0.005
        self.stalled = []
        self.requests_seen = []
        self.reroutes = []
        self._runner = None

    async def start(self):
        """Listen on a free port, chosen by the operating system."""
        app = web.Application()
        app.router.add_get('/v1/report', self._report)
        app.router.add_post('/v1/order', self._order)
        app.router.add_route('*', '/{path:.*}', self._serve)
        self._runner = web.AppRunner(
            app, handler_cancellation=True, shutdown_timeout=0.1
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, self.host, self.port)
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def stop(self):
        """Stop the server and close all connections, as in a crash."""
        await self._runner.cleanup()

    async def restart(self):
        """Start a new incarnation after a crash, with the same layers."""
        await self.crashing
        self.crashing = None
        self.born_ms += 1
        self.sequence = 0
        await self.start()

    @property
    def address(self):
        """Return `host:port`."""
        return f'{self.host}:{self.port}'

    def announcement(self):
        """Return the next announcement."""
        self.sequence += 1
        layers = self.layers and {
            'from': self.layers[0],
            'to': self.layers[1],
            'version': 1,
        }
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': 6,
            'state': self.state,
            'models': [{'name': 'm1', 'version': 1, 'adapters': []}],
            'layers': layers,
            'kind': self.kind,
            'sequence': self.sequence,
            'born': self.born_ms,
        }

    def _notices(self):
        return {names.SERVER_LEAVING: '1'} if self.leaves else {}

    async def _report(self, request):
        self.reports_sent += 1
        return web.json_response(
            {'sequence': self.accepted_orders, 'stalled': self.stalled},
            headers=self._notices(),
        )

    async def _order(self, request):
        body = await request.json()
        if body['operation'] == 'repath':
            self.reroutes.append(body)
            return web.json_response({}, status=404)
        if (
            body.get('precondition', self.accepted_orders)
            != self.accepted_orders
        ):
            return web.json_response({}, status=409)
        self.accepted_orders += 1
        self.layers = body['from'], body['to']
        return web.json_response({}, status=202)

    async def _serve(self, request):
        body = await request.read()
        self.requests_seen.append((request.method, request.raw_path, body))
        headers = {
            names.REQUEST_ID: request.headers.get(names.REQUEST_ID, ''),
            'Pimentowalk-Response-Seal': f'seal-{self.server_id}',
            **self._notices(),
        }
        if request.headers.get(names.EXPECT_INSTANCE) != self.server_id:
            return web.Response(status=421)
        if self.hangs:
            await asyncio.sleep(60)
        if self.released is not None:
            await self.released.wait()
        if self.refuses:
            headers[names.NOT_EXECUTED] = '1'
            if self.pause_text is not None:
                headers[names.RETRY_AFTER] = self.pause_text
            return web.Response(status=503, headers=headers)
        if self.service != 'model':
            self.last_headers = request.headers.copy()
            if request.raw_path == self.deadly_target:
                self._crash(request)
            return web.Response(
                status=self.status, body=self.body, headers=headers
            )
        return await self._stream(request, headers)

    def _crash(self, request):
        self.crashing = asyncio.ensure_future(self.stop())
        request.transport.abort()

    async def _stream(self, request, headers):
        self.last_headers = request.headers.copy()
        first = int(request.headers.get(names.LAST_EVENT_ID, 0)) + 1
        if first > 1 and self.resume_answer is not None:
            status, content_type = self.resume_answer
            return web.Response(
                status=status,
                body=ERROR_TEXT,
                headers=headers | {'Content-Type': content_type},
            )
        response = web.StreamResponse(
            headers=headers | {'Content-Type': 'text/event-stream'}
        )
        await response.prepare(request)
        parts = request.headers.get(names.PROMPT_PARTS, '').split(',')
        if self.deadly_part in [part.partition(':')[0] for part in parts]:
            self._crash(request)
            return response
        for sent, number in enumerate(range(first, self.events + 1)):
            if sent == self.break_after_events:
                await response.write(f'id: {number}\nda'.encode())
                request.transport.abort()
                return response
            await response.write(f'id: {number}\ndata: x\n\n'.encode())
            await asyncio.sleep(self.event_interval_s)
        await response.write_eof()
        return response


class Platform:
    """The operator, the backend servers and a caller of some gateways."""

    def __init__(self, gateways, servers):
        self.gateways = gateways
        self.servers = servers
        self.session = None

    async def start(self):
        """Start the servers and the HTTP session of the caller."""
        self.session = aiohttp.ClientSession()
        for server in self.servers:
            await server.start()

    async def stop(self):
        """Stop the servers and close the session."""
        await self.session.close()
        for server in self.servers:
            await server.stop()

    async def announce(self):
        """Announce each server once, round robin over the gateways."""
        for number, server in enumerate(self.servers):
            gateway = self.gateways[number % len(self.gateways)]
            await self.control(
                gateway,
                'PUT',
                f'/v1/instances/{server.server_id}',
                json.dumps(server.announcement()),
            )

    async def control(self, gateway, method, path, body=None):
        """Call a control address; return status and body."""
        address = gateway.settings.control
        url = f'http://{address.host}:{address.port}{path}'
        async with self.session.request(method, url, data=body) as response:
            return response.status, await response.text()

    async def configure(self, gateway=None, **changes):
        """Publish a configuration; return the status."""
        status, _ = await self.control(
            gateway or self.gateways[0],
            'PUT',
            '/v1/configuration',
            samples.configuration(**changes),
        )
        return status

    def request(self, gateway, method, path, *, request_id, **headers):
        """Return the context manager of a request to the front address."""
        address = gateway.settings.front
        default_headers = {
            'Host': 'a.example',
            names.REQUEST_ID: request_id,
            names.KEY: 'k1',
            names.DEADLINE_MS: '3000',
            names.TOKEN_COUNT: '100,24',
        }
        url = f'http://{address.host}:{address.port}{path}'
        return self.session.request(
            method,
            url,
            headers=default_headers | headers,
            data=b'' if method == 'GET' else b'body',
        )

    async def call(self, gateway, method, path, *, request_id, **headers):
        """Send a request; return status, headers and body of the response."""
        async with self.request(
            gateway, method, path, request_id=request_id, **headers
        ) as response:
            return response.status, response.headers, await response.read()
