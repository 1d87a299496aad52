"""Guard the choice of paths through ranges of layers."""

import random

import pytest

from pimentowalk.routing import hops
from pimentowalk.routing import outcomes
from pimentowalk.routing import work
from pimentowalk.topology import backends
from pimentowalk.topology import documents

ENGINE = documents.Engine(
    model='m',
    total_layers=80,
    layer_mb=1750.0,
    kv_token_bytes=1_180_000,
    load_s=14.0,
    usual_answer_tokens=216,
    accelerators={
        'a100': documents.Accelerator('a100', 72000.0, 2.4, 3.2),
        'v100': documents.Accelerator('v100', 14400.0, 5.3, 7.9),
    },
)


def _server(name, first, end, zone='z1', kind='v100'):
    return backends.Backend(
        name,
        1,
        1,
        'svc',
        '10.0.0.1',
        80,
        zone,
        accelerator=kind,
        slots=96,
        first_layer=first,
        end_layer=end,
    )


def _book():
    book = work.InFlightTracker('n1', lambda: 0.0)
    book.set_engines({'svc': ENGINE})
    return book


def _policy(book=None, name='cheapest'):
    return hops.POLICIES.get(name)(
        book or _book(),
        random.Random(1),
        outcomes.OutcomeTracker(lambda: 0.0),
    )


def _query(**changes):
    return hops.PathQuery(80, 1000, 'z1', **changes)


def _chain(zone, size=8):
    return [
        _server(f'{zone}-{at}', at, at + size, zone)
        for at in range(0, 80, size)
    ]


def _names(path):
    return [hop.backend.server_id for hop in path]


@pytest.mark.parametrize('name', ['cheapest', 'first_fit'])
def test_path_runs_each_layer_once_and_in_order(name):
    """A token made on any other path is wrong."""
    servers = [
        _server('a', 0, 30),
        _server('b', 20, 50),
        _server('c', 50, 80),
        _server('d', 45, 70),
    ]
    path = _policy(name=name).choose(servers, _query())
    assert hops.covers_all_layers(path, 80)


@pytest.mark.parametrize('name', ['cheapest', 'first_fit'])
def test_missing_layer_gives_no_path(name):
    """A request that cannot be served is refused at once."""
    servers = [_server('a', 0, 30), _server('b', 31, 80)]
    assert _policy(name=name).choose(servers, _query()) is None


def test_path_stays_in_the_zone_of_the_caller():
    """Activations are large and the links between zones are shared."""
    path = _policy().choose(_chain('z1') + _chain('z2'), _query())
    assert {hop.backend.zone for hop in path} == {'z1'}


def test_gap_in_a_zone_is_passed_with_one_crossing():
    """A zone that lost a range goes on in another one, and stays there."""
    servers = [s for s in _chain('z1') if s.first_layer != 40] + _chain('z2')
    path = _policy().choose(servers, _query())
    zones = [hop.backend.zone for hop in path]
    crossings = sum(a != b for a, b in zip(zones, zones[1:], strict=False))
    assert hops.covers_all_layers(path, 80)
    assert crossings <= 1


def test_avoided_server_is_left_out():
    """A request that failed at a server must not meet it again."""
    servers = [*_chain('z1'), _server('twin', 0, 8)]
    path = _policy().choose(servers, _query(avoid=frozenset({'z1-0'})))
    assert path[0].backend.server_id == 'twin'


def test_full_server_is_left_to_its_work():
    """A full cache preempts requests that are running."""
    book = _book()
    servers = [*_chain('z1'), _server('twin', 0, 8)]
    capacity = int(book.capacity_tokens(servers[0]))
    book.begin(['z1-0'], capacity)
    path = _policy(book).choose(servers, _query())
    assert path[0].backend.server_id == 'twin'


def test_busy_zones_are_not_mixed():
    """Pattern: at the crest one half of the layers is busy in one zone and
    the other half in the next. Paths over both filled the link between them,
    and stalled streams held the memory of twice as many servers.
    """
    book = _book()
    chains = {zone: _chain(zone) for zone in ('z1', 'z2')}
    for server in chains['z1'][:5] + chains['z2'][5:]:
        capacity = book.capacity_tokens(server)
        book.begin([server.server_id], int(capacity * 0.9))
    path = _policy(book).choose(chains['z1'] + chains['z2'], _query())
    assert len({hop.backend.zone for hop in path}) == 1


