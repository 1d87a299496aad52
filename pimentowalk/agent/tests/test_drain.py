"""Guard the planned end of an agent."""

import asyncio

import pytest

from pimentowalk.agent import daemon
from pimentowalk.agent.tests import fake_engines
from pimentowalk.agent.tests import fakes
from pimentowalk.core import timers
from pimentowalk.wire import messages


async def advance_until(clock, condition):
    """Move the clock in small steps until a condition holds."""
    for _ in range(500):
        if condition():
            return
        await clock.advance(0.05)
        await asyncio.sleep(0.001)
    raise AssertionError('the condition was never reached')


async def test_drain_finishes_what_runs_and_refuses_the_rest(pair):
    """A planned stop must not interrupt a request in progress."""
    pair.last_engine.held = True
    frames = [await pair.open() for _ in range(10)]
    await fakes.reach(
        lambda: sum(len(i) for _, i in pair.last_engine.waiting) == 8
    )
    drained = pair.head.lifecycle.begin_drain()
    for frame in frames[8:]:
        await pair.entry.ended(frame, 'refused', 'draining')
    assert pair.head.session.announced == 1
    assert pair.head.announcement().draining
    await pair.answered('refused', 'draining')
    assert not drained.done()
    pair.last_engine.held = False
    await pair.last_engine.release()
    for frame in frames[:8]:
        await pair.entry.ended(frame, 'finished')
    await advance_until(pair.timers, drained.done)


async def test_attempt_in_preparation_is_refused_when_draining(pair):
    """An attempt admitted after the announcement would be new work."""
    gate = asyncio.Event()
    connection = pair.head.peers.connection

    async def slow(stage):
        await gate.wait()
        return await connection(stage)

    pair.head.peers.connection = slow
    frame = await pair.open()
    await fakes.reach(lambda: pair.head.head.attempts)
    pair.head.lifecycle.begin_drain()
    gate.set()
    await pair.entry.ended(frame, 'refused', 'draining')
    assert not pair.head_engine.record


async def test_drain_order_ends_the_agent_when_idle(pair):
    """An operator's drain must lead to the end of the process."""
    sent = messages.Order(1, 'drain', b'')
    reply = await pair.entry.ask(sent)
    assert reply.done
    assert pair.head.lifecycle.draining.is_set()
    drained = pair.head.lifecycle.begin_drain()
    await advance_until(pair.timers, drained.done)


class Process:
    """A daemon around an agent whose work never ends by itself."""

    def __init__(self, engine, clock):
        identity = fakes.node.Identity(
            'agent-9',
            1,
            'brass',
            backend_url=f'http://127.0.0.1:{engine.port}',
        )
        self.engine = engine
        self.clock = clock
        self.session = fakes.FakeSession()
        self.agent = fakes.node.Agent(
            identity, self.session, clock, fakes.FakeControl()
        )
        self.daemon = daemon.Daemon(self.agent, self.session, clock, 20.0)
        self.task = asyncio.ensure_future(self.daemon.run())

    async def busy_entry(self):
        """Run one attempt whose result the engine keeps."""
        await fakes.reach(lambda: self.agent.server.port)
        entry = fakes.FakeEntry()
        await entry.connect(self.agent)
        chain = [fakes.address(self.agent, 0, 2)]
        frame = fakes.open_attempt(chain)
        await entry.connection.send(frame)
        await fakes.reach(lambda: self.agent.stage.sequences)
        return entry, frame


@pytest.fixture
async def process():
    """Run a daemon beside an engine that keeps all results."""
    engine = fake_engines.FakeEngine()
    await engine.start()
    engine.held = True
    yield Process(engine, timers.ManualTimerService())
    await engine.stop()


async def test_second_signal_ends_the_process_and_names_what_was_cut(process):
    """An operator must be able to end a drain that does not end."""
    entry, frame = await process.busy_entry()
    process.daemon.on_signal()
    await advance_until(process.clock, process.agent.lifecycle.draining.is_set)
    assert not process.task.done()
    process.daemon.on_signal()
    assert await process.task == [frame.request_id.hex()]
    assert process.session.stopped
    await entry.task


async def test_signal_before_the_configuration_drains_all_the_same(process):
    """Peers send work before control has sent a configuration."""
    process.session.has_configuration.clear()
    entry, frame = await process.busy_entry()
    process.daemon.on_signal()
    await advance_until(process.clock, process.agent.lifecycle.draining.is_set)
    process.engine.held = False
    await process.engine.release()
    await advance_until(process.clock, process.task.done)
    assert process.task.result() == []
    assert entry.statuses()[-1].state == 'finished'
    await entry.task


async def test_drain_timeout_ends_the_process(process):
    """A request that never ends must not keep the process for ever."""
    entry, frame = await process.busy_entry()
    process.daemon.on_signal()
    await advance_until(process.clock, process.task.done)
    assert process.task.result() == [frame.request_id.hex()]
    assert process.clock.now_s() >= 20
    await entry.task


async def test_signal_before_the_engine_is_there_ends_the_process():
    """A process that waits for its engine must still obey a signal."""
    engine = fake_engines.FakeEngine()
    engine.port = 1
    process = Process(engine, timers.ManualTimerService())
    await asyncio.sleep(0)
    process.daemon.on_signal()
    assert await process.task == []
