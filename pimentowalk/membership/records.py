"""The newest announcement and the health of each backend server."""

import attrs

from pimentowalk.topology import backends

# Minimum time before a new announcement clears a suspicion; an announcement
# sent before the failure can arrive after it.
MIN_SUSPECT_S = 1.5


@attrs.define(eq=False)
class Record:
    """The newest announcement and the health of one backend server.

    `is_down` tells of a suspect that its host refuses connections,
    `is_confirmed` that it refuses those of this node.
    `restored_s` is when the announcement was restored from a file, None once
    the server has announced itself since then. `unused_reason` tells why the
    server gets no work although it announces itself, and is empty otherwise;
    `is_replaced` tells that the reason is a newer server.
    """

    backend: backends.Backend
    heard_s: float
    suspect_since_s: float | None = None
    suspect_sequence: int = 0
    is_down: bool = False
    is_confirmed: bool = False
    restored_s: float | None = None
    unused_reason: str = ''
    is_replaced: bool = False

    @property
    def is_suspect(self):
        """Return whether the server is excluded from new work."""
        return self.suspect_since_s is not None

    def update_heard(self, heard_s):
        """Record that the server announced itself at a time."""
        self.heard_s = max(self.heard_s, heard_s)
        if self.restored_s is not None and heard_s > self.restored_s:
            self.restored_s = None

    def suspect(self, now_s, *, is_down, is_reported):
        """Exclude the server from new work; return whether this is new."""
        is_new = not self.is_suspect
        is_confirmed = is_down and not is_reported
        self.is_down = is_down or (self.is_down and not is_new)
        self.is_confirmed = is_confirmed or (self.is_confirmed and not is_new)
        self.suspect_since_s = now_s
        self.suspect_sequence = self.backend.sequence
        return is_new

    def clear_suspicion(self, now_s):
        """End a suspicion older than the announcement; return whether so."""
        is_cleared = (
            self.is_suspect
            and now_s - self.suspect_since_s >= MIN_SUSPECT_S
            and self.backend.sequence > self.suspect_sequence
        )
        if is_cleared:
            self.suspect_since_s = None
        return is_cleared


class RecordIndex:
    """Find records by identity, server id, address or heartbeat key.

    Another writer may announce a server under the id of a known one, so that
    a server is identified by its id and its service.
    """

    def __init__(self):
        self._by_identity = {}
        self._by_id = {}
        self._by_address = {}
        self._by_key = {}

    def __len__(self):
        return len(self._by_identity)

    def all(self):
        """Return all records."""
        return list(self._by_identity.values())

    def identities(self):
        """Return the id and service of each record."""
        return self._by_identity.keys()

    def get(self, identity):
        """Return the record of an identity, or None."""
        return self._by_identity.get(identity)

    def of_id(self, server_id):
        """Return the records with a server id."""
        return self._find(self._by_id, server_id)

    def at_address(self, address):
        """Return the records with an address."""
        return self._find(self._by_address, address)

    def with_key(self, key):
        """Return the records with a heartbeat key."""
        return self._find(self._by_key, key)

    def put(self, record):
        """Add a record, in place of one with the same identity."""
        identity = record.backend.identity
        self.remove(identity)
        self._by_identity[identity] = record
        for places, value in self._places(record.backend):
            places.setdefault(value, set()).add(identity)

    def update(self, record, backend):
        """Replace the announcement of a record."""
        if record.backend.address == backend.address:
            record.backend = backend
            return
        self.remove(record.backend.identity)
        record.backend = backend
        self.put(record)

    def remove(self, identity):
        """Remove and return a record, None if there is none."""
        record = self._by_identity.pop(identity, None)
        if record is not None:
            for places, value in self._places(record.backend):
                places[value].discard(identity)
                if not places[value]:
                    del places[value]
        return record

    def _places(self, backend):
        return (
            (self._by_id, backend.server_id),
            (self._by_address, backend.address),
            (self._by_key, backend.key),
        )

    def _find(self, places, value):
        return [self._by_identity[i] for i in places.get(value, ())]
