"""Detect that an attempt makes no progress."""

import asyncio

import attrs

# The watchdog wakes after this fraction of the typical limit at the latest,
# so that it notices a shorter limit set while it slept.
CHECK_FRACTION = 0.25


@attrs.frozen
class ProgressTimeout:
    """Event: no progress was made within the limit."""

    waited_s: float


class Watchdog:
    """Put `ProgressTimeout` into a queue when the time limit expires.

    One task per attempt instead of one timer per token: each token moves the
    limit, and the task reads the new limit when it wakes.
    """

    def __init__(self, timers, inbox, typical_limit_s):
        self._timers = timers
        self._inbox = inbox
        self._max_sleep_s = typical_limit_s * CHECK_FRACTION
        self._limit_set_s = timers.now_s()
        self._limit_s = float('inf')
        self._task = asyncio.ensure_future(self._watch())

    def set_limit(self, limit_s):
        """Restart the time limit from now."""
        self._limit_set_s = self._timers.now_s()
        self._limit_s = limit_s

    @property
    def has_expired(self):
        """Return whether the current limit has passed."""
        return self._timers.now_s() - self._limit_set_s >= self._limit_s

    def stop(self):
        """Cancel the watchdog task."""
        self._task.cancel()

    async def _watch(self):
        while True:
            waited_s = self._timers.now_s() - self._limit_set_s
            if waited_s >= self._limit_s:
                self._inbox.put_nowait(ProgressTimeout(waited_s))
                return
            left_s = self._limit_s - waited_s
            await self._timers.sleep(min(left_s, self._max_sleep_s))
