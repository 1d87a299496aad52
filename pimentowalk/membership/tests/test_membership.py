"""Guard the subset of servers that a node watches, and its view."""

import hypothesis
from hypothesis import strategies

from pimentowalk.membership import announcements
from pimentowalk.membership import subset
from pimentowalk.membership import view
from pimentowalk.topology import instances
from pimentowalk.wire import messages

ZONES = ('zone-1', 'zone-2', 'zone-3')


def server(number, zone='zone-1', incarnation=1, draining=False):
    return instances.BackendServer(
        f'server-{number}',
        incarnation,
        'svc-1',
        '127.0.0.1',
        9,
        zone,
        draining=draining,
    )


def servers(count):
    return [server(n, ZONES[n % 3]) for n in range(count)]


def test_subset_is_bounded_and_prefers_the_own_zone():
    """A view of all replicas would not fit into a node's memory."""
    chosen = subset.choose('entry-1', 'zone-1', servers(300), 16)
    near = [one for one in chosen if one.zone == 'zone-1']
    assert (len(chosen), len(near)) == (16, 12)
    assert len({one.server_id for one in chosen}) == 16


def test_subset_is_filled_from_wherever_servers_are():
    """A node whose zone is empty must still find servers."""
    assert len(subset.choose('entry-1', 'zone-9', servers(300), 16)) == 16
    alone = [server(n) for n in range(40)]
    assert len(subset.choose('entry-1', 'zone-1', alone, 16)) == 16
    few = [*alone[:2], *(server(n, 'zone-2') for n in range(50, 90))]
    assert len(subset.choose('entry-1', 'zone-1', few, 16)) == 16


def test_entries_spread_over_the_servers():
    """Equal subsets would leave most servers without work."""
    known = servers(48)
    seen = {
        one.server_id
        for number in range(60)
        for one in subset.choose(
            f'entry-{number}', ZONES[number % 3], known, 8
        )
    }
    assert len(seen) == 48


def test_lost_server_changes_one_place_of_the_subset():
    """A full reshuffle would break the cache affinity of every node."""
    known = servers(90)
    before = subset.choose('entry-1', 'zone-1', known, 16)
    known.remove(before[3])
    after = subset.choose('entry-1', 'zone-1', known, 16)
    assert len({s.server_id for s in before + after}) == 17


def test_draining_server_is_not_chosen():
    """A leaving server must get no new work."""
    known = [server(1, draining=True), server(2)]
    assert subset.choose('entry-1', 'zone-1', known, 16) == known[1:]


def test_servers_of_other_layers_do_not_share_a_range():
    """A chain needs servers of each layer range."""
    one = server(1)
    other = instances.BackendServer(
        'server-2', 1, 'svc-1', '127.0.0.1', 9, first_layer=4, end_layer=8
    )
    assert announcements.range_key(one) == announcements.range_key(server(2))
    assert announcements.range_key(one) != announcements.range_key(other)


def update(changed=(), removed=(), whole=False, entries=1, more=False):
    return messages.ViewUpdate(
        whole, list(changed), list(removed), entries, more
    )


def ids(known):
    return sorted(one.server_id for one in known.servers())


def test_server_stays_while_one_control_instance_reports_it():
    """A control instance that is cut off from an agent is no proof."""
    known = view.View()
    known.update('control-1', update([server(1), server(2)], whole=True), 0)
    known.update('control-2', update([server(1)], whole=True), 0)
    known.update('control-1', update(removed=['server-1']), 1)
    assert ids(known) == ['server-1', 'server-2']
    known.update('control-2', update(removed=['server-1']), 2)
    assert ids(known) == ['server-2']
    assert [s.server_id for s in known.of_service('svc-1')] == ['server-2']


def test_view_is_kept_until_another_whole_view_has_come():
    """An empty view during a control failure would refuse all work."""
    known = view.View()
    known.update('control-1', update([server(1)], whole=True, entries=9), 0)
    known.mark_disconnected('control-1', 1)
    assert (ids(known), known.live_entries) == (['server-1'], 9)
    known.update('control-2', update([server(2)], entries=2), 2)
    assert (ids(known), known.live_entries) == (['server-1', 'server-2'], 9)
    known.update('control-2', update([server(2)], whole=True, entries=2), 3)
    assert (ids(known), known.live_entries) == (['server-2'], 2)


def test_pieces_of_a_whole_view_replace_it_together():
    """Half a view must not remove the servers of the other half."""
    known = view.View()
    first = [server(1), server(2)]
    known.update('control-1', update(first, whole=True), 0)
    known.update('control-1', update([server(1)], whole=True, more=True), 1)
    assert ids(known) == ['server-1', 'server-2']
    known.update('control-1', update([server(3)]), 1)
    assert ids(known) == ['server-1', 'server-3']


def test_only_servers_that_come_later_have_just_joined():
    """Without ramp-up, all entries would flood a new server."""
    known = view.View()
    known.update('control-1', update([server(1)], whole=True), 5.0)
    known.update('control-1', update([server(2)]), 7.0)
    assert known.joined_s('server-1') == view.JOINED_BEFORE_S
    assert known.joined_s('server-2') == 7.0
    drained = server(2, draining=True)
    known.update('control-1', update([drained]), 8.0)
    assert known.joined_s('server-2') == 7.0
    known.update('control-1', update([server(2, incarnation=2)]), 9.0)
    assert known.joined_s('server-2') == 9.0


sources = strategies.sampled_from(['control-1', 'control-2', 'control-3'])
numbers = strategies.sets(strategies.integers(1, 4))
view_steps = strategies.lists(
    strategies.one_of(
        strategies.tuples(strategies.just('whole'), sources, numbers),
        strategies.tuples(strategies.just('add'), sources, numbers),
        strategies.tuples(strategies.just('remove'), sources, numbers),
        strategies.tuples(strategies.just('lose'), sources, numbers),
    ),
    max_size=30,
)


def apply_naively(reports, step):
    """Keep (servers, complete, lost) of each control instance."""
    name, source, chosen = step
    if name == 'lose':
        if source in reports:
            reports[source] = (reports[source][0], False, True)
    else:
        old, complete, _ = reports.get(source, (set(), False, False))
        new = {'whole': chosen, 'add': old | chosen, 'remove': old - chosen}
        reports[source] = (new[name], complete or name == 'whole', False)
    if name in ('whole', 'lose') and any(r[1] for r in reports.values()):
        for lost in [s for s, r in reports.items() if r[2]]:
            del reports[lost]


@hypothesis.settings(max_examples=500, derandomize=True, deadline=None)
@hypothesis.given(view_steps)
def test_view_agrees_with_the_union_of_reports(steps):
    """A server that is missing or stale in the view costs requests."""
    known = view.View()
    reports = {}
    for step in steps:
        name, source, chosen = step
        records = [server(number) for number in sorted(chosen)]
        if name == 'lose':
            known.mark_disconnected(source, 0)
        elif name == 'remove':
            gone = [record.server_id for record in records]
            known.update(source, update(removed=gone), 0)
        else:
            known.update(source, update(records, whole=name == 'whole'), 0)
        apply_naively(reports, step)
        expected = set().union(*(r[0] for r in reports.values()))
        assert ids(known) == [f'server-{n}' for n in sorted(expected)]
        assert len(known.of_service('svc-1')) == len(expected)
