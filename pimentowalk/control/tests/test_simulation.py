"""Drive real replicas through cut links, crashes, freezes, lost disks."""

import asyncio
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from pimentowalk.control.tests import simulation

NODES = strategies.integers(0, 2)


class ReplicaMachine(stateful.RuleBasedStateMachine):
    """Three replicas; every step checks what must hold at each moment."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.simulation = simulation.Simulation()
        self.chooser = random.Random(7)
        self.lost = None
        self.run(self.simulation.start())
        self.run(self.simulation.settle())

    def run(self, work):
        return self.loop.run_until_complete(work)

    def node(self, number):
        return self.simulation.nodes[number]

    @stateful.rule(number=NODES, count=strategies.integers(1, 6))
    def propose(self, number, count):
        for _ in range(count):
            if self.node(number).running:
                self.simulation.propose(self.node(number))

    @stateful.rule()
    def propose_at_leader(self):
        for leader in self.simulation.leaders():
            self.simulation.propose(leader)

    @stateful.rule(number=NODES)
    def read(self, number):
        if self.node(number).running:
            self.simulation.read(self.node(number))

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

    @stateful.rule(number=NODES)
    def cut_or_join(self, number):
        self.simulation.cut ^= {self.node(number)}

    @stateful.rule()
    def cut_leader(self):
        self.simulation.cut |= set(self.simulation.leaders())

    @stateful.rule(number=NODES)
    def freeze_or_thaw(self, number):
        node = self.node(number)
        if node.running and node.timers.frozen:
            node.timers.thaw()
        elif node.running:
            node.timers.freeze()

    @stateful.rule(number=NODES, short=strategies.booleans())
    def crash(self, number, short):
        node = self.node(number)
        if node.running:
            self.run(node.crash(self.chooser))
            node.files.short_writes = short

    @stateful.rule(number=NODES)
    def restart(self, number):
        if not self.node(number).running:
            self.run(self.node(number).start())

    @stateful.precondition(lambda self: self.lost is None)
    @stateful.rule(number=NODES)
    def lose_disk(self, number):
        node = self.node(number)
        if node.running:
            self.lost = node
            self.run(node.crash(self.chooser, lose_disk=True))

    @stateful.precondition(lambda self: self.lost is not None)
    @stateful.rule()
    def heal_and_repair(self):
        self.run(self.simulation.heal())
        self.run(self.simulation.repair(self.lost))
        self.lost = None

    @stateful.rule()
    def transfer(self):
        for leader in self.simulation.leaders():
            self.simulation.transfer(leader)

    def teardown(self):
        try:
            self.run(self.simulation.heal())
            if self.lost is not None:
                self.run(self.simulation.repair(self.lost))
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
