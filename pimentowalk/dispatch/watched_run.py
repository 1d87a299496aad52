"""Detect why a stream has stalled, and recover it on another path."""

import asyncio
import contextlib
import logging

from pimentowalk.core import logs
from pimentowalk.dispatch import calls
from pimentowalk.dispatch import repeats
from pimentowalk.dispatch import takeover
from pimentowalk.routing import hops as routing_hops

LOG = logging.getLogger(__name__)

# Without an event for this long, the head (the first server of the path) is
# asked which server has stalled; its reports lag by 200 ms. Where a route
# bounds its pauses, the head is asked once the servers were checked, since
# events may follow each other every 150 ms on a slow path.
EVENT_TIMEOUT_S = 0.15
# The first event takes longer, since the prompt is processed before it. If
# the head is asked by now, a retry can still begin within the objective.
FIRST_EVENT_TIMEOUT_S = 0.25
# Delay before the head is asked again; doubles up to the maximum. Reports
# lag by 200 ms, and under load all streams wait and ask.
REPORT_DELAY_S = 0.1
MAX_REPORT_DELAY_S = 0.8
# A head that has refused to reroute a call is not asked again before this.
REROUTE_INTERVAL_S = 0.8
# A path with a failed server is left without asking the head, unless an
# event arrived within this time. Where a route bounds its pauses, the path is
# left at once, or after an event that followed the suspicion when the next one
# is overdue.
FAILED_SERVER_TIMEOUT_S = 0.06


