"""A front whose configuration is replaced at chosen steps of a request."""

import asyncio
import collections
import copy
import json
import types

import aiohttp
from aiohttp import web
import attrs

from pimentowalk.admission import crashes
from pimentowalk.admission import window_budget
from pimentowalk.core import metrics as core_metrics
from pimentowalk.core import timers as core_timers
from pimentowalk.dispatch import dispatcher
from pimentowalk.entry import drain
from pimentowalk.membership import backends as membership
from pimentowalk.platform import announcements
from pimentowalk.platform import documents
from pimentowalk.platform import engines
from pimentowalk.platform import front
from pimentowalk.platform import names
from pimentowalk.platform.tests import samples
from pimentowalk.platform.tests import standin
from pimentowalk.routing import work
from tools.tests import waiting

HOST = '127.0.0.1'
EVENTS = 6
# Bounds a request that hangs; the routes end all others sooner.
REQUEST_TIMEOUT_S = 10.0
# Longer than it takes the node to act on a new document.
SETTLE_S = 0.01


class Steps:
    """Run a coroutine function when a request first reaches its step.

    `breaks` breaks off the next run without a complete answer, or the run
    that sets it while it pauses.
    """

    def __init__(self):
        self.actions = {}
        self.breaks = False

    async def reach(self, step):
        """Run the action of a step, once."""
        action = self.actions.pop(step, None)
        if action is not None:
            await action()
            await asyncio.sleep(SETTLE_S)


class SteppedServer(standin.StandInServer):
    """A backend server that reports the steps of the requests it runs."""

    def __init__(self, server_id, service, steps):
        super().__init__(server_id, HOST, service)
        self.steps = steps
        self.layers = (0, samples.ENGINE['layers'])
        self.runs = collections.Counter()
        # The status of reports; None delays them beyond any timeout, 0 resets
        # their connections.
        self.report_status = 200
        # Whether streams are answered with events.
        self.has_events = True
        # How many requests were refused.
        self.refusals = 0

    async def _report(self, request):
        if self.report_status is None:
            await asyncio.sleep(REQUEST_TIMEOUT_S)
        if self.report_status == 0:
            request.transport.abort()
            return web.Response()
        if self.report_status != 200:
            return web.Response(status=self.report_status)
        return await super()._report(request)

    async def _serve(self, request):
        request_id = request.headers[names.REQUEST_ID]
        if self.refuses:
            return self._refuse(request_id)
        self.runs[request_id] += 1
        await request.read()
        await self.steps.reach('run')
        if self.refuses:
            # It was only queued so far.
            self.runs[request_id] -= 1
            return self._refuse(request_id)
        if self.steps.breaks:
            self.steps.breaks = False
            request.transport.abort()
            return web.Response(status=500)
        headers = {names.REQUEST_ID: request_id}
        self.last_headers = request.headers.copy()
        if request.path.startswith('/draft/') and self.has_events:
            return await self._stream(request, headers)
        return web.Response(status=self.status, body=b'done', headers=headers)

    def _refuse(self, request_id):
        self.refusals += 1
        return web.Response(
            status=503,
            headers={names.REQUEST_ID: request_id, names.NOT_EXECUTED: '1'},
        )

    async def _stream(self, request, headers):
        response = web.StreamResponse(
            headers=headers | {'Content-Type': 'text/event-stream'}
        )
        await response.prepare(request)
        await response.write(b'id: 1\n')
        await self.steps.reach('event')
        await response.write(b'data: x\n\n')
        await self.steps.reach('pause')
        last_id = int(request.headers.get(names.LAST_EVENT_ID, 0))
        for number in range(max(2, last_id + 1), EVENTS + 1):
            if self.steps.breaks:
                self.steps.breaks = False
                request.transport.abort()
                return response
            await response.write(f'id: {number}\ndata: x\n\n'.encode())
            await self.steps.reach(f'after {number}')
        await response.write_eof()
        return response


class SteppedClient(engines.BackendClient):
    """A client for backend servers that reports each send of a request."""

    def __init__(self, steps):
        super().__init__()
        self.steps = steps
        self.sends = 0

    async def send(self, call, target, remaining_ms, last_event_id):
        """Report the step, then send the call."""
        self.sends += 1
        await self.steps.reach(f'send {self.sends}')
        return await super().send(call, target, remaining_ms, last_event_id)


