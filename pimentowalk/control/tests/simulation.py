"""Replicas on faulty files, links and clocks that a test moves by hand."""

import asyncio
import contextlib
import random

from pimentowalk.control import log as control_log
from pimentowalk.control import members
from pimentowalk.control import replica as control_replica
from pimentowalk.control.tests import faulty_files
from pimentowalk.core import errors
from pimentowalk.core import timers
from pimentowalk.topology import instances
from pimentowalk.wire import codec

STEP_S = 0.05


class FreezableTimers(timers.TimerService):
    """The shared manual clock, on which a frozen process does not wake."""

    def __init__(self, shared):
        self._shared = shared
        self._thawed = asyncio.Event()
        self._thawed.set()

    def now_s(self):
        """Return the shared time, which goes on during a freeze."""
        return self._shared.now_s()

    async def sleep(self, delay_s):
        """Sleep; wake only when not frozen."""
        await self._shared.sleep(delay_s)
        await self.wait_thawed()

    @property
    def frozen(self):
        """Return whether the process is stopped."""
        return not self._thawed.is_set()

    async def wait_thawed(self):
        """Wait until the process runs."""
        await self._thawed.wait()

    def freeze(self):
        """Stop the process, as SIGSTOP does."""
        self._thawed.clear()

    def thaw(self):
        """Let the process go on."""
        self._thawed.set()


class Link:
    """A connection from one node to another."""

    def __init__(self, simulation, source, target):
        self._simulation = simulation
        self._source = source
        self._target = target
        self._ended = asyncio.Event()
        self._answers = {}

    @property
    def peer(self):
        """Return the node id of the sender, as the receiver sees it."""
        return self._source.node_id

    @property
    def closed(self):
        """Return whether the connection has ended."""
        return self._ended.is_set()

    def abort(self):
        """End the connection."""
        self._ended.set()

    async def run(self):
        """Wait until the connection ends."""
        await self._ended.wait()

    async def reply(self, envelope, body):
        """Answer a call."""
        self._answers[envelope.call_id] = body

    async def call(self, body, timeout_s):
        """Deliver a frame and return its answer, as far as links allow."""
        handled = asyncio.ensure_future(self._deliver(body))
        # What was sent may still arrive after the caller gave up.
        handled.add_done_callback(
            lambda task: task.cancelled() or task.exception()
        )
        expired = asyncio.ensure_future(
            self._simulation.clock.sleep(timeout_s)
        )
        ended = asyncio.ensure_future(self._ended.wait())
        tasks = (handled, expired, ended)
        async with timers.cancelling(expired, ended):
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            await self._source.timers.wait_thawed()
        if handled.done():
            return handled.result()
        if self.closed:
            raise errors.PeerLost('the connection ended')
        raise TimeoutError

    async def _deliver(self, body):
        self._check()
        target = self._target
        await self._simulation.travel()
        await target.timers.wait_thawed()
        self._check()
        call_id = len(self._answers)
        self._answers[call_id] = None
        envelope = codec.Envelope(body, 0, call_id)
        await target.replica.handle(self, envelope)
        await target.timers.wait_thawed()
        await self._simulation.travel()
        self._check()
        return self._answers[call_id]

    def _check(self):
        if self.closed or not self._simulation.linked(
            self._source, self._target
        ):
            self.abort()
            raise errors.PeerLost('the link is cut')


class Register:
    """A state machine that keeps the commands it applied."""

    def __init__(self):
        self.applied = []

    def apply(self, index, command, time_s):
        """Remember a command."""
        self.applied.append((index, command.decode(), time_s))
        return len(self.applied)

    def snapshot(self):
        """Return the commands."""
        return repr(self.applied).encode()

    def restore(self, state):
        """Take the commands of a snapshot."""
        self.applied = eval(state.decode(), {'__builtins__': {}})

    @property
    def names(self):
        """Return the commands in order."""
        return [name for _, name, _ in self.applied]


class Node:
    """A replica and its disk; the disk stays when the replica ends."""

    def __init__(self, simulation, instance):
        self.simulation = simulation
        self.instance = instance
        self.node_id = instance.instance_id
        self.files = faulty_files.FaultyFiles()
        self.disks = 0
        self.replica = None
        self.links = []
        self.random = random.Random(self.node_id)

    @property
    def running(self):
        """Return whether the replica runs."""
        return self.replica is not None

    async def start(self):
        """Start the replica."""
        simulation = self.simulation
        self.timers = FreezableTimers(simulation.clock)
        self.register = Register()
        name = f'{self.node_id}-disk-{self.disks}'
        log = simulation.make_log(
            '',
            files=self.files,
            on_fatal=simulation.fatal.append,
            new_identity=simulation.identity_of(name, self.node_id),
            run_blocking=faulty_files.run_inline,
        )
        self.replica = control_replica.Replica(
            self.node_id,
            '',
            simulation.voters,
            self.register,
            self.timers,
            log=log,
            dial=self._dial,
            rules=simulation.rules,
            random=self.random,
            clock=simulation.clock.now_s,
            snapshot_every=12,
            kept_records=4,
        )
        await self.replica.start()

    async def _dial(self, host, port):
        target = self.simulation.nodes[port]
        await self.timers.wait_thawed()
        if not self.simulation.linked(self, target):
            raise errors.PeerLost('cannot connect')
        link = Link(self.simulation, self, target)
        self.links.append(link)
        target.links.append(link)
        return link

    async def crash(self, chooser, *, lose_disk=False):
        """End the replica at once and lose what was not synced."""
        replica, self.replica = self.replica, None
        self.timers.thaw()
        for link in self.links:
            link.abort()
        self.links.clear()
        if lose_disk:
            self.files.wipe()
            self.disks += 1
        else:
            self.files.crash(chooser)
        # The tasks of the ended replica still close its log; what they
        # write must not reach the disk of the next one.
        replica._log.files = faulty_files.FaultyFiles()
        await replica.abort()


