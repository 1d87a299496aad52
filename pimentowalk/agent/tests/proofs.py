"""Checks that raise an AssertionError if a decision of an agent is wrong."""

import asyncio

import hypothesis
from hypothesis import strategies

from pimentowalk.admission import fair_queue
from pimentowalk.agent import orders
from pimentowalk.agent import rules
from pimentowalk.agent.tests import fakes
from pimentowalk.agent.tests import world
from pimentowalk.wire import messages
from specs import attempts
from specs import explorer
from specs import service_calls

CHOICES = strategies.lists(
    strategies.integers(0, 10_000), min_size=10, max_size=60
)


def attempts_specification():
    """Explore all states of the specification of attempts."""
    assert not explorer.explore(attempts).violation


def calls_specification():
    """Explore all states of the specification of non-idempotent calls."""
    assert not explorer.explore(service_calls).violation


@hypothesis.settings(
    max_examples=400,
    derandomize=True,
    deadline=None,
    database=None,
    phases=[hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
)
@hypothesis.given(CHOICES)
def randomized_roles(choices):
    """Run the real roles with repeated and reordered frames."""
    asyncio.run(world.run_schedule(choices))


def orders_in_sequence():
    """Send stale and repeated orders to the real order handler."""

    async def run():
        engine = fakes.RecordingEngine()
        control = fakes.FakeControl()
        identity = world.Simulation()._identity(0)
        handler = orders.OrderHandler(
            identity, engine, '', control.highest_fence, lambda: None
        )
        for fence in (2, 1, 2, 3):
            await handler.handle(messages.Order(fence, 'load', b'{}'))
        assert [order['fence'] for order in engine.sent] == [2, 3]

    asyncio.run(run())


def lease_limits():
    """Check the time limits of leases and of outdated versions."""
    assert not rules.clock_jumped(0.0, 10.0)
    assert rules.clock_jumped(0.0, 10.5)
    assert not rules.lease_expired(0.0, 10.0)
    assert rules.lease_expired(0.0, 10.5)
    assert not rules.is_stale(3, 4, 1.9)
    assert rules.is_stale(3, 4, 2.0)
    assert not rules.is_stale(4, 4, 9.0)


def queue_shares():
    """Check reserved capacity, and fair shares despite wrong predictions."""
    limits = fair_queue.QueueLimits(max_running=4, short_cost_tokens=10)
    queue = fair_queue.FairQueue(limits)
    for number in range(6):
        queue.push(fair_queue.WorkItem(number, 'a', 1.0, 50, 0.0))
    while queue.pop(0.0) is not None:
        pass
    assert len(queue.running) == 3
    served = {'a': 0, 'b': 0}
    queue = fair_queue.FairQueue(fair_queue.QueueLimits(max_running=1))
    for number in range(200):
        queue.push(fair_queue.WorkItem(('a', number), 'a', 1.0, 1, 0.0))
        queue.push(fair_queue.WorkItem(('b', number), 'b', 1.0, 10, 0.0))
    for _ in range(100):
        work = queue.pop(0.0)
        queue.record_output(work.key, 10)
        queue.finish(work.key)
        served[work.account] += 10
    assert abs(served['a'] - served['b']) <= 20


def one_suspect_at_a_time():
    """Check that only one suspect runs at a time."""
    queue = fair_queue.FairQueue(fair_queue.QueueLimits(max_running=4))
    for number, isolate in enumerate((True, False, True, True)):
        work = fair_queue.WorkItem(number, 'a', 1.0, 5, 0.0, isolate=isolate)
        queue.push(work)
    while queue.pop(0.0) is not None:
        pass
    assert list(queue.running) == [0, 1]
    queue.clear_suspect(0)
    assert queue.pop(0.0).key == 2
    assert queue.pop(0.0) is None
    assert rules.on_probation(True, 3, 3 + rules.PROBATION_TOKENS)
    assert not rules.on_probation(True, 3, 4 + rules.PROBATION_TOKENS)
    assert not rules.on_probation(False, 3, 3)
