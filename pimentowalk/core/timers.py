"""A timer service that the parts of a process subscribe to."""

import asyncio
import contextlib
import heapq
import itertools
import logging
import time

LOG = logging.getLogger(__name__)


class Subscription:
    """A periodic or single call that can be cancelled."""

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
    """Monotonic time, sleeps and subscriptions in seconds."""

    def now_s(self):
        """Return seconds that also count while the machine is suspended.

        Leases are compared with this clock: the monotonic clock stands
        still in a suspended machine, so that a lease would outlive its end.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    async def sleep(self, delay_s):
        """Suspend the calling task."""
        await asyncio.sleep(delay_s)

    def every(self, period_s, callback):
        """Call back each period until cancelled; errors are logged."""
        task = asyncio.ensure_future(self._repeat(period_s, callback))
        return Subscription(task.cancel)

    def after(self, delay_s, callback):
        """Call back once after a delay unless cancelled."""
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
    """A timer service for tests whose time moves only by `advance`."""

    def __init__(self):
        self._now_s = 0.0
        self._waiting = []
        self._order = itertools.count()

    def now_s(self):
        """Return the time set by hand."""
        return self._now_s

    async def sleep(self, delay_s):
        """Suspend the calling task until `advance` passes the delay."""
        future = asyncio.get_running_loop().create_future()
        due_s = self._now_s + delay_s
        heapq.heappush(self._waiting, (due_s, next(self._order), future))
        await future

    async def advance(self, delay_s):
        """Move time forward and run what falls due, in order."""
        await _settle()
        end_s = self._now_s + delay_s
        while self._waiting and self._waiting[0][0] <= end_s:
            due_s, _, future = heapq.heappop(self._waiting)
            self._now_s = due_s
            if not future.done():
                future.set_result(None)
            await _settle()
        self._now_s = end_s


async def _settle():
    # Twenty passes let chains of woken tasks reach their next wait.
    for _ in range(20):
        await asyncio.sleep(0)


@contextlib.asynccontextmanager
async def cancelling(*tasks):
    """Cancel the tasks and wait for them when the block ends."""
    try:
        yield
    finally:
        await cancel_all(tasks)


async def cancel_all(tasks):
    """Cancel tasks and wait until they have ended."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
