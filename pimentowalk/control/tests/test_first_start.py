"""Test first starts in which voters are killed, cut off or lose disks."""

import itertools
import random

import pytest

from pimentowalk.control import founding
from pimentowalk.control import log as control_log
from pimentowalk.control.tests import faulty_files
from pimentowalk.control.tests import file_threads
from pimentowalk.control.tests import simulation

# Longer than an election.
STAGES_S = (0.0, 0.5, 2.0)


@pytest.fixture(params=[3, 5])
async def sim(request):
    simulated = simulation.Simulation(request.param, is_first_start=True)
    yield simulated
    await simulated.stop()


def tolerated(sim):
    """Return how many voters may be lost."""
    return len(sim.nodes) // 2


def cases(count):
    """Yield losses, the time of the kill and whether the disks are lost."""
    for lost in itertools.combinations(range(count), count // 2):
        yield from itertools.product([lost], STAGES_S, (False, True))


@pytest.mark.parametrize('count', [3, 5])
async def test_any_minority_may_be_killed_at_any_stage(count):
    """One killed voter kept the cluster from ever being created."""
    for lost, stage_s, lose_disk in cases(count):
        sim = simulation.Simulation(count, is_first_start=True)
        await sim.start()
        await sim.advance(stage_s)
        victims = [sim.nodes[index] for index in lost]
        for node in victims:
            await node.crash(random.Random(1), lose_disk=lose_disk)
        await sim.commit_command()
        await sim.start(*victims)
        for node in victims if lose_disk else ():
            await sim.restore_voter(node)
        await sim.replicate_command()
        leader = sim.leaders()[0].replica
        assert sum(m.voter for m in leader.members()) == count
        await sim.stop()


async def test_voters_killed_before_they_wrote_anything_join(sim):
    """A restart with an empty folder and without first start stayed alone."""
    late = sim.nodes[: tolerated(sim)]
    for node in late:
        node.is_first_start = False
    await sim.start()
    for node in late:
        await sim.restore_voter(node)
    await sim.replicate_command()


async def test_a_minority_never_creates_a_cluster(sim):
    """A second cluster could come from the voters that are cut off."""
    await sim.start(*sim.nodes[: tolerated(sim)])
    await sim.advance(5.0)
    assert not sim.leaders()


async def test_founders_that_lost_their_disks_do_not_count(sim):
    """With a voter that was cut off they would create a second cluster."""
    cut = sim.nodes[-1]
    sim.partitioned.add(cut)
    await sim.start()
    await sim.commit_command()
    for node in sim.nodes[:-1]:
        await node.crash(random.Random(1), lose_disk=True)
        await node.start()
    sim.partitioned.clear()
    await sim.advance(5.0)
    assert not sim.leaders()


async def test_all_killed_in_the_first_start_go_on(sim):
    """A stop and start of all must not need another first start."""
    await sim.start()
    for node in sim.nodes:
        await node.crash(random.Random(1))
    await sim.start()
    await sim.replicate_command()


async def test_founder_completes_its_first_record():
    """A crash between vote file and first record must not lose the record."""
    files = faulty_files.FaultyFiles()
    voters = simulation.Simulation(3).voters

    def open_log():
        thread = file_threads.InlineFileThread(None)
        return control_log.DurableLog('', files=files, run_blocking=thread.run)

    first = open_log()
    await first.open(first_vote=founding.founding_vote('c0', voters))
    second = open_log()
    await second.open()
    await founding.complete(second)
    await founding.complete(second)
    assert (second.last_index, second.synced_index) == (1, 1)
    assert second.vote.identity == f'{second.vote.cluster_id}-c0'
