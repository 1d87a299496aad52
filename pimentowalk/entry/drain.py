"""Graceful shutdown."""

import asyncio
import contextlib
import logging
import math

import attrs

from pimentowalk.core import activity as core_activity
from pimentowalk.core import errors
from pimentowalk.core import logs

LOG = logging.getLogger(__name__)

# The load balancer probes /readyz about once a second. New connections are
# accepted until it has seen the failed probe.
SHUTDOWN_DELAY_S = 2.0
POLL_PERIOD_S = 0.05
# An HTTP library starts the handler of a request within milliseconds after
# reading it. A connection that is still not idle after this time sends the
# rest of a rejected body, or does not read.
HANDOVER_TIMEOUT_S = 1.0
# For the answers to requests that did not finish in time.
ANSWER_TIMEOUT_S = 0.2


@attrs.define(eq=False)
class ActiveRequest:
    """A request in progress.

    `scope` is the timeout that ends its handling early.
    """

    request_id: object
    started_s: float
    activity: core_activity.Activity
    scope: asyncio.Timeout | None = None

    @contextlib.asynccontextmanager
    async def interruptible(self):
        """Run a block that the drain may end by `interrupt`.

        The block then raises an error that tells whether the request may
        have run.
        """
        try:
            async with asyncio.timeout(None) as self.scope:
                yield
        except TimeoutError:
            if not self.scope.expired():
                raise
            raise self._interruption() from None
        finally:
            self.scope = None

    def interrupt(self):
        """End the block that `interruptible` runs, if it is still running."""
        if self.scope is not None and not self.scope.expired():
            self.scope.reschedule(asyncio.get_running_loop().time())

    def _interruption(self):
        if self.activity.may_have_run:
            return errors.OutcomeUnknown(
                'the process stopped before the response was complete',
                step='drain',
            )
        return errors.PimentowalkError(
            'the process is stopping', code='draining', step='drain'
        )

    def log_fields(self, now_s):
        """Return the log fields of a request that did not finish."""
        return {
            'request_id': self.request_id,
            'kind': self.activity.kind,
            'age_ms': int((now_s - self.started_s) * 1000),
            'tries': self.activity.tries,
            'may_have_run': self.activity.may_have_run,
            'usual_ms': int(self.activity.usual_s * 1000),
        }


class Drain:
    """Track requests in progress and let them finish before a stop."""

    def __init__(self, timers):
        self._timers = timers
        self._active = set()
        self._finished = asyncio.Event()
        self._aborted = asyncio.Event()
        self._end_s = math.inf
        self._last_active_s = -math.inf
        self.draining = False

    @contextlib.contextmanager
    def track(self, request_id):
        """Count a request as in progress; yield its `ActiveRequest`."""
        request = ActiveRequest(
            request_id,
            self._timers.now_s(),
            core_activity.Activity(stop_at_s=self._end_s),
        )
        self._active.add(request)
        try:
            yield request
        finally:
            self._active.discard(request)
            if not self._active:
                self._finished.set()

    @property
    def active_count(self):
        """Return the number of requests in progress."""
        return len(self._active)

    def abort(self):
        """End the drain at once, e.g. on a second stop signal."""
        self._aborted.set()

    async def run(
        self,
        stop_accepting,
        timeout_s,
        *,
        shutdown_delay_s=SHUTDOWN_DELAY_S,
        has_unhandled=lambda: False,
        has_unsent=lambda: False,
    ):
        """Fail readiness, stop accepting connections, await the requests.

        Returns the ids of the requests that did not finish in time. For
        `shutdown_delay_s` the entry reports that it is not ready but still
        accepts connections. `has_unhandled()` tells whether a request has
        been read whose handler has not begun, `has_unsent()` whether a part
        of a response has not left the process.
        """
        self.draining = True
        start_s = self._timers.now_s()
        self._end_s = start_s + timeout_s
        for request in self._active:
            request.activity.stop_at_s = self._end_s
        LOG.info('draining', extra=logs.fields(step='drain'))
        await self._poll_until(
            min(start_s + shutdown_delay_s, self._end_s), lambda: True
        )
        await stop_accepting()
        self._last_active_s = self._timers.now_s()
        await self._poll_until(
            self._end_s,
            lambda: self._has_work(has_unhandled) or has_unsent(),
        )
        now_s = self._timers.now_s()
        for request in self._active:
            LOG.warning(
                'request cut by the stop',
                extra=logs.fields(step='drain', **request.log_fields(now_s)),
            )
        cut_ids = {request.request_id for request in self._active}
        await self._interrupt_active()
        return cut_ids

    def _has_work(self, has_unhandled):
        """Return whether requests are in progress or just read."""
        now_s = self._timers.now_s()
        if self._active:
            self._last_active_s = now_s
            return True
        is_recent = now_s - self._last_active_s < HANDOVER_TIMEOUT_S
        return is_recent and has_unhandled()

    async def _interrupt_active(self):
        """Interrupt all requests, and wait until they have been answered."""
        if not self._active:
            return
        self._finished.clear()
        for request in self._active:
            request.interrupt()
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await self._finished.wait()
        except TimeoutError:
            LOG.warning(
                'requests without an answer at the stop: %d',
                len(self._active),
                extra=logs.fields(step='drain'),
            )

    async def _poll_until(self, until_s, is_needed):
        """Refuse late requests until a time, or as long as it is needed."""
        while is_needed() and not self._aborted.is_set():
            now_s = self._timers.now_s()
            if now_s >= until_s:
                return
            self._interrupt_late(now_s)
            await self._sleep_unless_aborted(
                min(POLL_PERIOD_S, until_s - now_s)
            )

    def _interrupt_late(self, now_s):
        """Interrupt requests that were not sent and can no longer be."""
        for request in self._active:
            activity = request.activity
            if not activity.may_have_run and activity.is_late(now_s):
                request.interrupt()

    async def _sleep_unless_aborted(self, delay_s):
        """Sleep, but return early when `abort` is called."""
        waiters = [
            asyncio.ensure_future(self._timers.sleep(delay_s)),
            asyncio.ensure_future(self._aborted.wait()),
        ]
        try:
            await asyncio.wait(waiters, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for waiter in waiters:
                waiter.cancel()
