"""Crash suspects: requests that were in flight when an engine crashed."""

import collections

import attrs

# A crash adds at most a few hundred fingerprints; the oldest are evicted.
MAX_SUSPECTS = 10_000


@attrs.frozen
class InFlightRequest:
    """A request that was in flight when its engine crashed."""

    fingerprint: int
    account: str
    request_id: bytes
    attempt: int


class SuspectTable:
    """Fingerprints of requests that were in flight at a crash.

    An engine runs one suspect at a time, so that a further crash has a single
    possible cause. A suspect that completes is cleared. Fingerprint 0 means
    that the sender gave none.

    >>> suspects = SuspectTable()
    >>> suspects.record_crash([InFlightRequest(7, 'account-1', b'', 1)])
    >>> suspects.is_suspect(7)
    True
    >>> suspects.clear(7)
    >>> suspects.is_suspect(7)
    False
    """

    def __init__(self):
        self.crashes = collections.OrderedDict()

    def record_crash(self, in_flight):
        """Count a crash for each fingerprint, once per crash."""
        for fingerprint in {item.fingerprint for item in in_flight}:
            if fingerprint:
                count = self.crashes.pop(fingerprint, 0)
                self.crashes[fingerprint] = count + 1
        while len(self.crashes) > MAX_SUSPECTS:
            self.crashes.popitem(last=False)

    def clear(self, fingerprint):
        """Drop a fingerprint whose request ran to completion."""
        self.crashes.pop(fingerprint, None)

    def is_suspect(self, fingerprint):
        """Return whether the fingerprint was in flight at a crash."""
        return fingerprint in self.crashes
