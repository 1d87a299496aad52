"""Replicas on simulated disks, links and clocks under a test's control."""

import asyncio
import contextlib
import random

from pimentowalk.control import log as control_log
from pimentowalk.control import members
from pimentowalk.control import replica as control_replica
from pimentowalk.control.tests import faulty_files
from pimentowalk.control.tests import file_threads
from pimentowalk.control.tests import simulated_links
from pimentowalk.core import errors
from pimentowalk.core import timers
from pimentowalk.topology import instances

STEP_S = 0.05
SNAPSHOT_EVERY = 12


class CommandRecorder:
    """A state machine that records the applied commands."""

    def __init__(self):
        self.applied = []

    def apply(self, index, command, time_s):
        """Record a command; return the number of commands."""
        self.applied.append((index, command.decode(), time_s))
        return len(self.applied)

    def snapshot(self):
        """Return the commands."""
        return repr(self.applied).encode()

    def restore(self, state):
        """Load the commands of a snapshot."""
        self.applied = eval(state.decode(), {'__builtins__': {}})

    @property
    def commands(self):
        """Return the commands in order."""
        return [command for _, command, _ in self.applied]


class Node:
    """A replica and its disk, which outlives the replica."""

    def __init__(self, simulation, instance):
        self.simulation = simulation
        self.instance = instance
        self.node_id = instance.instance_id
        self.files = faulty_files.FaultyFiles()
        self.lost_disk_count = 0
        self.is_first_start = simulation.is_first_start
        self.replica = None
        self.links = []
        self.random = random.Random(self.node_id)

    @property
    def running(self):
        """Return whether the replica is running."""
        return self.replica is not None

    async def start(self):
        """Start the replica."""
        simulation = self.simulation
        self.timers = simulated_links.FreezableTimers(simulation.clock)
        self.recorder = CommandRecorder()
        self.file_thread = simulation.make_file_thread(simulation.clock)
        disk_name = f'{self.node_id}-disk-{self.lost_disk_count}'
        log = simulation.make_log(
            '',
            files=self.files,
            on_fatal=simulation.fatal.append,
            new_identity=simulation.new_identity_for(disk_name, self.node_id),
            run_blocking=self.file_thread.run,
        )
        self.replica = control_replica.Replica(
            self.node_id,
            '',
            simulation.voters,
            self.recorder,
            self.timers,
            first_start=self.is_first_start,
            log=log,
            dial=self._dial,
            rules=simulation.rules,
            random=self.random,
            clock=simulation.clock.now_s,
            snapshot_every=SNAPSHOT_EVERY,
            kept_records=4,
        )
        self.is_first_start = False
        await self.replica.start()

    async def _dial(self, host, port):
        target = self.simulation.nodes[port]
        await self.timers.wait_thawed()
        if not self.simulation.can_reach(self, target):
            raise errors.PeerLost('cannot connect')
        link = simulated_links.Link(self.simulation, self, target)
        self.links.append(link)
        target.links.append(link)
        return link

    async def crash(self, rng, *, lose_disk=False):
        """Stop the replica at once and lose writes that were not synced."""
        replica, self.replica = self.replica, None
        self.timers.thaw()
        for link in self.links:
            link.abort()
        self.links.clear()
        self.file_thread.kill()
        if lose_disk:
            self.files.wipe()
            self.lost_disk_count += 1
        else:
            self.files.crash(rng)
        # The tasks of the stopped replica still close its log. Their writes
        # must not reach the disk that the next replica uses.
        replica._log.files = faulty_files.FaultyFiles()
        await replica.abort()


