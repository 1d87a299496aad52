"""Guard the replicated log by exhaustive exploration."""

import pytest

from specs import explorer
from specs import log_scenarios


@pytest.mark.parametrize('name', log_scenarios.SCENARIOS)
def test_scenario_holds_to_its_depth(name, capsys):
    """A rule that allows a lost record would be found by the search."""
    result = log_scenarios.explore(log_scenarios.SCENARIOS[name])
    with capsys.disabled():
        print(f'\n{name}: {result}')
    assert not result.violation, result.trace
    assert result.states > 1000


@pytest.mark.parametrize('name', log_scenarios.FAULTS)
def test_seeded_fault_is_found(name):
    """A search that finds no seeded fault would prove nothing."""
    fault = log_scenarios.FAULTS[name]
    scenario = log_scenarios.SCENARIOS[fault.scenario]
    result = log_scenarios.explore(scenario, fault=fault)
    assert result.violation
    assert result.trace


class Counter:
    """Count to a limit by ones and twos; a number may be bad."""

    def __init__(self, limit, bad=None):
        self.limit = limit
        self.bad = bad

    def initial(self):
        """Return the start."""
        return 0

    def steps(self, state):
        """Yield the next numbers."""
        for step in (1, 2):
            if state + step <= self.limit:
                yield f'+{step}', state + step

    def violation(self, state):
        """Return a text for the bad number."""
        return 'bad' if state == self.bad else ''


def test_explorer_visits_every_state_once():
    """A search that skips states could miss a violation."""
    assert explorer.explore(Counter(10), 20) == explorer.Result(11, 5, True)
    assert not explorer.explore(Counter(10), 3).complete


def test_explorer_reports_the_shortest_trace():
    """A longer trace than needed is harder to read."""
    result = explorer.explore(Counter(10, bad=5), 20)
    assert result.violation == 'bad'
    assert result.trace in [('+1', '+2', '+2')]
    assert len(result.trace) == 3
