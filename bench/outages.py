"""Gaps and rates of events around a failure."""

import itertools

import attrs

# Rates are counted in windows of this length, moved by `STEP_S`.
WINDOW_S = 1.0
STEP_S = 0.1
BEFORE_S = 3.0
OBSERVE_S = 7.0


def longest_gap_s(times, begin_s, end_s):
    """Return the longest time without an event.

    >>> longest_gap_s([1.0, 2.0, 9.0], 1.5, 4.0)
    2.0
    """
    inside = [moment for moment in times if begin_s <= moment <= end_s]
    edges = [begin_s, *inside, end_s]
    return max(b - a for a, b in itertools.pairwise(edges))


def rate_at(times, begin_s):
    """Return the events a second in a window."""
    inside = sum(begin_s <= moment < begin_s + WINDOW_S for moment in times)
    return inside / WINDOW_S


@attrs.frozen
class Recovery:
    """When the rate was back at the target after a failure.

    `first_s` is the first window at the target from the lowest one on,
    `lasting_s` the time after which no window is below it; None if the
    observation ends before.
    """

    first_s: float | None
    lasting_s: float | None
    lowest: float


def recovery(times, at_s, target):
    """Return when the rate was back at the target after a moment."""
    count = int((OBSERVE_S - WINDOW_S) / STEP_S)
    rates = [rate_at(times, at_s + n * STEP_S) for n in range(count + 1)]
    low = min(rates)
    below = [number for number, rate in enumerate(rates) if rate < target]
    reached = [
        number
        for number in range(rates.index(low), len(rates))
        if rates[number] >= target
    ]
    lasting = below[-1] + 1 if below else 0
    return Recovery(
        (reached[0] if below else 0) * STEP_S if reached else None,
        lasting * STEP_S if lasting <= count else None,
        low,
    )


def mean_rate(times, end_s):
    """Return the events a second in the time before a moment."""
    inside = sum(end_s - BEFORE_S <= moment < end_s for moment in times)
    return inside / BEFORE_S


def rates(times, at_s):
    """Return the throughput around a failure for the plot."""
    width_s = 0.25
    bins = range(int(-BEFORE_S / width_s), int(OBSERVE_S / width_s))
    return {
        'seconds': [number * width_s for number in bins],
        'tokens_per_s': [
            sum(
                at_s + n * width_s <= t < at_s + (n + 1) * width_s
                for t in times
            )
            / width_s
            for n in bins
        ],
    }
