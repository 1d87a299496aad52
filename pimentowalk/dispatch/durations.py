"""How long the responses on each route usually take."""

import collections
import statistics

import attrs
from hdrh import histogram

# Callers and servers change; older responses tell little of the next ones.
MAX_SAMPLES = 100
# Fewer samples do not show the slower responses of a route.
MIN_SAMPLES = 20
# Each request asks for the usual duration, and quantiles of 100 samples take
# half a millisecond.
UPDATE_SAMPLES = 20
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


@attrs.define
class _Route:
    """The latest samples of a route, and what was computed from them."""

    samples: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_SAMPLES)
    )
    new_samples: int = 0
    most_s: float = 0.0
    median_s: float = 0.0
    median_tokens: float = 0.0

    def update(self):
        """Compute the quantiles again if enough samples have arrived."""
        if self.new_samples < UPDATE_SAMPLES:
            return
        self.new_samples = 0
        durations = histogram.HdrHistogram(1, MAX_MS, SIGNIFICANT_DIGITS)
        for sample in self.samples:
            duration_ms = int(sample.duration_s * 1000)
            durations.record_value(min(max(duration_ms, 1), MAX_MS))
        self.most_s = durations.get_value_at_percentile(PERCENT) / 1000
        self.median_s = statistics.median(s.duration_s for s in self.samples)
        self.median_tokens = statistics.median(s.tokens for s in self.samples)


class DurationTracker:
    """The latest durations of complete responses, by route.

    >>> tracker = DurationTracker()
    >>> tracker.usual_s('draft', 100)
    2.0
    """

    def __init__(self):
        self._routes = {}

    def record_s(self, route_name, duration_s, tokens):
        """Record how long the response to a request took."""
        route = self._routes.get(route_name)
        if route is None:
            route = self._routes[route_name] = _Route()
        route.samples.append(Sample(duration_s, tokens))
        route.new_samples += 1

    def usual_s(self, route_name, tokens):
        """Return a time within which most responses of a size complete."""
        route = self._routes.get(route_name)
        if route is None or len(route.samples) < MIN_SAMPLES:
            return DEFAULT_DURATION_S * max(tokens / DEFAULT_TOKENS, 1.0)
        route.update()
        # A few long answers take many times longer than the rest.
        sized_s = route.median_s * tokens / max(route.median_tokens, 1)
        return max(route.most_s, sized_s)

    def keep_only(self, route_names):
        """Forget all other routes."""
        for name in self._routes.keys() - set(route_names):
            del self._routes[name]
