"""Timers on a monotonic clock, and a manual clock for tests."""

import asyncio
import contextlib
import heapq
import itertools
import logging
import time

LOG = logging.getLogger(__name__)


class Subscription:
    """Represent a periodic or delayed call that can be cancelled."""

    def __init__(self, cancel):
        self._cancel = cancel

    def cancel(self):
        """Stop further calls."""
        self._cancel()


async def _invoke(callback):
    result = callback()
    if asyncio.iscoroutine(result):
        await result


class TimerService:
    """Provide monotonic time, sleeps and scheduled calls, in seconds."""

    def now_s(self):
        """Return monotonic time that includes the time spent suspended.

        Leases are checked against this clock. CLOCK_MONOTONIC stops while
        the machine is suspended, so a lease could be held past its expiry.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    async def sleep(self, delay_s):
        """Suspend the calling task."""
        await asyncio.sleep(delay_s)

    def every(self, period_s, callback):
        """Call `callback` every period until cancelled; log its errors."""
        task = asyncio.ensure_future(self._repeat(period_s, callback))
        return Subscription(task.cancel)

    def after(self, delay_s, callback):
        """Call `callback` once after a delay unless cancelled; log errors."""
        task = asyncio.ensure_future(self._once(delay_s, callback))
        return Subscription(task.cancel)

    async def _repeat(self, period_s, callback):
        while True:
            await self.sleep(period_s)
            try:
                await _invoke(callback)
            except Exception:
                LOG.exception('periodic call failed')

    async def _once(self, delay_s, callback):
        await self.sleep(delay_s)
        try:
            await _invoke(callback)
        except Exception:
            LOG.exception('delayed call failed')


class ManualTimerService(TimerService):
    """Timer service for tests; only `advance` moves its clock."""

    def __init__(self):
        self._now_s = 0.0
        self._sleepers = []
        self._sequence = itertools.count()

    def now_s(self):
        """Return the time reached by `advance`."""
        return self._now_s

    async def sleep(self, delay_s):
        """Suspend the calling task until `advance` reaches its due time."""
        future = asyncio.get_running_loop().create_future()
        due_s = self._now_s + delay_s
        heapq.heappush(self._sleepers, (due_s, next(self._sequence), future))
        await future

    async def advance(self, delay_s):
        """Advance the clock and wake the sleepers that are due, in order."""
        await _run_ready_tasks()
        end_s = self._now_s + delay_s
        while self._sleepers and self._sleepers[0][0] <= end_s:
            due_s, _, future = heapq.heappop(self._sleepers)
            self._now_s = due_s
            if not future.done():
                future.set_result(None)
            await _run_ready_tasks()
        self._now_s = end_s


async def _run_ready_tasks():
    # Twenty iterations of the event loop let chains of woken tasks reach their
    # next sleep.
    for _ in range(20):
        await asyncio.sleep(0)


@contextlib.asynccontextmanager
async def cancelling(*tasks):
    """Cancel tasks and wait until they have ended when the block exits."""
    try:
        yield
    finally:
        await cancel_all(tasks)


async def cancel_all(tasks):
    """Cancel tasks and wait until they have ended."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
