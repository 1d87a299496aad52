"""The backend servers that a node knows from their announcements."""

import logging

import attrs

from pimentowalk.core import logs
from pimentowalk.topology import backends

LOG = logging.getLogger(__name__)

# A backend server expires after this many announcement periods without an
# announcement; single announcements may be seconds late.
EXPIRY_PERIODS = 3.5
# An incarnation that leaves is remembered this long after it was removed. It
# may answer for many seconds, or be cut off and announce itself as ready after
# the partition, and nodes that were cut off or down learn of it later.
DEPARTURE_RETENTION_S = 600.0
MAX_DEPARTURES = 10_000
# Interval at which old departures are looked for.
CLEANUP_INTERVAL_S = 10.0
# Minimum time before a new announcement clears a suspicion; an announcement
# sent before the failure can arrive after it.
MIN_SUSPECT_S = 1.5
# The table is complete after this many announcement periods: every working
# server announces itself within one; the rest covers the relay over another
# node.
COMPLETE_PERIODS = 1.25
# A server that a node knew before its restart is dropped if it has not
# announced itself this many periods later. That it answers proves nothing: it
# may have left while the node was down.
RESTORED_PERIODS = 2.5

# The index is built anew when it is this many times larger than the table.
MAX_INDEX_FACTOR = 2


@attrs.define
class Record:
    """The newest announcement and the health of one backend server.

    `is_down` tells of a suspect that its host refuses connections,
    `is_confirmed` that it refuses those of this node.
    `restored_s` is when the announcement was restored from a file, None once
    the server has announced itself since then.
    """

    backend: backends.Backend
    heard_s: float
    suspect_since_s: float | None = None
    suspect_sequence: int = 0
    is_down: bool = False
    is_confirmed: bool = False
    restored_s: float | None = None

    def update_heard(self, heard_s):
        """Record that the server announced itself at a time."""
        self.heard_s = max(self.heard_s, heard_s)
        if self.restored_s is not None and heard_s > self.restored_s:
            self.restored_s = None


@attrs.frozen
class Departure:
    """The last announcement of a server that left, and when it left."""

    backend: backends.Backend
    left_s: float


