"""Detect peers that are silent while this process waits for them."""

import logging

from pimentowalk.core import logs
from pimentowalk.wire import messages

LOG = logging.getLogger(__name__)

PROBE_S = 0.5
# Probes are counted, not seconds: after a freeze of this very process its
# peers still get all of their chances to answer.
UNANSWERED_PROBES = 4


class Keepalive:
    """Probe a connection while it is in use, and abort it if unanswered.

    `in_use` tells whether answers are outstanding. Idle connections are
    not probed, since an entry has hundreds of them.
    """

    def __init__(self, connection, timers, in_use):
        self._connection = connection
        self._in_use = in_use
        self._received_bytes = 0
        self._unanswered = 0
        self._subscription = timers.every(PROBE_S, self._check)

    def stop(self):
        """Stop probing."""
        self._subscription.cancel()

    def _check(self):
        connection = self._connection
        if connection.closed:
            self.stop()
            return
        received_bytes = connection.received_bytes
        if received_bytes != self._received_bytes or not self._in_use():
            self._received_bytes = received_bytes
            self._unanswered = 0
            return
        if self._unanswered >= UNANSWERED_PROBES:
            LOG.warning(
                'peer is silent; closing the connection',
                extra=logs.fields(step='keepalive', peer=connection.peer),
            )
            connection.abort()
            return
        self._unanswered += 1
        connection.post(messages.Probe())
