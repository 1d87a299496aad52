"""Tests of pushes and views from control to nodes over TCP."""

import asyncio
import errno
import logging

import attrs
import pytest

from pimentowalk.control import links
from pimentowalk.control.tests import builders
from pimentowalk.control.tests import harness
from pimentowalk.wire import connection


async def never_reply(peer, envelope, body):
    """Stand in for a peer that hangs before it answers a call."""
    await asyncio.Event().wait()


async def test_publish_reaches_a_node():
    """Nodes must receive and apply each published configuration."""
    async with (
        harness.control_instances() as instances,
        harness.operator_client(instances) as operator,
    ):
        async with harness.node_session(instances, services=[]) as node:
            result = await operator.request(builders.publish('c1', 0))
            assert (result.version, result.repeated) == (1, False)
            await node.ready(harness.WAIT_S)
            seen = []
            node.on_configuration(lambda c: seen.append(c.version))
            second = {'two': builders.source(2)}
            await operator.request(builders.publish('c2', 1, **second))
            await harness.wait_until(lambda: node.configuration.version == 2)
            expected = instances[0].state.part('publishing').configuration
            assert node.configuration == expected
            assert seen == [2]


async def test_entry_sees_a_server_until_its_agent_disconnects():
    """Entries learn of servers only by their announcements."""
    server = builders.backend()
    async with harness.control_with_node(services=['svc-1']) as (
        instances,
        node,
    ):
        agent = harness.agent_session(instances, lambda: server)
        async with agent as announcer:
            await harness.wait_until(
                lambda: node.view.of_service('svc-1') == [server]
            )
            server = attrs.evolve(server, draining=True)
            await announcer.announce_now()
            await harness.wait_until(lambda: node.view.servers() == [server])
        await harness.wait_until(lambda: node.view.servers() == [])
        assert node.view.live_entries == 1


@pytest.mark.parametrize('count', [1, 3])
async def test_view_survives_the_loss_of_control(count):
    """A node without control instances continues with its last view."""
    server = builders.backend()
    async with harness.control_instances(count) as instances:
        async with (
            harness.node_session(instances, services=[]) as node,
            harness.agent_session(instances, lambda: server),
        ):
            await harness.wait_until(lambda: node.view.servers() == [server])
            for instance in instances:
                await instance.server.stop()
            await harness.wait_until(lambda: not node.subscribed_ids)
            assert node.view.servers() == [server]


async def test_lost_control_instance_is_logged(caplog):
    """A node that cannot connect must log the reason."""
    caplog.set_level(logging.INFO)
    async with harness.control_instances() as instances:
        async with harness.node_session(instances, services=[]) as node:
            await harness.wait_until(lambda: node.subscribed_ids)
            await instances[0].server.stop()
            await harness.wait_until(
                lambda: any(
                    record.message.startswith('no link to control')
                    for record in caplog.records
                )
            )


async def test_agent_that_has_stopped_is_listed_nowhere():
    """A command that follows the end of an agent still lists its server."""
    server = builders.backend()
    async with harness.control_instances(3) as instances:
        async with harness.agent_session(instances, lambda: server):
            await harness.wait_until(
                lambda: all(
                    instance.server.directory.server(server.server_id)
                    for instance in instances
                )
            )
        for instance in instances:
            directory = instance.server.directory
            assert directory.server(server.server_id) is None
            assert directory.node('agent-1') is None


async def test_stop_does_not_wait_for_a_frozen_control(monkeypatch, caplog):
    """A control instance that hangs must not keep an agent from ending."""
    monkeypatch.setattr(links, 'LEAVE_TIMEOUT_S', 0.05)
    server = builders.backend()
    async with harness.control_instances() as instances:
        async with harness.agent_session(instances, lambda: server) as node:
            await harness.wait_until(lambda: node.subscribed_ids)
            monkeypatch.setattr(
                connection.PeerConnection, 'reply', never_reply
            )
    assert 'did not acknowledge' in caplog.text


async def test_stop_ends_on_a_broken_connection(monkeypatch, caplog):
    """An error of the network stopped the departure with an exception."""
    server = builders.backend()

    async def fail(writer):
        raise OSError(errno.EHOSTUNREACH, 'no route to host')

    async with harness.control_instances() as instances:
        async with harness.agent_session(instances, lambda: server) as node:
            await harness.wait_until(lambda: node.subscribed_ids)
            monkeypatch.setattr(asyncio.StreamWriter, 'drain', fail)
    assert caplog.text.count('did not acknowledge that the node leaves') == 1


async def test_entry_that_has_stopped_no_longer_counts():
    """The other entries would grant less than their share of each rate."""
    async with (
        harness.control_instances(3) as instances,
        harness.node_session(instances, services=[]) as remaining,
    ):

        def live_entries():
            return [i.server.directory.live_entries for i in instances]

        async with harness.node_session(instances, 'entry-2', services=[]):
            await harness.wait_until(
                lambda: (
                    live_entries() == [2, 2, 2]
                    and remaining.view.live_entries == 2
                )
            )
        assert live_entries() == [1, 1, 1]
        await harness.wait_until(lambda: remaining.view.live_entries == 1)
