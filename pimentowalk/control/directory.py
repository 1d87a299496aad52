"""The nodes and backend servers that one control instance hears from."""

import attrs

from pimentowalk.membership import announcements
from pimentowalk.topology import instances

MISSED_HEARTBEATS = 3
# A node that reconnects within this time keeps its record, so that one lost
# connection does not remove a working server.
CLOSED_GRACE_S = 0.5
ENTRY = 'entry'


@attrs.define
class Node:
    """One incarnation of a node and its server, if it announced one."""

    node_id: str
    role: str
    zone: str
    incarnation: int
    connection: object
    heard_s: float
    version_in_force: int = 0
    draining: bool = False
    behind_heartbeats: int = 0
    closed_s: float | None = None
    server: instances.BackendServer | None = None


class Directory:
    """Keep the records in memory; `changed` collects changed layer ranges."""

    def __init__(self, heartbeat_s=1.0):
        self._expiry_s = MISSED_HEARTBEATS * heartbeat_s
        self._nodes = {}
        self._owners = {}
        self._announced = {}
        self._ranges = {}
        self.live_entries = 0
        self.changed = set()

    def nodes(self):
        """Return the records of all nodes."""
        return list(self._nodes.values())

    def node(self, node_id):
        """Return the record of a node, or None."""
        return self._nodes.get(node_id)

    def server(self, server_id):
        """Return the announced record of a backend server, or None."""
        owner = self._owners.get(server_id)
        return owner.server if owner else None

    def ranges(self):
        """Return the keys of all layer ranges."""
        return list(self._ranges)

    def servers_of(self, key):
        """Return the servers of a layer range."""
        return list(self._ranges.get(key, {}).values())

    def opened(self, connection, hello, now_s):
        """Note a node whose connection has been accepted."""
        node = self._nodes.get(hello.node_id)
        if node is not None and node.incarnation == hello.incarnation:
            node.connection = connection
            node.closed_s = None
            node.heard_s = now_s
            return
        if node is not None:
            self._remove(node)
        self._nodes[hello.node_id] = Node(
            hello.node_id,
            hello.role,
            hello.zone,
            hello.incarnation,
            connection,
            now_s,
        )
        self.live_entries += hello.role == ENTRY

    def _current(self, connection, now_s):
        # Frames of an older incarnation that still has a connection must
        # not bring its record back.
        node = self._nodes.get(connection.hello.node_id)
        if node is None:
            self.opened(connection, connection.hello, now_s)
            return self._nodes[connection.hello.node_id]
        same = node.incarnation == connection.hello.incarnation
        return node if same else None

    def announce(self, connection, server, now_s):
        """Record the backend server that a node announces."""
        node = self._current(connection, now_s)
        if node is None:
            return
        node.heard_s = now_s
        self._announced[connection] = server
        if node.server == server:
            return
        self._forget_server(node)
        owner = self._owners.get(server.server_id)
        if owner is not None:
            self._forget_server(owner)
        node.server = server
        self._owners[server.server_id] = node
        key = announcements.range_key(server)
        self._ranges.setdefault(key, {})[server.server_id] = server
        self.changed.add(key)

    def heartbeat(self, connection, heartbeat, now_s):
        """Note that a node lives and the version that it has in force."""
        node = self._current(connection, now_s)
        if node is None:
            return
        node.heard_s = now_s
        node.version_in_force = heartbeat.version_in_force
        node.draining = heartbeat.draining
        # An expired node announces nothing anew when it is heard again.
        server = node.server or self._announced.get(connection)
        if server is None:
            return
        if heartbeat.draining and not server.draining:
            server = attrs.evolve(server, draining=True)
        if server is not node.server:
            self.announce(connection, server, now_s)

    def closed(self, connection, now_s):
        """Note that a connection has ended."""
        self._announced.pop(connection, None)
        node = self._nodes.get(connection.hello.node_id)
        if node is not None and node.connection is connection:
            node.closed_s = now_s

    def expire(self, now_s):
        """Remove the nodes that are silent or whose connection ended.

        Returns the connections of the silent ones.
        """
        silent_connections = []
        for node in list(self._nodes.values()):
            silent = now_s - node.heard_s > self._expiry_s
            gone = (
                node.closed_s is not None
                and now_s - node.closed_s >= CLOSED_GRACE_S
            )
            if silent:
                silent_connections.append(node.connection)
            if silent or gone:
                self._remove(node)
        return silent_connections

    def _remove(self, node):
        del self._nodes[node.node_id]
        self.live_entries -= node.role == ENTRY
        self._forget_server(node)

    def _forget_server(self, node):
        if node.server is None:
            return
        server_id = node.server.server_id
        key = announcements.range_key(node.server)
        servers = self._ranges[key]
        servers.pop(server_id, None)
        if not servers:
            del self._ranges[key]
        if self._owners.get(server_id) is node:
            del self._owners[server_id]
        node.server = None
        self.changed.add(key)
