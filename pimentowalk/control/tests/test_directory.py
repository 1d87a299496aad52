"""Tests of node records, their expiry and the views of entries."""

import attrs
import pytest

from pimentowalk.control import directory as directory_module
from pimentowalk.control import watches
from pimentowalk.control.tests import builders
from pimentowalk.membership import view
from pimentowalk.wire import messages


@attrs.define(eq=False)
class Connection:
    """Stand in for a peer connection."""

    hello: messages.Hello


def agent(number=1, incarnation=1):
    hello = messages.Hello(f'agent-{number}', 'agent', incarnation, 'zone-1')
    return Connection(hello)


def watch(services, count):
    hello = messages.Hello('entry-1', 'entry', 1, 'zone-1')
    return watches.WatchedView(hello, messages.Watch(services, count))


def heartbeat(connection, draining=False):
    hello = connection.hello
    return messages.Heartbeat(hello.node_id, hello.incarnation, 3, draining)


@pytest.fixture
def directory():
    return directory_module.Directory(heartbeat_s=1.0)


def announce(directory, connection, now_s=0.0, **fields):
    """Open a connection and announce a server on it."""
    server = builders.backend(
        connection.hello.node_id.replace('agent', 'server'),
        connection.hello.incarnation,
        **fields,
    )
    directory.record_connection(connection, connection.hello, now_s)
    directory.record_announcement(connection, server, now_s)
    return server


def test_record_expires_after_three_missed_heartbeats(directory):
    """A frozen server must stop receiving requests soon."""
    connection = agent()
    server = announce(directory, connection)
    directory.record_heartbeat(connection, heartbeat(connection), 1.0)
    assert directory.expire(4.0) == []
    assert directory.server('server-1') == server
    assert directory.expire(4.1) == [connection]
    assert directory.server('server-1') is None and directory.ranges() == []
    directory.record_heartbeat(connection, heartbeat(connection), 5.0)
    assert directory.server('server-1') == server


def test_closed_connection_removes_the_record_after_a_grace_period(directory):
    """A killed server is removed quickly; a reconnect keeps its record."""
    connection = agent()
    announce(directory, connection)
    directory.record_disconnect(connection, 1.0)
    directory.expire(1.4)
    assert directory.server('server-1') is not None
    reconnected = agent()
    directory.record_connection(reconnected, reconnected.hello, 1.45)
    directory.expire(1.6)
    assert directory.server('server-1') is not None
    directory.record_disconnect(connection, 1.7)
    directory.record_disconnect(reconnected, 1.8)
    directory.expire(2.4)
    assert directory.nodes() == [] and directory.server('server-1') is None


def test_older_incarnation_cannot_restore_its_record(directory):
    """A restarted agent no longer has the sequences of its last run."""
    old = agent()
    announce(directory, old)
    new = agent(incarnation=2)
    directory.record_connection(new, new.hello, 1.0)
    assert directory.server('server-1') is None
    directory.record_heartbeat(old, heartbeat(old), 1.1)
    directory.record_announcement(old, builders.backend(), 1.1)
    assert directory.server('server-1') is None
    announce(directory, new, 1.2)
    directory.record_disconnect(old, 1.3)
    directory.expire(2.0)
    assert directory.server('server-1').incarnation == 2


def test_heartbeat_of_a_draining_node_drains_its_server(directory):
    """New requests must stop even if an announcement was lost."""
    connection = agent()
    announce(directory, connection)
    directory.changed_ranges = set()
    directory.record_heartbeat(
        connection, heartbeat(connection, draining=True), 1.0
    )
    assert directory.server('server-1').draining
    assert directory.changed_ranges


def test_live_entries_are_counted(directory):
    """Entries divide account rates by their number."""
    for number in range(3):
        hello = messages.Hello(f'entry-{number}', 'entry', 1, '')
        connection = Connection(hello)
        directory.record_connection(connection, hello, 0.0)
        directory.record_connection(connection, hello, 0.0)
    assert directory.live_entries == 3
    directory.expire(9.0)
    assert directory.live_entries == 0


def test_incremental_updates_keep_the_view_consistent(directory):
    """A view that differs from the directory routes to dead servers."""
    watched_view = watch(['svc-1'], 2)
    node_view = view.View()
    agents = [agent(number) for number in range(6)]
    for number, connection in enumerate(agents):
        announce(directory, connection, first_layer=number % 2)
    announce(directory, agent(9), service='svc-2')
    updates = watched_view.full_updates(directory, whole=True)
    for step in range(20):
        for update in updates:
            node_view.update('control-1', update, 0.0)
        assert len(node_view.servers()) <= 4
        for server in node_view.servers():
            assert directory.server(server.server_id) == server
        directory.changed_ranges = set()
        connection = agents[step * 7 % 6]
        if directory.server(f'server-{step * 7 % 6}') is None:
            announce(directory, connection, first_layer=step % 2)
        else:
            directory.record_disconnect(connection, 0.0)
            directory.expire(0.5)
        updates = watched_view.changed_updates(
            directory, directory.changed_ranges
        )
    directory.changed_ranges = set()
    assert (
        watched_view.changed_updates(directory, directory.changed_ranges) == []
    )


def test_server_that_changes_its_layers_is_not_removed(directory):
    """A removal after the change would hide a working server."""
    watched_view = watch([], 16)
    connection = agent()
    announce(directory, connection)
    watched_view.full_updates(directory, whole=True)
    directory.changed_ranges = set()
    announce(directory, connection, first_layer=2)
    (update,) = watched_view.changed_updates(
        directory, directory.changed_ranges
    )
    assert [s.first_layer for s in update.changed] == [2]
    assert update.removed == []


def test_large_views_are_split_into_updates(directory):
    """A view of many servers exceeds the frame limit of 1 MiB."""
    for number in range(watches.MAX_SERVERS_PER_UPDATE + 1):
        announce(directory, agent(number), first_layer=number)
    watched_view = watch([], 16)
    updates = watched_view.full_updates(directory, whole=True)
    assert [(u.whole, u.more) for u in updates] == [
        (True, True),
        (False, False),
    ]


def test_node_that_leaves_is_removed_at_once(directory):
    """A drained server stays listed if its end is inferred from silence."""
    connection = agent()
    announce(directory, connection)
    leaving = attrs.evolve(heartbeat(connection), leaving=True)
    directory.record_heartbeat(connection, leaving, 1.0)
    assert directory.server('server-1') is None
    assert directory.node('agent-1') is None


def test_late_frames_do_not_restore_a_node_that_left(directory):
    """An announcement that overtakes the leave lists a dead server again."""
    connection, second = agent(), agent()
    server = announce(directory, connection)
    leaving = attrs.evolve(heartbeat(connection), leaving=True)
    directory.record_heartbeat(connection, leaving, 1.0)
    directory.record_announcement(second, server, 1.1)
    directory.record_heartbeat(second, heartbeat(second), 1.2)
    assert directory.server('server-1') is None
    directory.expire(10.0)
    announce(directory, agent(incarnation=2), 11.0)
    assert directory.server('server-1') is not None
