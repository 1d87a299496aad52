"""Clocks that can be frozen, and links that can be cut or delayed."""

import asyncio

from pimentowalk.core import errors
from pimentowalk.core import timers
from pimentowalk.wire import codec


class FreezableTimers(timers.TimerService):
    """A view of the shared manual clock for a process that can be frozen."""

    def __init__(self, shared):
        self._shared = shared
        self._thawed = asyncio.Event()
        self._thawed.set()

    def now_s(self):
        """Return the shared time, which advances during a freeze as well."""
        return self._shared.now_s()

    async def sleep(self, delay_s):
        """Sleep; return only while the process is not frozen."""
        await self._shared.sleep(delay_s)
        await self.wait_thawed()

    @property
    def frozen(self):
        """Return whether the process is frozen."""
        return not self._thawed.is_set()

    async def wait_thawed(self):
        """Wait until the process is not frozen."""
        await self._thawed.wait()

    def freeze(self):
        """Freeze the process, as SIGSTOP does."""
        self._thawed.clear()

    def thaw(self):
        """Continue the process, as SIGCONT does."""
        self._thawed.set()


class Link:
    """A simulated connection from one node to another."""

    def __init__(self, simulation, source, target):
        self._simulation = simulation
        self._source = source
        self._target = target
        self._closed_event = asyncio.Event()
        self._replies = {}

    @property
    def peer(self):
        """Return the node id of the caller, as the receiver sees it."""
        return self._source.node_id

    @property
    def closed(self):
        """Return whether the connection is closed."""
        return self._closed_event.is_set()

    def abort(self):
        """Close the connection."""
        self._closed_event.set()

    async def run(self):
        """Wait until the connection is closed."""
        await self._closed_event.wait()

    async def reply(self, envelope, body):
        """Answer a call."""
        self._replies[envelope.call_id] = body

    async def call(self, body, timeout_s):
        """Deliver a frame and return its reply, subject to cuts and delays."""
        delivery = asyncio.ensure_future(self._deliver(body))
        # The frame may still be delivered after the caller has given up.
        delivery.add_done_callback(
            lambda task: task.cancelled() or task.exception()
        )
        timeout = asyncio.ensure_future(
            self._simulation.clock.sleep(timeout_s)
        )
        closing = asyncio.ensure_future(self._closed_event.wait())
        tasks = (delivery, timeout, closing)
        async with timers.cancelling(timeout, closing):
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            await self._source.timers.wait_thawed()
        if delivery.done():
            return delivery.result()
        if self.closed:
            raise errors.PeerLost('the connection was closed')
        raise TimeoutError

    async def _deliver(self, body):
        self._check_reachable()
        target = self._target
        await self._simulation.delay_delivery()
        await target.timers.wait_thawed()
        self._check_reachable()
        call_id = len(self._replies)
        self._replies[call_id] = None
        envelope = codec.Envelope(body, 0, call_id)
        await target.replica.handle(self, envelope)
        await target.timers.wait_thawed()
        await self._simulation.delay_delivery()
        self._check_reachable()
        return self._replies[call_id]

    def _check_reachable(self):
        if self.closed or not self._simulation.can_reach(
            self._source, self._target
        ):
            self.abort()
            raise errors.PeerLost('the link is cut')
