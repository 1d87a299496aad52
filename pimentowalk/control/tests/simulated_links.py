"""Clocks that freeze and connections that a test cuts and delays."""

import asyncio

from pimentowalk.core import errors
from pimentowalk.core import timers
from pimentowalk.wire import codec


class FreezableTimers(timers.TimerService):
    """The shared manual clock, on which a frozen process does not wake."""

    def __init__(self, shared):
        self._shared = shared
        self._thawed = asyncio.Event()
        self._thawed.set()

    def now_s(self):
        """Return the shared time, which goes on during a freeze."""
        return self._shared.now_s()

    async def sleep(self, delay_s):
        """Sleep; wake only when not frozen."""
        await self._shared.sleep(delay_s)
        await self.wait_thawed()

    @property
    def frozen(self):
        """Return whether the process is stopped."""
        return not self._thawed.is_set()

    async def wait_thawed(self):
        """Wait until the process runs."""
        await self._thawed.wait()

    def freeze(self):
        """Stop the process, as SIGSTOP does."""
        self._thawed.clear()

    def thaw(self):
        """Let the process go on."""
        self._thawed.set()


class Link:
    """A connection from one node to another."""

    def __init__(self, simulation, source, target):
        self._simulation = simulation
        self._source = source
        self._target = target
        self._ended = asyncio.Event()
        self._answers = {}

    @property
    def peer(self):
        """Return the node id of the sender, as the receiver sees it."""
        return self._source.node_id

    @property
    def closed(self):
        """Return whether the connection has ended."""
        return self._ended.is_set()

    def abort(self):
        """End the connection."""
        self._ended.set()

    async def run(self):
        """Wait until the connection ends."""
        await self._ended.wait()

    async def reply(self, envelope, body):
        """Answer a call."""
        self._answers[envelope.call_id] = body

    async def call(self, body, timeout_s):
        """Deliver a frame and return its answer, as far as links allow."""
        handled = asyncio.ensure_future(self._deliver(body))
        # What was sent may still arrive after the caller gave up.
        handled.add_done_callback(
            lambda task: task.cancelled() or task.exception()
        )
        expired = asyncio.ensure_future(
            self._simulation.clock.sleep(timeout_s)
        )
        ended = asyncio.ensure_future(self._ended.wait())
        tasks = (handled, expired, ended)
        async with timers.cancelling(expired, ended):
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            await self._source.timers.wait_thawed()
        if handled.done():
            return handled.result()
        if self.closed:
            raise errors.PeerLost('the connection ended')
        raise TimeoutError

    async def _deliver(self, body):
        self._check()
        target = self._target
        await self._simulation.travel()
        await target.timers.wait_thawed()
        self._check()
        call_id = len(self._answers)
        self._answers[call_id] = None
        envelope = codec.Envelope(body, 0, call_id)
        await target.replica.handle(self, envelope)
        await target.timers.wait_thawed()
        await self._simulation.travel()
        self._check()
        return self._answers[call_id]

    def _check(self):
        if self.closed or not self._simulation.linked(
            self._source, self._target
        ):
            self.abort()
            raise errors.PeerLost('the link is cut')
