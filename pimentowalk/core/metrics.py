"""Counters, gauges and histograms of a process."""

import collections

from hdrh.histogram import HdrHistogram

# One microsecond to ten minutes at two significant digits keeps a histogram
# small.
MIN_US = 1
MAX_US = 600_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 95.0, 99.0)


class Metrics:
    """Collect the metrics of a process.

    >>> metrics = Metrics('entry')
    >>> metrics.count('requests')
    >>> metrics.record_s('first_token', 0.25)
    >>> 'pimentowalk_entry_requests_total 1' in metrics.render()
    True
    """

    def __init__(self, program):
        self.program = program
        self.counters = collections.Counter()
        self.gauges = {}
        self.histograms = {}

    def count(self, name, amount=1):
        """Add to a counter."""
        self.counters[name] += amount

    def gauge(self, name, read):
        """Register a function that returns the value at each rendering."""
        self.gauges[name] = read

    def record_s(self, name, duration_s):
        """Record a duration in seconds."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(MIN_US, MAX_US, SIGNIFICANT_DIGITS)
            self.histograms[name] = histogram
        value_us = int(duration_s * 1e6)
        histogram.record_value(min(max(value_us, MIN_US), MAX_US))

    def quantile_s(self, name, percent):
        """Return a percentile in seconds, or 0 if nothing was recorded."""
        histogram = self.histograms.get(name)
        if histogram is None:
            return 0.0
        return histogram.get_value_at_percentile(percent) / 1e6

    def render(self):
        """Return all metrics in the Prometheus text format."""
        prefix = f'pimentowalk_{self.program}'
        lines = []
        for name, value in sorted(self.counters.items()):
            lines.append(f'# TYPE {prefix}_{name}_total counter')
            lines.append(f'{prefix}_{name}_total {value}')
        for name, read in sorted(self.gauges.items()):
            lines.append(f'# TYPE {prefix}_{name} gauge')
            lines.append(f'{prefix}_{name} {read()}')
        for name in sorted(self.histograms):
            lines.extend(self._render_histogram(f'{prefix}_{name}', name))
        return '\n'.join(lines) + '\n'

    def _render_histogram(self, full_name, name):
        histogram = self.histograms[name]
        count = histogram.get_total_count()
        total_s = histogram.get_mean_value() * count / 1e6
        yield f'# TYPE {full_name}_seconds summary'
        for percent in PERCENTILES:
            value_s = self.quantile_s(name, percent)
            label = f'quantile="{percent / 100}"'
            yield f'{full_name}_seconds{{{label}}} {value_s}'
        yield f'{full_name}_seconds_sum {total_s}'
        yield f'{full_name}_seconds_count {count}'
