"""Test the first start of a cluster and changes of its members."""

import asyncio
import random

import pytest

from pimentowalk.control import members
from pimentowalk.control.tests import simulation
from pimentowalk.core import errors
from pimentowalk.topology import instances


@pytest.fixture
async def sim():
    simulated = simulation.Simulation()
    yield simulated
    await simulated.stop()


@pytest.fixture
async def sim_with_leader(sim):
    """Return a simulated cluster that has elected a leader."""
    await sim.start()
    await sim.replicate_command()
    return sim


async def change_members(sim, action, node):
    """Change the members at the leader; return the new members."""
    await sim.advance_until(sim.leaders)
    leader = sim.leaders()[0].replica
    pending_change = asyncio.ensure_future(
        leader.change_members(action, node.instance, 5.0)
    )
    await sim.advance_until(pending_change.done)
    return pending_change.result()


def voter_ids(node):
    """Return the node ids of the voters that a replica knows."""
    return [m.node_id for m in node.replica.members() if m.voter]


async def restart_with_lost_disk(node):
    """Crash a node, lose its disk and start it again."""
    await node.crash(random.Random(1), lose_disk=True)
    await node.start()


async def test_first_start_waits_for_all_voters(sim):
    """If a subset of the voters could create a cluster, two might exist."""
    await sim.start(*sim.nodes[:2])
    await sim.advance(5.0)
    assert [n.replica.members() for n in sim.running()] == [[], []]
    await sim.nodes[2].start()
    await sim.replicate_command()
    assert voter_ids(sim.nodes[1]) == ['c0', 'c1', 'c2']


async def test_first_start_needs_the_same_voters_in_all_settings(sim):
    """Replicas with different voter lists could create two clusters."""
    all_voters = sim.voters
    await sim.nodes[0].start()
    sim.voters = [*all_voters[:2], instances.Instance('c2', '127.0.0.9', 2)]
    await sim.nodes[1].start()
    sim.voters = all_voters
    await sim.nodes[2].start()
    await sim.advance(5.0)
    assert not any(n.replica.members() for n in sim.nodes)


async def test_first_voter_with_lost_disk_does_not_create_a_second_cluster(
    sim_with_leader,
):
    """A second cluster would not have the committed records."""
    await restart_with_lost_disk(sim_with_leader.nodes[0])
    await sim_with_leader.advance(5.0)
    assert sim_with_leader.nodes[0].replica.members() == []
    await sim_with_leader.replicate_command()


async def test_interrupted_first_start_is_completed(sim):
    """A crash during the first start must not block the cluster."""
    await sim.start()
    first_voter = sim.nodes[0]
    # The vote of the first start is saved, but not the first record.
    await sim.advance_until(lambda: first_voter.replica.term == 1)
    await first_voter.crash(random.Random(1))
    for node in sim.nodes[1:]:
        await restart_with_lost_disk(node)
    for name in first_voter.files.names():
        if name != 'vote':
            first_voter.files.remove(name)
    first_voter.files.sync_folder()
    vote = first_voter.files.read('vote')
    assert b'"synced_index": 0' in vote
    await first_voter.start()
    await sim.replicate_command()


async def test_disks_lost_one_after_another(sim_with_leader):
    """Committed records must survive if each disk is lost in turn."""
    for node in (*sim_with_leader.nodes, *sim_with_leader.nodes):
        await restart_with_lost_disk(node)
        await sim_with_leader.restore_voter(node)
    leader = sim_with_leader.leaders()[0]
    assert set(sim_with_leader.acknowledged) <= set(leader.recorder.commands)
    assert sorted(voter_ids(leader)) == ['c0', 'c1', 'c2']


async def test_removed_leader_steps_down(sim_with_leader):
    """A leader that is removed from the cluster must not keep leading it."""
    old_leader = sim_with_leader.leaders()[0]
    await change_members(sim_with_leader, members.REMOVE, old_leader)
    await sim_with_leader.advance_until(
        lambda: sim_with_leader.leaders() not in ([], [old_leader])
    )
    assert old_leader.node_id not in voter_ids(sim_with_leader.leaders()[0])
    await sim_with_leader.commit_command()


async def test_second_concurrent_change_is_refused(sim_with_leader):
    """Two concurrent changes could have majorities without a common voter."""
    leader = sim_with_leader.leaders()[0]
    followers = [node for node in sim_with_leader.nodes if node is not leader]
    sim_with_leader.partitioned.update(followers)
    first_change = asyncio.ensure_future(
        leader.replica.change_members(members.REMOVE, followers[0].instance, 5)
    )
    await asyncio.sleep(0)
    with pytest.raises(errors.Conflict, match='not committed yet'):
        await leader.replica.change_members(
            members.REMOVE, followers[1].instance, 5
        )
    sim_with_leader.partitioned.clear()
    await sim_with_leader.advance_until(first_change.done)
    first_change.exception()


async def test_lagging_learner_is_not_promoted(sim_with_leader):
    """A voter that lacks many records would delay every commit."""
    leader = sim_with_leader.leaders()[0]
    follower = next(
        node for node in sim_with_leader.nodes if node is not leader
    )
    await restart_with_lost_disk(follower)
    await change_members(sim_with_leader, members.ADD_LEARNER, follower)
    sim_with_leader.partitioned.add(follower)
    for _ in range(6):
        for _ in range(50):
            sim_with_leader.propose(leader)
        await sim_with_leader.advance(0.5)
    with pytest.raises(errors.Conflict, match='records behind'):
        await change_members(sim_with_leader, members.PROMOTE, follower)


async def test_replica_of_another_cluster_is_rejected(sim_with_leader):
    """A replica must not mix records of two clusters in its log."""
    leader = sim_with_leader.leaders()[0]
    follower = next(
        node for node in sim_with_leader.nodes if node is not leader
    )
    vote = follower.replica._log.vote
    await change_members(sim_with_leader, members.REMOVE, follower)
    await follower.replica._log.save_vote(vote.term, '', 'another cluster')
    with pytest.raises(errors.Conflict, match='another cluster'):
        await change_members(sim_with_leader, members.ADD_LEARNER, follower)
