"""Test that nodes learn of servers that left while they were away."""

import asyncio
import types

import attrs
import pytest

from pimentowalk.membership import backends as membership
from pimentowalk.mesh.tests import test_cache_files
from pimentowalk.mesh.tests import test_homes
from pimentowalk.mesh.tests import test_leaving
from pimentowalk.topology import backends
from pimentowalk.wire import codec
from pimentowalk.wire import node_messages
from tools.tests import waiting

SERVER = test_homes.server(5)
GONE = attrs.evolve(SERVER, state=backends.GONE)


def new_node(*known):
    """Return a node without links that knows some servers."""
    node = test_homes.node_with_links('z1', {})
    for backend in known:
        node.backends.apply(backend)
    return node


def subscribe(node, node_id='other'):
    """Subscribe to a node; return the peer that records what it gets."""
    peer = test_homes.FakePeer(node_id)
    node.hub.record_status(
        peer, node_messages.NodeStatus('10.0.0.2', 1, '', True, 0, False)
    )
    return peer


def usable_ids(node):
    return [backend.server_id for backend in node.backends.usable('svc')]


@pytest.mark.parametrize('state', [backends.GONE, backends.DRAINING])
def test_new_subscriber_learns_of_departures(state):
    """DRAIN: a node that was away while a server left went on to use it."""
    control = new_node(SERVER)
    control.announce(attrs.evolve(SERVER, sequence=6, state=state))
    control.backends.drop(SERVER)
    away = new_node(SERVER)
    for body in subscribe(control).posted:
        away.handle_frame(body)
    assert usable_ids(away) == []


def test_later_incarnation_is_not_taken_for_the_departed_one():
    """A server may start again under the id that it had."""
    successor = attrs.evolve(SERVER, born_ms=200, sequence=1)
    control = new_node(SERVER, GONE, successor)
    away = new_node(SERVER)
    for body in subscribe(control).posted:
        away.handle_frame(body)
    assert usable_ids(away) == ['i-1']
    late = new_node(successor)
    late.handle_frame(node_messages.BackendNews([GONE]))
    assert usable_ids(late) == ['i-1']


def test_departure_pushed_by_another_control_instance_is_relayed_once():
    """DRAIN: subscribers of an instance that was down never heard of it."""
    control = new_node(SERVER)
    peer = subscribe(control)
    for _ in range(2):
        control.handle_frame(node_messages.BackendNews([GONE]))
    assert peer.bodies == [node_messages.BackendNews([GONE])]


def test_repeated_departure_is_not_relayed_again():
    """Each node that connects repeats the departures that it knows."""
    control = new_node(SERVER)
    peer = subscribe(control)
    for _ in range(3):
        control.relay_backends(node_messages.BackendNews([GONE]))
    assert peer.bodies == [node_messages.BackendNews([GONE])]


async def test_departure_acknowledged_without_control_is_sent_later():
    """DRAIN: it was announced once, while no link was open."""
    async with test_leaving.running_control() as (control, address):
        control.backends.apply(SERVER)
        node = test_leaving.make_node('n1', seeds=[address])
        node.backends.apply(SERVER)
        node.announce(GONE)
        await node.start()
        await test_leaving.wait_until(lambda: usable_ids(control) == [])
        await node.stop()


def test_node_repeats_only_the_departures_that_it_acknowledged():
    """All nodes would repeat all departures to a control instance."""
    node = new_node(SERVER)
    node.handle_frame(node_messages.BackendNews([GONE]))
    assert node.departures() == []
    node.replica = types.SimpleNamespace()
    assert [backend.server_id for backend in node.departures()] == ['i-1']


async def save(node):
    """Save the servers of a node as it does while it runs."""
    task = asyncio.ensure_future(node.file.run())
    path = node.file._path
    await waiting.until(path.exists)
    task.cancel()


async def test_departure_is_known_after_a_restart(tmp_path):
    """DRAIN: a late announcement made the server usable again."""
    node = test_cache_files.FakeNode(tmp_path)
    node.table.apply(SERVER)
    node.table.apply(GONE)
    await save(node)
    restarted = test_cache_files.FakeNode(tmp_path)
    assert restarted.file.load() == 1
    restarted.table.apply(attrs.evolve(SERVER, sequence=9))
    assert restarted.usable() == []


async def test_restored_server_is_restored_at_other_nodes_too(tmp_path):
    """DRAIN: they took it for one that had announced itself, and kept it.

    It had left, and answered the nodes that asked whether it is there.
    """
    node = test_cache_files.FakeNode(tmp_path)
    node.table.apply(SERVER)
    await save(node)
    restarted = test_cache_files.FakeNode(tmp_path)
    restarted.file.load()
    table = restarted.table
    others = []
    due_s = membership.RESTORED_PERIODS * test_cache_files.PERIOD_S
    heard = attrs.evolve(SERVER, server_id='i-2', port=81)
    while restarted.now_s < due_s + 0.1:
        # New subscribers learn it from each other as well.
        other = membership.BackendTable(
            lambda: restarted.now_s, test_cache_files.PERIOD_S
        )
        frame = codec.encode(node_messages.BackendNews(table.announcements()))
        for backend in codec.decode(frame[codec.HEADER.size :]).body.backends:
            other.apply(backend, backend.heard_ms / 1000)
        others.append(other)
        table = other
        restarted.now_s += 0.2
        for known in others:
            heard = attrs.evolve(heard, sequence=heard.sequence + 1)
            known.apply(heard)
            known.expire(known.confirm)
    assert all(known.get('i-1') is None for known in others)


async def test_restored_server_that_announces_itself_is_kept(tmp_path):
    """A server that goes on to announce itself must not be dropped."""
    table = test_cache_files.FakeNode(tmp_path)
    restored = attrs.evolve(SERVER, is_restored=True)
    table.table.apply(restored, table.table.restored_age_s)
    for tenth in range(1, 50):
        table.now_s = tenth / 10
        table.table.apply(attrs.evolve(SERVER, sequence=5 + tenth))
        assert not table.table.apply(restored, 0.0)
        table.table.expire(table.table.confirm)
    assert table.usable() == ['i-1']


async def test_restored_server_that_only_answers_is_dropped(tmp_path):
    """DRAIN: the node was killed before it had saved the departure.

    The server answered the question whether it is there, and was kept.
    """
    node = test_cache_files.FakeNode(tmp_path)
    node.table.apply(SERVER)
    await save(node)
    restarted = test_cache_files.FakeNode(tmp_path)
    restarted.file.load()
    other = attrs.evolve(SERVER, server_id='i-2', port=81)
    asked = []

    def confirm(backend):
        asked.append(backend.server_id)
        restarted.table.confirm(backend)

    due_s = membership.RESTORED_PERIODS * test_cache_files.PERIOD_S
    for tenth in range(1, 35):
        restarted.now_s = tenth / 10
        restarted.table.apply(attrs.evolve(other, sequence=tenth))
        restarted.table.expire(confirm)
        is_due = restarted.now_s > due_s + 0.01
        assert ('i-1' in restarted.usable()) != is_due
    assert asked == ['i-1']
