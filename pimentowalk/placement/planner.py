"""Choose layer ranges for backend servers, changing as little as possible.

Each availability zone is covered on its own, because activations are large
and the links between zones are shared. What memory is left after that is
spent on second copies, so that a lost server has stand-ins nearby.
"""

import attrs

# The shares of an accelerator's memory that layers may take, the rest holds
# the caches of requests; see docs/platform.md for the sums. A zone uses the
# least at which it can be covered again after it lost its largest server.
LAYER_MEMORY_SHARES = (0.58, 0.64, 0.70)
# The worth of one more copy of a layer by the copies there are. A layer
# without a copy stops the whole zone, so it outweighs any number of others.
COPY_WORTH = (1000.0, 10.0, 1.0, 0.1)
# A server takes as many requests as it has slots where it holds the first
# layer: with one such server 96 streams fill a zone with memory for 130. Zones
# that give more memory to layers have room for about 70 and need one.
HEADS = {LAYER_MEMORY_SHARES[0]: 2}
# Outweighs a second copy of as many layers as the largest server holds.
HEAD_WORTH = 500.0


@attrs.frozen
class Holder:
    """A backend server as the planner sees it.

    `streams` is the number of requests that pass through it.
    """

    server_id: str
    zone: str
    accelerator: str
    first_layer: int = 0
    end_layer: int = 0
    streams: int = 0

    @property
    def is_empty(self):
        """Return whether it holds no layers."""
        return self.first_layer >= self.end_layer


@attrs.frozen
class Assignment:
    """The range that a backend server is to hold."""

    server_id: str
    first_layer: int
    end_layer: int


