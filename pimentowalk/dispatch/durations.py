"""How long the responses on each route usually take."""

import collections
import statistics

import attrs
from hdrh import histogram

# Callers and servers change; older responses tell little of the next ones.
MAX_SAMPLES = 100
# Fewer samples do not show the slower responses of a route.
MIN_SAMPLES = 20
# Assumed until then for an answer of this size or a smaller one. Most answers
# of an assistant are shorter.
DEFAULT_DURATION_S = 2.0
DEFAULT_TOKENS = 256
PERCENT = 95.0
MAX_MS = 3_600_000
SIGNIFICANT_DIGITS = 2


@attrs.frozen
class Sample:
    """The duration of one response and the tokens expected before it."""

    duration_s: float
    tokens: int


class DurationTracker:
    """The latest durations of complete responses, by route.

    >>> tracker = DurationTracker()
    >>> tracker.usual_s('draft', 100)
    2.0
    """

    def __init__(self):
        self._samples = {}

    def record_s(self, route_name, duration_s, tokens):
        """Record how long the response to a request took."""
        samples = self._samples.get(route_name)
        if samples is None:
            samples = collections.deque(maxlen=MAX_SAMPLES)
            self._samples[route_name] = samples
        samples.append(Sample(duration_s, tokens))

    def usual_s(self, route_name, tokens):
        """Return a time within which most responses of a size complete."""
        samples = self._samples.get(route_name, ())
        if len(samples) < MIN_SAMPLES:
            return DEFAULT_DURATION_S * max(tokens / DEFAULT_TOKENS, 1.0)
        durations = histogram.HdrHistogram(1, MAX_MS, SIGNIFICANT_DIGITS)
        for sample in samples:
            duration_ms = int(sample.duration_s * 1000)
            durations.record_value(min(max(duration_ms, 1), MAX_MS))
        most_s = durations.get_value_at_percentile(PERCENT) / 1000
        # A few long answers take many times longer than the rest.
        median_s = statistics.median(s.duration_s for s in samples)
        median_tokens = statistics.median(s.tokens for s in samples)
        return max(most_s, median_s * tokens / max(median_tokens, 1))

    def keep_only(self, route_names):
        """Forget all other routes."""
        for name in self._samples.keys() - set(route_names):
            del self._samples[name]
