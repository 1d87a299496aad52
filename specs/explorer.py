"""Exhaustive breadth-first exploration of small specifications."""

import gc
import itertools

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


def explore(specification, max_depth=None, *, on_state=None):
    """Visit every state that is reachable in so many steps.

    Without `max_depth`, the search ends when no state is left, so that the
    specification must bound its states. `on_state` is called once with each
    state that keeps the invariants, in breadth-first order.

    The specification has `initial()`, `steps(state)` yielding pairs of a
    label and the next state, and `violation(state)` returning a text or ''.
    States are hashable. The first violation found has the fewest steps.
    """
    # All states are kept, so that the collector would walk them in vain; it
    # takes a fifth of the time.
    enabled = gc.isenabled()
    gc.disable()
    try:
        return _search(specification, max_depth, on_state)
    finally:
        if enabled:
            gc.enable()


def _search(specification, max_depth, on_state):
    first = specification.initial()
    parents = {first: None}
    frontier = [first]
    for depth in itertools.count():
        for state in frontier:
            found = specification.violation(state)
            if found:
                trace = _trace(parents, state)
                return Result(len(parents), depth, False, found, trace)
            if on_state is not None:
                on_state(state)
        if depth == max_depth:
            return Result(len(parents), depth, False)
        deeper = _expand(specification, frontier, parents)
        if not deeper:
            return Result(len(parents), depth, True)
        frontier = deeper


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