class Simulation:
    """Several replicas on one clock; events occur between clock steps."""

    def __init__(
        self,
        count=3,
        *,
        is_first_start=False,
        rules=None,
        make_log=control_log.DurableLog,
        make_file_thread=file_threads.InlineFileThread,
        new_identity_for=lambda disk_name, node_id: lambda: disk_name,
    ):
        self.clock = timers.ManualTimerService()
        self.is_first_start = is_first_start
        self.rules = rules
        self.make_log = make_log
        self.make_file_thread = make_file_thread
        self.new_identity_for = new_identity_for
        self.fatal = []
        self.partitioned = set()
        # Each frame takes one of these times at random; with several of
        # them, frames are reordered.
        self.delays_s = (0.0,)
        self.random = random.Random(11)
        self.voters = [
            instances.Instance(f'c{port}', '127.0.0.1', port)
            for port in range(count)
        ]
        self.nodes = [Node(self, voter) for voter in self.voters]
        self.acknowledged = []
        self.rejected = set()
        self._command_count = 0
        self._tasks = []

    async def delay_delivery(self):
        """Wait for the delivery time of a frame."""
        delay_s = self.random.choice(self.delays_s)
        if delay_s:
            await self.clock.sleep(delay_s)

    def can_reach(self, source, target):
        """Return whether two running nodes can reach each other."""
        if not (source.running and target.running):
            return False
        return source is target or not {source, target} & self.partitioned

    async def start(self, *nodes):
        """Start the given nodes, or all of them."""
        self._loop = asyncio.get_running_loop()
        for node in nodes or self.nodes:
            await node.start()

    async def advance(self, delay_s):
        """Advance the clock in small steps and check invariants after each."""
        for _ in range(round(delay_s / STEP_S)):
            await self.clock.advance(STEP_S)
            self.check()

    async def advance_until(self, condition, limit_s=20.0):
        """Advance the clock until a condition holds; fail after the limit."""
        deadline_s = self.clock.now_s() + limit_s
        while not condition():
            if self.clock.now_s() >= deadline_s:
                raise AssertionError(f'no progress: {self.describe()}')
            await self.advance(STEP_S)

    def describe(self):
        """Return the state of the running nodes, for a failure report."""
        return [
            (
                node.node_id,
                f'frozen={node.timers.frozen}',
                vars(node.replica._consensus)['role'],
                node.replica._log.vote,
                node.replica._log.last_index,
                node.replica.commit_index,
                node.replica.applied_index,
                [(m.identity, m.voter) for m in node.replica.members()],
            )
            for node in self.running()
        ]

    def running(self):
        """Return the running nodes."""
        return [node for node in self.nodes if node.running]

    def leaders(self):
        """Return the nodes that would answer as a leader now."""
        return [
            node
            for node in self.running()
            if node.replica.is_leader and not node.timers.frozen
        ]

    def propose(self, node):
        """Propose a new command at a node in the background; return it."""
        self._command_count += 1
        command = f'n{self._command_count}'
        self._spawn(self._propose(node.replica, command))
        return command

    async def _propose(self, replica, command):
        try:
            await replica.propose(command.encode(), 2.0)
        except (errors.NotLeader, errors.NoQuorum):
            self.rejected.add(command)
        except errors.OutcomeUnknown:
            pass
        else:
            self.acknowledged.append(command)

    def read(self, node):
        """Read at a node in the background; check that nothing is missing."""
        self._spawn(self._read(node, list(self.acknowledged)))

    async def _read(self, node, acknowledged_before):
        recorder, replica, clock = node.recorder, node.replica, node.timers
        try:
            await replica.read_barrier()
        except errors.PimentowalkError:
            return
        if not clock.frozen:
            missing = set(acknowledged_before) - set(recorder.commands)
            assert not missing, (
                f'a read misses acknowledged commands: {missing}'
            )

    def transfer_leadership(self, node):
        """Transfer leadership from a node in the background."""
        self._spawn(self._transfer(node.replica))

    async def _transfer(self, replica):
        with contextlib.suppress(errors.NotLeader, errors.NoQuorum):
            await replica.transfer_leadership()

    def _spawn(self, coroutine):
        self._tasks.append(self._loop.create_task(coroutine))

    def check(self):
        """Check the invariants that must always hold."""
        assert not self.fatal, self.fatal
        for task in [task for task in self._tasks if task.done()]:
            self._tasks.remove(task)
            task.result()
        leader_ids = [leader.node_id for leader in self.leaders()]
        assert len(leader_ids) <= 1, (
            f'several leaders at one time: {leader_ids}'
        )
        applied = sorted(
            (node.recorder.applied for node in self.running()), key=len
        )
        for shorter, longer in zip(applied, applied[1:], strict=False):
            assert shorter == longer[: len(shorter)], (
                'the applied commands of replicas diverge'
            )
        if applied:
            longest = [command for _, command, _ in applied[-1]]
            assert not self.rejected & set(longest), (
                'a rejected command was applied'
            )
            assert len(set(longest)) == len(longest), (
                'a command was applied twice'
            )

    async def undo_faults(self):
        """Undo all faults; check that no acknowledged command was lost."""
        self.delays_s = (0.0,)
        self.partitioned.clear()
        for node in self.nodes:
            if not node.running:
                await node.start()
            node.timers.thaw()
        await self.advance_until(lambda: len(self.leaders()) == 1)
        await self.replicate_command()

    async def replicate_command(self):
        """Commit one command and wait until all members have applied it."""
        command = await self.commit_command()
        await self.advance_until(
            lambda: all(
                command in node.recorder.commands
                for node in self.nodes
                if self.is_member(node)
            )
        )

    def is_member(self, node):
        """Return whether the leader lists a node with its current disk."""
        listed_identities = [
            member.identity
            for leader in self.leaders()
            for member in leader.replica.members()
            if member.node_id == node.node_id
        ]
        return listed_identities == [node.replica.identity]

    async def commit_command(self):
        """Propose commands until one is acknowledged; return it."""
        while True:
            await self.advance_until(self.leaders)
            command = self.propose(self.leaders()[0])
            await self.advance(0.5)
            if command in self.acknowledged:
                applied = self.leaders()[0].recorder.commands
                missing = set(self.acknowledged) - set(applied)
                assert not missing, f'acknowledged but lost: {missing}'
                return command

    async def restore_voter(self, node):
        """Add a node that lost its disk again, and promote it to voter."""
        for action in (members.ADD_LEARNER, members.PROMOTE):
            await self.advance_until(self.leaders)
            leader = self.leaders()[0].replica
            change = asyncio.ensure_future(
                leader.change_members(action, node.instance, 5.0)
            )
            await self.advance_until(change.done)
            change.result()
            await self.replicate_command()

    async def stop(self):
        """Stop all nodes."""
        for node in self.running():
            await node.crash(random.Random(0))
        await timers.cancel_all(self._tasks)
