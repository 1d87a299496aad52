"""Test replicas that communicate over real loopback connections."""

import asyncio
import shutil
import socket

import pytest

from pimentowalk.control import consensus as control_consensus
from pimentowalk.control import members
from pimentowalk.control.tests import cluster as test_cluster
from pimentowalk.core import errors


def free_ports(count):
    """Return ports that were free when this was called."""
    listeners = [socket.socket() for _ in range(count)]
    for listener in listeners:
        listener.bind(('127.0.0.1', 0))
    ports = [listener.getsockname()[1] for listener in listeners]
    for listener in listeners:
        listener.close()
    return ports


@pytest.fixture
async def three_nodes(tmp_path):
    cluster = test_cluster.Cluster(tmp_path, free_ports(3))
    await cluster.start()
    yield cluster
    await cluster.stop()


async def test_commands_are_applied_in_the_same_order(three_nodes):
    """Replicas that apply commands in different orders would diverge."""
    leader = await three_nodes.leader()
    await leader.replica.read_barrier()
    proposals = [leader.replica.propose(b'%d' % n, 5) for n in range(50)]
    assert await asyncio.gather(*proposals) == list(range(1, 51))
    await three_nodes.wait_all_applied([str(n) for n in range(50)])
    # One sync must cover many proposals.
    assert leader.replica._log.sync_count < 25


async def test_error_of_the_state_machine_is_raised_to_the_proposer(
    three_nodes,
):
    """A command that the state machine refuses must not appear lost."""
    with pytest.raises(errors.Conflict):
        await three_nodes.propose(b'refuse')


async def test_record_without_a_timestamp_is_skipped(three_nodes):
    """One truncated command ended the task that applies the log."""
    await three_nodes.propose(b'a')
    leader = await three_nodes.leader()
    with pytest.raises(errors.PimentowalkError) as caught:
        await leader.replica._append_and_wait(
            control_consensus.COMMAND, b'x', 1
        )
    assert caught.value.code == 'bad_request'
    await three_nodes.propose(b'b')
    await three_nodes.wait_all_applied(['a', 'b'])
    await three_nodes.stop()
    await three_nodes.start()
    await three_nodes.propose(b'c')
    await three_nodes.wait_all_applied(['a', 'b', 'c'])


async def test_follower_refuses_and_names_the_leader(three_nodes):
    """A client that contacts a follower must learn who the leader is."""
    await three_nodes.propose(b'a')
    await three_nodes.wait_all_applied(['a'])
    leader = await three_nodes.leader()
    for node in three_nodes.nodes.values():
        if node is not leader:
            with pytest.raises(errors.NotLeader) as caught:
                await node.replica.propose(b'b', 5)
            assert caught.value.peer == leader.node_id
            with pytest.raises(errors.NotLeader):
                await node.replica.read_barrier()


async def test_acknowledged_command_survives_its_leader(three_nodes):
    """An acknowledged command must not be lost with its leader."""
    await three_nodes.propose(b'a')
    old_leader_id = (await three_nodes.leader()).node_id
    await three_nodes.kill(old_leader_id)
    await three_nodes.propose(b'b')
    await three_nodes.start(old_leader_id)
    await three_nodes.wait_all_applied(['a', 'b'])


async def test_partitioned_leader_steps_down_with_unknown_outcome(three_nodes):
    """A partitioned leader must not answer or report its proposal refused."""
    await three_nodes.propose(b'a')
    old_leader = await three_nodes.leader()
    three_nodes.isolate(old_leader.node_id)
    pending_proposal = asyncio.ensure_future(
        old_leader.replica.propose(b'lost', 1.0)
    )
    await three_nodes.propose(b'b', without={old_leader.node_id})
    with pytest.raises(errors.OutcomeUnknown):
        await pending_proposal
    assert not old_leader.replica.is_leader
    with pytest.raises(errors.PimentowalkError):
        await old_leader.replica.read_barrier()
    three_nodes.partitioned.clear()
    await three_nodes.wait_all_applied(['a', 'b'])


async def test_planned_stop_transfers_leadership(three_nodes):
    """A planned stop must not cost an election timeout."""
    await three_nodes.propose(b'a')
    old_leader = await three_nodes.leader()
    term = old_leader.replica.term
    del three_nodes.nodes[old_leader.node_id]
    await old_leader.stop()
    leader = await three_nodes.leader()
    assert leader.replica.term == term + 1
    await three_nodes.propose(b'b')


async def test_replica_with_lost_disk_is_added_as_learner_and_promoted(
    three_nodes,
):
    """A voter that lost its disk must not vote with its old identity."""
    await three_nodes.propose(b'a')
    leader = await three_nodes.leader()
    node = next(n for n in three_nodes.nodes.values() if n is not leader)
    old_identity = node.replica.identity
    await three_nodes.kill(node.node_id)
    shutil.rmtree(three_nodes.folder / node.node_id)
    await three_nodes.start(node.node_id)
    node = three_nodes.nodes[node.node_id]
    await three_nodes.propose(b'b')
    assert node.replica.identity != old_identity
    assert node.recorder.applied == []
    new_members = await leader.replica.change_members(
        members.ADD_LEARNER, node.instance, 5
    )
    assert [m.voter for m in new_members].count(True) == 2
    await three_nodes.wait_all_applied(['a', 'b'])
    await leader.replica.change_members(members.PROMOTE, node.instance, 5)
    assert all(m.voter for m in leader.replica.members())


async def test_lagging_replica_receives_a_snapshot(tmp_path):
    """A replica that lacks compacted records must still catch up."""
    cluster = test_cluster.Cluster(
        tmp_path, free_ports(3), snapshot_every=20, kept_records=5
    )
    await cluster.start()
    try:
        await cluster.propose(b'first')
        leader = await cluster.leader()
        lagging_id = next(n for n in cluster.nodes if n != leader.node_id)
        await cluster.kill(lagging_id)
        for number in range(100):
            await cluster.propose(b'%d' % number)
        assert leader.replica._log.base_index > 20
        await cluster.start(lagging_id)
        await cluster.wait_all_applied(
            ['first', *(str(n) for n in range(100))]
        )
        await cluster.stop()
        await cluster.start()
        await cluster.propose(b'last')
        assert (await cluster.leader()).recorder.applied[-2:] == [
            '99',
            'last',
        ]
    finally:
        await cluster.stop()
