"""Small stand-ins for what surrounds an agent in its tests."""

import asyncio
import contextlib

from pimentowalk.agent import node
from pimentowalk.agent.tests import fake_engines
from pimentowalk.core import errors
from pimentowalk.core import identifiers
from pimentowalk.topology import contracts
from pimentowalk.wire import connection as wire
from pimentowalk.wire import messages

WAIT_S = 5.0


async def reach(condition):
    """Let the loop run until a condition holds; fail after many turns."""
    for _ in range(5000):
        if condition():
            return
        await asyncio.sleep(0.001)
    raise AssertionError('the condition was never reached')


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

    def observe_version(self, version):
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
            'model': fake_engines.MODEL,
            'version': fake_engines.VERSION,
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
        'model': fake_engines.MODEL,
        'version': fake_engines.VERSION,
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
