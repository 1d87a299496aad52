"""Queue of streams that wait until a path has room for them."""

import asyncio
import itertools
import math

import attrs

from pimentowalk.admission import headroom as admission_headroom
from pimentowalk.admission import orders
from pimentowalk.admission import returns

# At most one waiting stream is admitted per period. Other nodes learn of it
# with a delay, so that admitting many at once would overfill the servers.
POLL_S = 0.02
# A newcomer is refused if its expected wait exceeds this share of the time
# that is left. Estimates are often too low, and a stream that waits in vain is
# refused late.
REFUSAL_SHARE = 0.15
# More urgent arrivals leave at least this share of the drain rate to others.
MIN_DRAIN_SHARE = 0.1


@attrs.define(eq=False)
class WaitingStream:
    """A stream that waits for a path with room.

    `find()` returns a target with room, or None. After `due_s` the stream can
    no longer meet its latency objective. `order` is one of `orders.ORDERS`.
    `account_rank()`, if given, returns the use of the client account relative
    to its share.
    """

    find: object
    priority: int
    due_s: float
    granted: asyncio.Future
    order: orders.OverdueLast
    since_s: float = 0.0
    account_rank: object = None
    serial: int = attrs.field(factory=itertools.count().__next__)

    @property
    def is_over_share(self):
        """Return whether the client account is over its share."""
        return self.account_rank is not None and self.account_rank() > 1

    def rank(self, now_s):
        """Return the sort key of the queue; the least goes first."""
        rank = self.account_rank() if self.account_rank else 0.0
        return *self.level(now_s), rank, self.serial

    def level(self, now_s):
        """Return the part of the key that does not depend on the account."""
        return self.order.level(self.priority, self.due_s, now_s)


class AdmissionQueue:
    """Streams that wait for room, by priority, account and then by arrival.

    With one priority, streams that have missed their objective go last. In
    order of arrival, all streams would miss it for as long as an overload
    lasts. With several priorities, they go after those of their priority.
    """

    def __init__(self, timers, order='overdue_last', *, refuses_early=False):
        self._timers = timers
        self._waiting = []
        self._poll_task = None
        self._refuses_early = refuses_early
        self.headroom = admission_headroom.Headroom(timers.now_s)
        self._returns = returns.ReturnPlan(timers.now_s)
        self.has_priorities = False
        if refuses_early:
            # The queue stays short, so that no stream needs to go last.
            order = 'strict'
        self._default_order = order
        self._order = orders.ORDERS.get(order)(self.headroom)

    def __len__(self):
        return len(self._waiting)

    def set_priorities(self, priorities):
        """Keep room for the more urgent streams if priorities differ."""
        has_priorities = len(priorities) > 1
        if has_priorities == self.has_priorities:
            return
        self.has_priorities = has_priorities
        name = 'headroom' if has_priorities else self._default_order
        self._order = orders.ORDERS.get(name)(self.headroom)
        for stream in self._waiting:
            stream.order = self._order

    def must_wait(self, priority):
        """Return whether a new stream would have to queue behind others."""
        return bool(self._ahead(priority))

    def _ahead(self, priority):
        """Return the streams that go before a new one."""
        now_s = self._timers.now_s()
        level = self._order.level(priority, math.inf, now_s)
        return [x for x in self._waiting if x.level(now_s) <= level]

    def expected_wait_s(self, priority):
        """Return how long a new stream would wait, 0 if that is unknown.

        The reserve may hold up a short queue for long, so that the estimate
        is no less than the time that a stream ahead has already waited.
        """
        ahead = self._ahead(priority)
        drain_per_s = self.headroom.drain_rate_per_s()
        if not ahead or drain_per_s <= 0:
            return 0.0
        left_per_s = drain_per_s - self.headroom.arrival_rate_per_s(priority)
        queue_s = len(ahead) / max(left_per_s, MIN_DRAIN_SHARE * drain_per_s)
        oldest_s = self._timers.now_s() - min(x.since_s for x in ahead)
        return max(queue_s, oldest_s)

    def must_refuse(self, priority, left_s):
        """Return whether a new stream would probably wait in vain.

        `left_s` is the time until it can no longer meet its objective.
        """
        if not (self.has_priorities or self._refuses_early):
            return False
        return self.expected_wait_s(priority) > REFUSAL_SHARE * left_s

    def plan_return_s(self, priority):
        """Return after how long a refused caller should return, 0 if unknown.

        It takes the next free place among the returning callers.
        """
        if not (self.has_priorities or self._refuses_early):
            return 0.0
        return self._returns.plan_s(
            priority,
            self.expected_wait_s(priority),
            self.headroom.drain_rate_per_s(),
        )

    async def wait(self, find, priority, *, due_s, until_s, account_rank=None):
        """Return the target for a stream, or None after `until_s`."""
        now_s = self._timers.now_s()
        timeout_s = until_s - now_s
        if timeout_s <= 0:
            return None
        granted = asyncio.get_running_loop().create_future()
        stream = WaitingStream(
            find,
            priority,
            due_s,
            granted,
            self._order,
            now_s,
            account_rank,
        )
        self._waiting.append(stream)
        if self._poll_task is None:
            self._poll_task = asyncio.ensure_future(self._poll())
        try:
            async with asyncio.timeout(timeout_s):
                return await granted
        except TimeoutError:
            return None
        finally:
            if stream in self._waiting:
                self._waiting.remove(stream)

    async def _poll(self):
        try:
            while self._waiting:
                await self._timers.sleep(POLL_S)
                self._admit_one()
        finally:
            self._poll_task = None

    def _admit_one(self):
        """Admit one stream, trying only the first one of each priority.

        Accounts over their shares find less room than others, so that the
        first one of each kind is tried.
        """
        now_s = self._timers.now_s()
        tried = set()
        for stream in sorted(self._waiting, key=lambda x: x.rank(now_s)):
            group = stream.priority, stream.is_over_share
            if group in tried:
                continue
            tried.add(group)
            try:
                target = stream.find()
            except Exception as error:
                # It ends this stream alone, whose task logs the error.
                self._waiting.remove(stream)
                if not stream.granted.done():
                    stream.granted.set_exception(error)
                continue
            if target is not None:
                self._waiting.remove(stream)
                if not stream.granted.done():
                    stream.granted.set_result(target)
                return


class AdmissionQueues:
    """The queue of each service.

    A service whose servers are full must not hold up the streams of others.
    """

    def __init__(self, timers, *, refuses_early=False):
        self._timers = timers
        self._refuses_early = refuses_early
        self._priorities = {}
        self._queues = {}

    def __len__(self):
        return sum(len(queue) for queue in self._queues.values())

    def set_priorities(self, priorities):
        """Set the priorities of the routes of each service."""
        self._priorities = priorities
        for name, queue in self._queues.items():
            queue.set_priorities(priorities.get(name, ()))

    def of_service(self, name):
        """Return the queue of a service."""
        if name not in self._queues:
            queue = AdmissionQueue(
                self._timers, refuses_early=self._refuses_early
            )
            queue.set_priorities(self._priorities.get(name, ()))
            self._queues[name] = queue
        return self._queues[name]

    def keep_only(self, names):
        """Forget the queues of all other services in which no stream waits."""
        self._queues = {
            name: queue
            for name, queue in self._queues.items()
            if name in names or len(queue)
        }
