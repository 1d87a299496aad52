"""Tests of the planner of layer ranges."""

import pytest

from pimentowalk.placement import planner
from pimentowalk.placement import tiling
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
# Accelerators of one availability zone in the first deployment.
ZONE = {'a100': 1, 'v100': 10, 'l4': 4}


def _empty_servers(zone='z1', counts=None):
    return [
        planner.Server(f'{zone}-{kind}-{n}', zone, kind)
        for kind, count in (counts or ZONE).items()
        for n in range(count)
    ]


def _apply_assignments(servers, assignments):
    changed = {a.server_id: a for a in assignments}
    return [
        planner.Server(
            server.server_id,
            server.zone,
            server.accelerator,
            changed[server.server_id].first_layer,
            changed[server.server_id].end_layer,
        )
        if server.server_id in changed
        else server
        for server in servers
    ]


def _planned_servers(**kwargs):
    servers = _empty_servers(**kwargs)
    return _apply_assignments(servers, planner.plan(servers, ENGINE))


def test_first_plan_covers_every_layer_of_each_zone():
    """A layer without a copy stops all requests of its zone."""
    loaded = _planned_servers()
    assert min(tiling.coverage(loaded, 80)) >= 1


def test_plan_fits_into_memory():
    """A server that is ordered to load more than fits crashes."""
    for server in _planned_servers():
        size = server.end_layer - server.first_layer
        memory_mb = ENGINE.accelerators[server.accelerator].memory_mb
        assert 0 < size * ENGINE.layer_mb <= memory_mb


def test_executed_plan_is_stable():
    """Loading layers is expensive, so nothing moves without a reason."""
    assert planner.plan(_planned_servers(), ENGINE) == []


def test_joining_server_takes_the_layers_with_the_fewest_copies():
    """A server that returns empty restores the copies that it had loaded."""
    loaded = _planned_servers()
    copies = tiling.coverage(loaded, 80)
    joined = [*loaded, planner.Server('new', 'z1', 'v100')]
    (assignment,) = planner.plan(joined, ENGINE)
    chosen = copies[assignment.first_layer : assignment.end_layer]
    assert sum(chosen) <= min(
        sum(copies[at : at + len(chosen)])
        for at in range(80 - len(chosen) + 1)
    )


@pytest.mark.parametrize('lost', range(15))
def test_any_lost_server_is_replaced_by_moves(lost):
    """The loss of one server must not leave a layer without a copy."""
    loaded = _planned_servers()
    del loaded[lost]
    after = _apply_assignments(loaded, planner.plan(loaded, ENGINE))
    missing = tiling.coverage(loaded, 80).count(0)
    assert tiling.coverage(after, 80).count(0) < max(missing, 1)


def test_gap_is_closed_with_few_moves():
    """Each move makes a working server unavailable for a load time."""
    loaded = _planned_servers()
    lost = next(server for server in loaded if server.accelerator == 'v100')
    remaining = [server for server in loaded if server is not lost]
    assert len(planner.plan(remaining, ENGINE)) <= 2


def test_zones_are_planned_independently():
    """A zone must not depend on layers behind a shared link."""
    servers = _empty_servers('z1') + _empty_servers('z2')
    loaded = _apply_assignments(servers, planner.plan(servers, ENGINE))
    for zone in ('z1', 'z2'):
        own = [server for server in loaded if server.zone == zone]
        assert min(tiling.coverage(own, 80)) >= 1


def test_unknown_accelerator_gets_nothing():
    """With unknown memory, any number of layers could be too many."""
    servers = [planner.Server('s', 'z1', 'other')]
    assert planner.plan(servers, ENGINE) == []


@pytest.mark.parametrize(
    ('counts', 'share'),
    [
        # The zone survives the loss at the lowest share, which leaves the most
        # memory for requests: the bottleneck under peak load.
        ({'a100': 1, 'v100': 14, 'l4': 5}, 0.58),
        ({'a100': 3, 'v100': 6, 'l4': 7}, 0.58),
        # Without the large server, the others cover the zone only at a larger
        # share.
        ({'a100': 1, 'v100': 10, 'l4': 5}, 0.64),
        ({'a100': 1, 'v100': 10, 'l4': 4}, 0.70),
        # No share survives the loss of the large server.
        ({'a100': 1, 'v100': 6, 'l4': 6}, 0.58),
    ],
)
def test_zone_uses_the_lowest_share_that_survives_a_loss(counts, share):
    """Under peak load, streams fill the KV caches of a zone whose layers take
    more memory than the loss of a server requires.
    """
    assert (
        planner.layer_memory_share(_empty_servers(counts=counts), ENGINE)
        == share
    )


def test_lost_server_is_replaced_by_larger_ranges():
    """The servers that replace a large one have to hold more layers."""
    loaded = _planned_servers(counts={'a100': 1, 'v100': 14, 'l4': 5})
    large = [server for server in loaded if server.accelerator == 'l4']
    remaining = [server for server in loaded if server not in large[:3]]
    moves = planner.plan(remaining, ENGINE)
    assert 0 not in tiling.coverage(_apply_assignments(remaining, moves), 80)


