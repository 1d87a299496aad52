"""Guard the way from control to the nodes over real connections."""

import asyncio
import contextlib

import attrs
import pytest

from pimentowalk.control import client
from pimentowalk.control.tests import builders
from pimentowalk.control.tests import fakes
from pimentowalk.core import timers
from pimentowalk.wire import messages

WAIT_S = 10


async def until(condition):
    """Wait until a condition holds; the limit only ends a failed test."""
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await timers.TimerService().sleep(0.005)


@contextlib.asynccontextmanager
async def control(count=1):
    """Run control instances that share no state."""
    found = [fakes.ControlInstance(f'control-{n}') for n in range(count)]
    for instance in found:
        await instance.server.start()
    try:
        yield found
    finally:
        for instance in found:
            await instance.server.stop()


@contextlib.asynccontextmanager
async def session(instances, node_id='entry-1', role='entry', **options):
    """Run a node session."""
    node = client.NodeSession(
        messages.Hello(node_id, role, 7, 'zone-1'),
        [instance.address for instance in instances],
        timers.TimerService(),
        heartbeat_s=0.05,
        **options,
    )
    await node.start()
    try:
        yield node
    finally:
        await node.stop()


@contextlib.asynccontextmanager
async def operator(instances, token=fakes.TOKEN):
    """Run an operator's client."""
    caller = client.ControlClient(
        [instance.address for instance in instances], token=token
    )
    try:
        yield caller
    finally:
        await caller.close()


async def test_publish_reaches_a_node():
    """A configuration that stays in control serves nobody."""
    async with control() as found, operator(found) as anna:
        async with session(found, services=[]) as node:
            result = await anna.request(builders.publish('c1', 0))
            assert (result.version, result.repeated) == (1, False)
            await node.ready(WAIT_S)
            seen = []
            node.on_configuration(lambda c: seen.append(c.version))
            second = {'two': builders.source(2)}
            await anna.request(builders.publish('c2', 1, **second))
            await until(lambda: node.configuration.version == 2)
            expected = found[0].state.part('publishing').configuration
            assert node.configuration == expected
            assert seen == [2]


async def test_announcement_reaches_an_entry_and_leaves_it():
    """Entries know of servers by their announcements only."""
    server = builders.backend()
    async with control() as found:
        async with session(found, services=['svc-1']) as node:
            agent = session(
                found, 'agent-1', 'agent', announcement=lambda: server
            )
            async with agent as announcer:
                await until(lambda: node.view.of_service('svc-1') == [server])
                server = attrs.evolve(server, draining=True)
                await announcer.announce_now()
                await until(lambda: node.view.servers() == [server])
            await until(lambda: node.view.servers() == [])
            assert node.view.live_entries == 1


@pytest.mark.parametrize('count', [1, 3])
async def test_view_survives_the_loss_of_control(count):
    """A node without control keeps serving with the view it has."""
    server = builders.backend()
    async with control(count) as found:
        async with (
            session(found, services=[]) as node,
            session(found, 'agent-1', 'agent', announcement=lambda: server),
        ):
            await until(lambda: node.view.servers() == [server])
            for instance in found:
                await instance.server.stop()
            await until(lambda: not node._homes)
            assert node.view.servers() == [server]
