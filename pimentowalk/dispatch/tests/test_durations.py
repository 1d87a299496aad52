"""Tests of the usual durations of responses."""

import pytest

from pimentowalk.core import activity as core_activity
from pimentowalk.dispatch import durations


def test_few_samples_do_not_tell_the_usual_duration():
    """A call was sent just before a stop because the first one was short."""
    tracker = durations.DurationTracker()
    for _ in range(durations.MIN_SAMPLES - 1):
        tracker.record_s('draft', 0.01, 200)
    assert tracker.usual_s('draft', 200) == durations.DEFAULT_DURATION_S


def test_usual_duration_follows_the_latest_responses():
    """It covers most responses, not the mean, and forgets old ones."""
    tracker = durations.DurationTracker()
    for _ in range(durations.MAX_SAMPLES):
        tracker.record_s('draft', 9.0, 200)
    for number in range(durations.MAX_SAMPLES):
        tracker.record_s('draft', 0.5 if number % 10 else 3.0, 200)
    assert tracker.usual_s('draft', 200) == pytest.approx(3.0, rel=0.02)


def test_long_answer_takes_in_proportion_to_its_tokens():
    """Answers of 13 s were begun with 5 s left, and cut by the stop."""
    tracker = durations.DurationTracker()
    default_s = durations.DEFAULT_DURATION_S
    long_tokens = 10 * durations.DEFAULT_TOKENS
    assert tracker.usual_s('draft', long_tokens) == 10 * default_s
    for _ in range(durations.MAX_SAMPLES):
        tracker.record_s('draft', 1.5, 200)
    assert tracker.usual_s('draft', 100) == pytest.approx(1.5, rel=0.02)
    assert tracker.usual_s('draft', 2000) == pytest.approx(15.0, rel=0.02)


def test_quantiles_are_computed_once_for_many_requests(monkeypatch):
    """Each request took half a millisecond longer to be decoded."""
    tracker = durations.DurationTracker()
    for _ in range(durations.MAX_SAMPLES):
        tracker.record_s('draft', 0.5, 200)
    computed = []
    median = durations.statistics.median
    monkeypatch.setattr(
        durations.statistics,
        'median',
        lambda values: computed.append(1) or median(values),
    )
    for _ in range(5 * durations.UPDATE_SAMPLES):
        tracker.usual_s('draft', 200)
        tracker.record_s('draft', 0.5, 200)
    # Two medians for each time that the samples have changed enough.
    assert len(computed) == 2 * 5


def test_routes_that_are_gone_are_forgotten():
    """Names of routes change with each configuration."""
    tracker = durations.DurationTracker()
    for _ in range(durations.MIN_SAMPLES):
        tracker.record_s('draft', 0.5, 200)
    tracker.keep_only(['book'])
    assert tracker.usual_s('draft', 200) == durations.DEFAULT_DURATION_S


@pytest.mark.parametrize(
    ('now_s', 'expires_at_s', 'is_late'),
    [(7.9, 60.0, False), (8.1, 60.0, True), (8.1, 9.5, False)],
)
def test_call_is_late_if_its_end_would_be_after_the_stop(
    now_s, expires_at_s, is_late
):
    """A call that its deadline ends before the stop gets an answer anyway."""
    activity = core_activity.Activity(
        usual_s=2.0, expires_at_s=expires_at_s, stop_at_s=10.0
    )
    assert activity.is_late(now_s) == is_late
