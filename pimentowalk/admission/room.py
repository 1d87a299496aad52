"""Hold new streams back while no path has room for them."""

import asyncio
import heapq
import itertools

# One waiting stream is begun in this time at most. Other nodes learn of it
# later, so that many at once would fill the servers again.
POLL_S = 0.02


class RoomQueue:
    """Streams that wait for room, the most urgent and then the oldest first.

    `find()` of a waiting stream returns a target with room, or None.
    """

    def __init__(self, timers):
        self._timers = timers
        self._waiting = []
        self._order = itertools.count()
        self._polling = None

    def __len__(self):
        return len(self._waiting)

    def is_ahead(self, priority):
        """Return whether a new stream would have to wait for its turn."""
        return bool(self._waiting) and self._waiting[0][0] <= priority

    async def wait(self, find, priority, until_s):
        """Return what `find` returns when it is the turn, None if late."""
        left_s = until_s - self._timers.now_s()
        if left_s <= 0:
            return None
        granted = asyncio.get_running_loop().create_future()
        entry = (priority, next(self._order), find, granted)
        heapq.heappush(self._waiting, entry)
        if self._polling is None:
            self._polling = asyncio.ensure_future(self._poll())
        try:
            async with asyncio.timeout(left_s):
                return await granted
        except TimeoutError:
            return None
        finally:
            if entry in self._waiting:
                self._waiting.remove(entry)
                heapq.heapify(self._waiting)

    async def _poll(self):
        try:
            while self._waiting:
                await self._timers.sleep(POLL_S)
                self._grant_one()
        finally:
            self._polling = None

    def _grant_one(self):
        if not self._waiting:
            return
        _, _, find, granted = self._waiting[0]
        target = find()
        if target is not None:
            heapq.heappop(self._waiting)
            if not granted.done():
                granted.set_result(target)
