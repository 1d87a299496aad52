"""Specification of the first start of the control replicas.

Each voter founds the cluster with the same first record, or its first run
ends before it has written anything; then, as after the loss of its disk, it
comes back with a new identity. From there on the steps are those of the
replicated log. Two clusters would show as two leaders of one term or as two
records committed at one index.

`python -m specs.first_start [EXTRA]` explores each scenario, those with a
depth EXTRA steps deeper than the tests do, and prints how many states there
were.
"""

import json
import sys

import attrs

from pimentowalk.control import founding
from pimentowalk.control import members as control_members
from specs import explorer
from specs import log_state
from specs import replicated_log

FOUNDS_AGAIN = 'founder founds again after the loss of its disk'

NOT_STARTED = -1
FOUNDER = 0


@attrs.frozen
class Scenario:
    """Voters, bounds, and the depth to which the tests explore them.

    Without a depth, all states are visited.
    """

    names: str
    bounds: log_state.Bounds
    depth: int | None = None


SCENARIOS = {
    'elections': Scenario('abc', log_state.Bounds(proposals=0)),
    'lost disks': Scenario(
        'abc', log_state.Bounds(proposals=0, elections=2, lost_disks=3)
    ),
    'repair': Scenario(
        'abc',
        log_state.Bounds(proposals=0, elections=2, lost_disks=1, changes=1),
    ),
    'crash': Scenario(
        'abc', log_state.Bounds(proposals=0, elections=2, crashes=1)
    ),
    'five voters': Scenario(
        'abcde', log_state.Bounds(proposals=0, elections=2, lost_disks=1), 8
    ),
}


class FirstStart(replicated_log.ReplicatedLog):
    """The specification, with seeded faults for tests of the checks."""

    def __init__(self, names, bounds, *, faults=()):
        super().__init__(bounds, faults=faults)
        self.names = names
        self.first_record = log_state.Record(
            1,
            founding.TERM,
            control_members.MemberSet(
                tuple(
                    replicated_log.voter(name, FOUNDER) for name in self.names
                )
            ),
        )

    def initial(self):
        """Return voters of which none has started."""
        return log_state.State(
            tuple(_empty(name, NOT_STARTED) for name in self.names),
            self.bounds,
            (self.first_record,),
        )

    def steps(self, state):
        """Yield every step that may come next."""
        waiting = [n for n in state.nodes if n.disk == NOT_STARTED]
        if not waiting or state.broken:
            yield from super().steps(state)
            return
        # A voter that has not started is like one that has started and is
        # cut off, and voters differ in nothing but their name. So the starts
        # may come first, in one order.
        node = waiting[0]
        yield f'{node.name} founds', state.replace(self._found(node))
        after = _empty(node.name, FOUNDER + 1)
        yield f'{node.name} is killed', state.replace(after)

    def _found(self, node):
        term = founding.TERM
        return log_state.Node(
            node.name,
            FOUNDER,
            term,
            '',
            (term, ''),
            (self.first_record,),
            1,
            commit=1,
        )

    def _emptied(self, node):
        if FOUNDS_AGAIN in self.faults:
            return _empty(node.name, NOT_STARTED)
        return super()._emptied(node)

    def _repaired(self, state, lost):
        """Allow the loss of any number of disks."""
        return lost.disk != NOT_STARTED


def _empty(name, disk):
    return log_state.Node(name, disk, 0, '', (0, ''), (), 0)


def explore(scenario, *, extra=0, faults=()):
    """Explore a scenario, with faults if some are given."""
    specification = FirstStart(scenario.names, scenario.bounds, faults=faults)
    depth = scenario.depth and scenario.depth + extra
    return explorer.explore(specification, depth)


def main():
    """Explore all scenarios and print JSON lines."""
    extra = int(sys.argv[1]) if len(sys.argv) > 1 else 0
    for name, scenario in SCENARIOS.items():
        result = explore(scenario, extra=extra)
        line = {'scenario': name} | attrs.asdict(result)
        print(json.dumps(line), flush=True)


if __name__ == '__main__':
    main()
