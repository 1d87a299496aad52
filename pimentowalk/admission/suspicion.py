"""Requests that were in flight when an engine crashed."""

import collections

import attrs

# A crash adds at most a few hundred fingerprints; the oldest go first.
MAX_SUSPECTS = 10_000


@attrs.frozen
class InFlightRequest:
    """One request that an engine had when it crashed."""

    fingerprint: int
    account: str
    request_id: bytes
    attempt: int


class SuspectTable:
    """Remember the fingerprints of requests in flight at a crash.

    An engine runs one suspect at a time, so that a second crash has one
    possible cause. Completion clears a suspect. Fingerprint 0 means that
    the sender gave none.

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
        """Add suspicion to each fingerprint, once for one crash."""
        for fingerprint in {item.fingerprint for item in in_flight}:
            if fingerprint:
                count = self.crashes.pop(fingerprint, 0)
                self.crashes[fingerprint] = count + 1
        while len(self.crashes) > MAX_SUSPECTS:
            self.crashes.popitem(last=False)

    def clear(self, fingerprint):
        """Clear a fingerprint whose request has run to its end."""
        self.crashes.pop(fingerprint, None)

    def is_suspect(self, fingerprint):
        """Return whether this fingerprint was in flight at a crash."""
        return fingerprint in self.crashes
