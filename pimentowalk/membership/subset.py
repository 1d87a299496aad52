"""Choose a bounded subset of the servers of a layer range for a node."""

from pimentowalk.core import identifiers

# A quarter of the places goes to other zones, so that the loss of the own
# zone leaves servers to fall back on before the view is renewed.
OTHER_ZONES_PART = 4


def choose(node_id, zone, servers, count):
    """Return up to `count` servers by rendezvous hashing.

    Each node prefers other servers, and a joining or leaving server changes
    the choice of few nodes. Draining servers are not chosen.
    """
    ranked = sorted(
        (server for server in servers if not server.draining),
        key=lambda server: identifiers.hash64(node_id, server.server_id),
    )
    if len(ranked) <= count:
        return ranked
    near = [server for server in ranked if server.zone == zone]
    far = [server for server in ranked if server.zone != zone]
    far_count = max(
        count - len(near), min(len(far), count // OTHER_ZONES_PART)
    )
    return near[: count - far_count] + far[:far_count]
