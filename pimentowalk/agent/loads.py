"""Loads of this stage and of the later stages that it hears from."""

from pimentowalk.wire import messages

REPORT_PERIOD_S = 0.5
# Entries that sent work this recently get load reports.
INTEREST_S = 10.0
# A load that was not confirmed for this long says little about the present.
FRESH_S = 2.0
MAX_LOADS = 16


class Loads:
    """Collect loads and report them to the peers that sent work.

    `read` returns the own load, `links` the known delays, and `heads` the
    connections of the heads that have sequences here.
    """

    def __init__(self, own, timers, read, links, heads):
        self._own = own
        self._timers = timers
        self._read = read
        self._links = links
        self._heads = heads
        self._heard = {}
        self._entries = {}

    def current(self):
        """Return the own load and those heard of lately."""
        now_s = self._timers.now_s()
        heard = [
            load
            for load, heard_s in self._heard.values()
            if now_s - heard_s <= FRESH_S
        ]
        return [self._read(), *heard[-MAX_LOADS:]]

    def hear(self, loads):
        """Note the loads that a batch carried."""
        now_s = self._timers.now_s()
        for load in loads:
            if load.server_id != self._own.server_id:
                self._heard.pop(load.server_id, None)
                self._heard[load.server_id] = (load, now_s)

    def note_entry(self, connection):
        """Remember that an entry has sent work."""
        self._entries[connection] = self._timers.now_s()

    def report(self):
        """Send loads and delays to those that sent work lately."""
        now_s = self._timers.now_s()
        for connection, seen_s in list(self._entries.items()):
            if connection.closed or now_s - seen_s > INTEREST_S:
                del self._entries[connection]
            else:
                self._post(connection)
        for head in self._heads():
            self._post(head)
        for server_id, (_, heard_s) in list(self._heard.items()):
            if now_s - heard_s > FRESH_S:
                del self._heard[server_id]

    def _post(self, connection):
        links = self._links.current()
        connection.post(messages.LoadReport(self.current(), links))