class Simulation:
    """Some replicas under one clock; events happen between steps."""

    def __init__(
        self,
        count=3,
        *,
        rules=None,
        make_log=control_log.DurableLog,
        identity_of=lambda name, node_id: lambda: name,
    ):
        self.clock = timers.ManualTimerService()
        self.rules = rules
        self.make_log = make_log
        self.identity_of = identity_of
        self.fatal = []
        self.cut = set()
        # Frames take one of these times; with several, they overtake.
        self.delays_s = (0.0,)
        self.random = random.Random(11)
        self.voters = [
            instances.Instance(f'c{port}', '127.0.0.1', port)
            for port in range(count)
        ]
        self.nodes = [Node(self, voter) for voter in self.voters]
        self.answered = []
        self.refused = set()
        self._numbers = 0
        self._tasks = []

    async def travel(self):
        """Let a frame take its time on the way."""
        delay_s = self.random.choice(self.delays_s)
        if delay_s:
            await self.clock.sleep(delay_s)

    def linked(self, source, target):
        """Return whether two running nodes reach each other."""
        if not (source.running and target.running):
            return False
        return source is target or not {source, target} & self.cut

    async def start(self, *nodes):
        """Start nodes, all of them by default."""
        self._loop = asyncio.get_running_loop()
        for node in nodes or self.nodes:
            await node.start()

    async def advance(self, delay_s):
        """Move the clock in small steps, and check after each."""
        for _ in range(round(delay_s / STEP_S)):
            await self.clock.advance(STEP_S)
            self.check()

    async def advance_until(self, condition, limit_s=20.0):
        """Move the clock until something holds; fail after the limit."""
        until_s = self.clock.now_s() + limit_s
        while not condition():
            if self.clock.now_s() >= until_s:
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
        """Return the nodes that would answer as leader now."""
        return [
            node
            for node in self.running()
            if node.replica.is_leader and not node.timers.frozen
        ]

    def propose(self, node):
        """Propose a new command at a node, in the background."""
        self._numbers += 1
        name = f'n{self._numbers}'
        self._spawn(self._propose(node.replica, name))
        return name

    async def _propose(self, replica, name):
        try:
            await replica.propose(name.encode(), 2.0)
        except (errors.NotLeader, errors.NoQuorum):
            self.refused.add(name)
        except errors.OutcomeUnknown:
            pass
        else:
            self.answered.append(name)

    def read(self, node):
        """Read at a node, in the background, and check what it sees."""
        self._spawn(self._read(node, list(self.answered)))

    async def _read(self, node, answered_before):
        register, replica, clock = node.register, node.replica, node.timers
        try:
            await replica.read_barrier()
        except errors.PimentowalkError:
            return
        if not clock.frozen:
            missing = set(answered_before) - set(register.names)
            assert not missing, f'a read misses {missing}'

    def transfer(self, node):
        """Hand leadership over, in the background."""
        self._spawn(self._transfer(node.replica))

    async def _transfer(self, replica):
        with contextlib.suppress(errors.NotLeader, errors.NoQuorum):
            await replica.transfer_leadership()

    def _spawn(self, work):
        self._tasks.append(self._loop.create_task(work))

    def check(self):
        """Check what must hold at every moment."""
        assert not self.fatal, self.fatal
        for task in [task for task in self._tasks if task.done()]:
            self._tasks.remove(task)
            task.result()
        names = [leader.node_id for leader in self.leaders()]
        assert len(names) <= 1, f'leaders at one time: {names}'
        applied = sorted(
            (node.register.applied for node in self.running()), key=len
        )
        for shorter, longer in zip(applied, applied[1:], strict=False):
            assert shorter == longer[: len(shorter)], 'replicas diverge'
        if applied:
            longest = [name for _, name, _ in applied[-1]]
            assert not self.refused & set(longest), 'a refused command ran'
            assert len(set(longest)) == len(longest), 'a command ran twice'

    async def heal(self):
        """Undo all faults and check that nothing answered was lost."""
        self.delays_s = (0.0,)
        self.cut.clear()
        for node in self.nodes:
            if not node.running:
                await node.start()
            node.timers.thaw()
        await self.advance_until(lambda: len(self.leaders()) == 1)
        await self.settle()

    async def settle(self):
        """Commit one command and wait until all members have it."""
        name = await self.commit()
        await self.advance_until(
            lambda: all(
                name in node.register.names
                for node in self.nodes
                if self.is_member(node)
            )
        )

    def is_member(self, node):
        """Return whether the leader counts a node and its disk."""
        found = [
            member.identity
            for leader in self.leaders()
            for member in leader.replica.members()
            if member.node_id == node.node_id
        ]
        return found == [node.replica.identity]

    async def commit(self):
        """Propose until a command is answered; return its name."""
        while True:
            await self.advance_until(self.leaders)
            name = self.propose(self.leaders()[0])
            await self.advance(0.5)
            if name in self.answered:
                names = self.leaders()[0].register.names
                missing = set(self.answered) - set(names)
                assert not missing, f'answered but lost: {missing}'
                return name

    async def repair(self, node):
        """Take a node whose disk was lost back as a voter."""
        for action in (members.ADD_LEARNER, members.PROMOTE):
            await self.advance_until(self.leaders)
            leader = self.leaders()[0].replica
            change = asyncio.ensure_future(
                leader.change_members(action, node.instance, 5.0)
            )
            await self.advance_until(change.done)
            change.result()
            await self.settle()

    async def stop(self):
        """End all nodes."""
        for node in self.running():
            await node.crash(random.Random(0))
        await timers.cancel_all(self._tasks)
