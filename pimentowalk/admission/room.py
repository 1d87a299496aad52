"""Hold new streams back while no path has room for them."""

import asyncio
import itertools

import attrs

# One waiting stream is begun in this time at most. Other nodes learn of it
# later, so that many at once would fill the servers again.
POLL_S = 0.02


@attrs.define(eq=False)
class Waiting:
    """A stream that waits for room.

    `find()` returns a target with room, or None. After `due_s` the stream
    cannot meet its objective any more.
    """

    find: object
    priority: int
    due_s: float
    granted: asyncio.Future
    serial: int = attrs.field(factory=itertools.count().__next__)

    def rank(self, now_s):
        """Return what orders the streams that wait, least first."""
        return now_s > self.due_s, self.priority, self.serial


class AdmissionQueue:
    """Streams that wait for room, the most urgent and then the oldest first.

    Those that are late already let the others go first: in the order of
    their arrival all would be late as long as a crest lasts.
    """

    def __init__(self, timers):
        self._timers = timers
        self._waiting = []
        self._polling = None

    def __len__(self):
        return len(self._waiting)

    def must_wait(self, priority):
        """Return whether a new stream would have to wait for its turn."""
        now_s = self._timers.now_s()
        return any(
            x.rank(now_s) < (False, priority + 1, 0) for x in self._waiting
        )

    async def wait(self, find, priority, *, due_s, until_s):
        """Return what `find` returns when it is the turn, None if late."""
        left_s = until_s - self._timers.now_s()
        if left_s <= 0:
            return None
        granted = asyncio.get_running_loop().create_future()
        entry = Waiting(find, priority, due_s, granted)
        self._waiting.append(entry)
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

    async def _poll(self):
        try:
            while self._waiting:
                await self._timers.sleep(POLL_S)
                self._grant_one()
        finally:
            self._polling = None

    def _grant_one(self):
        """Let one stream go: of each priority, the first in turn is asked."""
        now_s = self._timers.now_s()
        asked = set()
        for entry in sorted(self._waiting, key=lambda x: x.rank(now_s)):
            if entry.priority in asked:
                continue
            asked.add(entry.priority)
            target = entry.find()
            if target is not None:
                self._waiting.remove(entry)
                if not entry.granted.done():
                    entry.granted.set_result(target)
                return
