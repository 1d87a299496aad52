"""The backend servers that a node knows from their announcements."""

import logging

import attrs

from pimentowalk.core import logs
from pimentowalk.membership import backend_view
from pimentowalk.membership import departures as membership_departures
from pimentowalk.membership import leaving as membership_leaving
from pimentowalk.membership import records as membership_records
from pimentowalk.membership import succession as membership_succession
from pimentowalk.topology import backends

LOG = logging.getLogger(__name__)

# A backend server expires after this many announcement periods without an
# announcement; single announcements may be seconds late.
EXPIRY_PERIODS = 3.5
# Interval at which old departures are looked for.
CLEANUP_INTERVAL_S = 10.0
# The table is complete after this many announcement periods: every working
# server announces itself within one; the rest covers the relay over another
# node.
COMPLETE_PERIODS = 1.25
# A server that a node knew before its restart is dropped if it has not
# announced itself this many periods later. That it answers proves nothing: it
# may have left while the node was down.
RESTORED_PERIODS = 2.5


class BackendTable(backend_view.BackendView):
    """Keep the newest announcement of each backend server.

    `generation` increases with each change of the usable servers. An
    announcement for a service that the configuration does not name may come
    from a faulty writer, and tells nothing of the other servers. All
    announcements are kept; which servers are used is decided again with each
    configuration, by `reconsider`.
    """

    def __init__(self, now_s, period_s, is_named=lambda service: True):
        super().__init__(now_s, is_named)
        self._document_version = 0
        self._period_s = period_s
        self._succession = membership_succession.Succession(
            self._index, self._departures, is_named
        )
        self._leaving = membership_leaving.LeavingMarks()
        self._cleaned_s = now_s()
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

    def reconsider(self, document_version):
        """Decide with a new configuration which servers are used.

        The version is 0 if there is no configuration any more.
        """
        self._document_version = document_version
        if self._review(self._index.all()):
            self._notify()

    def apply(self, backend, age_s=0.0):
        """Apply an announcement of some age; return whether it is new."""
        if backend.is_restored:
            return self.restore(backend, age_s)
        if backend.is_leaving:
            self.mark_leaving(backend)
        backend = self._leaving.with_mark(backend)
        record = self._index.get(backend.identity)
        if self._is_outdated(record, backend):
            self._update_heard(record, backend, age_s)
            return False
        self._count_as_heard(backend)
        heard_s = self.now_s() - age_s
        if backend.state == backends.GONE:
            return self._apply_departure(backend, heard_s)
        if record is None or record.backend.born_ms != backend.born_ms:
            self._add(membership_records.Record(backend, heard_s))
        else:
            self._update(record, backend, heard_s)
        return True

    def _count_as_heard(self, backend):
        # A faulty writer does not prove that this node hears the servers.
        if self._is_named(backend.service) is not False:
            self._last_heard_s = self.now_s()

    def _add(self, record):
        backend = record.backend
        previous = self._index.get(backend.identity)
        rivals = self._rivals(previous.backend) if previous else []
        self._index.put(record)
        self._end_predecessors(backend)
        self._succession.review([record])
        self._review(rivals + self._rivals(backend))
        self._log(
            'backend server joined',
            backend,
            unused_reason=record.unused_reason,
        )
        self._notify()

    def _update(self, record, backend, heard_s):
        previous = record.backend
        has_moved = previous.address != backend.address
        rivals = self._rivals(previous) if has_moved else []
        self._index.update(record, backend)
        record.update_heard(heard_s)
        is_changed = not backend.is_repeat(previous)
        if is_changed:
            self._log('backend server changed', backend)
        is_changed |= record.clear_suspicion(self.now_s())
        rivals += self._rivals(backend)
        if rivals or record.unused_reason:
            is_changed |= self._review([record, *rivals])
        if is_changed:
            self._notify()

    def _rivals(self, backend):
        return self._succession.rivals(backend)

    def restore(self, backend, age_s):
        """Apply what a node saved before a restart; return whether it is new.

        Its age is `restored_age_s` when that node restarts, and tells other
        nodes when that was.
        """
        backend = attrs.evolve(backend, is_restored=False)
        record = self._index.get(backend.identity)
        if record is not None and backend.order <= record.backend.order:
            return False
        is_new = self.apply(backend, age_s)
        record = self._index.get(backend.identity)
        if is_new and record is not None:
            restored_s = self.now_s() - max(0.0, age_s - self.restored_age_s)
            record.restored_s = restored_s
        return is_new

    def mark_leaving(self, backend):
        """Record that an incarnation leaves; return whether this is new.

        It gets no new work, whatever it announces. A later incarnation with
        the same id or address does.
        """
        if not self._leaving.add(backend, self.now_s()):
            return False
        record = self._incarnation(backend)
        if record is not None:
            record.backend = self.with_mark(record.backend)
            self._log('backend server says that it leaves', record.backend)
            self._notify()
        return True

    def with_mark(self, backend):
        """Return an announcement as draining if its incarnation leaves."""
        return self._leaving.with_mark(backend)

    def apply_heartbeat(self, key, sequence, age_s=0.0):
        """Apply an announcement that changes nothing but its times.

        Returns whether the incarnation with this key is known. Nodes send
        keys of servers of named services only.
        """
        found = [
            record
            for record in self._index.with_key(key)
            if self._is_named(record.backend.service) is not False
        ]
        if len(found) != 1:
            return False
        record = found[0]
        record.update_heard(self.now_s() - age_s)
        if sequence <= record.backend.sequence:
            return True
        self._last_heard_s = self.now_s()
        record.backend = attrs.evolve(record.backend, sequence=sequence)
        if record.clear_suspicion(self.now_s()):
            self._notify()
        return True

    def _update_heard(self, record, backend, age_s):
        """Record when another node heard the same announcement."""
        if record is not None and backend.order == record.backend.order:
            record.update_heard(self.now_s() - age_s)

    def _is_outdated(self, record, backend):
        if self._is_before_departure(backend):
            return True
        if record is None or backend.is_inferred:
            return False
        if backend.state == backends.GONE:
            return backend.born_ms < record.backend.born_ms
        return backend.order <= record.backend.order

    def _is_before_departure(self, backend):
        """Return whether an announcement is older than a departure."""
        if self._departures.own(backend) is not None:
            return True
        left = self._departures.unattributed(backend)
        if left is None or backend.state == backends.GONE:
            return left is not None and not backend.ended_by
        # A server that goes on after a departure was not ended by it.
        goes_on = backend.sequence > left.backend.sequence
        return not (goes_on and self._attribute(left))

    def _attribute(self, departure):
        """Return whether a faulty writer caused a departure; record which.

        Older releases let any newer server end those at its address while
        they have no configuration, and do not tell which one it was.
        """
        left = departure.backend
        successor = self._succession.unnamed_successor(left)
        if successor is None:
            return False
        self._departures.attribute(departure, successor.service)
        self._log(
            'departure was caused by an unnamed service',
            left,
            ended_by=successor.service,
            by_server=successor.server_id,
        )
        return True

    def _review(self, records):
        """Decide again which servers are used; return whether that changes."""
        changed = self._succession.review(records)
        for record in changed:
            self._log(
                'backend server is not used any more'
                if record.unused_reason
                else 'backend server is used again',
                record.backend,
                unused_reason=record.unused_reason,
            )
        return bool(changed)

    def _end_predecessors(self, backend):
        """Record that older servers at an address have a successor.

        One of another service may be a faulty writer: then, they are ended
        only as long as the configuration names that service.
        """
        for record in self._index.at_address(backend.address):
            other = record.backend
            if (
                other.server_id == backend.server_id
                or other.born_ms >= backend.born_ms
            ):
                continue
            gone = other.as_gone(backend.service)
            self._departures.add(gone, self.now_s())
            if not gone.is_inferred:
                self._index.remove(other.identity)

    def _apply_departure(self, backend, left_s):
        """Record a departure; return whether it counts and is new."""
        if backend.is_inferred:
            return self._apply_inferred(backend, left_s)
        record = self._index.get(backend.identity)
        self._departures.add(backend, left_s)
        if record is not None and not backend.ended_by:
            goes_on = record.backend.sequence > backend.sequence
            left = self._departures.unattributed(backend)
            if goes_on and self._attribute(left):
                return False
        rivals = self._rivals(backend)
        self._index.remove(backend.identity)
        if record is not None:
            self._log(
                'backend server left',
                record.backend,
                ended_by=backend.ended_by,
            )
            self._review(rivals)
            self._notify()
        return True

    def _apply_inferred(self, backend, left_s):
        if not self._departures.add(backend, left_s):
            return False
        record = self._index.get(backend.identity)
        if record is not None and self._review([record]):
            self._notify()
        return self.is_named(backend.ended_by)

    def _forget_departures(self):
        """Forget the departures that are old or too many."""
        now_s = self.now_s()
        if now_s - self._cleaned_s < CLEANUP_INTERVAL_S:
            return
        self._cleaned_s = now_s
        forgotten = self._departures.forget_old(now_s)
        records = [self._index.get(identity) for identity in forgotten]
        if self._review([r for r in records if r is not None]):
            self._notify()

    def expire(self, verify=None):
        """Remove servers whose announcements have stopped.

        A ready server is passed to `verify(backend)` instead, if given: its
        announcements may have been lost between other nodes. The callback
        must call `confirm` or `drop`.
        """
        now_s = self.now_s()
        self._forget_departures()
        oldest_s = now_s - membership_departures.RETENTION_S
        self._leaving.forget(oldest_s, self._index.identities())
        # If no server is heard, this node is partitioned or was suspended,
        # and its last view is the best one.
        if now_s - self._last_heard_s > self._period_s:
            return
        restored_s = now_s - RESTORED_PERIODS * self._period_s
        for record in self._index.all():
            if record.restored_s is not None and (
                record.restored_s < restored_s
            ):
                self.drop(record.backend)
                continue
            if now_s - record.heard_s <= self.expiry_s:
                continue
            is_ready = record.backend.state == backends.READY
            is_used = is_ready and not record.unused_reason
            if verify and is_used and not record.is_suspect:
                verify(record.backend)
            else:
                self.drop(record.backend)

    def confirm(self, backend):
        """Record that a server has answered this node directly."""
        record = self._incarnation(backend)
        if record is not None:
            record.heard_s = self.now_s()

    def drop(self, backend):
        """Remove an expired incarnation; it may announce itself again."""
        record = self._incarnation(backend)
        if record is None:
            return
        rivals = self._rivals(record.backend)
        self._index.remove(record.backend.identity)
        if record.backend.state != backends.READY:
            # Nodes that were cut off since may know it as ready.
            self._departures.add(record.backend, record.heard_s)
        self._log(
            'backend server is silent',
            record.backend,
            silent_s=round(self.now_s() - record.heard_s, 2),
        )
        self._review(rivals)
        self._notify()

    def suspect(
        self, server_id, born_ms, reason, *, is_down=False, is_reported=False
    ):
        """Exclude a server from new work; return whether this is new.

        With `is_reported`, the suspicion is that of another node.
        """
        is_new = False
        for record in self._index.of_id(server_id):
            if record.backend.born_ms != born_ms or record.is_replaced:
                continue
            if record.suspect(
                self.now_s(), is_down=is_down, is_reported=is_reported
            ):
                is_new = True
                self._log('suspect', record.backend, reason=reason)
        if is_new:
            self._notify()
        return is_new

    def _log(self, text, backend, **others):
        LOG.info(
            text,
            extra=logs.fields(
                step='membership',
                peer=backend.address,
                server=backend.server_id,
                service=backend.service,
                state=backend.state,
                layers=f'{backend.first_layer}-{backend.end_layer}',
                sequence=backend.sequence,
                version=self._document_version,
                **others,
            ),
        )
