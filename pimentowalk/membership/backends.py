"""The backend servers that a node knows from their announcements."""

import logging

import attrs

from pimentowalk.core import logs
from pimentowalk.topology import backends

LOG = logging.getLogger(__name__)

# A backend server is taken for lost after this many announcement periods
# without one; single announcements may be seconds late.
MISSED_PERIODS = 3.5
# A removed incarnation is remembered this long, so that a late announcement
# cannot bring it back.
REMOVED_KEPT_S = 60.0
# A suspected server that announces itself again is used after this time; an
# announcement sent before the failure can arrive after it.
SUSPECT_LEAST_S = 1.5
# Every server that works announces itself within a period; the rest covers
# the way over another node.
COMPLETE_PERIODS = 1.25


@attrs.define
class Record:
    """What is known of one backend server."""

    backend: backends.Backend
    heard_s: float
    joined_s: float
    suspect_since_s: float | None = None
    suspect_sequence: int = 0


class BackendTable:
    """Keep the newest announcement of each backend server.

    `on_change(callback)` subscribes to changes of what may be used.
    """

    def __init__(self, now_s, period_s):
        self.now_s = now_s
        self._period_s = period_s
        self._records = {}
        self._removed = {}
        self._callbacks = []
        self.generation = 0
        self._any_heard_s = float('-inf')
        self.silence_s = MISSED_PERIODS * period_s
        self.complete_after_s = COMPLETE_PERIODS * period_s
        self._complete_from_s = now_s() + self.complete_after_s

    @property
    def is_complete(self):
        """Return whether every working server must have been heard."""
        return self.now_s() >= self._complete_from_s

    def on_change(self, callback):
        """Call `callback()` after each change of usable servers."""
        self._callbacks.append(callback)

    def _changed(self):
        self.generation += 1
        for callback in self._callbacks:
            callback()

    def apply(self, backend, age_s=0.0):
        """Take an announcement; return whether it was news."""
        record = self._records.get(backend.server_id)
        if self._is_old(record, backend):
            self._confirm(record, backend, age_s)
            return False
        self._any_heard_s = self.now_s()
        if backend.state == backends.GONE:
            return self._remove(backend)
        now_s = self.now_s()
        heard_s = now_s - age_s
        if record is None or record.backend.born_ms != backend.born_ms:
            self._records[backend.server_id] = Record(backend, heard_s, now_s)
            self._drop_address(backend)
            self._log('backend server joined', backend)
            self._changed()
            return True
        was = record.backend
        record.backend = backend
        record.heard_s = max(record.heard_s, heard_s)
        changed = _usable_part(was) != _usable_part(backend)
        if changed:
            self._log('backend server changed', backend)
        if self._recovers(record, now_s):
            record.suspect_since_s = None
            changed = True
        if changed:
            self._changed()
        return True

    def _confirm(self, record, backend, age_s):
        """Take the time at which another node heard what is known here."""
        if record is not None and backend.order == record.backend.order:
            heard_s = self.now_s() - age_s
            record.heard_s = max(record.heard_s, heard_s)

    def _is_old(self, record, backend):
        removed = self._removed.get(backend.server_id)
        if removed is not None and backend.born_ms <= removed[0]:
            return True
        if record is None:
            return False
        if backend.state == backends.GONE:
            return backend.born_ms < record.backend.born_ms
        return backend.order <= record.backend.order

    def _recovers(self, record, now_s):
        return (
            record.suspect_since_s is not None
            and now_s - record.suspect_since_s >= SUSPECT_LEAST_S
            and record.backend.sequence > record.suspect_sequence
        )

    def _drop_address(self, backend):
        """Forget others at the address of a newer incarnation."""
        for record in list(self._records.values()):
            other = record.backend
            if (
                other.address == backend.address
                and other.server_id != backend.server_id
                and other.born_ms < backend.born_ms
            ):
                del self._records[other.server_id]
                self._removed[other.server_id] = other.born_ms, self.now_s()

    def _remove(self, backend):
        record = self._records.pop(backend.server_id, None)
        born_ms = record.backend.born_ms if record else backend.born_ms
        self._removed[backend.server_id] = born_ms, self.now_s()
        if record is None:
            return False
        self._log('backend server left', record.backend)
        self._changed()
        return True

    def expire(self, verify=None):
        """Remove the servers that were not heard for too long.

        With `verify(backend)` one that takes new work is not removed yet:
        its announcements may get lost between other nodes. The callback is
        to call `confirm` or `drop`.
        """
        now_s = self.now_s()
        for server_id, (_, removed_s) in list(self._removed.items()):
            if now_s - removed_s > REMOVED_KEPT_S:
                del self._removed[server_id]
        # Where nobody is heard, this node is cut off or was suspended, and
        # its old view is the best one.
        if now_s - self._any_heard_s > self._period_s:
            return
        for record in list(self._records.values()):
            if now_s - record.heard_s <= self.silence_s:
                continue
            is_ready = record.backend.state == backends.READY
            if verify and is_ready and record.suspect_since_s is None:
                verify(record.backend)
            else:
                self.drop(record.backend)

    def confirm(self, backend):
        """Take an answer of a server itself for an announcement."""
        record = self._records.get(backend.server_id)
        if record is not None and record.backend.born_ms == backend.born_ms:
            record.heard_s = self.now_s()

    def drop(self, backend):
        """Remove an incarnation that is silent; it may come back."""
        record = self._records.get(backend.server_id)
        if record is None or record.backend.born_ms != backend.born_ms:
            return
        del self._records[backend.server_id]
        self._log(
            'backend server is silent',
            record.backend,
            silent_s=round(self.now_s() - record.heard_s, 2),
        )
        self._changed()

    def suspect(self, server_id, born_ms, reason):
        """Leave a server out of new paths; return whether it is news."""
        record = self._records.get(server_id)
        if record is None or record.backend.born_ms != born_ms:
            return False
        fresh = record.suspect_since_s is None
        record.suspect_since_s = self.now_s()
        record.suspect_sequence = record.backend.sequence
        if fresh:
            self._log('suspect', record.backend, reason=reason)
            self._changed()
        return fresh

    def has_failed(self, backend):
        """Return whether an incarnation is suspected or was replaced.

        One that is not known any more may still finish what it has begun.
        """
        record = self._records.get(backend.server_id)
        if record is None:
            return False
        return (
            record.backend.born_ms != backend.born_ms
            or record.suspect_since_s is not None
        )

    def works(self, backend):
        """Return whether an incarnation is known and not suspected."""
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
        """Return the backend server of an id, or None."""
        record = self._records.get(server_id)
        return record.backend if record else None

    def at_address(self, address):
        """Return the newest backend server at an address, or None."""
        found = [
            record.backend
            for record in self._records.values()
            if record.backend.address == address
        ]
        return max(found, key=lambda b: b.born_ms, default=None)

    def usable(self, service):
        """Return the servers of a service that take new work."""
        return [
            record.backend
            for record in self._records.values()
            if record.backend.service == service
            and record.backend.state == backends.READY
            and record.suspect_since_s is None
        ]

    def has_suspects(self, service):
        """Return whether a server of a service is suspected."""
        return any(
            record.suspect_since_s is not None
            for record in self._records.values()
            if record.backend.service == service
        )

    def aged(self):
        """Return all announcements with their ages, to pass on."""
        now_s = self.now_s()
        return [
            attrs.evolve(
                record.backend, heard_ms=int((now_s - record.heard_s) * 1000)
            )
            for record in self._records.values()
        ]

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


def is_same_use(known, backend):
    """Return whether an announcement changes nothing but its time."""
    return known is not None and _usable_part(known) == _usable_part(backend)


def _usable_part(backend):
    return attrs.evolve(backend, sequence=0, heard_ms=0, warm_up_ms=0)
