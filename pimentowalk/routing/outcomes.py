"""Recent failure rates of backend servers, as observed by this node."""

# The weight of a failure halves in this time, so that a recovered server is
# used again within seconds.
HALF_LIFE_S = 3.0
# Successful calls assumed in advance, so that a single failure has little
# effect on the rate of a new server.
PRIOR_SUCCESSES = 2.0


class OutcomeTracker:
    """Keep decaying counts of calls and failures by server.

    A server may fail some calls while its health check passes, or the other
    way round, so only the outcomes that callers see are counted.
    """

    def __init__(self, now_s):
        self._now_s = now_s
        self._counts = {}

    def record(self, server_id, *, failed):
        """Record the outcome of a call."""
        calls, failures = self._decayed(server_id)
        self._counts[server_id] = (
            self._now_s(),
            calls + 1,
            failures + bool(failed),
        )

    def failure_share(self, server_id):
        """Return the share of recent calls that failed, 0 to 1."""
        calls, failures = self._decayed(server_id)
        return failures / (calls + PRIOR_SUCCESSES)

    def _decayed(self, server_id):
        counts = self._counts.get(server_id)
        if counts is None:
            return 0.0, 0.0
        at_s, calls, failures = counts
        factor = 0.5 ** ((self._now_s() - at_s) / HALF_LIFE_S)
        return calls * factor, failures * factor

    def keep_only(self, server_ids):
        """Drop the counts of all servers except these."""
        for server_id in self._counts.keys() - server_ids:
            del self._counts[server_id]
