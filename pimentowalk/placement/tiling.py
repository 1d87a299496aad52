"""Shifts layer ranges until a group of servers holds all layers.

Single changes of the planner need a gap that one server can close. Here the
servers next to a gap are released as well, as many as are needed, and get
adjacent ranges in the order of their old ones, so that each loads few layers.
"""

import attrs


@attrs.frozen
class Gap:
    """Consecutive layers without a copy."""

    first_layer: int
    end_layer: int

    @property
    def size(self):
        """Return the number of layers."""
        return self.end_layer - self.first_layer


def find_gap(copies):
    """Return the first gap, or None if each layer has a copy.

    >>> find_gap([1, 0, 0, 2])
    Gap(first_layer=1, end_layer=3)
    """
    if 0 not in copies:
        return None
    first = copies.index(0)
    end = first
    while end < len(copies) and copies[end] == 0:
        end += 1
    return Gap(first, end)


def coverage(servers, total_layers):
    """Return the number of copies of each layer.

    Layers that the model does not have are left out: a server may announce
    those of another model.
    """
    copies = [0] * total_layers
    for server in servers:
        end_layer = min(server.end_layer, total_layers)
        for layer in range(server.first_layer, end_layer):
            copies[layer] += 1
    return copies


def _gap_around(copies, layer):
    """Return the gap that contains a layer without a copy."""
    first, end = layer, layer + 1
    while first > 0 and copies[first - 1] == 0:
        first -= 1
    while end < len(copies) and copies[end] == 0:
        end += 1
    return Gap(first, end)


def _sole_layers(server, copies):
    """Return the layers that only this server holds."""
    return [
        layer
        for layer in range(server.first_layer, server.end_layer)
        if copies[layer] == 1
    ]


def _release_rank(server, copies, gap, size):
    """Return a sort key; the server with the lowest is released first.

    Returns None if the release would open a second gap. Servers that add the
    most layers go first, then those with the fewest streams.
    """
    sole = _sole_layers(server, copies)
    if sole:
        is_adjacent = sole[0] == gap.end_layer or sole[-1] + 1 == (
            gap.first_layer
        )
        is_contiguous = sole[-1] - sole[0] + 1 == len(sole)
        if not (is_adjacent and is_contiguous):
            return None
    gained = size - len(sole)
    return (
        gained <= 0,
        server.streams / max(gained, 1),
        -gained,
        server.server_id,
    )


def release(servers, total_layers, capacity, share):
    """Return (gap, released servers) whose capacity closes the first gap.

    `capacity(server, share)` is the number of layers that a server may hold.
    Returns None if there is no gap or too little memory.
    """
    kept = [server for server in servers if not server.is_empty]
    released = [server for server in servers if server.is_empty]
    gap = find_gap(coverage(kept, total_layers))
    if gap is None:
        return None
    layer = gap.first_layer
    available = sum(capacity(server, share) for server in released)
    while available < gap.size:
        copies = coverage(kept, total_layers)
        ranked = []
        for server in kept:
            size = capacity(server, share)
            rank = _release_rank(server, copies, gap, size)
            if rank is not None and size > 0:
                ranked.append((rank, server, size))
        if not ranked:
            return None
        _, chosen, size = min(ranked, key=lambda entry: entry[0])
        kept.remove(chosen)
        released.append(chosen)
        available += size
        gap = _gap_around(coverage(kept, total_layers), layer)
    return gap, released


def fill(gap, released, capacity, share):
    """Return {server id: (first, end)} of adjacent ranges that fill a gap.

    The servers keep their order. Those that are not needed keep their range.
    """
    ordered = sorted(
        released,
        key=lambda server: (
            server.is_empty,
            server.first_layer,
            server.end_layer,
        ),
    )
    ranges = {}
    boundary = gap.first_layer
    for server in ordered:
        if boundary >= gap.end_layer:
            break
        size = capacity(server, share)
        if size <= 0:
            continue
        end = min(boundary + size, gap.end_layer)
        ranges[server.server_id] = (boundary, end)
        boundary = end
    return ranges
