"""Requests that crash their backend servers, counted over all nodes."""

import collections

# After this many crashes a request is refused. Requests that were only in
# flight beside it at a crash are seldom so unlucky three times.
QUARANTINE_CRASHES = 3
KEPT_S = 120.0
MAX_KEPT = 10_000


class CrashTracker:
    """Count the distinct incarnations that a request crashed.

    A crash is a failed run whose server was then found dead. It counts for
    all requests that ran there.
    """

    def __init__(self, now_s):
        self._now_s = now_s
        self._crashes = collections.OrderedDict()

    def record(self, fingerprint, server_id, born_ms):
        """Count a crash; return whether it is news."""
        if not fingerprint:
            return False
        known = self._crashes.pop(fingerprint, None) or {}
        self._crashes[fingerprint] = known
        is_news = (server_id, born_ms) not in known
        known[(server_id, born_ms)] = self._now_s()
        while len(self._crashes) > MAX_KEPT:
            self._crashes.popitem(last=False)
        return is_news

    def clear(self, fingerprint):
        """Forget a request that has run to its end."""
        self._crashes.pop(fingerprint, None)

    def is_quarantined(self, fingerprint):
        """Return whether a request is refused."""
        known = self._crashes.get(fingerprint)
        if not known:
            return False
        recent_s = self._now_s() - KEPT_S
        recent = [at_s for at_s in known.values() if at_s > recent_s]
        return len(recent) >= QUARANTINE_CRASHES