def layer_capacity(engine, accelerator, share=LAYER_MEMORY_SHARES[0]):
    """Return how many layers an accelerator is given, 0 if unknown."""
    kind = engine.accelerators.get(accelerator)
    if kind is None or engine.layer_mb <= 0:
        return 0
    most = int(kind.memory_mb // engine.layer_mb)
    wanted = int(kind.memory_mb * share // engine.layer_mb)
    # A server of one layer is still of use; at most all of its memory goes.
    return min(max(wanted, min(most, 1)), engine.total_layers)


def coverage(holders, total_layers):
    """Return the number of copies of each layer."""
    copies = [0] * total_layers
    for holder in holders:
        for layer in range(holder.first_layer, holder.end_layer):
            copies[layer] += 1
    return copies


def _worth(copies):
    last = len(COPY_WORTH) - 1
    return COPY_WORTH[min(copies, last)]


def best_window(copies, size, heads=1):
    """Return (worth, first layer) of the window that is needed most.

    Of equal windows the first is taken, so that ranges line up. `heads` is
    the number of copies that the first layer needs.
    """
    worths = [_worth(count) for count in copies]
    if 0 < copies[0] < heads:
        worths[0] += HEAD_WORTH
    total = sum(worths[:size])
    best, first = total, 0
    for start in range(1, len(copies) - size + 1):
        total += worths[start + size - 1] - worths[start - 1]
        if total > best + 1e-9:
            best, first = total, start
    return best, first


def zone_share(holders, engine):
    """Return the share of memory for layers in one zone."""
    for share in LAYER_MEMORY_SHARES:
        sizes = [layer_capacity(engine, h.accelerator, share) for h in holders]
        if sum(sizes) - max(sizes, default=0) >= engine.total_layers:
            return share
    # No share bears the loss, so that memory for requests goes first.
    return LAYER_MEMORY_SHARES[0]


def plan(holders, engine):
    """Return the assignments that differ from what the servers hold.

    Empty servers take the ranges that their zone needs most. Then, while a
    zone lacks a layer, a server is moved there or its range is extended,
    whichever interrupts the fewest streams.
    """
    found = []
    zones = {}
    for holder in holders:
        zones.setdefault(holder.zone, []).append(holder)
    for zone in sorted(zones):
        found += _plan_zone(zones[zone], engine)
    return found


def _plan_zone(holders, engine):
    share = zone_share(holders, engine)
    heads = HEADS.get(share, 1)
    held = [holder for holder in holders if not holder.is_empty]
    copies = coverage(held, engine.total_layers)
    found = []
    empty = [
        (layer_capacity(engine, h.accelerator, share), h)
        for h in holders
        if h.is_empty
    ]
    # The largest come first: the others then fill the rest.
    empty.sort(key=lambda pair: (-pair[0], pair[1].server_id))
    for size, holder in empty:
        if size > 0:
            found.append(_assign(holder, copies, size, heads))
    return found + _moves(held, copies, engine, heads)


def _moves(held, copies, engine, heads):
    """Return the changes that close the gaps of a zone.

    If they cannot all be closed, no covered layer is given up: the zone would
    lack other layers instead, and more of them once a server joins.
    """
    moves, left = _move_on(held, copies, engine, heads, may_uncover=True)
    if 0 in left:
        moves, _ = _move_on(held, copies, engine, heads, may_uncover=False)
    return moves


def _move_on(held, copies, engine, heads, *, may_uncover):
    """Return the changes and the copies of each layer after them."""
    moves = []
    while 0 in copies:
        best = _best_change(held, copies, engine, heads, may_uncover)
        if best is None:
            break
        copies = best.copies
        held = [h for h in held if h is not best.holder]
        moves.append(best.assignment)
    return moves, copies


def _assign(holder, copies, size, heads):
    _, first = best_window(copies, size, heads)
    for layer in range(first, first + size):
        copies[layer] += 1
    return Assignment(holder.server_id, first, first + size)


def _sizes(holder, engine):
    """Return the sizes that a server's range may have."""
    sizes = {
        layer_capacity(engine, holder.accelerator, share)
        for share in LAYER_MEMORY_SHARES
    }
    return sorted(sizes - {0})


def _extensions(holder, size, total_layers):
    """Return the first layers of longer ranges that keep the present one."""
    if size <= holder.end_layer - holder.first_layer:
        return range(0)
    first = max(0, holder.end_layer - size)
    return range(first, min(holder.first_layer, total_layers - size) + 1)


@attrs.frozen
class _Change:
    """A new range for a server, and what it does to its zone.

    `copies` are those of each layer afterwards, `gained` the layers that lack
    a copy no more, and `interrupted` the streams that begin anew elsewhere.
    """

    holder: Holder
    assignment: Assignment
    copies: list
    gained: int
    interrupted: int

    def rank(self, heads):
        """Return what orders changes, the best last.

        A server that gives layers up does not wait for its streams. Each of
        them draws on the budget of repeats, so that what counts after the
        heads of the zone is how many are interrupted for each layer gained.
        Of equal changes the smallest server moves: it loads the least.
        """
        size = self.assignment.end_layer - self.assignment.first_layer
        return (
            min(self.copies[0], heads),
            -self.interrupted / self.gained,
            self.gained,
            -size,
            self.holder.server_id,
        )


def _changes(holder, copies, engine):
    """Return the changes of one server that close a gap in part."""
    found = []
    others = list(copies)
    for layer in range(holder.first_layer, holder.end_layer):
        others[layer] -= 1
    for size in _sizes(holder, engine):
        _, needed_most = best_window(others, size)
        extensions = _extensions(holder, size, engine.total_layers)
        for first in sorted({needed_most, *extensions}):
            change = _change(holder, copies, others, first, size)
            if change.gained > 0:
                found.append(change)
    return found


def _change(holder, copies, others, first, size):
    """Return what a range does, given the copies that others hold."""
    end = first + size
    after = list(others)
    for layer in range(first, end):
        after[layer] += 1
    is_kept = first <= holder.first_layer and holder.end_layer <= end
    return _Change(
        holder,
        Assignment(holder.server_id, first, end),
        after,
        copies.count(0) - after.count(0),
        0 if is_kept else holder.streams,
    )


def _best_change(held, copies, engine, heads, may_uncover):
    """Return the change that closes a gap at the least cost, or None."""
    changes = [
        change
        for holder in held
        for change in _changes(holder, copies, engine)
        if may_uncover or not _uncovers(copies, change.copies)
    ]
    return max(changes, key=lambda change: change.rank(heads), default=None)


def _uncovers(before, after):
    """Return whether a layer that had a copy has none any more."""
    return any(x and not y for x, y in zip(before, after, strict=True))
