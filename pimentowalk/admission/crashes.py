"""Quarantine of requests that crash backend servers, over all nodes."""

import collections

# A request is rejected after this many crashes. Other requests that happen to
# run on the same server are rarely present at three crashes.
QUARANTINE_CRASHES = 3
CRASH_EXPIRY_S = 120.0
MAX_FINGERPRINTS = 10_000


class CrashTracker:
    """Count the distinct server incarnations that each request crashed.

    A crash is a failed run after which the server was found dead. It counts
    for every request that was running there.
    """

    def __init__(self, now_s):
        self._now_s = now_s
        self._crashes = collections.OrderedDict()

    def record(self, fingerprint, server_id, born_ms):
        """Record a crash; return whether it was unknown before."""
        if not fingerprint:
            return False
        crash_times = self._crashes.pop(fingerprint, None) or {}
        self._crashes[fingerprint] = crash_times
        is_new = (server_id, born_ms) not in crash_times
        crash_times[(server_id, born_ms)] = self._now_s()
        while len(self._crashes) > MAX_FINGERPRINTS:
            self._crashes.popitem(last=False)
        return is_new

    def clear(self, fingerprint):
        """Drop a request that ran to completion."""
        self._crashes.pop(fingerprint, None)

    def is_quarantined(self, fingerprint):
        """Return whether a request must be rejected."""
        crash_times = self._crashes.get(fingerprint)
        if not crash_times:
            return False
        recent_s = self._now_s() - CRASH_EXPIRY_S
        recent = [at_s for at_s in crash_times.values() if at_s > recent_s]
        return len(recent) >= QUARANTINE_CRASHES
