"""Detect peers that stay silent while their responses are outstanding."""

import logging

from pimentowalk.core import logs
from pimentowalk.wire import messages

LOG = logging.getLogger(__name__)

PROBE_INTERVAL_S = 0.5
# The limit counts probes instead of elapsed time: after a pause of this
# process itself, peers still get the full number of probes to answer.
MAX_UNANSWERED_PROBES = 4


class Keepalive:
    """Probe a connection in use and abort it if the peer stays silent.

    `in_use` returns whether responses are outstanding. Idle connections are
    not probed, since an entry has hundreds of them.
    """

    def __init__(self, connection, timers, in_use):
        self._connection = connection
        self._in_use = in_use
        self._last_received_bytes = 0
        self._unanswered_probes = 0
        self._timer = timers.every(PROBE_INTERVAL_S, self._check)

    def stop(self):
        """Stop probing."""
        self._timer.cancel()

    def _check(self):
        connection = self._connection
        if connection.closed:
            self.stop()
            return
        received_bytes = connection.received_bytes
        if received_bytes != self._last_received_bytes or not self._in_use():
            self._last_received_bytes = received_bytes
            self._unanswered_probes = 0
            return
        if self._unanswered_probes >= MAX_UNANSWERED_PROBES:
            LOG.warning(
                'peer is silent; closing the connection',
                extra=logs.fields(step='keepalive', peer=connection.peer),
            )
            connection.abort()
            return
        self._unanswered_probes += 1
        connection.post(messages.Probe())
