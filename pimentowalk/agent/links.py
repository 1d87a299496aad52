"""Round trips to the agents of next stages."""

import asyncio
import logging

from pimentowalk.core import errors
from pimentowalk.core import logs
from pimentowalk.core import timers as timer_services
from pimentowalk.wire import messages

LOG = logging.getLogger(__name__)

MEASURE_PERIOD_S = 2.0
TIMEOUT_S = 2.0
# A delay that was not confirmed for this long is no longer reported.
FRESH_S = 10.0
MAX_LINKS = 32


class LinkDelays:
    """Measure round trips to other agents and collect those of others."""

    def __init__(self, own, peers, timers):
        self._own = own
        self._peers = peers
        self._timers = timers
        self._known = {}
        self._tasks = set()

    def measure(self):
        """Start one measurement on each connection to another agent."""
        for connection in self._peers.open_connections():
            task = asyncio.ensure_future(self._measure(connection))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _measure(self, connection):
        begin_s = self._timers.now_s()
        try:
            await connection.call(messages.Empty(), TIMEOUT_S)
        except (errors.PimentowalkError, TimeoutError) as error:
            LOG.info(
                'round trip not measured: %s',
                str(error) or 'no answer in time',
                extra=logs.fields(step='measure', peer=connection.peer),
            )
            return
        took_s = self._timers.now_s() - begin_s
        own_id = self._own.server_id
        self.hear([messages.LinkDelay(own_id, connection.peer, took_s)])

    def hear(self, links):
        """Note the delays that were measured here or reported."""
        now_s = self._timers.now_s()
        for link in links:
            key = (link.source_id, link.target_id)
            self._known.pop(key, None)
            self._known[key] = (link, now_s)

    def current(self):
        """Return the delays known of lately, the newest last."""
        now_s = self._timers.now_s()
        for key, (_, heard_s) in list(self._known.items()):
            if now_s - heard_s > FRESH_S:
                del self._known[key]
        return [link for link, _ in self._known.values()][-MAX_LINKS:]

    async def stop(self):
        """End the measurements under way."""
        await timer_services.cancel_all(list(self._tasks))
