"""How long the responses on each route usually take."""

import collections

from hdrh import histogram

# Callers and servers change; older responses tell little of the next ones.
MAX_SAMPLES = 100
# Fewer samples do not show the slower responses of a route.
MIN_SAMPLES = 20
# Assumed until then. Most answers of an assistant are shorter.
DEFAULT_DURATION_S = 2.0
PERCENT = 95.0
MAX_MS = 3_600_000
SIGNIFICANT_DIGITS = 2


class DurationTracker:
    """The latest durations of complete responses, by route.

    >>> tracker = DurationTracker()
    >>> tracker.usual_s('draft')
    2.0
    """

    def __init__(self):
        self._samples_ms = {}

    def record_s(self, route_name, duration_s):
        """Record how long the response to a request took."""
        samples_ms = self._samples_ms.get(route_name)
        if samples_ms is None:
            samples_ms = collections.deque(maxlen=MAX_SAMPLES)
            self._samples_ms[route_name] = samples_ms
        samples_ms.append(min(max(int(duration_s * 1000), 1), MAX_MS))

    def usual_s(self, route_name):
        """Return a time within which most responses are complete."""
        samples_ms = self._samples_ms.get(route_name, ())
        if len(samples_ms) < MIN_SAMPLES:
            return DEFAULT_DURATION_S
        durations = histogram.HdrHistogram(1, MAX_MS, SIGNIFICANT_DIGITS)
        for sample_ms in samples_ms:
            durations.record_value(sample_ms)
        return durations.get_value_at_percentile(PERCENT) / 1000

    def keep_only(self, route_names):
        """Forget all other routes."""
        for name in self._samples_ms.keys() - set(route_names):
            del self._samples_ms[name]