class BackendTable:
    """Keep the newest announcement of each backend server.

    `generation` increases with each change of the usable servers. An
    announcement for a service that is not `is_named(service)` may come from a
    faulty writer, and tells nothing of the other servers.
    """

    def __init__(self, now_s, period_s, is_named=lambda service: True):
        self.now_s = now_s
        self._is_named = is_named
        self._period_s = period_s
        self._records = {}
        self._departures = {}
        self._cleaned_s = now_s()
        # Incarnations whose answers said that they leave, and when.
        self._leaving = {}
        self._ids_by_key = {}
        self._ids_by_address = {}
        self._callbacks = []
        self.generation = 0
        self._last_heard_s = float('-inf')
        self.expiry_s = EXPIRY_PERIODS * period_s
        self.complete_after_s = COMPLETE_PERIODS * period_s
        # A restored server that is not heard soon expires.
        self.restored_age_s = self.expiry_s - self.complete_after_s
        self._complete_from_s = now_s() + self.complete_after_s

    @property
    def is_complete(self):
        """Return whether all working servers should be in the table."""
        return self.now_s() >= self._complete_from_s

    def on_change(self, callback):
        """Call `callback()` after each change of the usable servers."""
        self._callbacks.append(callback)

    def _notify(self):
        self.generation += 1
        for callback in self._callbacks:
            callback()

    def apply(self, backend, age_s=0.0):
        """Apply an announcement of some age; return whether it is new."""
        if backend.is_restored:
            return self.restore(backend, age_s)
        if backend.is_leaving:
            self.mark_leaving(backend)
        backend = self.with_mark(backend)
        record = self._records.get(backend.server_id)
        if self._is_outdated(record, backend):
            self._update_heard(record, backend, age_s)
            return False
        self._last_heard_s = self.now_s()
        now_s = self.now_s()
        heard_s = now_s - age_s
        if backend.state == backends.GONE:
            self._remove(backend, heard_s)
            return True
        if record is None or record.backend.born_ms != backend.born_ms:
            self._records[backend.server_id] = Record(backend, heard_s)
            self._index(backend)
            self._remove_predecessors(backend)
            self._log('backend server joined', backend)
            self._notify()
            return True
        previous = record.backend
        record.backend = backend
        if previous.address != backend.address:
            self._index(backend)
        record.update_heard(heard_s)
        is_changed = _without_times(previous) != _without_times(backend)
        if is_changed:
            self._log('backend server changed', backend)
        if self._clears_suspicion(record, now_s):
            record.suspect_since_s = None
            is_changed = True
        if is_changed:
            self._notify()
        return True

    def restore(self, backend, age_s):
        """Apply what a node saved before a restart; return whether it is new.

        Its age is `restored_age_s` when that node restarts, and tells other
        nodes when that was.
        """
        backend = attrs.evolve(backend, is_restored=False)
        record = self._records.get(backend.server_id)
        if record is not None and backend.order <= record.backend.order:
            return False
        is_new = self.apply(backend, age_s)
        record = self._records.get(backend.server_id)
        if is_new and record is not None:
            restored_s = self.now_s() - max(0.0, age_s - self.restored_age_s)
            record.restored_s = restored_s
        return is_new

    def mark_leaving(self, backend):
        """Record that an incarnation leaves; return whether this is new.

        It gets no new work, whatever it announces. A later incarnation with
        the same id or address does.
        """
        known_ms, _ = self._leaving.get(backend.server_id, (-1, 0.0))
        self._leaving[backend.server_id] = (
            max(known_ms, backend.born_ms),
            self.now_s(),
        )
        if backend.born_ms <= known_ms:
            return False
        record = self._records.get(backend.server_id)
        if record is not None and record.backend.born_ms == backend.born_ms:
            record.backend = self.with_mark(record.backend)
            self._log('backend server says that it leaves', record.backend)
            self._notify()
        return True

    def with_mark(self, backend):
        """Return an announcement as draining if its incarnation leaves."""
        born_ms, _ = self._leaving.get(backend.server_id, (-1, 0.0))
        if backend.born_ms != born_ms or backend.state == backends.GONE:
            return backend
        return attrs.evolve(backend, state=backends.DRAINING, is_leaving=True)

    def apply_heartbeat(self, key, sequence, age_s=0.0):
        """Apply an announcement that changes nothing but its times.

        Returns whether the incarnation with this key is known.
        """
        record = self._records.get(self._ids_by_key.get(key))
        if record is None or record.backend.key != key:
            return False
        now_s = self.now_s()
        record.update_heard(now_s - age_s)
        if sequence <= record.backend.sequence:
            return True
        self._last_heard_s = now_s
        record.backend = attrs.evolve(record.backend, sequence=sequence)
        if self._clears_suspicion(record, now_s):
            record.suspect_since_s = None
            self._notify()
        return True

    def with_keys(self, keys):
        """Return the announcements of incarnations with these keys."""
        wanted = set(keys)
        return [b for b in self.announcements() if b.key in wanted]

    def _index(self, backend):
        self._ids_by_key[backend.key] = backend.server_id
        ids = self._ids_by_address.setdefault(backend.address, set())
        ids.add(backend.server_id)

    def _prune_index(self):
        """Drop the keys and addresses of servers that are gone."""
        if len(self._ids_by_key) <= MAX_INDEX_FACTOR * len(self._records):
            return
        self._ids_by_key.clear()
        self._ids_by_address.clear()
        for record in self._records.values():
            self._index(record.backend)

    def _update_heard(self, record, backend, age_s):
        """Record when another node heard the same announcement."""
        if record is not None and backend.order == record.backend.order:
            record.update_heard(self.now_s() - age_s)

    def _is_outdated(self, record, backend):
        if self._is_before_departure(backend):
            return True
        if record is None:
            return False
        is_other = backend.service != record.backend.service
        if is_other and not self._is_named(backend.service):
            return True
        if backend.state == backends.GONE:
            return backend.born_ms < record.backend.born_ms
        return backend.order <= record.backend.order

    def _is_before_departure(self, backend):
        """Return whether an announcement is older than a departure."""
        departure = self._departures.get(backend.server_id)
        if departure is None:
            return False
        left = departure.backend
        if left.state == backends.GONE:
            return backend.born_ms <= left.born_ms
        if backend.state == backends.GONE:
            return backend.born_ms < left.born_ms
        return backend.order <= left.order

    def _clears_suspicion(self, record, now_s):
        return (
            record.suspect_since_s is not None
            and now_s - record.suspect_since_s >= MIN_SUSPECT_S
            and record.backend.sequence > record.suspect_sequence
        )

    def _remove_predecessors(self, backend):
        """Remove older servers at the address of a new incarnation."""
        if not self._is_named(backend.service):
            return
        for other in self._all_at_address(backend.address):
            if (
                other.server_id != backend.server_id
                and other.born_ms < backend.born_ms
            ):
                del self._records[other.server_id]
                gone = attrs.evolve(other, state=backends.GONE)
                self._add_departure(gone, self.now_s())

    def _remove(self, backend, left_s):
        record = self._records.pop(backend.server_id, None)
        self._add_departure(backend, left_s)
        if record is not None:
            self._log('backend server left', record.backend)
            self._notify()

    def _add_departure(self, backend, left_s):
        self._departures[backend.server_id] = Departure(backend, left_s)

    def _forget_departures(self):
        """Forget the departures that are old or too many."""
        now_s = self.now_s()
        if now_s - self._cleaned_s < CLEANUP_INTERVAL_S:
            return
        self._cleaned_s = now_s
        oldest_s = now_s - DEPARTURE_RETENTION_S
        newest = sorted(self._departures.values(), key=lambda d: -d.left_s)
        self._departures = {
            departure.backend.server_id: departure
            for departure in newest[:MAX_DEPARTURES]
            if departure.left_s >= oldest_s
        }

    def expire(self, verify=None):
        """Remove servers whose announcements have stopped.

        A ready server is passed to `verify(backend)` instead, if given: its
        announcements may have been lost between other nodes. The callback
        must call `confirm` or `drop`.
        """
        now_s = self.now_s()
        self._forget_departures()
        for server_id, (_, marked_s) in list(self._leaving.items()):
            is_known = server_id in self._records
            if not is_known and now_s - marked_s > DEPARTURE_RETENTION_S:
                del self._leaving[server_id]
        self._prune_index()
        # If no server is heard, this node is partitioned or was suspended,
        # and its last view is the best one.
        if now_s - self._last_heard_s > self._period_s:
            return
        restored_s = now_s - RESTORED_PERIODS * self._period_s
        for record in list(self._records.values()):
            if record.restored_s is not None and (
                record.restored_s < restored_s
            ):
                self.drop(record.backend)
                continue
            if now_s - record.heard_s <= self.expiry_s:
                continue
            is_ready = record.backend.state == backends.READY
            if verify and is_ready and record.suspect_since_s is None:
                verify(record.backend)
            else:
                self.drop(record.backend)

    def confirm(self, backend):
        """Record that a server has answered this node directly."""
        record = self._records.get(backend.server_id)
        if record is not None and record.backend.born_ms == backend.born_ms:
            record.heard_s = self.now_s()

    def drop(self, backend):
        """Remove an expired incarnation; it may announce itself again."""
        record = self._records.get(backend.server_id)
        if record is None or record.backend.born_ms != backend.born_ms:
            return
        del self._records[backend.server_id]
        if record.backend.state != backends.READY:
            # Nodes that were cut off since may know it as ready.
            self._add_departure(record.backend, record.heard_s)
        self._log(
            'backend server is silent',
            record.backend,
            silent_s=round(self.now_s() - record.heard_s, 2),
        )
        self._notify()

    def suspect(
        self, server_id, born_ms, reason, *, is_down=False, is_reported=False
    ):
        """Exclude a server from new work; return whether this is new.

        With `is_reported`, the suspicion is that of another node.
        """
        record = self._records.get(server_id)
        if record is None or record.backend.born_ms != born_ms:
            return False
        is_new = record.suspect_since_s is None
        is_confirmed = is_down and not is_reported
        record.is_down = is_down or (record.is_down and not is_new)
        record.is_confirmed = is_confirmed or (
            record.is_confirmed and not is_new
        )
        record.suspect_since_s = self.now_s()
        record.suspect_sequence = record.backend.sequence
        if is_new:
            self._log('suspect', record.backend, reason=reason)
            self._notify()
        return is_new

    def has_failed(self, backend):
        """Return whether an incarnation is suspect or was replaced.

        A server that is no longer known may still finish its requests.
        """
        record = self._records.get(backend.server_id)
        if record is None:
            return False
        return (
            record.backend.born_ms != backend.born_ms
            or record.suspect_since_s is not None
        )

    def suspected_s(self, backend):
        """Return since when an incarnation is suspect, or None."""
        record = self._records.get(backend.server_id)
        if record is None or record.backend.born_ms != backend.born_ms:
            return None
        return record.suspect_since_s

    def is_down(self, backend):
        """Return whether an incarnation refuses connections or was replaced.

        A suspect that is merely silent may only be cut off.
        """
        record = self._record_of(backend)
        if record is not None:
            return record.suspect_since_s is not None and record.is_down
        return self._was_replaced(backend)

    def has_crashed(self, backend):
        """Return whether the requests of this node at an incarnation are lost.

        Another node that it refuses may be cut off from it. A draining server
        may accept no connections any more, and finish its requests.
        """
        record = self._record_of(backend)
        if record is not None:
            is_suspect = record.suspect_since_s is not None
            is_confirmed = is_suspect and record.is_confirmed
            return is_confirmed and not self.is_draining(backend)
        return self._was_replaced(backend)

    def is_draining(self, backend):
        """Return whether an incarnation accepts no new work."""
        record = self._record_of(backend)
        return record is not None and record.backend.state == backends.DRAINING

    def _record_of(self, backend):
        """Return the record of an incarnation, or None."""
        record = self._records.get(backend.server_id)
        is_same = record and record.backend.born_ms == backend.born_ms
        return record if is_same else None

    def _was_replaced(self, backend):
        successor = self.at_address(backend.address)
        return successor is not None and successor.born_ms > backend.born_ms

    def is_healthy(self, backend):
        """Return whether an incarnation is known and not suspect."""
        record = self._records.get(backend.server_id)
        return (
            record is not None
            and record.backend.born_ms == backend.born_ms
            and record.suspect_since_s is None
        )

    def records(self):
        """Return all records."""
        return list(self._records.values())

    def get(self, server_id):
        """Return the backend server with an id, or None."""
        record = self._records.get(server_id)
        return record.backend if record else None

    def at_address(self, address):
        """Return the newest backend server at an address, or None."""
        found = self._all_at_address(address)
        return max(
            (b for b in found if self._is_named(b.service)),
            key=lambda b: b.born_ms,
            default=None,
        )

    def _all_at_address(self, address):
        """Return the known incarnations at an address.

        Ids that have left or moved stay in the index until then.
        """
        ids = self._ids_by_address.get(address, set())
        found = []
        for server_id in list(ids):
            backend = self.get(server_id)
            if backend is not None and backend.address == address:
                found.append(backend)
            else:
                ids.discard(server_id)
        if not ids:
            self._ids_by_address.pop(address, None)
        return found

    def usable(self, service):
        """Return the servers of a service that accept new work."""
        return [
            record.backend
            for record in self._records.values()
            if record.backend.service == service
            and record.backend.state == backends.READY
            and record.suspect_since_s is None
        ]

    def has_suspects(self, service):
        """Return whether any server of a service is suspect."""
        return any(
            record.suspect_since_s is not None
            for record in self._records.values()
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
            for record in self._records.values()
        ]

    def _age_s(self, record):
        """Return the age of an announcement for other nodes."""
        if record.restored_s is None:
            return self.now_s() - record.heard_s
        # An answer that this node asked for is no announcement.
        return self.now_s() - record.restored_s + self.restored_age_s

    def departures(self):
        """Return the last announcements of servers that left, with ages."""
        now_s = self.now_s()
        return [
            attrs.evolve(
                departure.backend,
                heard_ms=max(0, int((now_s - departure.left_s) * 1000)),
            )
            for departure in self._departures.values()
        ]

    def all_departures(self):
        """Return the departures and the servers that are known to drain."""
        return [
            backend
            for backend in self.announcements()
            if backend.state != backends.READY
        ] + self.departures()

    def departed(self, server_id):
        """Return what a server that has left and is not back was, or None."""
        departure = self._departures.get(server_id)
        if departure is None or server_id in self._records:
            return None
        return departure.backend

    def _log(self, text, backend, **others):
        LOG.info(
            text,
            extra=logs.fields(
                step='membership',
                peer=backend.address,
                server=backend.server_id,
                state=backend.state,
                layers=f'{backend.first_layer}-{backend.end_layer}',
                sequence=backend.sequence,
                **others,
            ),
        )


def is_repeat(known, backend):
    """Return whether an announcement changes nothing but its times."""
    return known is not None and _without_times(known) == _without_times(
        backend
    )


def _without_times(backend):
    return attrs.evolve(backend, sequence=0, heard_ms=0, warm_up_ms=0)
