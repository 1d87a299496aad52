"""The view that one node watches at a control instance."""

from pimentowalk.control import directory as directory_module
from pimentowalk.membership import subset
from pimentowalk.wire import messages

# 500 records of some 250 bytes stay well below the limit of a frame.
PIECE_SERVERS = 500


class WatchedView:
    """Compute the changes of the subset that one node watches."""

    def __init__(self, hello, watch):
        self._node_id = hello.node_id
        self._zone = hello.zone
        self._services = frozenset(watch.services)
        self._count = watch.servers_per_range
        self._chosen = {}
        self._sent_entries = None
        self.whole_sent = False

    def start(self, directory, *, whole):
        """Return the updates that give the whole view.

        Without `whole`, they only add: a control instance that has just
        started does not yet hear from all servers.
        """
        self._refresh(directory, {*directory.ranges(), *self._chosen})
        chosen = [
            server
            for servers in self._chosen.values()
            for server in servers.values()
        ]
        self.whole_sent = whole
        self._sent_entries = directory.live_entries
        return self._updates(whole, chosen, [], directory.live_entries)

    def changes(self, directory, keys):
        """Return the updates for changed layer ranges, often none."""
        changed, removed = self._refresh(directory, keys)
        entries = directory.live_entries
        if not changed and not removed and entries == self._sent_entries:
            return []
        self._sent_entries = entries
        return self._updates(False, changed, removed, entries)

    def _refresh(self, directory, keys):
        changed = {}
        removed = set()
        for key in keys:
            if self._services and key.service not in self._services:
                continue
            old = self._chosen.pop(key, {})
            new = self._choose(directory, key, old)
            if new:
                self._chosen[key] = new
            for server_id, server in new.items():
                if old.get(server_id) != server:
                    changed[server_id] = server
            removed.update(old.keys() - new.keys())
        # A server that moved to another layer range is changed only.
        return list(changed.values()), sorted(removed - changed.keys())

    def _choose(self, directory, key, old):
        servers = directory.servers_of(key)
        chosen = subset.choose(self._node_id, self._zone, servers, self._count)
        # A draining server stays in the view until it leaves, because
        # requests of this node may still be running there.
        chosen += [s for s in servers if s.draining and s.server_id in old]
        return {server.server_id: server for server in chosen}

    def _updates(self, whole, changed, removed, live_entries):
        pieces = [
            changed[start : start + PIECE_SERVERS]
            for start in range(0, len(changed), PIECE_SERVERS)
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
    """Return how long a directory may lack working servers."""
    return directory_module.MISSED_HEARTBEATS * heartbeat_s
