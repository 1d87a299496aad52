"""Tests of draining and stopping an agent."""

import asyncio

import pytest

from pimentowalk.agent import daemon
from pimentowalk.agent.tests import fake_engines
from pimentowalk.agent.tests import fakes
from pimentowalk.core import timers
from pimentowalk.wire import messages


async def advance_until(clock, condition):
    """Advance the clock in small steps until a condition holds."""
    for _ in range(500):
        if condition():
            return
        await clock.advance(0.05)
        await asyncio.sleep(0.001)
    raise AssertionError('the condition did not become true')


async def test_drain_finishes_running_attempts_and_refuses_queued(two_stages):
    """A graceful stop must not interrupt a running request."""
    two_stages.last_engine.hold_results = True
    frames = [await two_stages.open() for _ in range(10)]
    await fakes.wait_until(
        lambda: sum(len(i) for _, i in two_stages.last_engine.held_steps) == 8
    )
    drained = two_stages.head.lifecycle.begin_drain()
    for frame in frames[8:]:
        await two_stages.entry.wait_for_end(frame, 'refused', 'draining')
    assert two_stages.head.session.announcements == 1
    assert two_stages.head.announcement().draining
    await two_stages.run_to_end('refused', 'draining')
    assert not drained.done()
    two_stages.last_engine.hold_results = False
    await two_stages.last_engine.release_results()
    for frame in frames[:8]:
        await two_stages.entry.wait_for_end(frame, 'finished')
    await advance_until(two_stages.timers, drained.done)


async def test_attempt_in_preparation_is_refused_when_draining(two_stages):
    """An attempt must not start after the drain was announced."""
    may_connect = asyncio.Event()
    connection = two_stages.head.peers.connection

    async def delayed_connection(stage):
        await may_connect.wait()
        return await connection(stage)

    two_stages.head.peers.connection = delayed_connection
    frame = await two_stages.open()
    await fakes.wait_until(lambda: two_stages.head.head.attempts)
    two_stages.head.lifecycle.begin_drain()
    may_connect.set()
    await two_stages.entry.wait_for_end(frame, 'refused', 'draining')
    assert not two_stages.head_engine.steps_run


async def test_drain_order_drains_the_idle_agent(two_stages):
    """A drain order must lead to the end of the process."""
    sent = messages.Order(1, 'drain', b'')
    reply = await two_stages.entry.call(sent)
    assert reply.done
    assert two_stages.head.lifecycle.draining.is_set()
    drained = two_stages.head.lifecycle.begin_drain()
    await advance_until(two_stages.timers, drained.done)


class RunningDaemon:
    """A daemon whose engine holds back all results."""

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

    async def open_held_attempt(self):
        """Open an attempt whose result the engine holds back."""
        await fakes.wait_until(lambda: self.agent.server.port)
        entry = fakes.FakeEntry()
        await entry.connect(self.agent)
        chain = [fakes.stage_address(self.agent, 0, 2)]
        frame = fakes.open_attempt(chain)
        await entry.connection.send(frame)
        await fakes.wait_until(lambda: self.agent.stage.sequences)
        return entry, frame


@pytest.fixture
async def running():
    """Run a daemon beside an engine that holds back all results."""
    engine = fake_engines.FakeEngine()
    await engine.start()
    engine.hold_results = True
    yield RunningDaemon(engine, timers.ManualTimerService())
    await engine.stop()


async def test_second_signal_stops_and_returns_interrupted_requests(running):
    """An operator must be able to abort a drain that does not complete."""
    entry, frame = await running.open_held_attempt()
    running.daemon.on_signal()
    await advance_until(running.clock, running.agent.lifecycle.draining.is_set)
    assert not running.task.done()
    running.daemon.on_signal()
    assert await running.task == [frame.request_id.hex()]
    assert running.session.stopped
    await entry.task


async def test_signal_before_the_configuration_drains(running):
    """Peers send work even before control has sent a configuration."""
    running.session.has_configuration.clear()
    entry, frame = await running.open_held_attempt()
    running.daemon.on_signal()
    await advance_until(running.clock, running.agent.lifecycle.draining.is_set)
    running.engine.hold_results = False
    await running.engine.release_results()
    await advance_until(running.clock, running.task.done)
    assert running.task.result() == []
    assert entry.statuses()[-1].state == 'finished'
    await entry.task


async def test_drain_timeout_ends_the_process(running):
    """A request that never ends must not keep the process running."""
    entry, frame = await running.open_held_attempt()
    running.daemon.on_signal()
    await advance_until(running.clock, running.task.done)
    assert running.task.result() == [frame.request_id.hex()]
    assert running.clock.now_s() >= 20
    await entry.task


async def test_signal_before_the_engine_connects_stops_the_process():
    """A process that waits for its engine must still handle signals."""
    engine = fake_engines.FakeEngine()
    engine.port = 1
    running = RunningDaemon(engine, timers.ManualTimerService())
    await asyncio.sleep(0)
    running.daemon.on_signal()
    assert await running.task == []
