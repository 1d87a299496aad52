"""Guard replicas that talk over real loopback connections."""

import asyncio
import shutil
import socket

import pytest

from pimentowalk.control import members
from pimentowalk.control.tests import cluster as test_cluster
from pimentowalk.core import errors


def free_ports(count):
    """Return ports that were free a moment ago."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(('127.0.0.1', 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


@pytest.fixture
async def trio(tmp_path):
    cluster = test_cluster.Cluster(tmp_path, free_ports(3))
    await cluster.start()
    yield cluster
    await cluster.stop()


async def test_commands_reach_all_replicas_in_one_order(trio):
    """Replicas that apply different orders would diverge."""
    leader = await trio.leader()
    await leader.replica.read_barrier()
    proposals = [leader.replica.propose(b'%d' % n, 5) for n in range(50)]
    assert await asyncio.gather(*proposals) == list(range(1, 51))
    await trio.agree([str(n) for n in range(50)])
    # Many proposals must share one sync.
    assert leader.replica._log.sync_count < 25


async def test_error_of_the_state_machine_reaches_the_proposer(trio):
    """A refused command must not look like a lost one."""
    with pytest.raises(errors.Conflict):
        await trio.propose(b'refuse')


async def test_follower_refuses_and_names_the_leader(trio):
    """A client that asks a follower must learn where to go."""
    await trio.propose(b'a')
    await trio.agree(['a'])
    leader = await trio.leader()
    for node in trio.nodes.values():
        if node is not leader:
            with pytest.raises(errors.NotLeader) as caught:
                await node.replica.propose(b'b', 5)
            assert caught.value.peer == leader.node_id
            with pytest.raises(errors.NotLeader):
                await node.replica.read_barrier()


async def test_killed_leader_is_replaced_and_nothing_is_lost(trio):
    """An acknowledged command must survive its leader."""
    await trio.propose(b'a')
    old = (await trio.leader()).node_id
    await trio.kill(old)
    await trio.propose(b'b')
    await trio.start(old)
    await trio.agree(['a', 'b'])


async def test_cut_leader_steps_down_and_its_proposal_is_uncertain(trio):
    """A cut leader must not answer, nor call its proposal refused."""
    await trio.propose(b'a')
    old = await trio.leader()
    trio.isolate(old.node_id)
    pending = asyncio.ensure_future(old.replica.propose(b'lost', 1.0))
    await trio.propose(b'b', without={old.node_id})
    with pytest.raises(errors.OutcomeUnknown):
        await pending
    assert not old.replica.is_leader
    with pytest.raises(errors.PimentowalkError):
        await old.replica.read_barrier()
    trio.cut.clear()
    await trio.agree(['a', 'b'])


async def test_planned_stop_hands_leadership_over(trio):
    """A planned stop must not cost an election timeout."""
    await trio.propose(b'a')
    old = await trio.leader()
    term = old.replica.term
    del trio.nodes[old.node_id]
    await old.stop()
    leader = await trio.leader()
    assert leader.replica.term == term + 1
    await trio.propose(b'b')


async def test_lost_disk_returns_as_a_learner_and_is_promoted(trio):
    """A voter without its disk must not vote under its old identity."""
    await trio.propose(b'a')
    leader = await trio.leader()
    lost = next(n for n in trio.nodes.values() if n is not leader)
    old_identity = lost.replica.identity
    await trio.kill(lost.node_id)
    shutil.rmtree(trio.folder / lost.node_id)
    await trio.start(lost.node_id)
    lost = trio.nodes[lost.node_id]
    await trio.propose(b'b')
    assert lost.replica.identity != old_identity
    assert lost.register.applied == []
    changed = await leader.replica.change_members(
        members.ADD_LEARNER, lost.instance, 5
    )
    assert [m.voter for m in changed].count(True) == 2
    await trio.agree(['a', 'b'])
    await leader.replica.change_members(members.PROMOTE, lost.instance, 5)
    assert all(m.voter for m in leader.replica.members())


async def test_replica_far_behind_gets_a_snapshot(tmp_path):
    """A replica behind the compacted log must still catch up."""
    cluster = test_cluster.Cluster(
        tmp_path, free_ports(3), snapshot_every=20, kept_records=5
    )
    await cluster.start()
    try:
        await cluster.propose(b'first')
        leader = await cluster.leader()
        behind = next(n for n in cluster.nodes if n != leader.node_id)
        await cluster.kill(behind)
        for number in range(100):
            await cluster.propose(b'%d' % number)
        assert leader.replica._log.base_index > 20
        await cluster.start(behind)
        await cluster.agree(['first', *(str(n) for n in range(100))])
        await cluster.stop()
        await cluster.start()
        await cluster.propose(b'last')
        assert (await cluster.leader()).register.applied[-2:] == [
            '99',
            'last',
        ]
    finally:
        await cluster.stop()
