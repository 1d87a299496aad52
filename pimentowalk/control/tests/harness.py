"""Context managers that run control instances, sessions and clients."""

import asyncio
import contextlib

from pimentowalk.control import client
from pimentowalk.control.tests import fakes
from pimentowalk.core import timers
from pimentowalk.wire import messages

WAIT_S = 10


async def wait_until(condition):
    """Wait until a condition holds; the timeout only ends a failed test."""
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await timers.TimerService().sleep(0.005)


@contextlib.asynccontextmanager
async def control_instances(count=1):
    """Run control instances with separate states."""
    instances = [
        fakes.ControlInstance(f'control-{n + 1}') for n in range(count)
    ]
    for instance in instances:
        await instance.server.start()
    try:
        yield instances
    finally:
        for instance in instances:
            await instance.server.stop()


@contextlib.asynccontextmanager
async def node_session(instances, node_id='entry-1', role='entry', **options):
    """Run a session of a node with control instances."""
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
async def control_client(addresses, token=fakes.TOKEN):
    """Run an operator's client for the given addresses."""
    connected_client = client.ControlClient(addresses, token=token)
    try:
        yield connected_client
    finally:
        await connected_client.close()


def operator_client(instances, token=fakes.TOKEN):
    """Run an operator's client for the given control instances."""
    return control_client([instance.address for instance in instances], token)


@contextlib.asynccontextmanager
async def control_with_operator(count=1, token=fakes.TOKEN):
    """Run control instances and an operator's client."""
    async with (
        control_instances(count) as instances,
        operator_client(instances, token) as connected_client,
    ):
        yield instances, connected_client


@contextlib.asynccontextmanager
async def control_with_node(count=1, **options):
    """Run control instances and a node session with them."""
    async with (
        control_instances(count) as instances,
        node_session(instances, **options) as node,
    ):
        yield instances, node


def agent_session(instances, announcement):
    """Run the session of an agent that announces a backend server."""
    return node_session(
        instances, 'agent-1', 'agent', announcement=announcement
    )
