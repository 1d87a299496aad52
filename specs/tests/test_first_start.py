"""Explore the first start, and show that faults are found."""

import pytest

from specs import first_start
from specs import replicated_log


@pytest.mark.parametrize('name', first_start.SCENARIOS)
def test_no_order_of_starts_creates_two_clusters(name, capsys):
    """A voter that counted twice would let two majorities differ."""
    result = first_start.explore(first_start.SCENARIOS[name])
    with capsys.disabled():
        print(f'\n{name}: {result}')
    assert not result.violation, result.trace
    assert result.complete == (name != 'five voters')
    assert result.states > 10_000


@pytest.mark.parametrize(
    'fault', [first_start.FOUNDS_AGAIN, replicated_log.KEEPS_IDENTITY]
)
def test_seeded_fault_is_found(fault):
    """A search that finds no seeded fault would prove nothing."""
    scenario = first_start.SCENARIOS['lost disks']
    result = first_start.explore(scenario, faults=(fault,))
    assert result.violation
    assert result.trace
