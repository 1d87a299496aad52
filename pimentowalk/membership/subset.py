"""Choose a bounded subset of the servers of a layer range for a node."""

from pimentowalk.core import identifiers

# One in this many servers is chosen from other zones. If the node's own zone
# fails, they serve as a fallback until the view is renewed.
OTHER_ZONES_DIVISOR = 4


def choose(node_id, zone, servers, count):
    """Return up to `count` servers by rendezvous hashing.

    Each node prefers different servers, and a server that joins or leaves
    changes the subset of few nodes. Draining servers are not chosen.
    """
    ranked = sorted(
        (server for server in servers if not server.draining),
        key=lambda server: identifiers.hash64(node_id, server.server_id),
    )
    if len(ranked) <= count:
        return ranked
    local = [server for server in ranked if server.zone == zone]
    remote = [server for server in ranked if server.zone != zone]
    remote_count = max(
        count - len(local), min(len(remote), count // OTHER_ZONES_DIVISOR)
    )
    return local[: count - remote_count] + remote[:remote_count]
