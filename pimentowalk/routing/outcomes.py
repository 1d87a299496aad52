"""How often calls failed at each server lately, as this node saw it."""

# A failure counts half after this time, so that a server that recovered is
# used again within seconds.
HALF_LIFE_S = 3.0
# Successes that a new server is given, so that one failure says little.
PRIOR_SUCCESSES = 2.0


class OutcomeTracker:
    """Keep decaying counts of calls and failures.

    A server may fail a part of its calls while its own health check is
    good, or the other way round; only what callers see counts.
    """

    def __init__(self, now_s):
        self._now_s = now_s
        self._counts = {}

    def record(self, server_id, *, failed):
        """Count a call that ended."""
        calls, failures = self._decayed(server_id)
        self._counts[server_id] = (
            self._now_s(),
            calls + 1,
            failures + bool(failed),
        )

    def failure_share(self, server_id):
        """Return the share of failed calls, 0 to 1."""
        calls, failures = self._decayed(server_id)
        return failures / (calls + PRIOR_SUCCESSES)

    def _decayed(self, server_id):
        known = self._counts.get(server_id)
        if known is None:
            return 0.0, 0.0
        at_s, calls, failures = known
        factor = 0.5 ** ((self._now_s() - at_s) / HALF_LIFE_S)
        return calls * factor, failures * factor

    def keep_only(self, server_ids):
        """Forget servers that are gone."""
        for server_id in self._counts.keys() - server_ids:
            del self._counts[server_id]
