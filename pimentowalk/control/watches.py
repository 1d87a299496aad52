"""The view of backend servers that one node watches."""

from pimentowalk.control import directory as directory_module
from pimentowalk.membership import subset
from pimentowalk.wire import messages

# 500 records of about 250 bytes stay well below the frame limit.
MAX_SERVERS_PER_UPDATE = 500


class WatchedView:
    """Compute view updates for the subset of servers that a node watches."""

    def __init__(self, hello, watch):
        self._node_id = hello.node_id
        self._zone = hello.zone
        self._services = frozenset(watch.services)
        self._servers_per_range = watch.servers_per_range
        self._selected = {}
        self._sent_live_entries = None
        self.whole_sent = False

    def full_updates(self, directory, *, whole):
        """Return updates with the complete selection.

        Without `whole` they only add servers: a control instance that has
        just started does not yet hear from all of them.
        """
        self._refresh(directory, {*directory.ranges(), *self._selected})
        selected = [
            server
            for servers in self._selected.values()
            for server in servers.values()
        ]
        self.whole_sent = whole
        self._sent_live_entries = directory.live_entries
        return self._updates(whole, selected, [], directory.live_entries)

    def changed_updates(self, directory, keys):
        """Return the updates for changed layer ranges, or an empty list."""
        changed, removed = self._refresh(directory, keys)
        live_entries = directory.live_entries
        if (
            not changed
            and not removed
            and live_entries == self._sent_live_entries
        ):
            return []
        self._sent_live_entries = live_entries
        return self._updates(False, changed, removed, live_entries)

    def _refresh(self, directory, keys):
        changed = {}
        removed = set()
        for key in keys:
            if self._services and key.service not in self._services:
                continue
            old = self._selected.pop(key, {})
            new = self._select(directory, key, old)
            if new:
                self._selected[key] = new
            for server_id, server in new.items():
                if old.get(server_id) != server:
                    changed[server_id] = server
            removed.update(old.keys() - new.keys())
        # A server that moved between layer ranges counts as changed only.
        return list(changed.values()), sorted(removed - changed.keys())

    def _select(self, directory, key, old):
        servers = directory.servers_in_range(key)
        selected = subset.choose(
            self._node_id, self._zone, servers, self._servers_per_range
        )
        # A draining server stays in the view until it disconnects, because
        # requests of this node may still be running there.
        selected += [s for s in servers if s.draining and s.server_id in old]
        return {server.server_id: server for server in selected}

    def _updates(self, whole, changed, removed, live_entries):
        pieces = [
            changed[start : start + MAX_SERVERS_PER_UPDATE]
            for start in range(0, len(changed), MAX_SERVERS_PER_UPDATE)
        ] or [[]]
        return [
            messages.ViewUpdate(
                whole=whole and number == 0,
                changed=piece,
                removed=removed if number == 0 else [],
                live_entries=live_entries,
                more=number < len(pieces) - 1,
            )
            for number, piece in enumerate(pieces)
        ]


def warm_up_s(heartbeat_s):
    """Return how long after a start a directory may be incomplete."""
    return directory_module.MISSED_HEARTBEATS * heartbeat_s
