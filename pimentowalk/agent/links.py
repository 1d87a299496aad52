"""Round-trip times between agents."""

import asyncio
import logging

from pimentowalk.core import errors
from pimentowalk.core import logs
from pimentowalk.core import timers as timer_services
from pimentowalk.wire import messages

LOG = logging.getLogger(__name__)

MEASURE_PERIOD_S = 2.0
MEASURE_TIMEOUT_S = 2.0
# Delays that were not measured again within this time are not reported.
MAX_AGE_S = 10.0
MAX_LINKS = 32


class LinkDelays:
    """Measure round trips to other agents and collect what they report."""

    def __init__(self, identity, peers, timers):
        self._identity = identity
        self._peers = peers
        self._timers = timers
        self._delays = {}
        self._tasks = set()

    def measure(self):
        """Start a measurement on each open connection to another agent."""
        for connection in self._peers.open_connections():
            task = asyncio.ensure_future(self._measure(connection))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _measure(self, connection):
        start_s = self._timers.now_s()
        try:
            await connection.call(messages.Empty(), MEASURE_TIMEOUT_S)
        except (errors.PimentowalkError, TimeoutError) as error:
            LOG.info(
                'round trip not measured: %s',
                str(error) or 'no reply in time',
                extra=logs.fields(step='measure', peer=connection.peer),
            )
            return
        round_trip_s = self._timers.now_s() - start_s
        own_id = self._identity.server_id
        self.update(
            [messages.LinkDelay(own_id, connection.peer, round_trip_s)]
        )

    def update(self, links):
        """Record delays that were measured here or reported by others."""
        now_s = self._timers.now_s()
        for link in links:
            key = (link.source_id, link.target_id)
            self._delays.pop(key, None)
            self._delays[key] = (link, now_s)

    def current(self):
        """Return up to MAX_LINKS recent delays, the newest last."""
        now_s = self._timers.now_s()
        for key, (_, received_s) in list(self._delays.items()):
            if now_s - received_s > MAX_AGE_S:
                del self._delays[key]
        return [link for link, _ in self._delays.values()][-MAX_LINKS:]

    async def stop(self):
        """Cancel the measurements in progress."""
        await timer_services.cancel_all(list(self._tasks))
