"""Decide which connections of clients are accepted, and which go first."""

import collections
import resource

import attrs

from pimentowalk.core import errors
from pimentowalk.core import refusals

# Part of the descriptors of the process that connections of clients may use.
# A request has one more connection, to its backend server, and the mesh and
# the files need some.
FRONT_DESCRIPTOR_SHARE = 0.3
READINESS_DESCRIPTOR_SHARE = 0.03
CHECK_INTERVAL_S = 0.5


def descriptor_limit(share):
    """Return a part of the descriptors that the process may open."""
    return int(share * resource.getrlimit(resource.RLIMIT_NOFILE)[0])


def _no_limits():
    """Return that no configuration is in force."""


def _combine(own, published):
    """Return the settings, raised to published limits if there are any."""
    if published is None:
        return own
    return attrs.evolve(
        own,
        max_header_bytes=max(own.max_header_bytes, published.header_bytes),
        header_timeout_ms=max(
            own.header_timeout_ms, published.header_timeout_s * 1000
        ),
        idle_timeout_ms=max(
            own.idle_timeout_ms, published.idle_timeout_s * 1000
        ),
    )


class Intake:
    """Decide which connections and header sections are accepted.

    `published()` returns the limits of the configuration in force, or None.
    `held` is the `HeldBytes` that header sections are counted in.
    """

    def __init__(
        self, settings, timers, held, metrics=None, published=_no_limits
    ):
        self.settings = settings
        self.held = held
        self.now_s = timers.now_s
        self._published = published
        # The settings and published limits that `_limits` was made of.
        self._sources = None
        self._limits = settings
        self._refusals = refusals.Refusals(timers.now_s, metrics)
        self._open = set()
        # The first one has waited longest for a request. Some may have a whole
        # one by now, which only the connection knows.
        self._waiting = collections.OrderedDict()

    @property
    def connection_count(self):
        """Return the number of open connections."""
        return len(self._open)

    def limits(self):
        """Return the settings, raised to what the configuration allows."""
        sources = self.settings, self._published()
        if sources != self._sources:
            self._sources = sources
            self._limits = _combine(*sources)
        return self._limits

    def refuse(self, kind, setting):
        """Count and log a refusal; `setting` is empty for bad syntax."""
        limit = getattr(self.limits(), setting, None)
        self._refusals.record(kind, setting, limit)

    def admit(self, connection):
        """Return whether a new connection may stay; close another for it."""
        if len(self._open) >= self.settings.max_connections:
            self.refuse('connections', 'max_connections')
            oldest = self._find_oldest_waiting()
            if oldest is None:
                self._refuse_request_ahead()
                return False
            self.forget(oldest)
            oldest.cut('max_connections')
        self._open.add(connection)
        self._waiting[connection] = None
        return True

    def _find_oldest_waiting(self):
        """Return a connection that can be closed without a loss, or None."""
        for connection in list(self._waiting):
            if connection.has_whole_request:
                # It waits again after `end_request`.
                del self._waiting[connection]
            elif not connection.has_unsent_bytes:
                return connection
        return None

    def _refuse_request_ahead(self):
        """Let a connection end after the request in progress.

        Clients that send requests ahead would otherwise keep theirs for all of
        them. The next one is told that it was not run.
        """
        for connection in self._open:
            if connection.has_requests_ahead and connection.refusal is None:
                connection.refusal = errors.NotRun(
                    'there are too many connections', step='read'
                )
                return

    def forget(self, connection):
        """Stop counting a connection."""
        self._open.discard(connection)
        self._waiting.pop(connection, None)

    def begin_request(self, connection):
        """Raise PimentowalkError if a connection is not served any more."""
        if self.is_refused(connection):
            raise errors.PimentowalkError(
                connection.refusal.message,
                code=connection.refusal.code,
                step=connection.refusal.step,
            )

    def is_refused(self, connection):
        """Return whether a connection is closed after its response."""
        return connection in self._open and connection.refusal is not None

    def end_request(self, connection):
        """Record that a connection waits for its next request."""
        if connection in self._open:
            connection.end_request()
            self._waiting[connection] = None
            self._waiting.move_to_end(connection)

    def cut_reason(self, connection):
        """Return the limit for which a connection was cut, or ''."""
        return getattr(connection, 'cut_reason', '')

    def check(self):
        """Cut the connections whose clients have stalled."""
        for connection in list(self._open):
            connection.check_progress()
