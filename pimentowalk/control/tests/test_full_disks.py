"""Test clusters whose disks fill up one after another."""

import asyncio
import contextlib
import errno
import random
import types

import pytest

from pimentowalk.control import applier
from pimentowalk.control import files
from pimentowalk.control import snapshot
from pimentowalk.control.tests import faulty_files
from pimentowalk.control.tests import file_threads
from pimentowalk.control.tests import simulation
from pimentowalk.core import errors
from pimentowalk.wire import messages

# An operator gets an acknowledgement within this time.
MAX_ACKNOWLEDGEMENT_S = 4.0
# The same after the last disk has room again.
MAX_RECOVERY_S = 1.0
CALL_TIMEOUT_S = 0.7
ATTEMPT_DELAY_S = 0.05
SEEDS = range(12)
RESTART_SHARE = 0.3
REFUSALS = (
    frozenset([faulty_files.WRITE]),
    faulty_files.ALL,
    frozenset([faulty_files.SYNC]),
    faulty_files.ALL | {faulty_files.SYNC},
)


@pytest.fixture(autouse=True)
def manual_retry_delay(monkeypatch):
    monkeypatch.setattr(
        files,
        'time',
        types.SimpleNamespace(sleep=file_threads.wait_for_room),
    )


class Operator:
    """Send changes to the leader until each is acknowledged."""

    def __init__(self, sim):
        self._sim = sim
        self._count = 0
        self._tasks = {}
        self.delays_s = []

    def send(self):
        """Send a change in the background."""
        self._count += 1
        name = f'change{self._count}'
        self._tasks[name] = asyncio.ensure_future(self._send(name))

    async def _send(self, name):
        sim = self._sim
        start_s = sim.clock.now_s()
        attempt = 0
        while True:
            for leader in sim.leaders():
                attempt += 1
                command = f'{name}/{attempt}'.encode()
                try:
                    await leader.replica.propose(command, CALL_TIMEOUT_S)
                except errors.PimentowalkError:
                    continue
                delay_s = sim.clock.now_s() - start_s
                self.delays_s.append(delay_s)
                assert delay_s <= MAX_ACKNOWLEDGEMENT_S, (
                    f'{name} took {delay_s:.2f} s: {sim.describe()}'
                )
                return
            await sim.clock.sleep(ATTEMPT_DELAY_S)

    def check(self):
        """Raise the error of a change that was acknowledged too late."""
        for name in [n for n, task in self._tasks.items() if task.done()]:
            self._tasks.pop(name).result()

    async def wait_all(self, limit_s):
        """Fail unless all changes are acknowledged within the limit."""
        await self._sim.advance_until(
            lambda: all(task.done() for task in self._tasks.values()), limit_s
        )
        self.check()


async def run_with_changes(sim, operator, delay_s, rng):
    """Advance the clock while changes are sent at random moments."""
    end_s = sim.clock.now_s() + delay_s
    while (left_s := end_s - sim.clock.now_s()) > 1e-9:
        operator.send()
        await sim.advance(min(left_s, rng.uniform(0.05, 0.6)) + 0.049)
        operator.check()


@contextlib.asynccontextmanager
async def running_cluster():
    """Run three replicas that have committed one command."""
    sim = simulation.Simulation(make_file_thread=file_threads.FileThread)
    await sim.start()
    await sim.replicate_command()
    yield sim
    await sim.stop()


async def test_full_disk_does_not_delay_changes_beside_a_due_snapshot():
    """A leader that could not write its snapshot answered no change."""
    async with running_cluster() as sim:
        leader = sim.leaders()[0]
        leader.files.refused = frozenset([faulty_files.WRITE])
        operator = Operator(sim)
        for _ in range(2 * simulation.SNAPSHOT_EVERY):
            operator.send()
            await sim.advance(0.1)
        await operator.wait_all(0.5)
        assert leader.file_thread.wait_count
        assert sim.leaders() == [leader]


async def test_snapshot_is_installed_while_older_records_are_applied():
    """The applier read records that the snapshot had just replaced."""
    async with running_cluster() as sim:
        node = next(n for n in sim.nodes if n not in sim.leaders())
        consensus = node.replica._consensus
        first = consensus.log.last_index + 1
        last = first + 4 * applier.RECORDS_PER_YIELD
        content = applier.encode_command(b'command', 0.0)
        consensus.append(
            [
                messages.LogRecord(
                    index, node.replica.term, 'command', content
                )
                for index in range(first, last + 1)
            ]
        )
        await consensus.log.sync()
        consensus.commit_to(last)
        installed = snapshot.Snapshot(
            last + 100, node.replica.term, consensus.members.encode(), b'[]'
        )
        await node.replica._applier.install_snapshot(installed)
        await sim.clock.advance(simulation.STEP_S)
        assert not sim.fatal
        assert node.replica.applied_index == installed.last_index


def choose_node(sim, order, round_number, rng):
    """Return the next node whose disk fills up."""
    leaders = sim.leaders()
    if order == 'leader' and leaders:
        return leaders[0]
    if order == 'turn':
        return sim.nodes[round_number % 3]
    return rng.choice(sim.nodes)


async def fill_disk_for_a_while(sim, operator, node, rng):
    """Fill the disk of a node, which may restart before it has room."""
    node.files.refused = rng.choice(REFUSALS)
    node.files.full_error = rng.choice([errno.ENOSPC, errno.EDQUOT])
    full_s = rng.uniform(2.0, 5.0)
    if rng.random() < RESTART_SHARE:
        running_s = rng.uniform(0.2, full_s - 1.0)
        await run_with_changes(sim, operator, running_s, rng)
        await node.crash(rng)
        await run_with_changes(sim, operator, 0.3, rng)
        starting = asyncio.ensure_future(node.start())
        await run_with_changes(sim, operator, full_s - running_s, rng)
        node.files.refused = frozenset()
        await sim.advance_until(starting.done, MAX_RECOVERY_S)
        starting.result()
    else:
        await run_with_changes(sim, operator, full_s, rng)
        assert node.file_thread.wait_count
        node.files.refused = frozenset()


@pytest.mark.parametrize('seed', SEEDS)
async def test_changes_are_acknowledged_while_disks_fill_up_in_turn(seed):
    """Changes stayed unanswered after the last disk had room again."""
    rng = random.Random(seed)
    async with running_cluster() as sim:
        operator = Operator(sim)
        order = rng.choice(['leader', 'turn', 'random'])
        for round_number in range(rng.randint(3, 8)):
            node = choose_node(sim, order, round_number, rng)
            await fill_disk_for_a_while(sim, operator, node, rng)
            gap_s = rng.choice([0.0, 0.1, 0.5, 2.0])
            if gap_s:
                await run_with_changes(sim, operator, gap_s, rng)
        operator.send()
        await operator.wait_all(MAX_RECOVERY_S)
        await sim.advance_until(
            lambda: len({n.replica.applied_index for n in sim.nodes}) == 1,
            MAX_RECOVERY_S,
        )
