"""Fixtures for the tests of the agent."""

import attrs
import pytest

from pimentowalk.agent.tests import fake_engines
from pimentowalk.agent.tests import fakes
from pimentowalk.core import timers
from pimentowalk.topology import instances


def _fake_stages(*layers):
    def make_engine(first, end):
        return fake_engines.FakeEngine(first, end, layers[-1][1])

    clock = timers.ManualTimerService()
    return fakes.running_stages(layers, make_engine, clock)


@pytest.fixture
async def two_stages():
    """Run a chain of two agents with fake engines on a manual clock."""
    async with _fake_stages((0, 2), (2, 5)) as stages:
        yield stages


@pytest.fixture
async def three_stages():
    """Run a chain of three agents with fake engines on a manual clock."""
    async with _fake_stages((0, 2), (2, 3), (3, 6)) as stages:
        yield stages


@attrs.define
class PlainServiceSetup:
    """A plain service, its agent and an entry that is connected to it."""

    agent: object
    service: object
    entry: object
    timers: object


@pytest.fixture
async def plain_setup():
    """Run an agent beside a plain service on a manual clock."""
    clock = timers.ManualTimerService()
    service = fake_engines.FakeService()
    await service.start()
    async with fakes.running_agent(
        service, clock, 'desk', kind=instances.PLAIN
    ) as agent:
        entry = fakes.FakeEntry()
        await entry.connect(agent)
        yield PlainServiceSetup(agent, service, entry, clock)
        await entry.close()
    await service.stop()
