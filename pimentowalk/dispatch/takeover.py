"""Open a second try of a stream before its first one is left."""

import asyncio
import contextlib

from pimentowalk.dispatch import call_run
from pimentowalk.dispatch import calls
from pimentowalk.dispatch import events
from pimentowalk.dispatch import pacing
from pimentowalk.dispatch import transport
from pimentowalk.routing import pace_state

FIRST_NON_SUCCESS_STATUS = 300
FIRST_SERVER_ERROR_STATUS = 500
# The head of an opening without an event is asked this often which server has
# stalled. Its first event takes longer than others, since the prompt is read.
REPORT_INTERVAL_S = 0.25


class Opening:
    """A try that is awaited while another one is under way.

    `task` returns the response once it has an event; `probe` is that of the
    server's pace.
    """

    def __init__(self, target, probe, task):
        self.target = target
        self.probe = probe
        self._task = task
        task.add_done_callback(_consume_exception)

    async def wait(self, timeout_s):
        """Wait for the end of the task; return whether it has ended."""
        done, _ = await asyncio.wait({self._task}, timeout=timeout_s)
        return bool(done)

    @property
    def error(self):
        """Return the exception of a task that has ended, or None."""
        return self._task.exception()

    async def response(self):
        """Return the response; raise `calls.TryFailed`."""
        return await self._task

    def close(self):
        """End the try, and close its connection."""
        if not self._task.cancel() and not self._task.cancelled():
            if self._task.exception() is None:
                self._task.result().close()


def _consume_exception(task):
    """Retrieve the exception of a task that nobody awaits any more."""
    if not task.cancelled():
        task.exception()


