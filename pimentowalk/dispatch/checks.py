"""Ask backend servers for their state when requests fail there."""

import asyncio

from pimentowalk.dispatch import calls

# An answer serves all runs that ask within this time, since each question
# costs the server work.
FRESH_S = 0.12
# A server that is only looked at in passing is asked this often at most.
CHECK_AGAIN_S = 0.6
# Two questions without an answer within this time make a server suspect.
UNANSWERED_S = 1.5
# If more servers than this do not answer, the links of this node are at
# fault: failures of single servers seldom come together.
MOST_UNANSWERED = 2


class ServerChecks:
    """Share questions among the runs that have them at the same time.

    `suspect(backend, reason)` is called for a server that cannot be
    reached, `note(backend, report)` for one that answers and
    `delegate(backend)` for one in another zone that does not.
    """

    def __init__(self, transport, timers, zone, suspect, note, delegate):
        self._zone = zone
        self._delegate = delegate
        self._transport = transport
        self._timers = timers
        self._suspect = suspect
        self._note = note
        self._asked = {}
        self._unanswered = {}
        self._accused = {}
        self._tasks = set()

    async def report(self, backend):
        """Return the report of a server; raise TryFailed."""
        now_s = self._timers.now_s()
        asked_s, task = self._asked.get(backend.server_id, (0.0, None))
        if task is None or (task.done() and now_s - asked_s > FRESH_S):
            task = asyncio.ensure_future(self._ask(backend))
            task.add_done_callback(_retrieve)
            self._asked[backend.server_id] = now_s, task
        # A run that is cancelled must not end the question of the others.
        return await asyncio.shield(task)

    async def _ask(self, backend):
        try:
            report = await self._transport.fetch_report(backend)
        except calls.NoAnswer as error:
            self._note_unanswered(backend, error)
            raise
        except calls.Unreachable as error:
            self._suspect(backend, error.message)
            raise
        self._unanswered.pop(backend.server_id, None)
        self._note(backend, report)
        return report

    def _note_unanswered(self, backend, error):
        """Suspect a server that stays silent while others answer.

        Silence across zones may be the fault of the link, so that nodes in
        the zone of the server are to find out.
        """
        now_s = self._timers.now_s()
        accused_s = self._accused.get(backend.server_id, float('-inf'))
        if now_s - accused_s < UNANSWERED_S:
            del self._accused[backend.server_id]
            self._suspect(backend, error.message)
            return
        if backend.zone != self._zone:
            self._delegate(backend)
            return
        oldest_s = now_s - UNANSWERED_S
        self._unanswered = {
            server_id: at_s
            for server_id, at_s in self._unanswered.items()
            if at_s > oldest_s
        }
        is_second = backend.server_id in self._unanswered
        self._unanswered[backend.server_id] = now_s
        if is_second and len(self._unanswered) <= MOST_UNANSWERED:
            self._suspect(backend, error.message)

    def keep_only(self, server_ids):
        """Forget servers that are gone."""
        for known in (self._asked, self._unanswered, self._accused):
            for server_id in known.keys() - server_ids:
                del known[server_id]

    def accuse(self, backend):
        """Find out whether a server works that a head named as at fault.

        It may only have given up the layers that the request needed, so it
        is asked; but no second question is needed if it does not answer.
        """
        self._accused[backend.server_id] = self._timers.now_s()
        self.check(backend)

    def check(self, backend):
        """Find out in the background whether a server works."""
        asked_s, _ = self._asked.get(backend.server_id, (-CHECK_AGAIN_S, None))
        if self._timers.now_s() - asked_s < CHECK_AGAIN_S:
            return
        task = asyncio.ensure_future(self._check(backend))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def answers(self, backend):
        """Return whether a server answers one of two questions."""
        for _ in range(2):
            try:
                await self.report(backend)
            except calls.NoAnswer:
                continue
            except calls.TryFailed:
                return False
            return True
        return False

    async def _check(self, backend):
        # The second question confirms a first one that had no answer.
        for _ in range(2):
            try:
                await self.report(backend)
            except calls.NoAnswer:
                continue
            except calls.TryFailed:
                # `_ask` has reported a server that cannot be reached; one
                # that answers in another way works.
                return
            return


def _retrieve(task):
    """Take the exception of a question whose runs have all ended."""
    if not task.cancelled():
        task.exception()
