"""A timeout for frames of one attempt."""

import asyncio

import attrs

# The share of a limit after which the limit is looked at again, so that a
# shorter limit set meanwhile is noticed.
CHECK_SHARE = 0.25


@attrs.frozen
class Overdue:
    """Tell a request that nothing arrived within the limit."""

    waited_s: float


class Watchdog:
    """Put `Overdue` into a queue when a limit passes without progress.

    One task serves all tokens of an attempt: progress moves the limit, and
    the task notices when it wakes.
    """

    def __init__(self, timers, inbox, period_s):
        self._timers = timers
        self._inbox = inbox
        self._period_s = period_s * CHECK_SHARE
        self._since_s = timers.now_s()
        self._limit_s = float('inf')
        self._task = asyncio.ensure_future(self._watch())

    def expect(self, limit_s):
        """Expect progress within a limit from now."""
        self._since_s = self._timers.now_s()
        self._limit_s = limit_s

    @property
    def is_overdue(self):
        """Return whether the limit has passed without progress."""
        return self._timers.now_s() - self._since_s >= self._limit_s

    def stop(self):
        """Stop watching."""
        self._task.cancel()

    async def _watch(self):
        while True:
            waited_s = self._timers.now_s() - self._since_s
            if waited_s >= self._limit_s:
                self._inbox.put_nowait(Overdue(waited_s))
                return
            left_s = self._limit_s - waited_s
            await self._timers.sleep(min(left_s, self._period_s))
