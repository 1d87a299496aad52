"""Guard the records of nodes, their expiry and what entries watch."""

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
def known():
    return directory_module.Directory(heartbeat_s=1.0)


def announce(known, connection, now_s=0.0, **fields):
    """Open a connection and announce a server on it."""
    server = builders.backend(
        connection.hello.node_id.replace('agent', 'server'),
        connection.hello.incarnation,
        **fields,
    )
    known.record_connection(connection, connection.hello, now_s)
    known.record_announcement(connection, server, now_s)
    return server


def test_record_expires_after_three_missed_heartbeats(known):
    """A frozen server must not get work for long."""
    connection = agent()
    server = announce(known, connection)
    known.record_heartbeat(connection, heartbeat(connection), 1.0)
    assert known.expire(4.0) == []
    assert known.server('server-1') == server
    assert known.expire(4.1) == [connection]
    assert known.server('server-1') is None and known.ranges() == []
    known.record_heartbeat(connection, heartbeat(connection), 5.0)
    assert known.server('server-1') == server


def test_closed_connection_removes_the_record_after_a_grace(known):
    """A killed server is known at once; a reconnect keeps the record."""
    connection = agent()
    announce(known, connection)
    known.record_disconnect(connection, 1.0)
    known.expire(1.4)
    assert known.server('server-1') is not None
    again = agent()
    known.record_connection(again, again.hello, 1.45)
    known.expire(1.6)
    assert known.server('server-1') is not None
    known.record_disconnect(connection, 1.7)
    known.record_disconnect(again, 1.8)
    known.expire(2.4)
    assert known.nodes() == [] and known.server('server-1') is None


def test_older_incarnation_cannot_bring_its_record_back(known):
    """A restarted agent has dropped the sequences of its old life."""
    old = agent()
    announce(known, old)
    new = agent(incarnation=2)
    known.record_connection(new, new.hello, 1.0)
    assert known.server('server-1') is None
    known.record_heartbeat(old, heartbeat(old), 1.1)
    known.record_announcement(old, builders.backend(), 1.1)
    assert known.server('server-1') is None
    announce(known, new, 1.2)
    known.record_disconnect(old, 1.3)
    known.expire(2.0)
    assert known.server('server-1').incarnation == 2


def test_heartbeat_of_a_draining_node_drains_its_server(known):
    """New work must stop even if an announcement was lost."""
    connection = agent()
    announce(known, connection)
    known.changed_ranges = set()
    known.record_heartbeat(
        connection, heartbeat(connection, draining=True), 1.0
    )
    assert known.server('server-1').draining
    assert known.changed_ranges


def test_live_entries_are_counted(known):
    """Entries divide account rates by their number."""
    for number in range(3):
        hello = messages.Hello(f'entry-{number}', 'entry', 1, '')
        connection = Connection(hello)
        known.record_connection(connection, hello, 0.0)
        known.record_connection(connection, hello, 0.0)
    assert known.live_entries == 3
    known.expire(9.0)
    assert known.live_entries == 0


def test_watched_view_follows_the_directory_by_changes_only(known):
    """A view that drifts from the directory sends work to dead servers."""
    watched = watch(['svc-1'], 2)
    node_view = view.View()
    agents = [agent(number) for number in range(6)]
    for number, connection in enumerate(agents):
        announce(known, connection, first_layer=number % 2)
    announce(known, agent(9), service='svc-2')
    updates = watched.full_updates(known, whole=True)
    for step in range(20):
        for update in updates:
            node_view.update('control-1', update, 0.0)
        assert len(node_view.servers()) <= 4
        for server in node_view.servers():
            assert known.server(server.server_id) == server
        known.changed_ranges = set()
        connection = agents[step * 7 % 6]
        if known.server(f'server-{step * 7 % 6}') is None:
            announce(known, connection, first_layer=step % 2)
        else:
            known.record_disconnect(connection, 0.0)
            known.expire(0.5)
        updates = watched.changed_updates(known, known.changed_ranges)
    known.changed_ranges = set()
    assert watched.changed_updates(known, known.changed_ranges) == []


def test_server_that_changes_its_layers_is_not_removed(known):
    """A removal after the change would hide a working server."""
    watched = watch([], 16)
    connection = agent()
    announce(known, connection)
    watched.full_updates(known, whole=True)
    known.changed_ranges = set()
    announce(known, connection, first_layer=2)
    (update,) = watched.changed_updates(known, known.changed_ranges)
    assert [s.first_layer for s in update.changed] == [2]
    assert update.removed == []


def test_large_views_come_in_pieces(known):
    """A frame has a limit of 1 MiB."""
    for number in range(watches.MAX_SERVERS_PER_UPDATE + 1):
        announce(known, agent(number), first_layer=number)
    watched = watch([], 16)
    updates = watched.full_updates(known, whole=True)
    assert [(u.whole, u.more) for u in updates] == [
        (True, True),
        (False, False),
    ]
