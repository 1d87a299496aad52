"""Guard the plan of layer ranges."""

import pytest

from pimentowalk.placement import planner
from pimentowalk.topology import documents

ENGINE = documents.Engine(
    model='m',
    total_layers=80,
    layer_mb=1750.0,
    kv_token_bytes=1_180_000,
    load_s=14.0,
    accelerators={
        'a100': documents.Accelerator('a100', 72000.0, 2.4, 3.2),
        'v100': documents.Accelerator('v100', 14400.0, 5.3, 7.9),
        'l4': documents.Accelerator('l4', 21600.0, 16.0, 8.2),
    },
)
# One availability zone as the first deployment has it.
ZONE = {'a100': 1, 'v100': 10, 'l4': 4}


def _empty(zone='z1', counts=None):
    return [
        planner.Holder(f'{zone}-{kind}-{n}', zone, kind)
        for kind, count in (counts or ZONE).items()
        for n in range(count)
    ]


def _after(holders, assignments):
    changed = {a.server_id: a for a in assignments}
    return [
        planner.Holder(
            h.server_id,
            h.zone,
            h.accelerator,
            changed[h.server_id].first_layer,
            changed[h.server_id].end_layer,
        )
        if h.server_id in changed
        else h
        for h in holders
    ]


def _full(**kwargs):
    holders = _empty(**kwargs)
    return _after(holders, planner.plan(holders, ENGINE))


def test_first_plan_covers_every_layer_of_each_zone():
    """A layer without a copy stops all requests of its zone."""
    held = _full()
    assert min(planner.coverage(held, 80)) >= 1


def test_plan_fits_into_memory():
    """A server that is ordered to hold more than its memory crashes."""
    for holder in _full():
        size = holder.end_layer - holder.first_layer
        memory_mb = ENGINE.accelerators[holder.accelerator].memory_mb
        assert 0 < size * ENGINE.layer_mb <= memory_mb


def test_plan_in_force_is_stable():
    """Orders and loads have a price, so nothing moves without a cause."""
    assert planner.plan(_full(), ENGINE) == []


def test_joining_server_takes_what_is_covered_least():
    """A server that comes back empty restores the copies that it had."""
    held = _full()
    copies = planner.coverage(held, 80)
    joined = [*held, planner.Holder('new', 'z1', 'v100')]
    (assignment,) = planner.plan(joined, ENGINE)
    chosen = copies[assignment.first_layer : assignment.end_layer]
    assert sum(chosen) <= min(
        sum(copies[at : at + len(chosen)])
        for at in range(80 - len(chosen) + 1)
    )


@pytest.mark.parametrize('lost', range(15))
def test_any_lost_server_is_replaced_by_moves(lost):
    """The loss of one server must not leave a zone without a layer."""
    held = _full()
    del held[lost]
    after = _after(held, planner.plan(held, ENGINE))
    missing = planner.coverage(held, 80).count(0)
    assert planner.coverage(after, 80).count(0) < max(missing, 1)


def test_move_takes_few_servers():
    """Each move unloads a working server for the time of a load."""
    held = _full()
    lost = next(h for h in held if h.accelerator == 'v100')
    rest = [h for h in held if h is not lost]
    assert len(planner.plan(rest, ENGINE)) <= 2


def test_zones_are_planned_alone():
    """A zone must not rely on layers behind a shared link."""
    holders = _empty('z1') + _empty('z2')
    held = _after(holders, planner.plan(holders, ENGINE))
    for zone in ('z1', 'z2'):
        own = [h for h in held if h.zone == zone]
        assert min(planner.coverage(own, 80)) >= 1


def test_unknown_accelerator_gets_nothing():
    """Without a size, any number of layers could be too many."""
    holders = [planner.Holder('s', 'z1', 'other')]
    assert planner.plan(holders, ENGINE) == []


@pytest.mark.parametrize(
    ('counts', 'share'),
    [
        # Memory for requests binds at the crest, so the least will do here.
        ({'a100': 1, 'v100': 14, 'l4': 5}, 0.58),
        ({'a100': 3, 'v100': 6, 'l4': 7}, 0.58),
        # Without the large one the others cover the zone only with more.
        ({'a100': 1, 'v100': 10, 'l4': 5}, 0.64),
        ({'a100': 1, 'v100': 10, 'l4': 4}, 0.70),
        # No share bears its loss.
        ({'a100': 1, 'v100': 6, 'l4': 6}, 0.58),
    ],
)
def test_zone_keeps_memory_that_no_loss_needs(counts, share):
    """Pattern: streams of the crest fill the caches of a zone whose layers
    take more memory than a lost server would cost.
    """
    assert planner.zone_share(_empty(counts=counts), ENGINE) == share


def test_lost_server_is_replaced_by_larger_ranges():
    """Servers that stand in for a large one hold more than before."""
    held = _full(counts={'a100': 1, 'v100': 14, 'l4': 5})
    large = [h for h in held if h.accelerator == 'l4']
    left = [h for h in held if h not in large[:3]]
    moves = planner.plan(left, ENGINE)
    assert 0 not in planner.coverage(_after(left, moves), 80)


