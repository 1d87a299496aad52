"""Fakes of the components that an agent communicates with."""

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


async def wait_until(condition):
    """Run the event loop until a condition holds; fail after 5000 checks."""
    for _ in range(5000):
        if condition():
            return
        await asyncio.sleep(0.001)
    raise AssertionError('the condition did not become true')


class RecordingEngine:
    """Record orders in place of the engine; reply with `status` and `text`."""

    def __init__(self):
        self.sent = []
        self.status = 200
        self.text = ''

    async def post_order(self, order):
        self.sent.append(order)
        return self.status, self.text


class FakeSession:
    """Fake of `control.client.NodeSession`."""

    def __init__(self, configuration=None):
        self.configuration = configuration or contracts.Configuration()
        self.quarantined = set()
        self.suspects = set()
        self.announcements = 0
        self.stopped = False
        self.versions = []
        self.callbacks = []
        self.has_configuration = asyncio.Event()
        self.has_configuration.set()

    async def start(self):
        """Do nothing."""

    async def ready(self, timeout_s):
        """Wait until the test sets `has_configuration`."""
        await self.has_configuration.wait()

    async def start_announcing(self, announcement):
        """Count an announcement."""
        await self.announce_now()

    async def announce_now(self):
        """Count announcements."""
        self.announcements += 1

    async def stop(self):
        """Record that the session was stopped."""
        self.stopped = True

    def on_configuration(self, callback):
        """Register a callback for `configure`."""
        self.callbacks.append(callback)

    def observe_version(self, version):
        """Record the configuration version of a frame."""
        self.versions.append(version)

    def configure(self, configuration):
        """Put a configuration in force."""
        self.configuration = configuration
        for callback in self.callbacks:
            callback()


class FakeControl:
    """Fake of `daemon.ControlRequests`."""

    def __init__(self):
        self.crash_reports = []
        self.fence = 0
        self.fence_requests = 0

    async def report_crash(self, item):
        """Record a crash report."""
        self.crash_reports.append(item)

    async def highest_fence(self):
        """Return the number set by the test; fail if it is None."""
        self.fence_requests += 1
        if self.fence is None:
            raise errors.NoQuorum('no control')
        return self.fence


class FakeEntry:
    """An entry that records all frames that agents send to it."""

    def __init__(self, node_id='entry-1'):
        self.hello = messages.Hello(node_id, 'entry', 1, 'zone-1')
        self.received = []
        self.connection = None
        self.task = None

    async def connect(self, agent):
        """Connect to an agent."""
        self.connection = await wire.dial('127.0.0.1', agent.port, self.hello)
        self.connection.on_frame = self._record
        self.task = asyncio.ensure_future(self.connection.run())

    async def _record(self, connection, envelope):
        self.received.append(envelope.body)

    async def close(self):
        """Close the connection."""
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
        """Return all received attempt statuses in order."""
        return [
            body
            for body in self.received
            if isinstance(body, messages.AttemptStatus)
            and request_id in (None, body.request_id)
        ]

    async def open(self, chain, **fields):
        """Open an attempt on a chain; return its frame."""
        frame = open_attempt(chain, **fields)
        await self.connection.send(frame)
        return frame

    async def close_attempt(self, frame):
        """Fence an attempt."""
        close = messages.CloseAttempt(frame.request_id, frame.attempt)
        await self.connection.send(close)

    async def call(self, frame):
        """Send a frame as a call; return the reply."""
        return await self.connection.call(frame, WAIT_S)

    async def wait_for_end(self, frame, *expected):
        """Wait until a request has ended; check and return its last status.

        `expected` holds the expected state, or state and code.
        """
        await wait_until(
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
    """Run an agent beside an engine within a `with` block."""
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
    """The agents and engines of one chain, and an entry at the head."""

    def __init__(self, stack, agents, engines, layers, entry, clock):
        self._exit_stack = stack
        self.agents = agents
        self.engines = engines
        self.layers = layers
        self.entry = entry
        self.timers = clock
        self.head, self.last = agents[0], agents[-1]
        self.head_engine, self.last_engine = engines[0], engines[-1]

    @property
    def chain(self):
        """Return the chain of all agents."""
        return [
            stage_address(agent, *layers)
            for agent, layers in zip(self.agents, self.layers, strict=True)
        ]

    async def open(self, **fields):
        """Open an attempt on the chain of all agents."""
        return await self.entry.open(self.chain, **fields)

    async def open_with_held_step(self, **fields):
        """Open an attempt whose first result the last engine holds back."""
        self.last_engine.hold_results = True
        frame = await self.open(**fields)
        await wait_until(lambda: self.last_engine.held_steps)
        return frame

    async def connect_other_head(self):
        """Connect another head to the last agent and return it."""
        peer = FakeEntry()
        peer.hello = messages.Hello('head-x', 'agent', 9)
        await peer.connect(self.last)
        self._exit_stack.push_async_callback(peer.close)
        return peer

    def prepare_frame(self, **fields):
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

    async def run_to_end(self, *expected, **fields):
        """Open an attempt and wait for its end; return its last status."""
        return await self.entry.wait_for_end(
            await self.open(**fields), *expected
        )


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


def stage_address(agent, first, end):
    """Return the address of an agent as one stage of a chain."""
    identity = agent.identity
    return messages.StageAddress(
        identity.server_id,
        identity.incarnation,
        '127.0.0.1',
        agent.port,
        first,
        end,
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
