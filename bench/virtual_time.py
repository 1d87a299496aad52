"""An event loop that skips the time between its timers."""

import asyncio
import selectors

from pimentowalk.core import timers

START_S = 1000.0


class _SkippingSelector(selectors.SelectSelector):
    """Advance a clock by the timeout instead of waiting for it."""

    def __init__(self):
        super().__init__()
        self.now_s = START_S

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError('no timer is left and nothing can run')
        self.now_s += max(0.0, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Run timers in their order without waiting.

    Timeouts of asyncio follow the same clock, so that a simulation depends on
    its seed only.
    """

    def __init__(self):
        self._clock = _SkippingSelector()
        super().__init__(self._clock)

    def time(self):
        """Return the virtual time in seconds."""
        return self._clock.now_s


class LoopTimers(timers.TimerService):
    """Timers on the clock of the running event loop."""

    def now_s(self):
        """Return the time of the event loop."""
        return asyncio.get_running_loop().time()


def run(coroutine):
    """Run a coroutine in virtual time; return its result.

    >>> run(asyncio.sleep(3600, 'done'))
    'done'
    """
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(coroutine)
