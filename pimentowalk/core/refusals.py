"""Count refusals, and log each kind of them at a bounded rate."""

import collections
import logging

from pimentowalk.core import logs

LOG = logging.getLogger(__name__)

# Untrusted clients may cause thousands of refusals a second.
LOG_INTERVAL_S = 10.0


class Refusals:
    """Count and log what was refused, with the limit that caused it."""

    def __init__(self, now_s, metrics=None):
        self._now_s = now_s
        self._metrics = metrics
        self._logged_s = {}
        self._since_logged = collections.Counter()

    def record(self, kind, setting, limit):
        """Count a refusal; `setting` names the limit that caused it."""
        if self._metrics is not None:
            self._metrics.count(f'client_refusals_{kind}')
        self._since_logged[kind] += 1
        now_s = self._now_s()
        if now_s - self._logged_s.get(kind, -LOG_INTERVAL_S) < LOG_INTERVAL_S:
            return
        self._logged_s[kind] = now_s
        LOG.warning(
            'client refused: %s',
            kind,
            extra=logs.fields(
                step='intake',
                setting=setting,
                limit=limit,
                count=self._since_logged.pop(kind),
            ),
        )