class TakeoverRun(call_run.CallRun):
    """A call that keeps its present try until another one has an event.

    A path and a granted retry promise neither room nor an answer, so that a
    server that is only silent is not left for them.
    """

    def __init__(self, dispatcher, call, service, responder):
        super().__init__(dispatcher, call, service, responder)
        # A try beside the present one, and the opening that became that one.
        self._opening = None
        self._adopted = None
        self._tokens = call.prompt_tokens + call.expected_answer_tokens

    async def run(self):
        """Try until a response is complete; raise PimentowalkError."""
        try:
            await super().run()
        finally:
            self._close_opening()

    def _may_try(self):
        return self._opening is not None or super()._may_try()

    def _count_try(self):
        # An opening was counted when it was sent.
        if self._opening is None:
            super()._count_try()
        self._call.activity.may_have_run = True

    def _reject_if_late(self):
        if self._opening is None:
            super()._reject_if_late()

    def _may_retry(self, error):
        return self._opening is not None or super()._may_retry(error)

    async def _acquire_retry(self):
        if self._opening is not None:
            return True
        return await super()._acquire_retry()

    async def _take_over(self, address, reason, *, is_head):
        """Leave a silent server once another one has sent an event.

        Returns whether the stream goes on, at either of them.
        """
        target = self._choose_successor(is_head=is_head)
        if target is None:
            return False
        metrics = self._dispatcher.metrics
        metrics.count('openings')
        opening = self._open(target)
        stall = None
        while stall is None and not await opening.wait(REPORT_INTERVAL_S):
            stall = await self._find_stall(opening, is_head=is_head)
        if self._opening is not opening:
            return True
        error = stall or opening.error
        if error is None:
            metrics.count('takeovers')
            peer = self._target.backend.address
            self._interrupt(calls.Stalled(reason, peer=peer, culprit=address))
            return True
        self._close_opening()
        if not isinstance(error, calls.TryFailed):
            raise error
        self._record_failure(error, target)
        return False

    def _choose_successor(self, *, is_head):
        """Return a target that may be sent the call now, or None."""
        dispatcher = self._dispatcher
        is_allowed = (
            self._can_execute(is_head=is_head)
            # Both servers may execute the call.
            and self._call.route.attempts > 1
            and self._may_try()
            and dispatcher.timers.now_s() < self._opening_end_s()
        )
        if not is_allowed or dispatcher.is_barred(self._call):
            return None
        target = self._choose()
        return target if target is not None and self._take_retry() else None

    async def _find_stall(self, opening, *, is_head):
        """Return why an opening is given up for yet another server, or None.

        A head that has sent nothing may have begun to execute, so that it is
        kept if it was the last attempt.
        """
        dispatcher = self._dispatcher
        head = opening.target.backend
        failed = self._failed_server(opening.target)
        address = failed.address if failed is not None else ''
        if not address:
            with contextlib.suppress(calls.TryFailed):
                report = await dispatcher.checks.report(head)
                address = report.stalled.get(self._call.request_id, '')
        culprits = [s for s in opening.target.servers if s.address == address]
        if not culprits:
            return None
        if culprits[0] is head and not self._has_spare_execution(is_head):
            return None
        dispatcher.checks.check_blamed(culprits[0])
        return calls.Stalled(
            'the path has stalled', peer=head.address, culprit=address
        )

    def _has_spare_execution(self, is_head):
        """Return whether the route allows an attempt beyond the opening."""
        executions = self._executions + (is_head and not self._has_output)
        return executions + 1 < self._call.route.attempts

    def _drop_opening(self):
        """Keep the present server, which has sent an event first."""
        if self._opening is not None:
            self._dispatcher.metrics.count('dropped_openings')
            # Its server may have begun to execute.
            self._executions += 1
            self._close_opening()

    def _open(self, target):
        """Send the call to a target, beside its present try."""
        dispatcher = self._dispatcher
        super()._count_try()
        dispatcher.in_flight.begin(target.server_ids, self._tokens)
        probe = pacing.begin(
            dispatcher.pace, self._service, self._call, target
        )
        task = asyncio.ensure_future(self._await_event(target))
        self._opening = Opening(target, probe, task)
        return self._opening

    async def _await_event(self, target):
        """Return the response of a target once it has an event."""
        response = await self._dispatcher.transport.send(
            self._call, target, self._remaining_ms(), self._last_event_id()
        )
        try:
            return await self._read_event(response, target.backend.address)
        except BaseException:
            response.close()
            raise

    async def _read_event(self, response, peer):
        limits = self._dispatcher.limits
        is_success = response.status < FIRST_NON_SUCCESS_STATUS
        if not (is_success and self._has_events(response)):
            return await self._read_whole(response, peer)
        found = events.EventFilter(
            self._last_event_id(), limits.event_bytes, limits.head_bytes
        )
        data = b''
        with self._hold(response, peer) as holding:
            while chunk := await response.read():
                data += chunk
                self._dispatcher.held_bytes.resize(holding, len(data))
                try:
                    whole = found.feed(chunk)
                except ValueError as error:
                    raise calls.Broken(str(error), peer=peer) from None
                if whole:
                    break
                if len(data) > limits.body_bytes:
                    raise calls.Broken('no event is new', peer=peer)
            else:
                if found.has_partial:
                    raise calls.Broken(
                        'the stream ended within an event', peer=peer
                    )
            # The end of a response that has been cut is not its own.
            self._dispatcher.held_bytes.resize(holding, len(data))
        return transport.ReadAhead(response, data)

    async def _read_whole(self, response, peer):
        """Return a response without events, once its body is whole."""
        is_error = response.status >= FIRST_SERVER_ERROR_STATUS
        if is_error or self._responder.started:
            raise calls.Broken(f'status {response.status}', peer=peer)
        with self._hold(response, peer) as holding:
            body = await transport.read_body(
                response,
                self._dispatcher.limits,
                peer,
                lambda size: self._dispatcher.held_bytes.resize(holding, size),
            )
            self._dispatcher.held_bytes.resize(holding, len(body))
        return transport.ReadAhead(response, body)

    def _opening_end_s(self):
        """Return until when another server may be tried."""
        return self._call.expires_at_s

    async def _send(self):
        """Return the response of the present try; raise TryFailed."""
        if self._adopted is not None:
            return await self._adopted.response()
        return await self._dispatcher.transport.send(
            self._call,
            self._target,
            self._remaining_ms(),
            self._last_event_id(),
        )

    def _close_opening(self):
        """End the opening, if there is one, and release what it holds."""
        opening, self._opening = self._opening, None
        if opening is not None:
            opening.close()
            dispatcher = self._dispatcher
            dispatcher.in_flight.end(opening.target.server_ids, self._tokens)
            dispatcher.pace.end(opening.probe, pace_state.ABANDONED)

    def _has_events(self, response):
        """Return whether a successful response is a series of events."""
        return True

    def _last_event_id(self):
        """Return the id of the last event that the client has received."""
        return 0
