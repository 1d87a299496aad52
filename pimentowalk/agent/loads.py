"""Loads of this backend server and of those that report to it."""

from pimentowalk.wire import messages

REPORT_PERIOD_S = 0.5
# An entry gets load reports for this long after it last sent work.
ENTRY_TTL_S = 10.0
# Loads that were not updated for this long are outdated.
MAX_AGE_S = 2.0
MAX_LOADS = 16


class LoadTable:
    """Collect loads and report them to entries and heads.

    `own_load()` returns the load of this backend server, `links.current()`
    the known delays, and `head_connections()` the connections to the heads
    that have sequences here.
    """

    def __init__(self, identity, timers, own_load, links, head_connections):
        self._identity = identity
        self._timers = timers
        self._own_load = own_load
        self._links = links
        self._head_connections = head_connections
        self._received = {}
        self._entries = {}

    def current(self):
        """Return the own load and recent loads of other backend servers."""
        now_s = self._timers.now_s()
        received = [
            load
            for load, received_s in self._received.values()
            if now_s - received_s <= MAX_AGE_S
        ]
        return [self._own_load(), *received[-MAX_LOADS:]]

    def update(self, loads):
        """Record the loads of other backend servers."""
        now_s = self._timers.now_s()
        for load in loads:
            if load.server_id != self._identity.server_id:
                self._received.pop(load.server_id, None)
                self._received[load.server_id] = (load, now_s)

    def subscribe(self, connection):
        """Send load reports to an entry from which work has arrived."""
        self._entries[connection] = self._timers.now_s()

    def report(self):
        """Send loads and delays to recent entries and to heads."""
        now_s = self._timers.now_s()
        for connection, last_work_s in list(self._entries.items()):
            if connection.closed or now_s - last_work_s > ENTRY_TTL_S:
                del self._entries[connection]
            else:
                self._send_report(connection)
        for head in self._head_connections():
            self._send_report(head)
        for server_id, (_, received_s) in list(self._received.items()):
            if now_s - received_s > MAX_AGE_S:
                del self._received[server_id]

    def _send_report(self, connection):
        links = self._links.current()
        connection.post(messages.LoadReport(self.current(), links))
