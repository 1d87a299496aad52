"""Goodput of real dispatchers under overload, in virtual time."""

import statistics

import pytest

from bench import overload
from bench import pausing_servers

# From the knee on, goodput may fall by this share of its value there.
MAX_FALL = 0.05


def _goodput(kind, load):
    cases = [
        overload.Case(kind, load, overload.SEED + n)
        for n in range(overload.SEEDS)
    ]
    return statistics.fmean(overload.measure(x).goodput(x) for x in cases)


@pytest.mark.parametrize('kind', pausing_servers.KINDS, ids=lambda k: k.name)
def test_goodput_stays_flat_beyond_the_knee(kind):
    """Requests that waited too long took the place of others in time."""
    at_knee = _goodput(kind, 1.0)
    assert at_knee > 0.5
    assert _goodput(kind, 2.0) >= (1 - MAX_FALL) * at_knee


def test_overload_does_not_fill_the_queues_of_servers():
    """Goodput of streams fell to a tenth when servers queued them."""
    assert _goodput(pausing_servers.STREAM, 2.0) > 0.5


@pytest.mark.parametrize('kind', pausing_servers.KINDS, ids=lambda k: k.name)
def test_refused_callers_are_told_at_once(kind):
    """Callers waited 1 s for a refusal, twice the objective of a stream."""
    result = overload.measure(overload.Case(kind, 2.0))
    assert result.refused_after_s
    assert result.refusal_p99_s() < kind.route.objective_s / 8
