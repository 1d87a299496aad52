"""Small stand-ins for what surrounds an agent in its tests."""

import asyncio
import contextlib
import json

from aiohttp import web

from pimentowalk.agent import node
from pimentowalk.core import errors
from pimentowalk.core import identifiers
from pimentowalk.topology import contracts
from pimentowalk.wire import connection as wire
from pimentowalk.wire import messages

MODEL = 'brass'
VERSION = '1'
WAIT_S = 5.0


async def reach(condition):
    """Let the loop run until a condition holds; fail after many turns."""
    for _ in range(5000):
        if condition():
            return
        await asyncio.sleep(0.001)
    raise AssertionError('the condition was never reached')


def mix(state, value):
    """Return the next state of a hash chain as eight bytes."""
    return identifiers.hash64(state, value).to_bytes(8, 'big')


def reference(prompt, total_layers, count, seed=0):
    """Return the token ids of an answer, computed in one place."""
    caches = [b''] * total_layers
    tokens = []
    value = prompt.encode()
    for index in range(count):
        for layer in range(total_layers):
            caches[layer] = mix(caches[layer], value)
            value = caches[layer]
        tokens.append(int.from_bytes(value[:4], 'big') ^ seed)
        value = str(tokens[index]).encode()
    return tokens


class FakeServer:
    """An HTTP server on loopback; `port` is 0 until it listens."""

    def __init__(self):
        self.port = 0
        self._runner = None

    def _routes(self):
        raise NotImplementedError

    async def start(self):
        """Listen on loopback."""
        application = web.Application()
        for method, path, handler in self._routes():
            application.router.add_route(method, path, handler)
        self._runner = web.AppRunner(application, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, '127.0.0.1', 0)
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def stop(self):
        """Close the server."""
        await self._runner.cleanup()