def _gap(streams):
    """Return a zone that lost layers 5 to 9, and two spares.

    Each spare holds what another server holds as well. The others have no
    memory for more layers.
    """
    held = [
        planner.Holder(f'a{first}', 'z1', 'v100', first, first + 5, 30)
        for first in (0, *range(9, 79, 5), 75)
    ]
    spares = [
        planner.Holder('c', 'z1', 'v100', 20, 24, streams[0]),
        planner.Holder('d', 'z1', 'v100', 40, 44, streams[1]),
    ]
    return held + spares


@pytest.mark.parametrize(
    ('streams', 'moved'), [((78, 3), 'd'), ((3, 78), 'c')]
)
def test_gap_is_closed_by_the_server_with_the_fewest_streams(streams, moved):
    """Pattern: a server is released in a full zone. The one that moved into
    its place cut 78 streams, more than the budget of repeats could restart.
    """
    (assignment,) = planner.plan(_gap(streams), ENGINE)
    assert assignment == planner.Assignment(moved, 5, 9)


def test_gap_beside_a_range_is_closed_without_interruption():
    """A range that only grows keeps its streams and loads little."""
    held = [
        planner.Holder('a', 'z1', 'a100', 0, 23, 40),
        planner.Holder('b', 'z1', 'a100', 26, 50, 40),
        planner.Holder('c', 'z1', 'a100', 50, 74, 40),
        planner.Holder('d', 'z1', 'l4', 73, 80, 40),
        planner.Holder('e', 'z1', 'v100', 30, 34, 20),
    ]
    (assignment,) = planner.plan(held, ENGINE)
    size = assignment.end_layer - assignment.first_layer
    kept = next(h for h in held if h.server_id == assignment.server_id)
    assert assignment.first_layer <= kept.first_layer
    assert assignment.end_layer >= kept.end_layer
    assert size <= planner.layer_capacity(
        ENGINE, kept.accelerator, planner.LAYER_MEMORY_SHARES[-1]
    )
    assert 0 not in planner.coverage(_after(held, [assignment]), 80)


@pytest.mark.parametrize(
    'counts',
    [{'a100': 1, 'v100': 14, 'l4': 5}, {'a100': 3, 'v100': 6, 'l4': 7}],
)
def test_zone_begins_with_two_heads(counts):
    """Pattern: the crest fills the 96 slots of the only first server of a
    zone, and streams wait there for seconds beside free memory.
    """
    assert planner.coverage(_full(counts=counts), 80)[0] >= 2


def test_second_head_is_not_moved_into_a_gap():
    """Others that are covered as well can close the gap."""
    held = [
        *_gap((30, 30)),
        planner.Holder('head', 'z1', 'v100', 0, 4, 0),
        planner.Holder('large-1', 'z1', 'a100', 57, 80, 30),
        planner.Holder('large-2', 'z1', 'a100', 57, 80, 30),
    ]
    assert planner.zone_share(held, ENGINE) == planner.LAYER_MEMORY_SHARES[0]
    (assignment,) = planner.plan(held, ENGINE)
    assert assignment.server_id in ('c', 'd')


def test_joining_server_becomes_the_second_head():
    """A released head comes back empty while its zone runs on one.

    Second copies of other layers are worth less.
    """
    held = [
        planner.Holder(f'a{first}', 'z1', 'v100', first, first + 5)
        for first in range(0, 80, 5)
    ]
    held += [
        planner.Holder('others', 'z1', 'v100', 1, 6),
        planner.Holder('large-1', 'z1', 'a100', 57, 80),
        planner.Holder('large-2', 'z1', 'a100', 57, 80),
        planner.Holder('new', 'z1', 'v100'),
    ]
    assert planner.zone_share(held, ENGINE) == planner.LAYER_MEMORY_SHARES[0]
    (assignment,) = planner.plan(held, ENGINE)
    assert (assignment.server_id, assignment.first_layer) == ('new', 0)


def test_gap_that_cannot_be_closed_uncovers_nothing_else():
    """Pattern: a zone loses a large server that its others cannot replace.

    Moves that each gained a layer uncovered four others, so that the zone
    still lacked them when the large server was replaced.
    """
    held = [
        planner.Holder('sole', 'z1', 'v100', 10, 14),
        planner.Holder('a100', 'z1', 'a100', 28, 56),
        planner.Holder('twin', 'z1', 'v100', 30, 34),
        *(
            planner.Holder(f'l{first}', 'z1', 'l4', first, first + 8)
            for first in (56, 64, 72)
        ),
    ]
    before = planner.coverage(held, 80)
    moves = planner.plan(held, ENGINE)
    after = planner.coverage(_after(held, moves), 80)
    assert {m.server_id for m in moves} == {'sole', 'twin'}
    assert not planner._uncovers(before, after)
    assert after.count(0) < before.count(0)
