"""Servers whose answers have become slow without more work."""

import collections

# A server is slow if the mean slowdown of its latest requests is above this
# times the load that it has relative to a warm one. Servers with more to do
# are slow for that reason. The slowdown of each is capped, so that two long
# requests among them are no reason.
SLOW_RATIO = 1.8
LATEST = 5
COUNTED_SLOWDOWN = 3.0
MAX_SLOWDOWN = 10.0
# A request counts while it has no answer if it is this late.
OVERDUE_RATIO = 2.0


def slowdown(probe, now_s):
    """Return the time of a request so far relative to the prediction."""
    return min((now_s - probe.begun_s) / probe.expected_s, MAX_SLOWDOWN)


class SlowSpells:
    """Keep the latest requests of each server that is not being paced."""

    def __init__(self):
        self._ended = {}
        self._open = {}

    def begin(self, probe):
        """Record a request at one server."""
        server_id = probe.backends[0].server_id
        self._open.setdefault(server_id, []).append(probe)

    def end(self, probe, now_s, *, is_answered):
        """Record the answer to a request, or that there is none."""
        server_id = probe.backends[0].server_id
        probes = self._open.get(server_id, [])
        if probe in probes:
            probes.remove(probe)
        if is_answered:
            latest = collections.deque(maxlen=LATEST)
            self._ended.setdefault(server_id, latest).append(
                slowdown(probe, now_s)
            )

    def is_slow(self, server_id, now_s, usual=1.0):
        """Return whether a server is slower than its load explains.

        `usual` is the slowdown that its load explains.
        """
        found = list(self._ended.get(server_id, ()))
        overdue = (
            slowdown(probe, now_s)
            for probe in self._open.get(server_id, ())[:LATEST]
        )
        found += [x for x in overdue if x > OVERDUE_RATIO * usual]
        latest = [min(x / usual, COUNTED_SLOWDOWN) for x in found[-LATEST:]]
        return len(latest) == LATEST and sum(latest) > LATEST * SLOW_RATIO

    def forget(self, server_id):
        """Forget the requests of a server."""
        self._ended.pop(server_id, None)
        self._open.pop(server_id, None)

    def keep_only(self, server_ids):
        """Drop the state of all servers except these."""
        for table in (self._ended, self._open):
            for server_id in table.keys() - server_ids:
                del table[server_id]