class FakeNode:
    """The document and the backend servers of a node without peers."""

    def __init__(self, timers):
        self.node_id = 'n-1'
        self.document = None
        self.backends = membership.BackendTable(
            timers.now_s,
            60.0,
            lambda service: service in self.document.services,
        )
        self.has_view = True
        self.has_withdrawn_document = False
        self.live_nodes = 1
        self._document_callbacks = []

    @property
    def document_version(self):
        """Return the version of the document in force."""
        return self.document.version

    def on_document(self, callback):
        """Call `callback(document)` after each new document."""
        self._document_callbacks.append(callback)

    def apply(self, document):
        """Put a document in force."""
        self.document = document
        for callback in self._document_callbacks:
            callback(document)

    def subscribe(self, frame_class, callback):
        """Ignore the frames of other nodes, since there are none."""

    publish = publish_load = announce = staticmethod(lambda body: None)


@attrs.frozen
class Answer:
    """What the caller of one request received."""

    status: int
    request_id: str
    body: bytes


class Scene:
    """A front with two servers of each service."""

    def __init__(self):
        self.steps = Steps()
        self.timers = core_timers.TimerService()
        self.node = FakeNode(self.timers)
        self.client = SteppedClient(self.steps)
        now_s = self.timers.now_s
        self.metrics = core_metrics.Metrics('test')
        self.dispatcher = dispatcher.Dispatcher(
            self.node,
            self.client,
            self.timers,
            in_flight=work.InFlightTracker('n-1', now_s),
            budget=window_budget.WindowBudget(
                now_s, window_s=10.0, ratio=1.0, extra=100.0
            ),
            crashes=crashes.CrashTracker(now_s, 'n-1'),
            metrics=self.metrics,
            zone='z1',
        )
        self.freshness = types.SimpleNamespace(
            is_valid=True, was_ever_valid=True, age_s=0.0
        )
        self.front = front.Front(
            self.node,
            self.freshness,
            self.dispatcher,
            self.timers,
            drain.Drain(self.timers),
            self.metrics,
        )
        self.servers = [
            SteppedServer(f'{service}-{number}', service, self.steps)
            for service in ('model', 'jobs', 'spare')
            for number in (1, 2)
        ]
        self._version = 0
        self._runner = None
        self._session = None
        self._port = 0

    async def start(self):
        """Start the servers and listen for the caller."""
        await self.client.start()
        for server in self.servers:
            await server.start()
        self.reset()
        self.dispatcher.start()
        self._runner = web.AppRunner(
            self.front.application(1 << 20), handler_cancellation=True
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, HOST, 0).start()
        self._port = self._runner.addresses[0][1]
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        )

    @property
    def address(self):
        """Return the host and the port of the front."""
        return HOST, self._port

    async def stop(self):
        """Close all connections."""
        await self._session.close()
        await self._runner.cleanup()
        for server in self.servers:
            await server.stop()
        await self.client.stop()

    def reset(self):
        """Put the first configuration in force and announce all servers."""
        self.steps.actions.clear()
        self.client.sends = 0
        self.steps.breaks = False
        self.configure()
        self.announce()

    def announce(self, **changes):
        """Let all servers announce themselves."""
        for server in self.servers:
            self.node.backends.apply(
                announcements.decode(
                    server.server_id,
                    json.dumps(server.announcement() | changes).encode(),
                )
            )

    def configure(self, change=None, kind=None):
        """Put the first configuration in force, with a change if given."""
        self._version += 1
        data = copy.deepcopy(samples.CONFIGURATION)
        data['services'].append({'name': 'spare', 'health-path': '/health'})
        if change is not None:
            change(data, kind)
        data['version'] = self._version
        self.node.apply(documents.decode(json.dumps(data)))

    async def _body(self):
        """Return a body whose rest follows once the front has the head."""
        received = self.metrics.counters['requests']
        yield b'body'
        await waiting.until(
            lambda: self.metrics.counters['requests'] > received
        )
        await self.steps.reach('body')
        yield b'rest'

    async def request(
        self, method, path, request_id, deadline_ms=5000, headers=None
    ):
        """Send a request in two parts; return the complete answer."""
        async with self._session.request(
            method,
            f'http://{HOST}:{self._port}{path}',
            headers={
                'Host': 'a.example',
                names.REQUEST_ID: request_id,
                names.KEY: 'k1',
                names.DEADLINE_MS: str(deadline_ms),
                names.TOKEN_COUNT: '100,24',
                **(headers or {}),
            },
            data=self._body(),
        ) as response:
            return Answer(
                response.status,
                response.headers.get(names.REQUEST_ID, ''),
                await response.read(),
            )

    def runs(self, request_id):
        """Return how often servers began to run a request."""
        return sum(server.runs[request_id] for server in self.servers)
