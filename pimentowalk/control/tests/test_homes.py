"""Tests of configuration delivery when pushes or instances fail."""

import pytest

from pimentowalk.control import client
from pimentowalk.control import deltas
from pimentowalk.control import pushes
from pimentowalk.control import server as server_module
from pimentowalk.control.tests import builders
from pimentowalk.control.tests import harness
from pimentowalk.core import timers
from pimentowalk.wire import messages


async def wait_until_current(node, instances):
    """Wait until a node has the published configuration."""
    published = instances[0].state.part('publishing')
    await harness.wait_until(
        lambda: node.configuration.version == published.version
    )
    assert node.configuration == published.configuration


def publish_everywhere(instances, version):
    """Apply one publish at instances that share a simulated log."""
    source = builders.source(1, weight=version + 1.0)
    body = builders.publish(f'change-{version}', version, one=source)
    for instance in instances:
        instance.apply(body)


def disable_pushes(monkeypatch):
    """Make control instances accept changes without pushing them."""
    monkeypatch.setattr(
        pushes.Pusher, '_push_configuration', lambda *arguments: None
    )


async def test_long_configuration_is_split_into_pieces(monkeypatch):
    """A configuration with many accounts exceeds the frame limit."""
    monkeypatch.setattr(deltas, 'PIECE_BYTES', 100)
    async with harness.control_instances() as instances:
        publish_everywhere(instances, 0)
        async with harness.node_session(instances) as node:
            await wait_until_current(node, instances)
            publish_everywhere(instances, 1)
            publish_everywhere(instances, 2)
            await wait_until_current(node, instances)


async def test_large_change_is_pulled(monkeypatch):
    """Pushing it to all nodes at once would fill the send buffers."""
    monkeypatch.setattr(pushes, 'MAX_PUSH_BYTES', 10)
    async with harness.control_with_node(3) as (instances, node):
        for version in range(3):
            publish_everywhere(instances, version)
            await wait_until_current(node, instances)


async def test_heartbeats_reveal_a_lost_push(monkeypatch):
    """A node that missed a push would keep an old configuration."""
    async with harness.control_instances() as instances:
        publish_everywhere(instances, 0)
        async with harness.node_session(instances) as node:
            await wait_until_current(node, instances)
            disable_pushes(monkeypatch)
            publish_everywhere(instances, 1)
            await wait_until_current(node, instances)


async def test_version_in_a_frame_of_a_peer_makes_the_node_pull(monkeypatch):
    """Frames between entries and agents carry the configuration version."""
    monkeypatch.setattr(server_module, 'MAX_HEARTBEATS_BEHIND', 10**9)
    async with harness.control_with_node() as (instances, node):
        await harness.wait_until(lambda: node.subscribed_ids)
        disable_pushes(monkeypatch)
        instances[0].server.peers._version = lambda: 0
        publish_everywhere(instances, 0)
        node.observe_version(1)
        await wait_until_current(node, instances)


async def test_instance_that_lags_does_not_delay_a_node():
    """One of two subscribed instances may be partitioned from the leader."""
    async with harness.control_instances(2) as instances:
        publish_everywhere(instances, 0)
        async with harness.node_session(instances) as node:
            await wait_until_current(node, instances)
            publish_everywhere(instances[:1], 1)
            await wait_until_current(node, instances)
            await harness.wait_until(lambda: len(node.subscribed_ids) == 2)
            assert node.configuration.version == 2


def subscribed_at(instances):
    """Return the ids of the instances that push to some node."""
    return {
        instance.node_id
        for instance in instances
        for subscriber in instance.server.pusher._subscribers.values()
        if subscriber.receives_configuration
    }


async def test_lost_subscribed_instance_is_replaced():
    """Only two of eight instances push to a node, which limits their load."""
    server = builders.backend()
    async with harness.control_instances(5) as instances:
        agent = harness.agent_session(instances, lambda: server)
        async with harness.node_session(instances, services=[]) as node, agent:
            await harness.wait_until(
                lambda: len(node.subscribed_ids) == client.SUBSCRIPTION_COUNT
            )
            await harness.wait_until(
                lambda: all(link.is_open for link in node.links())
            )
            publish_everywhere(instances, 0)
            await wait_until_current(node, instances)
            lost = [
                one for one in instances if one.node_id in node.subscribed_ids
            ]
            remaining = [one for one in instances if one not in lost]
            for instance in lost:
                await instance.server.stop()
            names = {one.node_id for one in remaining}
            await harness.wait_until(
                lambda: (
                    len(node.subscribed_ids) == 2
                    and set(node.subscribed_ids) <= names
                )
            )
            publish_everywhere(remaining, 1)
            await wait_until_current(node, remaining)
            assert subscribed_at(remaining) >= set(node.subscribed_ids)
            assert node.view.servers() == [server]


async def test_frozen_subscribed_instance_is_disconnected(monkeypatch):
    """A frozen instance keeps connections open but sends nothing."""

    async def ignore(*arguments):
        pass

    async with harness.control_with_node(3) as (instances, node):
        await harness.wait_until(
            lambda: all(link.is_open for link in node.links())
        )
        frozen = next(
            i for i in instances if i.node_id == node.subscribed_ids[0]
        )
        # A connection that subscribes later would still get replies.
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
    """An instance that lags would restore a cleared quarantine."""
    async with harness.control_instances() as instances:
        node = client.NodeSession(
            messages.Hello('entry-1', 'entry', 1),
            [instances[0].address],
            timers.ManualTimerService(),
        )
        for fingerprints, index in updates:
            update = messages.QuarantineUpdate(fingerprints, index)
            node.apply_quarantine(update)
        assert node.quarantined == expected


async def test_pieces_of_different_pushes_are_not_mixed():
    """Mixed pieces would form a configuration that was never published."""
    first = deltas.split_into_pushes(1, 2, b'x' * (deltas.PIECE_BYTES + 1))
    second = deltas.split_into_pushes(1, 3, b'y' * (deltas.PIECE_BYTES + 1))
    assembler = deltas.PushAssembler()
    assert assembler.add(first[0]) is None
    assert assembler.add(second[1]) is None
    assert assembler.add(first[1]) is None
    assert assembler.add(second[0]) is None
    whole = assembler.add(second[1])
    assert whole == b'y' * (deltas.PIECE_BYTES + 1)
