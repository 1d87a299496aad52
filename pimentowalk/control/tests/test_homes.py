"""Guard how nodes learn of changes when pushes or instances fail."""

import pytest

from pimentowalk.control import client
from pimentowalk.control import deltas
from pimentowalk.control import pushes
from pimentowalk.control import server as server_module
from pimentowalk.control.tests import builders
from pimentowalk.control.tests import harness
from pimentowalk.core import timers
from pimentowalk.wire import messages


async def agree(node, found):
    """Wait until a node has the configuration of control."""
    published = found[0].state.part('publishing')
    await harness.wait_until(
        lambda: node.configuration.version == published.version
    )
    assert node.configuration == published.configuration


def publish_everywhere(found, version):
    """Publish one change at instances that stand for one log."""
    source = builders.source(1, weight=version + 1.0)
    body = builders.publish(f'change-{version}', version, one=source)
    for instance in found:
        instance.apply(body)


def lose_pushes(monkeypatch):
    """Let control accept changes without telling its subscribers."""
    monkeypatch.setattr(
        pushes.Pusher, '_push_configuration', lambda *arguments: None
    )


async def test_long_configuration_comes_in_pieces(monkeypatch):
    """A configuration of many accounts exceeds the limit of a frame."""
    monkeypatch.setattr(deltas, 'PIECE_BYTES', 100)
    async with harness.control_instances() as found:
        publish_everywhere(found, 0)
        async with harness.node_session(found) as node:
            await agree(node, found)
            publish_everywhere(found, 1)
            publish_everywhere(found, 2)
            await agree(node, found)


async def test_large_change_is_pulled(monkeypatch):
    """A push to all nodes at once would fill the send buffers."""
    monkeypatch.setattr(pushes, 'MAX_PUSH_BYTES', 10)
    async with harness.control_with_node(3) as (found, node):
        for version in range(3):
            publish_everywhere(found, version)
            await agree(node, found)


async def test_heartbeats_show_a_lost_push(monkeypatch):
    """A node that missed a push would keep an old configuration."""
    async with harness.control_instances() as found:
        publish_everywhere(found, 0)
        async with harness.node_session(found) as node:
            await agree(node, found)
            lose_pushes(monkeypatch)
            publish_everywhere(found, 1)
            await agree(node, found)


async def test_version_in_a_frame_of_a_peer_makes_the_node_pull(monkeypatch):
    """Entries and agents tell each other of newer versions."""
    monkeypatch.setattr(server_module, 'MAX_HEARTBEATS_BEHIND', 10**9)
    async with harness.control_with_node() as (found, node):
        await harness.wait_until(lambda: node.subscribed_ids)
        lose_pushes(monkeypatch)
        found[0].server.peers._version = lambda: 0
        publish_everywhere(found, 0)
        node.observe_version(1)
        await agree(node, found)


async def test_instance_that_lags_does_not_hold_back_a_node():
    """One of two homes may be cut off from the leader."""
    async with harness.control_instances(2) as found:
        publish_everywhere(found, 0)
        async with harness.node_session(found) as node:
            await agree(node, found)
            publish_everywhere(found[:1], 1)
            await agree(node, found)
            await harness.wait_until(lambda: len(node.subscribed_ids) == 2)
            assert node.configuration.version == 2


def subscribers(found):
    """Return the ids of the instances that push to some node."""
    return {
        instance.node_id
        for instance in found
        for subscriber in instance.server.pusher._subscribers.values()
        if subscriber.receives_configuration
    }


async def test_lost_home_is_replaced_by_another_instance():
    """Two homes of eight keep the load of control small."""
    server = builders.backend()
    async with harness.control_instances(5) as found:
        agent = harness.agent_session(found, lambda: server)
        async with harness.node_session(found, services=[]) as node, agent:
            await harness.wait_until(
                lambda: len(node.subscribed_ids) == client.SUBSCRIPTION_COUNT
            )
            await harness.wait_until(
                lambda: all(link.is_open for link in node.links())
            )
            publish_everywhere(found, 0)
            await agree(node, found)
            lost = [one for one in found if one.node_id in node.subscribed_ids]
            left = [one for one in found if one not in lost]
            for instance in lost:
                await instance.server.stop()
            names = {one.node_id for one in left}
            await harness.wait_until(
                lambda: (
                    len(node.subscribed_ids) == 2
                    and set(node.subscribed_ids) <= names
                )
            )
            publish_everywhere(left, 1)
            await agree(node, left)
            assert subscribers(left) >= set(node.subscribed_ids)
            assert node.view.servers() == [server]


async def test_frozen_home_is_given_up(monkeypatch):
    """A frozen instance keeps its connections but tells nothing."""

    async def ignore(*arguments):
        pass

    async with harness.control_with_node(3) as (found, node):
        await harness.wait_until(
            lambda: all(link.is_open for link in node.links())
        )
        frozen = next(i for i in found if i.node_id == node.subscribed_ids[0])
        # A connection that subscribes later would still be answered.
        subscribers = frozen.server.pusher._subscribers
        await harness.wait_until(lambda: subscribers)
        opened = [link.peer for link in node.links() if link.is_subscribed]
        frozen.server._on_frame = ignore
        for peer in list(subscribers):
            peer.on_frame = ignore
        await harness.wait_until(lambda: any(p.closed for p in opened))


@pytest.mark.parametrize(
    'updates, expected',
    [
        ([([1], 5), ([], 4)], {1}),
        ([([1], 5), ([2], 5)], {2}),
        ([([1], 5), ([], 6)], set()),
    ],
)
async def test_older_quarantine_list_is_ignored(updates, expected):
    """A home that lags would bring a cleared request back."""
    async with harness.control_instances() as found:
        node = client.NodeSession(
            messages.Hello('entry-1', 'entry', 1),
            [found[0].address],
            timers.ManualTimerService(),
        )
        for fingerprints, index in updates:
            update = messages.QuarantineUpdate(fingerprints, index)
            node.apply_quarantine(update)
        assert node.quarantined == expected


async def test_pieces_of_different_pushes_are_not_mixed():
    """A mixture would be a configuration that nobody published."""
    first = deltas.split_into_pushes(1, 2, b'x' * (deltas.PIECE_BYTES + 1))
    second = deltas.split_into_pushes(1, 3, b'y' * (deltas.PIECE_BYTES + 1))
    assembler = deltas.PushAssembler()
    assert assembler.add(first[0]) is None
    assert assembler.add(second[1]) is None
    assert assembler.add(first[1]) is None
    assert assembler.add(second[0]) is None
    whole = assembler.add(second[1])
    assert whole == b'y' * (deltas.PIECE_BYTES + 1)