def test_server_that_refused_for_want_of_room_is_left_out_for_a_while():
    """Pattern: other entries have filled a server and not reported it yet;
    each new request would take a try there, and the budget ends.
    """
    now = [0.0]
    book = work.InFlightTracker('n1', lambda: now[0])
    book.set_engines({'svc': ENGINE})
    servers = [*_chain('z1'), _server('twin', 0, 8)]
    policy = _policy(book)
    book.record_full('z1-0')
    heads = {_names(policy.choose(servers, _query()))[0] for _ in range(30)}
    assert heads == {'twin'}
    now[0] = work.FULL_EXPIRY_S + 0.1
    heads = {_names(policy.choose(servers, _query()))[0] for _ in range(50)}
    assert heads == {'z1-0', 'twin'}
    book.record_full('z1-0')
    book.keep_only({'twin'})
    assert not book._full_until_s


def test_head_without_a_free_slot_is_avoided():
    """Pattern: a zone begins with one small server, whose 96 slots are taken
    while the memory of all servers has room; further streams wait there.
    """
    book = _book()
    chains = {zone: _chain(zone) for zone in ('z1', 'z2')}
    head = chains['z1'][0]
    for _ in range(head.slots):
        book.begin([head.server_id], 10)
    assert book.memory_share(head) < 0.5
    assert book.reported_slot_share(head) > 1.0
    path = _policy(book).choose(chains['z1'] + chains['z2'], _query())
    assert {hop.backend.zone for hop in path} == {'z2'}


def test_work_of_other_nodes_counts():
    """Nodes that see only their own work choose the same servers."""
    book, other = _book(), work.InFlightTracker('n2', lambda: 0.0)
    servers = [*_chain('z1'), _server('twin', 0, 8)]
    other.begin(['z1-0'], int(book.capacity_tokens(servers[0])))
    book.record_report(other.report())
    path = _policy(book).choose(servers, _query())
    assert path[0].backend.server_id == 'twin'


def test_equal_servers_share_the_work():
    """Nodes with the same knowledge must not all choose one server."""
    policy = _policy()
    servers = [*_chain('z1'), _server('twin', 0, 8)]
    heads = {_names(policy.choose(servers, _query()))[0] for _ in range(50)}
    assert heads == {'z1-0', 'twin'}


def test_ended_work_is_forgotten():
    """Work that stays counted would keep a server empty for ever."""
    book = _book()
    book.begin(['s'], 100)
    book.end(['s'], 100)
    assert (book.requests('s'), book.tokens('s')) == (0, 0)
    assert book.report().loads == []


def test_silent_node_is_forgotten():
    """A node that died has no work any more."""
    now = [0.0]
    book = work.InFlightTracker('n1', lambda: now[0])
    other = work.InFlightTracker('n2', lambda: now[0])
    third = work.InFlightTracker('n3', lambda: now[0])
    other.begin(['s'], 100)
    book.record_report(other.report())
    now[0] = work.REPORT_EXPIRY_S + 1
    book.record_report(third.report())
    assert book.tokens('s') == 0


def test_slow_server_is_avoided_while_it_is_known_to_be_slow():
    """Pattern: one of two servers of a range takes twelve times as long."""
    now = [0.0]
    book = work.InFlightTracker('n1', lambda: now[0])
    book.set_engines({'svc': ENGINE})
    servers = [*_chain('z1'), _server('twin', 0, 8)]
    book.record_slowness('z1-0', 12.0)
    policy = _policy(book)
    heads = {_names(policy.choose(servers, _query()))[0] for _ in range(30)}
    assert heads == {'twin'}
    now[0] = work.SLOWNESS_EXPIRY_S + 0.1
    heads = {_names(policy.choose(servers, _query()))[0] for _ in range(50)}
    assert heads == {'z1-0', 'twin'}
