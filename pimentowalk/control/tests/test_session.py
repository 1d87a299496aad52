"""Guard the way from control to the nodes over real connections."""

import logging

import attrs
import pytest

from pimentowalk.control.tests import builders
from pimentowalk.control.tests import harness


async def test_publish_reaches_a_node():
    """A configuration that stays in control serves nobody."""
    async with (
        harness.control_instances() as found,
        harness.operator_client(found) as anna,
    ):
        async with harness.node_session(found, services=[]) as node:
            result = await anna.request(builders.publish('c1', 0))
            assert (result.version, result.repeated) == (1, False)
            await node.ready(harness.WAIT_S)
            seen = []
            node.on_configuration(lambda c: seen.append(c.version))
            second = {'two': builders.source(2)}
            await anna.request(builders.publish('c2', 1, **second))
            await harness.wait_until(lambda: node.configuration.version == 2)
            expected = found[0].state.part('publishing').configuration
            assert node.configuration == expected
            assert seen == [2]


async def test_announcement_reaches_an_entry_and_leaves_it():
    """Entries know of servers by their announcements only."""
    server = builders.backend()
    async with harness.control_with_node(services=['svc-1']) as (found, node):
        agent = harness.agent_session(found, lambda: server)
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
    """A node without control keeps serving with the view it has."""
    server = builders.backend()
    async with harness.control_instances(count) as found:
        async with (
            harness.node_session(found, services=[]) as node,
            harness.agent_session(found, lambda: server),
        ):
            await harness.wait_until(lambda: node.view.servers() == [server])
            for instance in found:
                await instance.server.stop()
            await harness.wait_until(lambda: not node.subscribed_ids)
            assert node.view.servers() == [server]


async def test_lost_control_instance_is_logged(caplog):
    """A node that dials in vain must leave a trace of why."""
    caplog.set_level(logging.INFO)
    async with harness.control_instances() as found:
        async with harness.node_session(found, services=[]) as node:
            await harness.wait_until(lambda: node.subscribed_ids)
            await found[0].server.stop()
            await harness.wait_until(
                lambda: any(
                    record.message.startswith('no link to control')
                    for record in caplog.records
                )
            )
