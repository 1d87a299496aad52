"""Test replicas under partitions, delays, crashes, freezes, lost disks."""

import asyncio
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from pimentowalk.control.tests import simulation

NODE_INDEXES = strategies.integers(0, 2)


class ReplicaMachine(stateful.RuleBasedStateMachine):
    """Three replicas; the invariants are checked after every clock step."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.simulation = simulation.Simulation()
        self.rng = random.Random(7)
        self.node_with_lost_disk = None
        self.run(self.simulation.start())
        self.run(self.simulation.replicate_command())

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    def node(self, index):
        return self.simulation.nodes[index]

    @stateful.rule(index=NODE_INDEXES, count=strategies.integers(1, 6))
    def propose(self, index, count):
        for _ in range(count):
            if self.node(index).running:
                self.simulation.propose(self.node(index))

    @stateful.rule()
    def propose_at_leader(self):
        for leader in self.simulation.leaders():
            self.simulation.propose(leader)

    @stateful.rule(index=NODE_INDEXES)
    def read(self, index):
        if self.node(index).running:
            self.simulation.read(self.node(index))

    @stateful.rule(steps=strategies.integers(1, 40))
    def advance(self, steps):
        self.run(self.simulation.advance(steps * simulation.STEP_S))

    @stateful.rule(
        delays_s=strategies.sampled_from(
            [(0.0,), (0.0, 0.02, 0.07), (0.0, 0.3), (0.0, 0.05, 0.9)]
        )
    )
    def set_delays(self, delays_s):
        self.simulation.delays_s = delays_s

    @stateful.rule(index=NODE_INDEXES)
    def toggle_partition(self, index):
        self.simulation.partitioned ^= {self.node(index)}

    @stateful.rule()
    def partition_leader(self):
        self.simulation.partitioned |= set(self.simulation.leaders())

    @stateful.rule(index=NODE_INDEXES)
    def freeze_or_thaw(self, index):
        node = self.node(index)
        if node.running and node.timers.frozen:
            node.timers.thaw()
            # Even before any of its tasks runs, it must not count as a
            # second leader.
            self.simulation.check()
        elif node.running:
            node.timers.freeze()

    @stateful.rule(steps=strategies.integers(10, 40))
    def freeze_leader_for_a_while(self, steps):
        for leader in self.simulation.leaders():
            index = self.simulation.nodes.index(leader)
            self.freeze_or_thaw(index)
            self.advance(steps)
            self.freeze_or_thaw(index)

    @stateful.rule(index=NODE_INDEXES, short_writes=strategies.booleans())
    def crash(self, index, short_writes):
        node = self.node(index)
        if node.running:
            self.run(node.crash(self.rng))
            node.files.short_writes = short_writes

    @stateful.rule(index=NODE_INDEXES)
    def restart(self, index):
        if not self.node(index).running:
            self.run(self.node(index).start())

    @stateful.precondition(lambda self: self.node_with_lost_disk is None)
    @stateful.rule(index=NODE_INDEXES)
    def lose_disk(self, index):
        node = self.node(index)
        if node.running:
            self.node_with_lost_disk = node
            self.run(node.crash(self.rng, lose_disk=True))

    @stateful.precondition(lambda self: self.node_with_lost_disk is not None)
    @stateful.rule()
    def undo_faults_and_restore_voter(self):
        self.run(self.simulation.undo_faults())
        self.run(self.simulation.restore_voter(self.node_with_lost_disk))
        self.node_with_lost_disk = None

    @stateful.rule()
    def transfer_leadership(self):
        for leader in self.simulation.leaders():
            self.simulation.transfer_leadership(leader)

    def teardown(self):
        try:
            self.run(self.simulation.undo_faults())
            if self.node_with_lost_disk is not None:
                self.run(
                    self.simulation.restore_voter(self.node_with_lost_disk)
                )
        finally:
            self.run(self.simulation.stop())
            self.loop.close()


TestReplicaMachine = ReplicaMachine.TestCase
TestReplicaMachine.settings = hypothesis.settings(
    max_examples=25,
    stateful_step_count=25,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
