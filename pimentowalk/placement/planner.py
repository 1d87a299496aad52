"""Plan of layer ranges for backend servers that changes as little as possible.

Every availability zone covers all layers by itself, because activations are
large and the links between zones are shared. Remaining memory holds second
copies, so that the layers of a lost server have replicas in its zone.
"""

import attrs

from pimentowalk.placement import tiling

# Shares of the memory of an accelerator for layers; the rest holds the KV
# caches of requests. docs/platform.md has the calculation. A zone uses the
# lowest share at which it can cover all layers without its largest server.
LAYER_MEMORY_SHARES = (0.58, 0.64, 0.70)
# Shares for a zone that no lower share covers. Little memory is left for
# requests, but a path that crosses zones occupies the link that all share.
SCARCE_MEMORY_SHARES = (0.80, 0.90)
# Value of one more copy of a layer, by the number of copies it has. A layer
# without a copy stops the whole zone, so that it outweighs all other layers.
COPY_VALUES = (1000.0, 10.0, 1.0, 0.1)
# Copies of the first layer that a zone needs, by its share of memory for
# layers; one if not listed. The slots of the servers with the first layer
# limit the streams of a zone: with one such server, 96 streams fill a zone
# that has memory for 130. With a larger share, memory suffices for about 70.
FIRST_LAYER_COPIES = {LAYER_MEMORY_SHARES[0]: 2}
# Greater than the value of second copies of all layers of the largest server.
FIRST_LAYER_VALUE = 500.0


@attrs.frozen
class Server:
    """Input of the planner: a backend server and the layers that it holds.

    `streams` is the number of requests that run through the server.
    """

    server_id: str
    zone: str
    accelerator: str
    first_layer: int = 0
    end_layer: int = 0
    streams: int = 0

    @property
    def is_empty(self):
        """Return whether the server holds no layers."""
        return self.first_layer >= self.end_layer


@attrs.frozen
class Assignment:
    """The layer range that a backend server should hold."""

    server_id: str
    first_layer: int
    end_layer: int


