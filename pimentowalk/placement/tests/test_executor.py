"""Tests of the orders that the control leader gives to backend servers."""

import asyncio
import random

import attrs
import pytest

from pimentowalk.core import errors
from pimentowalk.core import timers
from pimentowalk.membership import backends as membership
from pimentowalk.placement import executor
from pimentowalk.placement import planner
from pimentowalk.placement import tiling
from pimentowalk.placement.tests import test_planner
from pimentowalk.topology import backends
from pimentowalk.topology import documents

SERVICES = [
    documents.DirectService(name, engine=test_planner.ENGINE)
    for name in ('svc', 'other')
]
DOCUMENT = documents.Document(1, SERVICES, [], [], documents.Limits())
ACCELERATORS = ['a100'] + ['v100'] * 10 + ['l4'] * 4


class ExecutorHarness:
    """An executor whose servers execute orders at once."""

    def __init__(self, zones=('z1',), *, joined=True):
        self.timers = timers.ManualTimerService()
        self.table = membership.BackendTable(self.timers.now_s, 1e6)
        self.is_leader = True
        self.replies = True
        self.executes = True
        self.report_s = 0.0
        self.term = 5
        self.orders = []
        self.streams = {}
        self.servers = [
            backends.Backend(
                f's{number}',
                1,
                0,
                'svc',
                f'10.0.0.{number}',
                80,
                zones[number // len(ACCELERATORS)],
                accelerator=kind,
            )
            for number, kind in enumerate(ACCELERATORS * len(zones))
        ]
        for backend in self.servers if joined else ():
            self.table.apply(backend)
        self.executor = executor.Executor(
            self.table,
            self.timers,
            is_leader=lambda: self.is_leader,
            fence=lambda: self.term,
            document=lambda: DOCUMENT,
            order=self._order,
            streams=lambda server_id: self.streams.get(server_id, 0),
        )

    async def _order(self, backend, assignment, fence, *, preempt, validate):
        await self.timers.sleep(self.report_s)
        validate()
        self.orders.append((backend.server_id, preempt, fence))
        if not self.replies:
            raise errors.PeerLost('no answer', peer=backend.address)
        if not self.executes:
            return
        self.table.apply(
            attrs.evolve(
                backend,
                sequence=backend.sequence + 1,
                first_layer=assignment.first_layer,
                end_layer=assignment.end_layer,
            )
        )

    def missing_layers(self, zone=None):
        """Return how many layers no usable server holds, in a zone or all."""
        servers = [
            server
            for server in self.table.usable('svc')
            if zone in (None, server.zone)
        ]
        return tiling.coverage(servers, 80).count(0)


@pytest.fixture
async def harness():
    created = ExecutorHarness()
    running = asyncio.ensure_future(created.executor.run())
    await created.timers.advance(4.0)
    yield created
    running.cancel()


async def test_each_server_is_ordered_once(harness):
    """Orders are expensive, and a repeated one may undo a newer one."""
    await harness.timers.advance(5.0)
    assert len(harness.orders) == len(ACCELERATORS)
    assert harness.missing_layers() == 0
    assert {fence for _, _, fence in harness.orders} == {5}


async def test_orders_of_one_service_outlast_the_check_of_another(harness):
    """Pending orders must not be dropped and repeated in each period."""
    harness.orders.clear()
    harness.executes = False
    harness.table.apply(
        backends.Backend(
            'new', 1, 0, 'svc', '10.0.1.1', 80, 'z1', accelerator='v100'
        )
    )
    await harness.timers.advance(2.0)
    assert [name for name, _, _ in harness.orders] == ['new']


async def test_follower_gives_no_orders(harness):
    """Two nodes that give orders would move servers back and forth."""
    harness.orders.clear()
    harness.is_leader = False
    harness.table.suspect('s1', 1, 'failed')
    await harness.timers.advance(5.0)
    assert harness.orders == []


async def test_lost_layer_is_replaced_by_a_move_with_preemption(harness):
    """The only server with a range is lost under peak load.

    A move that waited for the streams of a frozen node took 13 s, during which
    paths crossed zones.
    """
    harness.orders.clear()
    sole = next(
        b.server_id
        for b in harness.table.usable('svc')
        if _is_sole_holder(harness, b)
    )
    harness.table.suspect(sole, 1, 'failed')
    assert harness.missing_layers() > 0
    await harness.timers.advance(2.0)
    assert harness.missing_layers() == 0
    assert all(preempt for _, preempt, _ in harness.orders)
    assert len(harness.orders) <= 3


def _sole_holder(harness):
    """Return a server that holds the only copy of a layer."""
    return next(
        b for b in harness.table.usable('svc') if _is_sole_holder(harness, b)
    )


async def test_layers_of_a_server_that_left_are_replaced_at_once(harness):
    """Servers of a fully loaded zone leave one after another.

    Each gap stops the zone. Waiting for the server to return made each gap
    half a second longer.
    """
    harness.orders.clear()
    harness.table.apply(
        attrs.evolve(_sole_holder(harness), state=backends.GONE)
    )
    await harness.timers.advance(
        executor.DEPARTED_MOVE_AFTER_S + 2 * executor.POLL_S
    )
    assert harness.missing_layers() == 0


async def test_server_with_many_streams_is_not_moved(harness):
    """A move that closed a gap interrupted 78 streams, although another server
    could have been moved.
    """
    sole = _sole_holder(harness)
    rest = [b for b in harness.table.usable('svc') if b != sole]
    moves = planner.plan(
        [
            planner.Server(
                b.server_id, 'z1', b.accelerator, b.first_layer, b.end_layer
            )
            for b in rest
        ],
        test_planner.ENGINE,
    )
    moved_id = moves[0].server_id
    harness.streams[moved_id] = 78
    harness.orders.clear()
    harness.table.apply(attrs.evolve(sole, state=backends.GONE))
    await harness.timers.advance(0.5)
    assert harness.orders
    assert moved_id not in [name for name, _, _ in harness.orders]


async def test_replacement_that_joins_just_after_spares_a_move(harness):
    """Moving a server interrupts streams; loading an empty one does not."""
    harness.orders.clear()
    left = _sole_holder(harness)
    harness.table.apply(attrs.evolve(left, state=backends.GONE))
    await harness.timers.advance(executor.POLL_S)
    harness.table.apply(
        attrs.evolve(
            left,
            server_id='new',
            host='10.0.1.1',
            first_layer=0,
            end_layer=0,
        )
    )
    await harness.timers.advance(1.0)
    assert [name for name, _, _ in harness.orders] == ['new']
    assert harness.missing_layers() == 0


async def test_suspected_server_may_recover_before_a_move(harness):
    """A suspicion is withdrawn when the server announces itself again."""
    harness.orders.clear()
    sole = _sole_holder(harness)
    harness.table.suspect(sole.server_id, 1, 'failed')
    await harness.timers.advance(
        executor.SUSPECT_MOVE_AFTER_S - 2 * executor.POLL_S
    )
    assert harness.orders == []


async def test_order_without_an_answer_is_given_again(harness):
    """The order may be lost; its fencing number prevents double execution."""
    harness.orders.clear()
    harness.replies = False
    harness.table.apply(
        backends.Backend(
            'new', 1, 0, 'svc', '10.0.1.1', 80, 'z1', accelerator='v100'
        )
    )
    await harness.timers.advance(1.0)
    assert [name for name, _, _ in harness.orders] == ['new']
    harness.replies = True
    await harness.timers.advance(3.0)
    assert [name for name, _, _ in harness.orders] == ['new', 'new']
    assert harness.table.get('new').layer_count > 0


def _is_sole_holder(harness, backend):
    rest = [b for b in harness.table.usable('svc') if b != backend]
    return 0 in tiling.coverage(rest, 80)


async def test_server_is_not_moved_for_a_gap_that_has_closed(harness):
    """LOST: an order ended the streams of a server for layers held again.

    The announcement of their holder was only late. It came while the server
    to be moved was asked for its report.
    """
    harness.orders.clear()
    harness.report_s = 0.2
    sole = _sole_holder(harness)
    delay_s = executor.DEPARTED_MOVE_AFTER_S + 2 * executor.POLL_S
    harness.table.drop(sole)
    await harness.timers.advance(delay_s)
    assert harness.executor._orders
    harness.table.apply(attrs.evolve(sole, sequence=sole.sequence + 1))
    await harness.timers.advance(1.0)
    assert harness.orders == []
    # The order that was not sent must not hold up the next one.
    harness.table.drop(harness.table.get(sole.server_id))
    await harness.timers.advance(delay_s + harness.report_s)
    assert harness.missing_layers() == 0


async def test_order_is_not_sent_after_the_leadership_ended():
    """A paused leader would act beside its successor, with its fence."""
    created = ExecutorHarness()
    created.report_s = 0.5
    running = asyncio.ensure_future(created.executor.run())
    await created.timers.advance(2.3)
    assert created.executor._orders and not created.orders
    created.is_leader = False
    created.term = 6
    await created.timers.advance(2.0)
    assert created.orders == []
    running.cancel()


async def test_order_carries_the_term_in_which_it_was_planned():
    """The fence of the next leader would let an old order pass."""
    created = ExecutorHarness()
    created.report_s = 0.5
    running = asyncio.ensure_future(created.executor.run())
    await created.timers.advance(2.3)
    created.term = 6
    await created.timers.advance(0.6)
    assert {fence for _, _, fence in created.orders} == {5}
    running.cancel()


@pytest.fixture
async def two_zones():
    """Yield a harness with two zones of equal servers."""
    created = ExecutorHarness(('z1', 'z2'))
    running = asyncio.ensure_future(created.executor.run())
    await created.timers.advance(4.0)
    yield created
    running.cancel()


async def test_zone_that_stays_short_is_covered_with_more_memory(two_zones):
    """Servers that crashed come back, but lost ones do not."""
    harness = two_zones
    held = {b.server_id: b.layer_count for b in harness.table.usable('svc')}
    for server_id in ['s0', 's1', 's2']:
        harness.table.drop(harness.table.get(server_id))
    await harness.timers.advance(executor.SHORT_ZONE_AFTER_S - 1.0)
    assert harness.missing_layers('z1') > 0
    await harness.timers.advance(2.0)
    assert harness.missing_layers('z1') == 0
    grown = [
        b
        for b in harness.table.usable('svc')
        if b.layer_count > held[b.server_id]
    ]
    assert grown


async def test_service_without_a_path_is_covered_sooner(harness):
    """RECOVER: all processes are killed while servers stay lost.

    No zone and no zones together hold all layers, so nothing is served. After
    the start, the leader waited for the servers as if one zone lacked them.
    """
    for server_id in ['s0', 's1', 's2']:
        harness.table.drop(harness.table.get(server_id))
    await harness.timers.advance(executor.OUTAGE_AFTER_S - 1.0)
    assert harness.missing_layers() > 0
    await harness.timers.advance(1.5)
    assert harness.missing_layers() == 0


async def test_new_leader_knows_how_long_a_zone_has_lacked_layers():
    """RECOVER: servers stay lost while the leadership changes.

    Each new leader waited anew before it covered the zone with more memory,
    so that nothing was served for longer than a recovery may take.
    """
    created = ExecutorHarness()
    running = asyncio.ensure_future(created.executor.run())
    await created.timers.advance(4.0)
    created.is_leader = False
    for server_id in ['s0', 's1', 's2']:
        created.table.drop(created.table.get(server_id))
    await created.timers.advance(executor.SHORT_ZONE_AFTER_S)
    assert created.missing_layers() > 0
    created.is_leader = True
    await created.timers.advance(executor.SETTLE_S + 0.5)
    assert created.missing_layers() == 0
    running.cancel()


async def test_placement_goes_on_beside_an_entry_with_too_many_layers(harness):
    """An odd entry of another writer ended the placement for good."""
    harness.table.apply(
        backends.Backend(
            'odd',
            1,
            0,
            'svc',
            '10.0.2.1',
            80,
            'z1',
            accelerator='v100',
            first_layer=70,
            end_layer=9000,
        )
    )
    await harness.timers.advance(1.0)
    sole = _sole_holder(harness)
    harness.table.apply(attrs.evolve(sole, state=backends.GONE))
    await harness.timers.advance(2.0)
    assert harness.missing_layers() == 0


async def test_placement_goes_on_after_an_unexpected_error(harness):
    """One failed check must not leave a service without a placement."""
    document = harness.executor._document
    harness.executor._document = lambda: 1 / 0
    sole = _sole_holder(harness)
    harness.table.apply(attrs.evolve(sole, state=backends.GONE))
    await harness.timers.advance(1.0)
    harness.executor._document = document
    await harness.timers.advance(2.0)
    assert harness.missing_layers() == 0


@pytest.mark.parametrize('seed', range(20))
async def test_first_plan_does_not_depend_on_the_order_of_joining(seed):
    """A calm day came out well or badly by how the start went.

    Servers that joined after the first plan took the ranges that were left,
    cut at other places, so that a layer had less memory for requests.
    """
    rng = random.Random(seed)
    at_once = ExecutorHarness()
    running = [asyncio.ensure_future(at_once.executor.run())]
    await at_once.timers.advance(8.0)
    late = ExecutorHarness(joined=False)
    running.append(asyncio.ensure_future(late.executor.run()))
    joins = sorted((rng.uniform(0.0, 3.0), b) for b in late.servers)
    for join_s, backend in joins:
        await late.timers.advance(join_s - late.timers.now_s())
        late.table.apply(backend)
    await late.timers.advance(8.0)
    plans = [
        sorted((b.accelerator, b.first_layer, b.end_layer) for b in usable)
        for usable in (
            at_once.table.usable('svc'),
            late.table.usable('svc'),
        )
    ]
    assert plans[0] == plans[1]
    for task in running:
        task.cancel()


async def test_first_plan_waits_for_servers_that_start_after_the_nodes():
    """Nodes start faster than servers; the first server is not alone."""
    created = ExecutorHarness(joined=False)
    running = asyncio.ensure_future(created.executor.run())
    await created.timers.advance(executor.FIRST_SETTLE_S + 0.5)
    for backend in created.servers:
        created.table.apply(backend)
        await created.timers.advance(0.1)
    assert created.orders == []
    await created.timers.advance(executor.JOINED_QUIET_S + 0.2)
    assert created.missing_layers() == 0
    running.cancel()


async def test_first_plan_does_not_wait_for_ever():
    """A server that starts again and again must not hold up the others."""
    created = ExecutorHarness()
    running = asyncio.ensure_future(created.executor.run())
    for number in range(12):
        created.table.apply(
            backends.Backend(f'n{number}', 1, 0, 'svc', '10.0.3.1', 80, 'z1')
        )
        await created.timers.advance(0.6)
    assert created.missing_layers() == 0
    running.cancel()


async def test_servers_with_layers_are_planned_without_a_wait():
    """RECOVER: nodes restart while servers hold ranges and join."""
    created = ExecutorHarness()
    created.table.apply(
        backends.Backend(
            'loaded',
            1,
            0,
            'svc',
            '10.0.3.1',
            80,
            'z1',
            accelerator='v100',
            first_layer=0,
            end_layer=4,
        )
    )
    running = asyncio.ensure_future(created.executor.run())
    await created.timers.advance(executor.FIRST_SETTLE_S - 0.1)
    created.table.apply(
        backends.Backend('late', 1, 0, 'svc', '10.0.3.2', 80, 'z1')
    )
    await created.timers.advance(0.3)
    assert created.missing_layers() == 0
    running.cancel()
