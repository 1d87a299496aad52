"""Questions about the backend servers that a node knows."""

import attrs

from pimentowalk.membership import departures as membership_departures
from pimentowalk.membership import records as membership_records
from pimentowalk.topology import backends


class BackendView:
    """Answer questions about announced servers; change none.

    `is_named(service)` returns whether the configuration in force names a
    service, None if there is no configuration.
    """

    def __init__(self, now_s, is_named):
        self.now_s = now_s
        self._is_named = is_named
        self._index = membership_records.RecordIndex()
        self._departures = membership_departures.Departures(is_named)
        # Age for other nodes of an announcement that was just restored.
        self.restored_age_s = 0.0

    def is_named(self, service):
        """Return whether the configuration in force names a service."""
        return self._is_named(service) is True

    def has_failed(self, backend):
        """Return whether an incarnation is suspect or was replaced.

        A server that is no longer known may still finish its requests.
        """
        record = self._index.get(backend.identity)
        if record is None or record.is_replaced:
            return False
        return record.backend.born_ms != backend.born_ms or record.is_suspect

    def suspected_s(self, backend):
        """Return since when an incarnation is suspect, or None."""
        record = self._present(backend)
        return record.suspect_since_s if record is not None else None

    def is_down(self, backend):
        """Return whether an incarnation refuses connections or was replaced.

        A suspect that is merely silent may only be cut off.
        """
        record = self._present(backend)
        if record is not None:
            return record.is_suspect and record.is_down
        return self._was_replaced(backend)

    def has_crashed(self, backend):
        """Return whether the requests of this node at an incarnation are lost.

        Another node that it refuses may be cut off from it. A draining server
        may accept no connections any more, and finish its requests.
        """
        record = self._present(backend)
        if record is not None:
            is_confirmed = record.is_suspect and record.is_confirmed
            return is_confirmed and not self.is_draining(backend)
        return self._was_replaced(backend)

    def is_draining(self, backend):
        """Return whether an incarnation accepts no new work."""
        record = self._present(backend)
        return record is not None and record.backend.state == backends.DRAINING

    def _incarnation(self, backend):
        """Return the record of an incarnation, or None."""
        record = self._index.get(backend.identity)
        is_same = record and record.backend.born_ms == backend.born_ms
        return record if is_same else None

    def _present(self, backend):
        """Return the record of an incarnation unless it is replaced."""
        record = self._incarnation(backend)
        return record if record and not record.is_replaced else None

    def _was_replaced(self, backend):
        successor = self.at_address(backend.address)
        return successor is not None and successor.born_ms > backend.born_ms

    def is_healthy(self, backend):
        """Return whether an incarnation is known and not suspect."""
        record = self._present(backend)
        return record is not None and not record.is_suspect

    def records(self):
        """Return the records of the servers that are used."""
        return [r for r in self._index.all() if not r.unused_reason]

    def all_records(self):
        """Return all records, also those of servers that are not used."""
        return self._index.all()

    def identities(self):
        """Return the id and service of each announced server."""
        return set(self._index.identities())

    def get(self, server_id):
        """Return the backend server with an id, or None.

        A server that is used precedes others that were announced under its id.
        """
        found = [r for r in self._index.of_id(server_id) if not r.is_replaced]
        newest = max(
            found,
            key=lambda r: (not r.unused_reason, r.backend.order),
            default=None,
        )
        return newest.backend if newest else None

    def current(self, backend):
        """Return the newest announcement of a server, None if replaced."""
        record = self._index.get(backend.identity)
        is_present = record is not None and not record.is_replaced
        return record.backend if is_present else None

    def announced_as(self, server_id):
        """Return all that was announced under an id, or has left."""
        present = [r.backend for r in self._index.of_id(server_id)]
        services = {backend.service for backend in present}
        return present + [
            backend
            for backend in self._departures.of_id(server_id)
            if backend.service not in services
        ]

    def at_address(self, address):
        """Return the newest backend server at an address, or None."""
        found = [
            record.backend
            for record in self._index.at_address(address)
            if not record.is_replaced and self.is_named(record.backend.service)
        ]
        return max(found, key=lambda b: b.born_ms, default=None)

    def usable(self, service):
        """Return the servers of a service that accept new work."""
        return [
            record.backend
            for record in self._index.all()
            if record.backend.service == service
            and record.backend.state == backends.READY
            and not record.is_suspect
            and not record.unused_reason
        ]

    def has_suspects(self, service):
        """Return whether any server of a service is suspect."""
        return any(
            record.is_suspect
            for record in self.records()
            if record.backend.service == service
        )

    def announcements(self):
        """Return all announcements with their current ages."""
        return [
            attrs.evolve(
                record.backend,
                heard_ms=int(self._age_s(record) * 1000),
                is_restored=record.restored_s is not None,
            )
            for record in self._index.all()
        ]

    def _age_s(self, record):
        """Return the age of an announcement for other nodes."""
        if record.restored_s is None:
            return self.now_s() - record.heard_s
        # An answer that this node asked for is no announcement.
        return self.now_s() - record.restored_s + self.restored_age_s

    def departures(self):
        """Return the departures in force, with ages, for other nodes."""
        return self._with_ages(
            d for d in self._departures.all() if self._departures.holds(d)
        )

    def saved_departures(self):
        """Return all departures with ages, for a file."""
        return self._with_ages(self._departures.all())

    def with_keys(self, keys):
        """Return the announcements of incarnations with these keys."""
        wanted = set(keys)
        return [b for b in self.announcements() if b.key in wanted]

    def _with_ages(self, departures):
        now_s = self.now_s()
        return [
            attrs.evolve(
                departure.backend,
                heard_ms=max(0, int((now_s - departure.left_s) * 1000)),
            )
            for departure in departures
        ]

    def all_departures(self):
        """Return the departures and the servers that are known to drain."""
        return [
            backend
            for backend in self.announcements()
            if backend.state != backends.READY
        ] + self.departures()