def layer_capacity(engine, accelerator, share=LAYER_MEMORY_SHARES[0]):
    """Return how many layers an accelerator should hold, 0 if unknown."""
    kind = engine.accelerators.get(accelerator)
    if kind is None or engine.layer_mb <= 0:
        return 0
    max_layers = int(kind.memory_mb // engine.layer_mb)
    wanted = int(kind.memory_mb * share // engine.layer_mb)
    # A single layer is useful even if it exceeds the share, as long as it fits
    # into the memory.
    return min(max(wanted, min(max_layers, 1)), engine.total_layers)


def _copy_value(copies):
    last = len(COPY_VALUES) - 1
    return COPY_VALUES[min(copies, last)]


def most_valuable_range(copies, size, first_layer_copies=1):
    """Return (value, first layer) of the most valuable range of a size.

    Of equal ranges the first is taken, so that ranges of servers align.
    `first_layer_copies` is the number of copies that the first layer needs.
    """
    values = [_copy_value(count) for count in copies]
    if 0 < copies[0] < first_layer_copies:
        values[0] += FIRST_LAYER_VALUE
    total = sum(values[:size])
    best, first = total, 0
    for start in range(1, len(copies) - size + 1):
        total += values[start + size - 1] - values[start - 1]
        if total > best + 1e-9:
            best, first = total, start
    return best, first


def layer_memory_share(servers, engine):
    """Return the share of memory that the layers of one zone may use.

    Where a zone that holds no copy to spare lacks a few layers at this share,
    only some servers get larger ranges.
    """
    for share in LAYER_MEMORY_SHARES:
        sizes = _capacities(servers, engine, share)
        if sum(sizes) - max(sizes, default=0) >= engine.total_layers:
            return share
    # No share survives the loss, so prefer memory for requests.
    return LAYER_MEMORY_SHARES[0]


def covering_share(servers, engine, shares=LAYER_MEMORY_SHARES):
    """Return the lowest share at which servers hold all layers, or None."""
    for share in shares:
        if sum(_capacities(servers, engine, share)) >= engine.total_layers:
            return share
    return None


def _capacities(servers, engine, share):
    return [
        layer_capacity(engine, server.accelerator, share) for server in servers
    ]


def plan(servers, engine, short_zones=frozenset()):
    """Return the assignments that differ from the current ranges.

    Empty servers take the ranges that their zone needs most. Then, while a
    zone lacks a layer, a server is moved to it or its range is extended,
    whichever interrupts the fewest streams per layer gained.

    `short_zones` have lacked layers for so long that no other server is
    expected to join or to return. There, ranges next to a gap are shifted if
    no single change closes it, with more memory for layers if needed. Zones
    that still cannot hold all layers are planned together, one after the
    other, so that their paths cross between zones rarely.
    """
    zones = {}
    for server in servers:
        zones.setdefault(server.zone, []).append(server)
    assignments, incomplete = [], []
    all_shares = LAYER_MEMORY_SHARES + SCARCE_MEMORY_SHARES
    for zone in sorted(zones, key=lambda zone: (-len(zones[zone]), zone)):
        members = zones[zone]
        if zone not in short_zones and not _exceeds_shares(members, engine):
            assignments += _plan_zone(members, engine)
        elif covering_share(members, engine, all_shares) is None:
            incomplete += members
        else:
            assignments += _plan_short_group(members, engine)
    if incomplete:
        assignments += _plan_short_group(incomplete, engine)
    return assignments


def _exceeds_shares(servers, engine):
    """Return whether a server uses more memory than the usual shares."""
    return any(
        server.end_layer - server.first_layer
        > layer_capacity(engine, server.accelerator, LAYER_MEMORY_SHARES[-1])
        for server in servers
    )


def _plan_short_group(servers, engine):
    """Return the assignments of servers that form paths together.

    They have lacked layers for a long time, alone or as several zones.
    """
    shares = LAYER_MEMORY_SHARES + SCARCE_MEMORY_SHARES
    share = covering_share(servers, engine, shares)
    crosses_zones = len({server.zone for server in servers}) > 1
    is_covered = 0 not in tiling.coverage(servers, engine.total_layers)
    if is_covered or share is None:
        return _plan_zone(servers, engine)
    planned = servers
    # The second pass closes gaps beside the ranges of empty servers.
    for _ in range(0 if crosses_zones else 2):
        planned = _apply(planned, _plan_zone(planned, engine))
        if 0 not in tiling.coverage(planned, engine.total_layers):
            return _changes_between(servers, planned)
    return retile(servers, engine, shares[shares.index(share) :])


def _apply(servers, assignments):
    """Return the servers with the ranges that they are assigned."""
    changed = {a.server_id: a for a in assignments}
    return [
        attrs.evolve(
            server,
            first_layer=changed[server.server_id].first_layer,
            end_layer=changed[server.server_id].end_layer,
        )
        if server.server_id in changed
        else server
        for server in servers
    ]


def _changes_between(servers, planned):
    """Return the assignments that lead from the current ranges to others."""
    return [
        Assignment(after.server_id, after.first_layer, after.end_layer)
        for before, after in zip(servers, planned, strict=True)
        if after != before
    ]


def _plan_zone(servers, engine):
    share = layer_memory_share(servers, engine)
    first_layer_copies = FIRST_LAYER_COPIES.get(share, 1)
    loaded = [server for server in servers if not server.is_empty]
    copies = tiling.coverage(loaded, engine.total_layers)
    assignments = []
    empty = [
        (layer_capacity(engine, server.accelerator, share), server)
        for server in servers
        if server.is_empty
    ]
    # The largest servers are placed first; smaller ones fill what remains.
    empty.sort(key=lambda pair: (-pair[0], pair[1].server_id))
    for size, server in empty:
        if size > 0:
            assignments.append(
                _assign_range(server, copies, size, first_layer_copies)
            )
    return assignments + _close_gaps_safely(
        loaded, copies, engine, first_layer_copies
    )


def _close_gaps_safely(loaded, copies, engine, first_layer_copies):
    """Return the assignments that close the gaps of a zone.

    If not all gaps can be closed, no covered layer is given up. Otherwise the
    zone would lack other layers instead, and more of them after a server has
    joined.
    """
    moves, copies_after = _close_gaps(
        loaded, copies, engine, first_layer_copies, may_uncover=True
    )
    if 0 in copies_after:
        moves, _ = _close_gaps(
            loaded, copies, engine, first_layer_copies, may_uncover=False
        )
    return moves


def _close_gaps(loaded, copies, engine, first_layer_copies, *, may_uncover):
    """Return (assignments, copies of each layer after them)."""
    moves = []
    while 0 in copies:
        best = _best_change(
            loaded, copies, engine, first_layer_copies, may_uncover
        )
        if best is None:
            break
        copies = best.copies
        loaded = [server for server in loaded if server is not best.server]
        moves.append(best.assignment)
    return moves, copies


def _assign_range(server, copies, size, first_layer_copies):
    _, first = most_valuable_range(copies, size, first_layer_copies)
    for layer in range(first, first + size):
        copies[layer] += 1
    return Assignment(server.server_id, first, first + size)


def _sizes(server, engine):
    """Return the possible sizes of the range of a server."""
    sizes = {
        layer_capacity(engine, server.accelerator, share)
        for share in LAYER_MEMORY_SHARES
    }
    return sorted(sizes - {0})


def _extensions(server, size, total_layers):
    """Return the first layers of the ranges that extend the current one."""
    if size <= server.end_layer - server.first_layer:
        return range(0)
    first = max(0, server.end_layer - size)
    return range(first, min(server.first_layer, total_layers - size) + 1)


@attrs.frozen
class _Change:
    """A new range for a server, and its effect on the zone.

    `copies` holds the copies of each layer after the change, `gained` is the
    reduction in layers without a copy, and `interrupted` the number of streams
    that have to restart on other servers.
    """

    server: Server
    assignment: Assignment
    copies: list
    gained: int
    interrupted: int

    def rank(self, first_layer_copies):
        """Return a sort key; the best change has the greatest.

        A server that gives up layers does not wait for its streams, and each
        interrupted stream uses up retry budget. After the copies of the first
        layer, the criterion is therefore the number of interrupted streams
        per layer gained. Of equal changes the smallest range wins, since it
        takes the least time to load.
        """
        size = self.assignment.end_layer - self.assignment.first_layer
        return (
            min(self.copies[0], first_layer_copies),
            -self.interrupted / self.gained,
            self.gained,
            -size,
            self.server.server_id,
        )


def _changes(server, copies, engine):
    """Return the changes of one server that reduce the missing layers."""
    changes = []
    other_copies = list(copies)
    for layer in range(server.first_layer, server.end_layer):
        other_copies[layer] -= 1
    for size in _sizes(server, engine):
        _, best_first = most_valuable_range(other_copies, size)
        extensions = _extensions(server, size, engine.total_layers)
        for first in sorted({best_first, *extensions}):
            change = _change(server, copies, other_copies, first, size)
            if change.gained > 0:
                changes.append(change)
    return changes


def _change(server, copies, other_copies, first, size):
    """Return the change to a range, given the copies on other servers."""
    end = first + size
    after = list(other_copies)
    for layer in range(first, end):
        after[layer] += 1
    is_kept = first <= server.first_layer and server.end_layer <= end
    return _Change(
        server,
        Assignment(server.server_id, first, end),
        after,
        copies.count(0) - after.count(0),
        0 if is_kept else server.streams,
    )


def _best_change(loaded, copies, engine, first_layer_copies, may_uncover):
    """Return the best change that reduces the missing layers, or None."""
    changes = [
        change
        for server in loaded
        for change in _changes(server, copies, engine)
        if may_uncover or not _uncovers(copies, change.copies)
    ]
    return max(
        changes,
        key=lambda change: change.rank(first_layer_copies),
        default=None,
    )


def _uncovers(before, after):
    """Return whether a layer with a copy before has none after."""
    return any(x and not y for x, y in zip(before, after, strict=True))


def retile(servers, engine, shares):
    """Return assignments that close all gaps by shifting ranges.

    `shares` are the shares of memory that may be used, the lowest first.
    """
    current = {server.server_id: server for server in servers}
    for share in shares:
        closed = _close_by_shifts(current, engine, share)
        if closed is not None:
            current = closed
            break
    return _changes_between(
        servers, [current[server.server_id] for server in servers]
    )


def _close_by_shifts(current, engine, share):
    """Return the servers by id without a gap, or None if one remains."""
    current = dict(current)

    def capacity(server, share):
        return layer_capacity(engine, server.accelerator, share)

    for _ in range(engine.total_layers):
        found = tiling.release(
            list(current.values()), engine.total_layers, capacity, share
        )
        if found is None:
            break
        gap, released = found
        ranges = tiling.fill(gap, released, capacity, share)
        for server_id, (first, end) in ranges.items():
            current[server_id] = attrs.evolve(
                current[server_id], first_layer=first, end_layer=end
            )
    copies = tiling.coverage(current.values(), engine.total_layers)
    return None if 0 in copies else current
