"""The departures of backend servers and the announcements that caused them."""

import attrs

from pimentowalk.topology import backends

# An incarnation that leaves is remembered this long after it was removed. It
# may answer for many seconds, or be cut off and announce itself as ready after
# the partition, and nodes that were cut off or down learn of it later.
RETENTION_S = 600.0
MAX_DEPARTURES = 10_000
# Older releases do not tell what ended a server.
UNKNOWN_CAUSE = ''


@attrs.frozen
class Departure:
    """The last announcement of a server that left, and when it left."""

    backend: backends.Backend
    left_s: float

    @property
    def cause(self):
        """Return the service of the announcement that ended the server."""
        is_gone = self.backend.state == backends.GONE
        return self.backend.ended_by if is_gone else self.backend.service

    @property
    def is_own(self):
        """Return whether the server itself has announced that it leaves."""
        return self.cause == self.backend.service

    def covers(self, backend):
        """Return whether an announcement is older than the departure."""
        left = self.backend
        if left.state == backends.GONE:
            return backend.born_ms <= left.born_ms
        if backend.state == backends.GONE:
            return backend.born_ms < left.born_ms
        return backend.order <= left.order


class Departures:
    """Keep the departures of each server, one for each service that caused it.

    Whether a server is replaced by one of another service depends on the
    configuration, so that it is decided whenever it is asked:
    `is_named(service)` returns whether the configuration in force names a
    service, None if there is no configuration.
    """

    def __init__(self, is_named):
        self._is_named = is_named
        self._by_identity = {}

    def add(self, backend, left_s):
        """Record a departure; return whether it is new."""
        departure = Departure(backend, left_s)
        by_cause = self._by_identity.setdefault(backend.identity, {})
        known = by_cause.get(departure.cause)
        if known is not None and known.covers(backend):
            return False
        by_cause[departure.cause] = departure
        return True

    def of(self, backend):
        """Return the departures of a server that cover an announcement."""
        by_cause = self._by_identity.get(backend.identity, {})
        return [d for d in by_cause.values() if d.covers(backend)]

    def holds(self, departure):
        """Return whether a departure counts with the present configuration."""
        if departure.is_own or departure.cause == UNKNOWN_CAUSE:
            return True
        return self._is_named(departure.cause) is True

    def in_force(self, backend):
        """Return a departure that ended an announced server, or None."""
        return next((d for d in self.of(backend) if self.holds(d)), None)

    def own(self, backend):
        """Return the departure that a server has announced, or None."""
        return next((d for d in self.of(backend) if d.is_own), None)

    def unattributed(self, backend):
        """Return the departure of which the cause is unknown, or None."""
        found = (d for d in self.of(backend) if d.cause == UNKNOWN_CAUSE)
        return next(found, None)

    def attribute(self, departure, cause):
        """Record which service caused a departure of unknown cause."""
        backend = departure.backend
        del self._by_identity[backend.identity][departure.cause]
        self.add(backend.as_gone(cause), departure.left_s)

    def all(self):
        """Return all departures, also those that do not count now."""
        return [
            departure
            for by_cause in self._by_identity.values()
            for departure in by_cause.values()
        ]

    def of_id(self, server_id):
        """Return what the servers with an id were that have left.

        Those that were replaced by another service are left out.
        """
        return [
            departure.backend
            for departure in self.all()
            if departure.backend.server_id == server_id
            and not departure.backend.is_inferred
        ]

    def forget_old(self, now_s):
        """Forget those that are old or too many; return their servers.

        Of too many, those that do not count now are forgotten first.
        """
        ranked = sorted(
            self.all(), key=lambda d: (not self.holds(d), -d.left_s)
        )
        oldest_s = now_s - RETENTION_S
        kept = [d for d in ranked[:MAX_DEPARTURES] if d.left_s >= oldest_s]
        if len(kept) == len(ranked):
            return set()
        self._by_identity = {}
        for departure in kept:
            by_cause = self._by_identity.setdefault(
                departure.backend.identity, {}
            )
            by_cause[departure.cause] = departure
        known = {departure.backend for departure in kept}
        return {
            departure.backend.identity
            for departure in ranked
            if departure.backend not in known
        }
