"""Fixtures for the tests of the agent."""

import contextlib

import attrs
import pytest

from pimentowalk.agent.tests import fakes
from pimentowalk.core import timers
from pimentowalk.topology import instances


@attrs.define
class Pair:
    """Two agents that hold one model, and an entry connected to the head."""

    head: object
    last: object
    head_engine: object
    last_engine: object
    entry: object
    timers: object

    @property
    def chain(self):
        """Return the chain over both agents."""
        return [
            fakes.address(self.head, 0, 2),
            fakes.address(self.last, 2, 5),
        ]


@pytest.fixture
async def pair():
    """Run two agents with fake engines on a manual clock."""
    clock = timers.ManualTimerService()
    async with contextlib.AsyncExitStack() as stack:
        engines = [fakes.FakeEngine(0, 2, 5), fakes.FakeEngine(2, 5, 5)]
        agents = []
        for number, engine in enumerate(engines):
            await engine.start()
            stack.push_async_callback(engine.stop)
            agents.append(
                await stack.enter_async_context(
                    fakes.running_agent(engine, clock, f'agent-{number}')
                )
            )
        entry = fakes.FakeEntry()
        await entry.connect(agents[0])
        stack.push_async_callback(entry.close)
        yield Pair(*agents, *engines, entry, clock)


@attrs.define
class Desk:
    """An agent of a plain service and an entry connected to it."""

    agent: object
    service: object
    entry: object
    timers: object


@pytest.fixture
async def desk():
    """Run an agent beside a plain service on a manual clock."""
    clock = timers.ManualTimerService()
    service = fakes.FakeService()
    await service.start()
    async with fakes.running_agent(
        service, clock, 'desk', kind=instances.PLAIN
    ) as agent:
        entry = fakes.FakeEntry()
        await entry.connect(agent)
        yield Desk(agent, service, entry, clock)
        await entry.close()
    await service.stop()
