"""Guard the orders that the leader gives to backend servers."""

import asyncio

import attrs
import pytest

from pimentowalk.core import errors
from pimentowalk.core import timers
from pimentowalk.membership import backends as membership
from pimentowalk.placement import executor
from pimentowalk.placement import planner
from pimentowalk.placement.tests import test_planner
from pimentowalk.topology import backends
from pimentowalk.topology import documents

SERVICES = [
    documents.DirectService(name, engine=test_planner.ENGINE)
    for name in ('svc', 'other')
]
DOCUMENT = documents.Document(1, SERVICES, [], [], documents.Limits())
KINDS = ['a100'] + ['v100'] * 10 + ['l4'] * 4


class World:
    """An executor with servers that carry orders out at once."""

    def __init__(self):
        self.timers = timers.ManualTimerService()
        self.table = membership.BackendTable(self.timers.now_s, 1e6)
        self.leads = True
        self.answers = True
        self.carries_out = True
        self.orders = []
        self.streams = {}
        for number, kind in enumerate(KINDS):
            self.table.apply(
                backends.Backend(
                    f's{number}',
                    1,
                    0,
                    'svc',
                    f'10.0.0.{number}',
                    80,
                    'z1',
                    accelerator=kind,
                )
            )
        self.executor = executor.Executor(
            self.table,
            self.timers,
            leads=lambda: self.leads,
            fence=lambda: 5,
            document=lambda: DOCUMENT,
            order=self._order,
            streams=lambda server_id: self.streams.get(server_id, 0),
        )

    async def _order(self, backend, assignment, fence, *, preempt):
        self.orders.append((backend.server_id, preempt, fence))
        if not self.answers:
            raise errors.PeerLost('no answer', peer=backend.address)
        if not self.carries_out:
            return
        self.table.apply(
            attrs.evolve(
                backend,
                sequence=backend.sequence + 1,
                first_layer=assignment.first_layer,
                end_layer=assignment.end_layer,
            )
        )

    def missing(self):
        """Return how many layers no usable server holds."""
        copies = planner.coverage(self.table.usable('svc'), 80)
        return copies.count(0)


@pytest.fixture
async def world():
    found = World()
    running = asyncio.ensure_future(found.executor.run())
    await found.timers.advance(4.0)
    yield found
    running.cancel()


async def test_each_server_is_ordered_once(world):
    """Orders have a price, and a repeated one may undo a newer one."""
    await world.timers.advance(5.0)
    assert len(world.orders) == len(KINDS)
    assert world.missing() == 0
    assert {fence for _, _, fence in world.orders} == {5}


async def test_orders_of_one_service_outlast_the_check_of_another(world):
    """Orders under way were forgotten, and given again each period."""
    world.orders.clear()
    world.carries_out = False
    world.table.apply(
        backends.Backend(
            'new', 1, 0, 'svc', '10.0.1.1', 80, 'z1', accelerator='v100'
        )
    )
    await world.timers.advance(2.0)
    assert [name for name, _, _ in world.orders] == ['new']


async def test_follower_gives_no_orders(world):
    """Two leaders would move servers back and forth."""
    world.orders.clear()
    world.leads = False
    world.table.suspect('s1', 1, 'failed')
    await world.timers.advance(5.0)
    assert world.orders == []


async def test_lost_layer_is_replaced_by_a_move_that_does_not_wait(world):
    """Pattern: the only holder of a range is lost at the crest.

    Streams of a frozen node held a move for 13 s while paths crossed zones.
    """
    world.orders.clear()
    single = next(
        b.server_id for b in world.table.usable('svc') if _is_needed(world, b)
    )
    world.table.suspect(single, 1, 'failed')
    assert world.missing() > 0
    await world.timers.advance(2.0)
    assert world.missing() == 0
    assert all(preempt for _, preempt, _ in world.orders)
    assert len(world.orders) <= 3


def _needed(world):
    """Return a server that holds a layer alone."""
    return next(b for b in world.table.usable('svc') if _is_needed(world, b))


async def test_layers_of_a_server_that_left_are_replaced_at_once(world):
    """Pattern: servers of a full zone are released one after the other.

    Each gap stops the zone, and waiting for the server to come back made it
    half a second longer.
    """
    world.orders.clear()
    world.table.apply(attrs.evolve(_needed(world), state=backends.GONE))
    await world.timers.advance(
        executor.DEPARTED_MOVE_AFTER_S + 2 * executor.POLL_S
    )
    assert world.missing() == 0


async def test_server_with_many_streams_is_not_moved(world):
    """Pattern: the move that closes a gap interrupts 78 streams, where
    another server could have moved.
    """
    single = _needed(world)
    rest = [b for b in world.table.usable('svc') if b != single]
    moves = planner.plan(
        [
            planner.Holder(
                b.server_id, 'z1', b.accelerator, b.first_layer, b.end_layer
            )
            for b in rest
        ],
        test_planner.ENGINE,
    )
    mover = moves[0].server_id
    world.streams[mover] = 78
    world.orders.clear()
    world.table.apply(attrs.evolve(single, state=backends.GONE))
    await world.timers.advance(0.5)
    assert world.orders
    assert mover not in [name for name, _, _ in world.orders]


async def test_replacement_that_joins_just_after_spares_a_move(world):
    """A moved server interrupts streams, an empty one does not."""
    world.orders.clear()
    left = _needed(world)
    world.table.apply(attrs.evolve(left, state=backends.GONE))
    await world.timers.advance(executor.POLL_S)
    world.table.apply(
        attrs.evolve(
            left,
            server_id='new',
            host='10.0.1.1',
            first_layer=0,
            end_layer=0,
        )
    )
    await world.timers.advance(1.0)
    assert [name for name, _, _ in world.orders] == ['new']
    assert world.missing() == 0


async def test_suspected_server_may_recover_before_a_move(world):
    """A suspicion is withdrawn when the server announces itself."""
    world.orders.clear()
    single = _needed(world)
    world.table.suspect(single.server_id, 1, 'failed')
    await world.timers.advance(executor.MOVE_AFTER_S - 2 * executor.POLL_S)
    assert world.orders == []


async def test_order_without_an_answer_is_given_again(world):
    """It may have been lost; the number of orders guards against both."""
    world.orders.clear()
    world.answers = False
    world.table.apply(
        backends.Backend(
            'new', 1, 0, 'svc', '10.0.1.1', 80, 'z1', accelerator='v100'
        )
    )
    await world.timers.advance(1.0)
    assert [name for name, _, _ in world.orders] == ['new']
    world.answers = True
    await world.timers.advance(3.0)
    assert [name for name, _, _ in world.orders] == ['new', 'new']
    assert world.table.get('new').layer_count > 0


def _is_needed(world, backend):
    rest = [b for b in world.table.usable('svc') if b != backend]
    return 0 in planner.coverage(rest, 80)
