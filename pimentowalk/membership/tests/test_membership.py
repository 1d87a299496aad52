"""Test the subset of servers that a node watches, and its view."""

import hypothesis
from hypothesis import strategies
import pytest

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


def test_subset_is_bounded_and_prefers_the_local_zone():
    """A view of all servers would not fit into the memory of a node."""
    chosen = subset.choose('entry-1', 'zone-1', servers(300), 16)
    local = [item for item in chosen if item.zone == 'zone-1']
    assert (len(chosen), len(local)) == (16, 12)
    assert len({item.server_id for item in chosen}) == 16


def test_subset_is_filled_from_any_zone():
    """A node without servers in its zone must still find servers."""
    assert len(subset.choose('entry-1', 'zone-9', servers(300), 16)) == 16
    one_zone = [server(n) for n in range(40)]
    assert len(subset.choose('entry-1', 'zone-1', one_zone, 16)) == 16
    few_local = [*one_zone[:2], *(server(n, 'zone-2') for n in range(50, 90))]
    assert len(subset.choose('entry-1', 'zone-1', few_local, 16)) == 16


def test_entries_choose_different_subsets():
    """Equal subsets would leave most servers without work."""
    available = servers(48)
    chosen = {
        item.server_id
        for number in range(60)
        for item in subset.choose(
            f'entry-{number}', ZONES[number % 3], available, 8
        )
    }
    assert len(chosen) == 48


def test_lost_server_changes_one_member_of_the_subset():
    """A full reshuffle would break the cache affinity of every node."""
    available = servers(90)
    before = subset.choose('entry-1', 'zone-1', available, 16)
    available.remove(before[3])
    after = subset.choose('entry-1', 'zone-1', available, 16)
    assert len({s.server_id for s in before + after}) == 17


def test_draining_server_is_not_chosen():
    """A draining server must get no new work."""
    available = [server(1, draining=True), server(2)]
    assert subset.choose('entry-1', 'zone-1', available, 16) == available[1:]


def test_servers_of_other_layers_have_another_range_key():
    """A chain needs a server of each layer range."""
    first = server(1)
    other = instances.BackendServer(
        'server-2', 1, 'svc-1', '127.0.0.1', 9, first_layer=4, end_layer=8
    )
    assert announcements.range_key(first) == announcements.range_key(server(2))
    assert announcements.range_key(first) != announcements.range_key(other)


def update(changed=(), removed=(), whole=False, entries=1, more=False):
    return messages.ViewUpdate(
        whole, list(changed), list(removed), entries, more
    )


def ids(merged):
    return sorted(item.server_id for item in merged.servers())


def test_server_stays_while_one_control_instance_reports_it():
    """A control instance may be partitioned from a working agent."""
    merged = view.View()
    merged.update('control-1', update([server(1), server(2)], whole=True), 0)
    merged.update('control-2', update([server(1)], whole=True), 0)
    merged.update('control-1', update(removed=['server-1']), 1)
    assert ids(merged) == ['server-1', 'server-2']
    merged.update('control-2', update(removed=['server-1']), 2)
    assert ids(merged) == ['server-2']
    assert [s.server_id for s in merged.of_service('svc-1')] == ['server-2']


def test_view_is_kept_until_another_whole_view_arrives():
    """With an empty view during a control failure, all work is refused."""
    merged = view.View()
    merged.update('control-1', update([server(1)], whole=True, entries=9), 0)
    merged.mark_disconnected('control-1', 1)
    assert (ids(merged), merged.live_entries) == (['server-1'], 9)
    merged.update('control-2', update([server(2)], entries=2), 2)
    assert (ids(merged), merged.live_entries) == (['server-1', 'server-2'], 9)
    merged.update('control-2', update([server(2)], whole=True, entries=2), 3)
    assert (ids(merged), merged.live_entries) == (['server-2'], 2)


