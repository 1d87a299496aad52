"""Graceful stop of an entry."""

import asyncio
import contextlib
import logging

from pimentowalk.core import logs

LOG = logging.getLogger(__name__)

# The balancer looks at /readyz about once a second; until it has seen the
# failure, new connections are still accepted.
SHUTDOWN_DELAY_S = 2.0
POLL_S = 0.05


class Drain:
    """Track requests in progress, and let them finish on a stop."""

    def __init__(self, timers):
        self._timers = timers
        self._active = set()
        self._hurry = asyncio.Event()
        self.draining = False

    @contextlib.contextmanager
    def track(self, request_id):
        """Count a request as in progress."""
        self._active.add(request_id)
        try:
            yield
        finally:
            self._active.discard(request_id)

    @property
    def active(self):
        """Return the number of requests in progress."""
        return len(self._active)

    def hurry(self):
        """End the drain at once, as on a second signal."""
        self._hurry.set()

    async def run(
        self,
        refuse_connections,
        timeout_s,
        *,
        shutdown_delay_s=SHUTDOWN_DELAY_S,
    ):
        """Fail readiness, refuse connections, wait for the requests.

        Returns the ids of requests that did not finish in time.
        """
        self.draining = True
        end_s = self._timers.now_s() + timeout_s
        LOG.info('draining', extra=logs.fields(step='drain'))
        await self._pause(min(shutdown_delay_s, timeout_s))
        await refuse_connections()
        while self._active and self._timers.now_s() < end_s:
            if self._hurry.is_set():
                break
            await self._pause(POLL_S)
        for request_id in self._active:
            LOG.warning(
                'request cut by the stop',
                extra=logs.fields(request_id=request_id, step='drain'),
            )
        return set(self._active)

    async def _pause(self, delay_s):
        """Sleep, but not past a call of `hurry`."""
        waits = [
            asyncio.ensure_future(self._timers.sleep(delay_s)),
            asyncio.ensure_future(self._hurry.wait()),
        ]
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for wait in waits:
                wait.cancel()