def _zone_with_gap(streams):
    """Return a zone that lacks layers 5 to 8, with two spare servers.

    The layers of each spare have copies on other servers. The other servers
    have no memory for more layers.
    """
    loaded = [
        planner.Server(f'a{first}', 'z1', 'v100', first, first + 5, 30)
        for first in (0, *range(9, 79, 5), 75)
    ]
    spares = [
        planner.Server('c', 'z1', 'v100', 20, 24, streams[0]),
        planner.Server('d', 'z1', 'v100', 40, 44, streams[1]),
    ]
    return loaded + spares


@pytest.mark.parametrize(
    ('streams', 'moved'), [((78, 3), 'd'), ((3, 78), 'c')]
)
def test_gap_is_closed_by_the_server_with_the_fewest_streams(streams, moved):
    """A server of a fully loaded zone leaves. The server that took over its
    layers interrupted 78 streams, more than the retry budget could restart.
    """
    (assignment,) = planner.plan(_zone_with_gap(streams), ENGINE)
    assert assignment == planner.Assignment(moved, 5, 9)


def test_gap_beside_a_range_is_closed_without_interruption():
    """Extending a range keeps its streams and loads few layers."""
    loaded = [
        planner.Server('a', 'z1', 'a100', 0, 23, 40),
        planner.Server('b', 'z1', 'a100', 26, 50, 40),
        planner.Server('c', 'z1', 'a100', 50, 74, 40),
        planner.Server('d', 'z1', 'l4', 73, 80, 40),
        planner.Server('e', 'z1', 'v100', 30, 34, 20),
    ]
    (assignment,) = planner.plan(loaded, ENGINE)
    size = assignment.end_layer - assignment.first_layer
    extended = next(
        server for server in loaded if server.server_id == assignment.server_id
    )
    assert assignment.first_layer <= extended.first_layer
    assert assignment.end_layer >= extended.end_layer
    assert size <= planner.layer_capacity(
        ENGINE, extended.accelerator, planner.LAYER_MEMORY_SHARES[-1]
    )
    assert 0 not in tiling.coverage(
        _apply_assignments(loaded, [assignment]), 80
    )


@pytest.mark.parametrize(
    'counts',
    [{'a100': 1, 'v100': 14, 'l4': 5}, {'a100': 3, 'v100': 6, 'l4': 7}],
)
def test_zone_has_two_copies_of_the_first_layer(counts):
    """Peak load fills the 96 slots of the only server with the first layer of
    a zone, and streams wait there for seconds although memory is free.
    """
    assert tiling.coverage(_planned_servers(counts=counts), 80)[0] >= 2


def test_second_copy_of_the_first_layer_is_not_moved_into_a_gap():
    """Other servers whose layers have further copies can close the gap."""
    loaded = [
        *_zone_with_gap((30, 30)),
        planner.Server('head', 'z1', 'v100', 0, 4, 0),
        planner.Server('large-1', 'z1', 'a100', 57, 80, 30),
        planner.Server('large-2', 'z1', 'a100', 57, 80, 30),
    ]
    assert (
        planner.layer_memory_share(loaded, ENGINE)
        == planner.LAYER_MEMORY_SHARES[0]
    )
    (assignment,) = planner.plan(loaded, ENGINE)
    assert assignment.server_id in ('c', 'd')


def test_joining_server_takes_the_second_copy_of_the_first_layer():
    """A restarted server returns empty to a zone with one first-layer copy.

    Second copies of other layers are less valuable.
    """
    loaded = [
        planner.Server(f'a{first}', 'z1', 'v100', first, first + 5)
        for first in range(0, 80, 5)
    ]
    loaded += [
        planner.Server('others', 'z1', 'v100', 1, 6),
        planner.Server('large-1', 'z1', 'a100', 57, 80),
        planner.Server('large-2', 'z1', 'a100', 57, 80),
        planner.Server('new', 'z1', 'v100'),
    ]
    assert (
        planner.layer_memory_share(loaded, ENGINE)
        == planner.LAYER_MEMORY_SHARES[0]
    )
    (assignment,) = planner.plan(loaded, ENGINE)
    assert (assignment.server_id, assignment.first_layer) == ('new', 0)


def test_gap_that_cannot_be_closed_uncovers_nothing_else():
    """A zone loses a large server that the other servers cannot replace.

    Moves that each gained a layer uncovered four others, which the zone still
    lacked after the large server had been replaced.
    """
    loaded = [
        planner.Server('sole', 'z1', 'v100', 10, 14),
        planner.Server('a100', 'z1', 'a100', 28, 56),
        planner.Server('spare', 'z1', 'v100', 30, 34),
        *(
            planner.Server(f'l{first}', 'z1', 'l4', first, first + 8)
            for first in (56, 64, 72)
        ),
    ]
    before = tiling.coverage(loaded, 80)
    moves = planner.plan(loaded, ENGINE)
    after = tiling.coverage(_apply_assignments(loaded, moves), 80)
    assert {m.server_id for m in moves} == {'sole', 'spare'}
    assert not planner._uncovers(before, after)
    assert after.count(0) < before.count(0)
