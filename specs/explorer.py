"""Exhaustive breadth-first exploration of small specifications."""

import gc

import attrs


@attrs.frozen
class Result:
    """What an exploration found.

    `complete` is set where no state was left unexplored. `violation` is
    empty, or says what failed; `trace` then lists the steps to it.
    """

    states: int
    depth: int
    complete: bool
    violation: str = ''
    trace: tuple[str, ...] = ()

    def __str__(self):
        reach = 'all states' if self.complete else f'depth {self.depth}'
        found = self.violation or 'no violation'
        return f'{self.states} states, {reach}: {found}'


def explore(specification, max_depth):
    """Visit every state that is reachable in so many steps.

    The specification has `initial()`, `steps(state)` yielding pairs of a
    label and the next state, and `violation(state)` returning a text or ''.
    States are hashable. The first violation found has the fewest steps.
    """
    # All states are kept, so that the collector would walk them in vain; it
    # takes a fifth of the time.
    enabled = gc.isenabled()
    gc.disable()
    try:
        return _search(specification, max_depth)
    finally:
        if enabled:
            gc.enable()


def _search(specification, max_depth):
    first = specification.initial()
    parents = {first: None}
    frontier = [first]
    for depth in range(max_depth + 1):
        for state in frontier:
            found = specification.violation(state)
            if found:
                trace = _trace(parents, state)
                return Result(len(parents), depth, False, found, trace)
        if depth == max_depth:
            break
        deeper = _expand(specification, frontier, parents)
        if not deeper:
            return Result(len(parents), depth, True)
        frontier = deeper
    return Result(len(parents), max_depth, False)


def _expand(specification, frontier, parents):
    found = []
    for state in frontier:
        for label, successor in specification.steps(state):
            if successor not in parents:
                parents[successor] = (state, label)
                found.append(successor)
    return found


def _trace(parents, state):
    labels = []
    while parents[state] is not None:
        state, label = parents[state]
        labels.append(label)
    return tuple(reversed(labels))
