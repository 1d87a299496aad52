"""Guard the first start of a cluster and changes of its members."""

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
async def settled(sim):
    """Return a cluster that has a leader."""
    await sim.start()
    await sim.settle()
    return sim


async def change(sim, action, node):
    """Change the members at the leader; return its answer."""
    await sim.advance_until(sim.leaders)
    leader = sim.leaders()[0].replica
    changing = asyncio.ensure_future(
        leader.change_members(action, node.instance, 5.0)
    )
    await sim.advance_until(changing.done)
    return changing.result()


def voters(node):
    """Return the node ids that a replica counts as voters."""
    return [m.node_id for m in node.replica.members() if m.voter]


async def restart_empty(node):
    """Lose the disk of a node and start it again."""
    await node.crash(random.Random(1), lose_disk=True)
    await node.start()


async def test_first_start_waits_for_all_voters(sim):
    """A cluster formed by a part of the voters could form twice."""
    await sim.start(*sim.nodes[:2])
    await sim.advance(5.0)
    assert [n.replica.members() for n in sim.running()] == [[], []]
    await sim.nodes[2].start()
    await sim.settle()
    assert voters(sim.nodes[1]) == ['c0', 'c1', 'c2']


async def test_first_start_needs_the_same_voters_in_all_settings(sim):
    """Replicas with different voters could form two clusters."""
    whole = sim.voters
    await sim.nodes[0].start()
    sim.voters = [*whole[:2], instances.Instance('c2', '127.0.0.9', 2)]
    await sim.nodes[1].start()
    sim.voters = whole
    await sim.nodes[2].start()
    await sim.advance(5.0)
    assert not any(n.replica.members() for n in sim.nodes)


async def test_emptied_first_voter_does_not_form_a_second_cluster(settled):
    """A second first record would drop all that was committed."""
    await restart_empty(settled.nodes[0])
    await settled.advance(5.0)
    assert settled.nodes[0].replica.members() == []
    await settled.settle()


async def test_cut_off_first_start_is_finished(sim):
    """A crash during the first start must not block the cluster."""
    await sim.start()
    first = sim.nodes[0]
    # The vote of the first start is written, the record is not.
    await sim.advance_until(lambda: first.replica.term == 1)
    await first.crash(random.Random(1))
    for node in sim.nodes[1:]:
        await restart_empty(node)
    for name in first.files.names():
        if name != 'vote':
            first.files.remove(name)
    first.files.sync_folder()
    vote = first.files.read('vote')
    assert b'"synced_index": 0' in vote
    await first.start()
    await sim.settle()


async def test_second_disk_lost_right_after_the_repair(settled):
    """What was committed must survive one lost disk after another."""
    for node in (*settled.nodes, *settled.nodes):
        await restart_empty(node)
        await settled.repair(node)
    leader = settled.leaders()[0]
    assert set(settled.answered) <= set(leader.register.names)
    assert sorted(voters(leader)) == ['c0', 'c1', 'c2']


async def test_removed_leader_steps_down(settled):
    """A leader outside the cluster must not go on leading it."""
    old = settled.leaders()[0]
    await change(settled, members.REMOVE, old)
    await settled.advance_until(lambda: settled.leaders() not in ([], [old]))
    assert old.node_id not in voters(settled.leaders()[0])
    await settled.commit()


async def test_one_change_at_a_time(settled):
    """Two changes at once could give majorities without a common voter."""
    leader = settled.leaders()[0]
    others = [node for node in settled.nodes if node is not leader]
    settled.cut.update(others)
    first = asyncio.ensure_future(
        leader.replica.change_members(members.REMOVE, others[0].instance, 5)
    )
    await asyncio.sleep(0)
    with pytest.raises(errors.Conflict, match='not committed yet'):
        await leader.replica.change_members(
            members.REMOVE, others[1].instance, 5
        )
    settled.cut.clear()
    await settled.advance_until(first.done)
    first.exception()


async def test_learner_that_is_behind_is_not_promoted(settled):
    """A voter without the records would hold up every commit."""
    leader = settled.leaders()[0]
    other = next(node for node in settled.nodes if node is not leader)
    await restart_empty(other)
    await change(settled, members.ADD_LEARNER, other)
    settled.cut.add(other)
    for _ in range(6):
        for _ in range(50):
            settled.propose(leader)
        await settled.advance(0.5)
    with pytest.raises(errors.Conflict, match='records behind'):
        await change(settled, members.PROMOTE, other)


async def test_replica_of_another_cluster_is_refused(settled):
    """A replica must not mix the logs of two clusters."""
    leader = settled.leaders()[0]
    other = next(node for node in settled.nodes if node is not leader)
    vote = other.replica._log.vote
    await change(settled, members.REMOVE, other)
    await other.replica._log.save_vote(vote.term, '', 'another cluster')
    with pytest.raises(errors.Conflict, match='another cluster'):
        await change(settled, members.ADD_LEARNER, other)
