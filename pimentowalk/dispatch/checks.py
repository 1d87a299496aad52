"""Check backend servers on demand when requests to them fail."""

import asyncio
import logging

from pimentowalk.core import logs
from pimentowalk.dispatch import calls

LOG = logging.getLogger(__name__)

# Runs that ask within this time share one report, since each report costs
# the server work.
REPORT_TTL_S = 0.12
# Minimum time between two background checks of a server.
MIN_CHECK_INTERVAL_S = 0.6
# Two reports that time out within this time make a server suspect.
UNANSWERED_WINDOW_S = 1.5
# Minimum time between two checks of a server over which streams are silent. It
# may fail soon after it has answered.
MIN_PROBE_INTERVAL_S = 0.15
# If more servers than this do not answer, the links of this node are at
# fault: single servers seldom fail together.
MAX_UNANSWERED = 2


class ServerChecks:
    """Fetch server reports once for all runs that need them together.

    `suspect(backend, reason, is_down=...)` is called for a server that cannot
    be reached, `record(backend, report)` for one that answers and
    `delegate(backend)` for one in another zone that does not answer. A server
    is not asked while `is_paused(backend)` is true.
    """

    def __init__(
        self,
        transport,
        timers,
        zone,
        suspect,
        record,
        delegate,
        is_paused=lambda backend: False,
    ):
        self._zone = zone
        self._delegate = delegate
        self._transport = transport
        self._timers = timers
        self._is_paused = is_paused
        self._suspect = suspect
        self._record = record
        self._fetches = {}
        self._unanswered = {}
        self._blamed = {}
        self._answered_s = {}
        self._tasks = set()

    async def report(self, backend):
        """Return the report of a server; raise TryFailed.

        Raises Paused without a request if the server wants none.
        """
        if self._is_paused(backend):
            raise calls.Paused('the server pauses', peer=backend.address)
        now_s = self._timers.now_s()
        started_s, task = self._fetches.get(backend.server_id, (0.0, None))
        if task is None or (task.done() and now_s - started_s > REPORT_TTL_S):
            task = asyncio.ensure_future(self._fetch(backend))
            task.add_done_callback(_consume_exception)
            self._fetches[backend.server_id] = now_s, task
        # A cancelled run must not cancel the fetch for the other runs.
        return await asyncio.shield(task)

    async def _fetch(self, backend):
        try:
            report = await self._transport.fetch_report(backend)
        except calls.NoAnswer as error:
            self._record_unanswered(backend, error)
            raise
        except calls.Unreachable as error:
            self._suspect(backend, error.message, is_down=True)
            raise
        self._unanswered.pop(backend.server_id, None)
        self._answered_s[backend.server_id] = self._timers.now_s()
        self._record(backend, report)
        return report

    def _record_unanswered(self, backend, error):
        """Suspect a server that does not answer while others do.

        A timeout across zones may be the fault of the link, so nodes in the
        zone of the server are asked to check it.
        """
        now_s = self._timers.now_s()
        blamed_s = self._blamed.get(backend.server_id, float('-inf'))
        if now_s - blamed_s < UNANSWERED_WINDOW_S:
            del self._blamed[backend.server_id]
            self._suspect(backend, error.message)
            return
        if backend.zone != self._zone:
            self._delegate(backend)
            return
        oldest_s = now_s - UNANSWERED_WINDOW_S
        self._unanswered = {
            server_id: at_s
            for server_id, at_s in self._unanswered.items()
            if at_s > oldest_s
        }
        is_second = backend.server_id in self._unanswered
        self._unanswered[backend.server_id] = now_s
        if is_second and len(self._unanswered) <= MAX_UNANSWERED:
            self._suspect(backend, error.message)

    def keep_only(self, server_ids):
        """Remove the state of all other servers."""
        for known in (
            self._fetches,
            self._unanswered,
            self._blamed,
            self._answered_s,
        ):
            for server_id in known.keys() - server_ids:
                del known[server_id]

    def check_blamed(self, backend):
        """Check a server that the head of a path reported as faulty.

        It may only have unloaded the layers that the request needed, so it
        is checked first. The report of the head counts as one timeout: a
        single timeout then makes the server suspect.
        """
        self._blamed[backend.server_id] = self._timers.now_s()
        self.check(backend)

    def check(self, backend):
        """Check in the background whether a server works."""
        started_s, _ = self._fetches.get(
            backend.server_id, (-MIN_CHECK_INTERVAL_S, None)
        )
        if self._timers.now_s() - started_s >= MIN_CHECK_INTERVAL_S:
            self._start(self._check(backend), backend)

    def _start(self, check, backend):
        task = asyncio.ensure_future(log_failed_check(check, backend))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def answered_s(self, server_id):
        """Return when a server has last answered a report request."""
        return self._answered_s.get(server_id, float('-inf'))

    def may_probe(self, backend):
        """Return whether a server may be probed now."""
        started_s, task = self._fetches.get(
            backend.server_id, (float('-inf'), None)
        )
        is_asked = task is not None and not task.done()
        age_s = self._timers.now_s() - started_s
        return not is_asked and age_s >= MIN_PROBE_INTERVAL_S

    def probe(self, backend):
        """Check a server over which streams are silent.

        A refused connection proves at once that it is down. Silent streams do
        not count as a timeout: under load they and the answers of sound
        servers are late together. A limit of 30 ms made 12 servers suspect
        within seconds on a day without failures, and cut 86 streams.
        """
        self._start(self._check(backend), backend)

    async def answers(self, backend):
        """Return whether a server answers one of two report requests."""
        for _ in range(2):
            try:
                await self.report(backend)
            except calls.NoAnswer:
                continue
            except calls.Paused:
                # It has answered a short time ago.
                return True
            except calls.TryFailed:
                return False
            return True
        return False

    async def _check(self, backend):
        # A second request confirms that the first one timed out.
        for _ in range(2):
            try:
                await self.report(backend)
            except calls.NoAnswer:
                continue
            except calls.TryFailed:
                # `_fetch` has reported an unreachable server; one that
                # sends another response works.
                return
            return


async def log_failed_check(check, backend):
    """Await the check of a server; log an exception with the server."""
    try:
        await check
    except Exception:
        LOG.exception(
            'the check of a server failed',
            extra=logs.fields(
                step='check', peer=backend.address, server=backend.server_id
            ),
        )


def _consume_exception(task):
    """Retrieve the exception of a fetch that no run awaits any more."""
    if not task.cancelled():
        task.exception()