@pytest.mark.parametrize('reported_before', [True, False])
def test_server_that_left_is_dropped_despite_a_lost_connection(
    reported_before,
):
    """An entry chose a drained server for 1.8 s after its process had ended.

    Another control instance had reported the server before the entry lost the
    connection to it, and none had sent a whole view yet.
    """
    merged = view.View()
    merged.update('control-3', update([server(1), server(2)]), 0)
    if reported_before:
        merged.update('control-1', update([server(1)]), 1)
        merged.mark_disconnected('control-3', 2)
    else:
        merged.mark_disconnected('control-3', 1)
        merged.update('control-1', update([server(1)]), 2)
    assert ids(merged) == ['server-1', 'server-2']
    merged.update('control-1', update(removed=['server-1']), 3)
    assert ids(merged) == ['server-2']


def test_pieces_of_a_whole_view_replace_it_together():
    """A partial view must not remove the servers of the other pieces."""
    merged = view.View()
    first = [server(1), server(2)]
    merged.update('control-1', update(first, whole=True), 0)
    merged.update('control-1', update([server(1)], whole=True, more=True), 1)
    assert ids(merged) == ['server-1', 'server-2']
    merged.update('control-1', update([server(3)]), 1)
    assert ids(merged) == ['server-1', 'server-3']


def test_servers_of_the_first_view_have_not_just_joined():
    """The join time starts the ramp-up, so that entries do not flood a new
    server.
    """
    merged = view.View()
    merged.update('control-1', update([server(1)], whole=True), 5.0)
    merged.update('control-1', update([server(2)]), 7.0)
    assert merged.joined_s('server-1') == view.JOINED_BEFORE_S
    assert merged.joined_s('server-2') == 7.0
    drained = server(2, draining=True)
    merged.update('control-1', update([drained]), 8.0)
    assert merged.joined_s('server-2') == 7.0
    merged.update('control-1', update([server(2, incarnation=2)]), 9.0)
    assert merged.joined_s('server-2') == 9.0


sources = strategies.sampled_from(['control-1', 'control-2', 'control-3'])
numbers = strategies.sets(strategies.integers(1, 4))
view_steps = strategies.lists(
    strategies.one_of(
        strategies.tuples(strategies.just('whole'), sources, numbers),
        strategies.tuples(strategies.just('add'), sources, numbers),
        strategies.tuples(strategies.just('remove'), sources, numbers),
        strategies.tuples(strategies.just('disconnect'), sources, numbers),
    ),
    max_size=30,
)


def apply_to_model(reports, step):
    """Update (servers, complete, disconnected) of each control instance."""
    name, source, chosen = step
    if name == 'disconnect':
        if source in reports:
            known_elsewhere = set().union(
                *(
                    reported
                    for other, (
                        reported,
                        _,
                        is_disconnected,
                    ) in reports.items()
                    if other != source and not is_disconnected
                )
            )
            kept = reports[source][0] - known_elsewhere
            reports[source] = (kept, False, True)
    else:
        if name == 'add':
            for other, (reported, _, is_disconnected) in reports.items():
                if other != source and is_disconnected:
                    reports[other] = (reported - chosen, False, True)
        old, complete, _ = reports.get(source, (set(), False, False))
        new = {'whole': chosen, 'add': old | chosen, 'remove': old - chosen}
        reports[source] = (new[name], complete or name == 'whole', False)
    if name in ('whole', 'disconnect') and any(r[1] for r in reports.values()):
        for disconnected in [s for s, r in reports.items() if r[2]]:
            del reports[disconnected]


@hypothesis.settings(max_examples=500, derandomize=True, deadline=None)
@hypothesis.given(view_steps)
def test_view_equals_the_union_of_reports(steps):
    """Requests fail if the view lacks servers or has stale ones."""
    merged = view.View()
    reports = {}
    for step in steps:
        name, source, chosen = step
        records = [server(number) for number in sorted(chosen)]
        if name == 'disconnect':
            merged.mark_disconnected(source, 0)
        elif name == 'remove':
            removed = [record.server_id for record in records]
            merged.update(source, update(removed=removed), 0)
        else:
            merged.update(source, update(records, whole=name == 'whole'), 0)
        apply_to_model(reports, step)
        expected = set().union(*(r[0] for r in reports.values()))
        assert ids(merged) == [f'server-{n}' for n in sorted(expected)]
        assert len(merged.of_service('svc-1')) == len(expected)
