"""Parts that the measurements share."""

import json
import statistics
import sys
import time

import attrs


def emit(name, **fields):
    """Print one measurement as a JSON line."""
    print(json.dumps({'bench': name, **fields}), flush=True)


def time_per_call_s(function, repeats):
    """Return the mean time of a call in seconds."""
    begin_s = time.perf_counter()
    for _ in range(repeats):
        function()
    return (time.perf_counter() - begin_s) / repeats


@attrs.frozen
class Line:
    """A straight line fitted to measurements."""

    slope: float
    intercept: float
    correlation: float

    def at(self, size):
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size


def fit(sizes, values):
    """Fit a line by least squares.

    >>> fit([1, 2, 3], [2.0, 4.0, 6.0]).slope
    2.0
    """
    slope, intercept = statistics.linear_regression(sizes, values)
    constant = len(set(values)) == 1
    correlation = 0.0 if constant else statistics.correlation(sizes, values)
    return Line(slope, intercept, correlation)


def percentile(values, percent):
    """Return a percentile by the nearest rank; 0 without values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    rank = max(0, -(-len(ordered) * percent // 100) - 1)
    return ordered[int(rank)]


def note(text):
    """Print progress to stderr, apart from the JSON lines."""
    print(text, file=sys.stderr, flush=True)
