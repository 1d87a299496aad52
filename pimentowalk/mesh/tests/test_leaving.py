"""Tests of nodes that tell control that they leave."""

import asyncio
import contextlib
import errno

from pimentowalk.core import timers as core_timers
from pimentowalk.membership import backends as membership
from pimentowalk.mesh import links as mesh_links
from pimentowalk.mesh import node as mesh_node
from pimentowalk.wire import connection as wire
from pimentowalk.wire import messages
from pimentowalk.wire import node_messages

HOST = '127.0.0.1'
WAIT_S = 10


def make_node(node_id, incarnation=1, seeds=()):
    """Return a node that connects to the given seeds."""
    timers = core_timers.TimerService()
    return mesh_node.MeshNode(
        messages.Hello(node_id, 'control', incarnation, 'z1'),
        HOST,
        0,
        timers,
        seeds=lambda: seeds,
        decode=None,
        backend_table=membership.BackendTable(timers.now_s, 1.0),
    )


def listed(control):
    """Return the ids and incarnations of the nodes that a hub lists."""
    return {
        (peer.hello.node_id, peer.hello.incarnation)
        for peer in control.hub._records
    }


async def wait_until(condition):
    """Wait until a condition holds; the timeout only ends a failed test."""
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await core_timers.TimerService().sleep(0.005)


@contextlib.asynccontextmanager
async def running_control():
    """Run a control node and yield it with its address."""
    control = make_node('control')
    await control.start()
    try:
        yield (
            control,
            node_messages.ControlAddress('control', HOST, control.hub.port),
        )
    finally:
        await control.stop()


@contextlib.asynccontextmanager
async def second_connection(address, hello):
    """Report on another connection of a node, which stays open."""
    peer = await wire.dial(address.host, address.port, hello)
    reading = asyncio.ensure_future(peer.run())
    try:
        yield peer
    finally:
        peer.close()
        await core_timers.cancel_all([reading])


async def test_node_that_has_stopped_is_listed_nowhere():
    """A connection that is still open would list the node for 2.5 s."""
    status = node_messages.NodeStatus(HOST, 1, '', False, 0, False)
    async with running_control() as (control, address):
        node = make_node('n1', seeds=[address])
        await node.start()
        await wait_until(lambda: listed(control) and node.open_links())
        async with second_connection(address, node.hello) as peer:
            await peer.call(status, WAIT_S)
            assert len(control.hub.records()) == 1
            await node.stop()
            assert control.hub.records() == []
            # A late status must not list the node again.
            news = await peer.call(status, WAIT_S)
            assert news.live_nodes == 1
            assert control.hub.records() == []


async def test_restarted_node_is_listed_again():
    """A node that left would stay away if only its id were remembered."""
    async with running_control() as (control, address):
        for incarnation in (1, 2):
            node = make_node('n1', incarnation, [address])
            await node.start()
            await wait_until(lambda: listed(control))
            assert listed(control) == {('n1', incarnation)}
            await node.stop()
            assert listed(control) == set()


async def test_stop_does_not_wait_for_a_frozen_control(monkeypatch, caplog):
    """A control instance that hangs must not keep a gateway from ending."""
    monkeypatch.setattr(mesh_links, 'LEAVE_TIMEOUT_S', 0.05)

    async def never_reply(peer, envelope, body):
        await asyncio.Event().wait()

    async with running_control() as (_, address):
        node = make_node('n1', seeds=[address])
        await node.start()
        await wait_until(node.open_links)
        monkeypatch.setattr(wire.PeerConnection, 'reply', never_reply)
        async with asyncio.timeout(WAIT_S):
            await node.stop()
    assert 'did not acknowledge that the node leaves' in caplog.text


async def test_stop_ends_on_a_broken_connection(monkeypatch, caplog):
    """An error of the network stopped the departure with an exception."""
    async with running_control() as (_, address):
        node = make_node('n1', seeds=[address])
        await node.start()
        await wait_until(node.open_links)

        async def fail(writer):
            raise OSError(errno.EHOSTUNREACH, 'no route to host')

        monkeypatch.setattr(asyncio.StreamWriter, 'drain', fail)
        async with asyncio.timeout(WAIT_S):
            await node.stop()
    assert caplog.text.count('did not acknowledge that the node leaves') == 1


async def test_link_is_dialled_again_after_any_error(monkeypatch):
    """A node whose links have all ended answers 503 for good."""
    dial, failures = wire.dial, [TypeError('x'), ValueError('x')]

    async def fail_at_first(*arguments, **others):
        if failures:
            raise failures.pop()
        return await dial(*arguments, **others)

    monkeypatch.setattr(wire, 'dial', fail_at_first)
    async with running_control() as (control, address):
        node = make_node('n1', seeds=[address])
        await node.start()
        await wait_until(lambda: ('n1', 1) in listed(control))
        await node.stop()
