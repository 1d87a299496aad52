"""Checks of the arithmetic behind the measurement of recovery."""

from bench import outages


def test_gap_includes_both_edges():
    """Silence up to the end of the interval must count as a gap."""
    assert outages.longest_gap_s([1.0, 2.0, 9.0], 1.5, 4.0) == 2.0
    assert outages.longest_gap_s([], 1.0, 4.0) == 3.0


def test_recovery_lasts_until_the_last_low_window():
    """A rate that drops a second time must not count as recovered."""
    kept = [*range(10), *range(15, 30), *range(35, 100)]
    # Half a step off the edges of the windows, so that none is ambiguous.
    times = [n / 10 + 0.05 for n in kept]
    found = outages.recovery(times, 0.0, 9.0)
    assert found.lowest == 5.0
    assert found.first_s < 1.6
    assert 3.3 <= found.lasting_s <= 3.6


def test_no_recovery_is_reported():
    """A rate that stays low must not get a recovery time."""
    found = outages.recovery([0.1], 0.0, 9.0)
    assert found.first_s is None
    assert found.lasting_s is None