class WatchedRun(takeover.TakeoverRun):
    """A call whose answer is streamed as events over a path of servers."""

    def __init__(self, dispatcher, call, service, responder):
        super().__init__(dispatcher, call, service, responder)
        self.progress_s = 0.0
        # The `pause_watch.PauseWatch` of a route that bounds its pauses.
        self.pauses = None
        self._seen_generation = None
        self._has_output = False
        self._try_task = None
        self._interruption = None
        self._report_task = None
        self._report_count = 0
        self._recovery_task = None
        # Whether the retry budget has granted the next try.
        self._has_retry = False
        # Whether the call has kept a try on a path that had stalled.
        self._has_waited = False
        self._next_reroute_s = 0.0

    @property
    def has_output(self):
        """Return whether the current try has received data."""
        return self._has_output

    @property
    def servers(self):
        """Return the servers of the current path."""
        return self._target.servers if self._target else ()

    @property
    def is_trying(self):
        """Return whether a try is under way."""
        return self._try_task is not None and not self._try_task.done()

    def _choose_hops(self, head=None):
        dispatcher = self._dispatcher
        servers = dispatcher.usable(self._service.name)
        return dispatcher.paths.choose(
            servers,
            routing_hops.PathQuery(
                self._service.engine.total_layers,
                self._tokens,
                dispatcher.zone,
                frozenset(self._excluded),
                head,
                dispatcher.paused_ids(servers),
                dispatcher.pace.costs_s(servers),
            ),
        )

    def _has_successor(self):
        """Return whether another path could take over the call."""
        return bool(self._choose_hops())

    def check_progress(self, now_s):
        """Start a report request or a recovery if the stream has stalled."""
        if not self.is_trying:
            return
        silent_s = now_s - self.progress_s
        is_silent = silent_s >= FAILED_SERVER_TIMEOUT_S
        if self._recovery_task is not None:
            return
        if not is_silent and not self._has_new_view():
            return
        failed = self._failed_server(self._target)
        if failed is not None and self._must_leave(failed, silent_s):
            self._recover(failed.address, 'a server of the path failed')
            return
        timeout_s = (
            self._event_timeout_s()
            if self._has_output
            else FIRST_EVENT_TIMEOUT_S
        )
        is_asking = (
            self._report_task is not None and not self._report_task.done()
        )
        if silent_s >= timeout_s and not is_asking:
            self._report_task = asyncio.ensure_future(
                self._repeat_if_it_fails(self._query_head())
            )

    def _has_new_view(self):
        """Return whether the servers of a watched stream have changed."""
        if self.pauses is None:
            return False
        seen = self._seen_generation
        self._seen_generation = self._dispatcher.node.backends.generation
        return seen != self._seen_generation

    def _must_leave(self, failed, silent_s):
        """Return whether the path is left because of a failed server."""
        suspected_s = None
        if self.pauses is not None:
            suspected_s = self._dispatcher.node.backends.suspected_s(failed)
        if suspected_s is None or not self._has_output:
            timeout_s = FAILED_SERVER_TIMEOUT_S
        else:
            # An event after the suspicion tells that it may be wrong.
            timeout_s = self.pauses.limits.silent_s
        is_later = suspected_s is not None and suspected_s >= self.progress_s
        return (is_later and not self._may_finish(failed)) or (
            silent_s >= timeout_s
        )

    def _may_finish(self, failed):
        """Return whether a suspect may only have stopped listening.

        The connection to a head breaks by itself if the server has ended.
        """
        table = self._dispatcher.node.backends
        is_head = failed.server_id == self._target.backend.server_id
        return is_head and table.is_draining(failed)

    def _event_timeout_s(self):
        """Return the time without an event after which the head is asked."""
        if self.pauses is None:
            return EVENT_TIMEOUT_S
        return max(EVENT_TIMEOUT_S, self.pauses.limits.ask_s)

    @property
    def limits(self):
        """Return the `silence.Limits` of a watched stream."""
        return self.pauses.limits

    def _watch_path(self):
        """Predict the pauses of the path that is used from now on."""
        if self.pauses is not None:
            self.pauses.begin(self._target.hops, self._tokens)

    def _failed_server(self, target):
        """Return a server that failed or unloaded its layers, or None."""
        table = self._dispatcher.node.backends
        for hop in target.hops:
            server = hop.backend
            if table.has_failed(server):
                return server
            known = table.current(server)
            if known is None:
                continue
            # A draining server finishes the requests that it has begun.
            has_layers = (
                known.first_layer <= hop.first_layer
                and hop.end_layer <= known.end_layer
            )
            if known.state == server.state and not has_layers:
                return server
        return None

    async def _query_head(self):
        """Ask the head which server has stalled, and recover from it."""
        dispatcher = self._dispatcher
        head = self._target.backend
        try:
            report = await dispatcher.checks.report(head)
        except calls.NoAnswer:
            # The link may be at fault. A second timeout makes the head
            # suspect, which `check_progress` detects.
            dispatcher.checks.check(head)
            await self._delay_next_report()
            return
        except calls.Paused:
            await self._delay_next_report()
            return
        except calls.TryFailed as error:
            self._recover(head.address, error.message)
            return
        address = report.stalled.get(self._call.request_id)
        if address is None:
            await self._delay_next_report()
            return
        culprit = dispatcher.node.backends.at_address(address)
        if culprit is not None:
            dispatcher.checks.check_blamed(culprit)
        self._recover(address, 'the path has stalled')

    async def _repeat_if_it_fails(self, step):
        """Run a step of the recovery; log an exception and allow it again."""
        try:
            await step
        except Exception:
            LOG.exception(
                'a step of the recovery failed',
                extra=logs.fields(
                    step='recover',
                    peer=self._target.backend.address,
                    request_id=self._call.request_id,
                ),
            )
            await self._delay_next_report()
            self._recovery_task = None

    async def _delay_next_report(self):
        delay_s = min(
            REPORT_DELAY_S * 2**self._report_count, MAX_REPORT_DELAY_S
        )
        self._report_count += 1
        await self._dispatcher.timers.sleep(delay_s)
        self._report_task = None

    def _recover(self, address, reason):
        """Leave a failed server by rerouting or by another execution."""
        if self._recovery_task is None:
            self._recovery_task = asyncio.ensure_future(
                self._repeat_if_it_fails(self._leave_server(address, reason))
            )

    async def _leave_server(self, address, reason):
        await self._confirm_crash(address)
        head = self._target.backend
        suspects = {
            server.server_id
            for server in self._target.servers
            if server.address == address
        } - self._excluded
        self._excluded |= suspects
        # Another execution continues within 100 ms. Rerouting has to wait
        # until the stalled step is given up, but takes no attempt.
        is_head = address == head.address
        must_leave = self._is_lost(address, is_head=is_head)
        may_interrupt = must_leave and self._may_interrupt(is_head=is_head)
        if not must_leave and await self._take_over(address, reason):
            if self._interruption is None:
                # The present server has gone on.
                self._excluded -= suspects
                self._recovery_task = None
            return
        if not (may_interrupt or is_head) and await self._reroute():
            return
        if may_interrupt or (must_leave and self._can_fail()):
            self._interrupt(
                calls.Stalled(reason, peer=head.address, culprit=address)
            )
            return
        self._excluded -= suspects
        await self._wait_for_events(address, reason)

    async def _confirm_crash(self, address):
        """Check a server that another node has found to be down.

        Until the stream leaves it, the other servers of the path hold memory.
        """
        dispatcher = self._dispatcher
        table = dispatcher.node.backends
        for server in self._target.servers:
            is_reported = table.is_down(server) and not table.has_crashed(
                server
            )
            if server.address == address and is_reported:
                with contextlib.suppress(calls.TryFailed):
                    await dispatcher.checks.report(server)

    def _is_lost(self, address, *, is_head):
        """Return whether the present try is left before another one answers.

        It cannot go on if a server has crashed. Behind a failed server it has
        not begun if it has sent nothing, so that closing it saves an attempt.
        """
        table = self._dispatcher.node.backends
        servers = [s for s in self._target.servers if s.address == address]
        if any(table.has_crashed(server) for server in servers):
            return True
        has_begun = self._has_output or is_head or self._may_run_beside()
        return not has_begun and any(map(table.has_failed, servers))

    def _can_execute(self, *, is_head):
        """Return whether the route allows another execution.

        A head that has sent nothing may have begun to execute.
        """
        executions = self._executions + (is_head and not self._has_output)
        return self._may_run_again(executions)

    def _can_fail(self):
        """Return whether the client can repeat the call if it fails now."""
        return not self._responder.started and repeats.may_run_again(
            self._call, repeats.Answer.SENT
        )

    def _may_interrupt(self, *, is_head):
        """Return whether the current try should be given up.

        A call whose failure loses an answer waits for another path and for
        a retry, even if its server is down.
        """
        if self._can_fail():
            return is_head or self._can_execute(is_head=is_head)
        if not (self._can_execute(is_head=is_head) and self._has_successor()):
            return False
        self._has_retry = self._has_retry or self._take_retry()
        return self._has_retry

    async def _acquire_retry(self):
        if self._has_retry:
            self._has_retry = False
            return True
        return await super()._acquire_retry()

    async def _wait_for_events(self, address, reason):
        """Leave the try as it is for a while before the next recovery."""
        if not self._has_waited:
            self._has_waited = True
            self._dispatcher.log_kept_try(
                self._call, self._target, address, reason
            )
        if self._report_task is not None and self._report_task.done():
            await self._delay_next_report()
        else:
            await self._dispatcher.timers.sleep(REPORT_DELAY_S)
        self._recovery_task = None

    async def _reroute(self):
        """Continue over other hops from the same head, if possible."""
        dispatcher = self._dispatcher
        old = self._target
        if dispatcher.timers.now_s() < self._next_reroute_s:
            return False
        if dispatcher.pauses.is_paused(old.backend):
            return False
        hops = self._choose_hops(head=old.hops[0])
        if hops is None:
            return False
        target = calls.Target(old.backend, tuple(hops))
        # Streams that leave a server together are counted before the order
        # is answered. Otherwise all of them choose the same servers.
        dispatcher.in_flight.begin(target.server_ids, self._tokens)
        is_accepted = False
        try:
            await dispatcher.transport.reroute(
                old.backend, self._call.request_id, hops
            )
            is_accepted = True
        except calls.TryFailed as error:
            dispatcher.log_failed_try(self._call, target, error)
            self._next_reroute_s = (
                dispatcher.timers.now_s() + REROUTE_INTERVAL_S
            )
            return False
        finally:
            unused = old if is_accepted else target
            dispatcher.in_flight.end(unused.server_ids, self._tokens)
        dispatcher.metrics.count('moved_paths')
        self._target = target
        self._watch_path()
        self.progress_s = dispatcher.timers.now_s()
        self._recovery_task = None
        return True

    def _interrupt(self, error):
        if self._try_task is not None and not self._try_task.done():
            self._interruption = error
            self._try_task.cancel()
