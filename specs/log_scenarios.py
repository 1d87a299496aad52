"""Scenarios of the replicated log, and faults that they must find.

`python -m specs.log_scenarios [EXTRA]` explores each scenario, EXTRA steps
deeper than the tests do, and prints how many states there were.
"""

import json
import sys

import attrs

from pimentowalk.control import rules as control_rules
from specs import explorer
from specs import log_state
from specs import replicated_log


@attrs.frozen
class Scenario:
    """Bounds, and the depth to which the tests explore them."""

    bounds: log_state.Bounds
    depth: int


@attrs.frozen
class Fault:
    """A seeded fault, and the scenario that must show it."""

    scenario: str
    faults: tuple[str, ...] = ()
    rules: control_rules.Rules | None = None


SCENARIOS = {
    'crash and vote': Scenario(
        log_state.Bounds(proposals=0, elections=3, crashes=1), 4
    ),
    'crash and record': Scenario(
        log_state.Bounds(proposals=1, elections=1, crashes=1), 8
    ),
    'older term': Scenario(log_state.Bounds(proposals=1, elections=3), 6),
    'repair, then second loss': Scenario(
        log_state.Bounds(proposals=0, elections=1, lost_disks=2, changes=2),
        12,
    ),
    'lost disk': Scenario(
        log_state.Bounds(proposals=1, elections=2, lost_disks=1), 5
    ),
    'membership change': Scenario(
        log_state.Bounds(proposals=0, elections=2, changes=2), 6
    ),
    'frozen leader': Scenario(
        log_state.Bounds(proposals=0, elections=1, ticks=3, reads=1), 14
    ),
}


def _commit_any_term(match_indexes, commit_index, term, term_at):
    """Count an entry of an older term as committed."""
    ranked = sorted(match_indexes, reverse=True)
    index = ranked[control_rules.quorum(len(ranked)) - 1]
    return max(index, commit_index)


def _rules(**changed):
    return control_rules.Rules(**changed)


FAULTS = {
    'vote not persisted': Fault(
        'crash and vote', faults=(replicated_log.VOTE_NOT_PERSISTED,)
    ),
    'answer before sync': Fault(
        'crash and record', faults=(replicated_log.ANSWER_BEFORE_SYNC,)
    ),
    'lost-disk voter keeps its identity': Fault(
        'lost disk', faults=(replicated_log.KEEPS_IDENTITY,)
    ),
    'commit counts an older term': Fault(
        'older term', rules=_rules(committed_index=_commit_any_term)
    ),
    'lease not checked': Fault(
        'frozen leader',
        rules=_rules(holds_lease=lambda now_s, end_s: True),
    ),
    'two membership changes at once': Fault(
        'membership change',
        rules=_rules(may_change_members=lambda *arguments: True),
    ),
    'append ignores the previous term': Fault(
        'older term',
        rules=_rules(accepts_append=lambda previous, own: own is not None),
    ),
}


def explore(scenario, *, extra=0, fault=None):
    """Explore a scenario, with a fault if one is given."""
    fault = fault or Fault('')
    specification = replicated_log.ReplicatedLog(
        scenario.bounds, rules=fault.rules, faults=fault.faults
    )
    return explorer.explore(specification, scenario.depth + extra)


def main():
    """Explore all scenarios and print JSON lines."""
    extra = int(sys.argv[1]) if len(sys.argv) > 1 else 0
    for name, scenario in SCENARIOS.items():
        result = explore(scenario, extra=extra)
        line = {'scenario': name} | attrs.asdict(result)
        print(json.dumps(line), flush=True)


if __name__ == '__main__':
    main()