class FakeEngine(FakeServer):
    """An engine on loopback whose layers keep a hash of all inputs.

    `held` keeps results back until `release`; `record` lists the
    (sequence, index) pairs that ran.
    """

    def __init__(self, first=0, end=2, total=2, max_running=4):
        super().__init__()
        self.hello = {
            'type': 'hello',
            'model': MODEL,
            'version': VERSION,
            'adapters': [],
            'first_layer': first,
            'end_layer': end,
            'total_layers': total,
            'max_running': max_running,
            'capacity_tokens_per_s': 1000.0,
            'accelerator': 'fake',
            'checks_fencing': False,
        }
        self.layers = range(first, end)
        self.total = total
        self.sequences = {}
        self.record = []
        self.messages = []
        self.orders = []
        self.order_status = 200
        self.held = False
        self.waiting = []
        self.sockets = set()

    def _routes(self):
        yield 'GET', '/v1/stage', self._stage
        yield 'POST', '/v1/orders', self._order
        yield 'GET', '/healthz', self._health

    async def stop(self):
        """Close the server and all sockets."""
        await self.crash()
        await super().stop()

    async def crash(self):
        """Cut all connections as a killed engine would."""
        for socket in list(self.sockets):
            socket._req.transport.abort()

    async def _health(self, request):
        return web.Response()

    async def _order(self, request):
        self.orders.append(await request.json())
        return web.json_response({}, status=self.order_status)

    async def _stage(self, request):
        socket = web.WebSocketResponse()
        await socket.prepare(request)
        await socket.send_json(self.hello)
        self.sockets.add(socket)
        with contextlib.suppress(ConnectionError):
            async for frame in socket:
                await self._handle(socket, json.loads(frame.data))
        self.sockets.discard(socket)
        self.sequences.clear()
        return socket

    async def _handle(self, socket, message):
        self.messages.append(message)
        if message['type'] == 'open':
            caches = dict.fromkeys(self.layers, b'')
            self.sequences[message['sequence']] = (message, caches)
        elif message['type'] == 'close':
            self.sequences.pop(message['sequence'], None)
        elif message['type'] == 'steps':
            self.waiting.append((socket, message['items']))
            if not self.held:
                await self.release()

    async def release(self):
        """Send the results that were held back."""
        waiting, self.waiting = self.waiting, []
        for socket, items in waiting:
            done = [self._run(item) for item in items]
            done = [item for item in done if item is not None]
            await socket.send_json({'type': 'done', 'items': done})

    def _run(self, item):
        if item['sequence'] not in self.sequences:
            return None
        opened, caches = self.sequences[item['sequence']]
        index = item['index']
        self.record.append((item['sequence'], index))
        if self.layers.start > 0:
            values = [
                bytes.fromhex(item['hidden'])[at : at + 8]
                for at in range(0, len(item['hidden']) // 2, 8)
            ]
        elif 'token' in item:
            values = [str(item['token']).encode()]
        else:
            values = [opened['prompt'].encode()]
            values += [str(token).encode() for token in opened['generated']]
        for layer in self.layers:
            values = [self._layer(caches, layer, v) for v in values]
        done = {'sequence': item['sequence'], 'index': index}
        if self.layers.stop < self.total:
            return {**done, 'hidden': b''.join(values).hex()}
        token = int.from_bytes(values[-1][:4], 'big') ^ opened['seed']
        end = index + 1 >= opened['max_tokens']
        return {**done, 'token': token, 'text': f'{token} ', 'end': end}

    def _layer(self, caches, layer, value):
        caches[layer] = mix(caches[layer], value)
        return caches[layer]


class FakeService(FakeServer):
    """A plain service on loopback that keeps what it receives.

    With `gate` cleared, calls wait; `cut` ends them without an answer.
    """

    def __init__(self):
        super().__init__()
        self.calls = []
        self.gate = asyncio.Event()
        self.gate.set()
        self.cut = False
        self.healthy = True
        self.reply = b'booked'

    def _routes(self):
        yield 'GET', '/healthz', self._health
        yield '*', '/{tail:.*}', self._serve

    async def stop(self):
        """Answer the calls that wait and close the server."""
        self.gate.set()
        await super().stop()

    async def _health(self, request):
        return web.Response(status=200 if self.healthy else 503)

    async def _serve(self, request):
        body = await request.read()
        self.calls.append((request.method, request.path_qs, body))
        self.received_headers = dict(request.headers)
        await self.gate.wait()
        if self.cut:
            request.transport.abort()
        headers = {'X-Row': str(len(self.calls))}
        return web.Response(status=201, body=self.reply, headers=headers)


class Recorder:
    """Take the place of the engine; `status` is its answer."""

    def __init__(self):
        self.sent = []
        self.status = 200
        self.text = ''

    async def post_order(self, order):
        self.sent.append(order)
        return self.status, self.text


class FakeSession:
    """Stand in for `control.client.NodeSession`."""

    def __init__(self, configuration=None):
        self.configuration = configuration or contracts.Configuration()
        self.quarantined = set()
        self.suspects = set()
        self.announced = 0
        self.stopped = False
        self.versions = []
        self.callbacks = []
        self.has_configuration = asyncio.Event()
        self.has_configuration.set()

    async def start(self):
        """Do nothing."""

    async def ready(self, timeout_s):
        """Wait until the test gives a configuration."""
        await self.has_configuration.wait()

    async def announce_now(self):
        """Count announcements."""
        self.announced += 1

    async def stop(self):
        """Note that the session has ended."""
        self.stopped = True

    def on_configuration(self, callback):
        """Keep a callback for `configure`."""
        self.callbacks.append(callback)

    def note_version(self, version):
        """Note a version seen in a frame."""
        self.versions.append(version)

    def configure(self, configuration):
        """Put a configuration in force."""
        self.configuration = configuration
        for callback in self.callbacks:
            callback()


class FakeControl:
    """Answer the requests that an agent has for control."""

    def __init__(self):
        self.crashes = []
        self.fence = 0
        self.asked = 0

    async def report_crash(self, item):
        """Keep a crash report."""
        self.crashes.append(item)

    async def highest_fence(self):
        """Return the number set by the test; None means unreachable."""
        self.asked += 1
        if self.fence is None:
            raise errors.NoQuorum('no control')
        return self.fence


class FakeEntry:
    """An entry that keeps everything that agents send to it."""

    def __init__(self, node_id='entry-1'):
        self.hello = messages.Hello(node_id, 'entry', 1, 'zone-1')
        self.received = []
        self.connection = None
        self.task = None

    async def connect(self, agent):
        """Connect to an agent."""
        self.connection = await wire.dial('127.0.0.1', agent.port, self.hello)
        self.connection.on_frame = self._keep
        self.task = asyncio.ensure_future(self.connection.run())

    async def _keep(self, connection, envelope):
        self.received.append(envelope.body)

    async def close(self):
        """End the connection."""
        self.connection.close()
        await self.task

    def tokens(self, request_id=None):
        """Return all received tokens in order."""
        return [
            token
            for body in self.received
            if isinstance(body, messages.TokenBatch)
            for token in body.tokens
            if request_id in (None, token.request_id)
        ]

    def statuses(self, request_id=None):
        """Return the received states in order."""
        return [
            body
            for body in self.received
            if isinstance(body, messages.AttemptStatus)
            and request_id in (None, body.request_id)
        ]

    async def open(self, chain, **fields):
        """Open an attempt over a chain; return its frame."""
        frame = open_attempt(chain, **fields)
        await self.connection.send(frame)
        return frame

    async def close_attempt(self, frame):
        """Fence an attempt."""
        close = messages.CloseAttempt(frame.request_id, frame.attempt)
        await self.connection.send(close)

    async def ask(self, frame):
        """Return the reply to a call."""
        return await self.connection.call(frame, WAIT_S)

    async def ended(self, frame, *expected):
        """Wait until a request has ended; return its last status.

        `expected` is its state, and the code if one is given.
        """
        await reach(
            lambda: any(
                status.state in messages.ENDED
                for status in self.statuses(frame.request_id)
            )
        )
        status = self.statuses(frame.request_id)[-1]
        found = (status.state, status.code)[: len(expected)]
        assert found == expected, status
        return status


@contextlib.asynccontextmanager
async def running_agent(engine, timers, name, session=None, **fields):
    """Run an agent beside an engine for the length of a block."""
    identity = node.Identity(
        name,
        identifiers.new_incarnation(),
        'brass',
        backend_url=f'http://127.0.0.1:{engine.port}',
        **fields,
    )
    session = session or FakeSession()
    agent = node.Agent(identity, session, timers, FakeControl())
    await agent.start()
    try:
        yield agent
    finally:
        await agent.stop()


class Stages:
    """Agents in a row that hold one model, and an entry at the first."""

    def __init__(self, stack, agents, engines, layers, entry, clock):
        self._stack = stack
        self.agents = agents
        self.engines = engines
        self.layers = layers
        self.entry = entry
        self.timers = clock
        self.head, self.last = agents[0], agents[-1]
        self.head_engine, self.last_engine = engines[0], engines[-1]

    @property
    def chain(self):
        """Return the chain over all agents."""
        return [
            address(agent, *layers)
            for agent, layers in zip(self.agents, self.layers, strict=True)
        ]

    async def open(self, **fields):
        """Open an attempt over all agents."""
        return await self.entry.open(self.chain, **fields)

    async def open_held(self, **fields):
        """Open an attempt whose first step the last engine keeps."""
        self.last_engine.held = True
        frame = await self.open(**fields)
        await reach(lambda: self.last_engine.waiting)
        return frame

    async def other_head(self):
        """Return another head that is connected to the last agent."""
        peer = FakeEntry()
        peer.hello = messages.Hello('head-x', 'agent', 9)
        await peer.connect(self.last)
        self._stack.push_async_callback(peer.close)
        return peer

    def prepare(self, **fields):
        """Return a PrepareAttempt for the last agent."""
        values = {
            'request_id': identifiers.new_request_id(),
            'attempt': 3,
            'model': MODEL,
            'version': VERSION,
            'adapter': '',
            'seed': 0,
            'temperature': 0.0,
            'position': len(self.layers) - 1,
            'max_tokens': 9,
            'chain': self.chain,
            **fields,
        }
        return messages.PrepareAttempt(**values)

    async def answered(self, *expected, **fields):
        """Open an attempt and wait for its end; return its last status."""
        return await self.entry.ended(await self.open(**fields), *expected)


@contextlib.asynccontextmanager
async def running_stages(layers, make_engine, clock):
    """Run an engine and an agent for each layer range, and an entry."""
    async with contextlib.AsyncExitStack() as stack:
        agents = []
        engines = [make_engine(*bounds) for bounds in layers]
        for number, engine in enumerate(engines):
            await engine.start()
            stack.push_async_callback(engine.stop)
            agent = running_agent(engine, clock, f'agent-{number}')
            agents.append(await stack.enter_async_context(agent))
        entry = FakeEntry()
        await entry.connect(agents[0])
        stack.push_async_callback(entry.close)
        yield Stages(stack, agents, engines, layers, entry, clock)


def address(agent, first, end):
    """Return the place of an agent in a chain."""
    own = agent.identity
    return messages.StageAddress(
        own.server_id, own.incarnation, '127.0.0.1', agent.port, first, end
    )


def open_attempt(chain, *, request_id=None, attempt=1, **fields):
    """Return an OpenAttempt with defaults."""
    values = {
        'account': 'polishers',
        'service': 'brass',
        'model': MODEL,
        'version': VERSION,
        'adapter': '',
        'prompt': 'how to polish',
        'generated': [],
        'max_tokens': 5,
        'seed': 3,
        'temperature': 0.0,
        'predicted_tokens': 5,
        'deadline_ms': 0,
        'weight': 1.0,
        'fingerprint': 0,
        'scope_version': 0,
        **fields,
    }
    return messages.OpenAttempt(
        request_id or identifiers.new_request_id(),
        attempt,
        chain=chain,
        **values,
    )


def service_call(*, request_id=None, attempt=1, **fields):
    """Return a non-idempotent ServiceCall with defaults."""
    values = {
        'account': 'polishers',
        'service': 'desk',
        'method': 'POST',
        'path': '/jobs',
        'headers': [],
        'body': b'',
        'deadline_ms': 0,
        'weight': 1.0,
        'scope_version': 0,
        'non_idempotent': True,
        **fields,
    }
    return messages.ServiceCall(
        request_id or identifiers.new_request_id(), attempt, **values
    )
