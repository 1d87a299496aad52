"""Open a second try of a stream before its first one is left."""

import contextlib

from pimentowalk.dispatch import calls
from pimentowalk.dispatch import events
from pimentowalk.dispatch import opening
from pimentowalk.dispatch import transport

FIRST_NON_SUCCESS_STATUS = 300
FIRST_SERVER_ERROR_STATUS = 500
# The head of an opening without an event is asked this often which server has
# stalled. Its first event takes longer than others, since the prompt is read.
REPORT_INTERVAL_S = 0.25


class TakeoverRun(opening.OpeningRun):
    """A call that keeps its present try until another one has an event."""

    def __init__(self, dispatcher, call, service, responder):
        super().__init__(dispatcher, call, service, responder)
        # The opening that became the present try.
        self._adopted = None

    async def _take_over(self, address, reason):
        """Leave a silent server once another one has sent an event.

        Returns whether the stream goes on, at either of them.
        """
        target = self._choose_successor() if self._may_run_beside() else None
        if target is None:
            return False
        opened = self._open(target)
        try:
            stall = await self._await_end(opened)
        except Exception:
            self._close_opening()
            raise
        if self._opening is not opened:
            return True
        # Its event may have come while a report was awaited.
        error = opened.error if opened.has_ended else stall
        if error is None:
            # Without an event, the present server has crashed.
            self._dispatcher.metrics.count('takeovers')
            peer = self._target.backend.address
            self._interrupt(calls.Stalled(reason, peer=peer, culprit=address))
            return True
        self._give_up_opening(error)
        return False

    async def _await_end(self, opened):
        """Wait until an opening has ended; return why it has stalled."""
        has_crashed = self._dispatcher.node.backends.has_crashed
        while not await opened.wait(REPORT_INTERVAL_S):
            stall = await self._find_stall(opened)
            if stall is not None:
                return stall
            if any(has_crashed(server) for server in self.servers):
                return None
        return None

    async def _find_stall(self, opened):
        """Return why an opening is given up for yet another server, or None.

        A head that has sent nothing may have begun to execute, so that it is
        kept if it was the last attempt.
        """
        dispatcher = self._dispatcher
        head = opened.target.backend
        failed = self._failed_server(opened.target)
        address = failed.address if failed is not None else ''
        if not address:
            with contextlib.suppress(calls.TryFailed):
                report = await dispatcher.checks.report(head)
                address = report.stalled.get(self._call.request_id, '')
        culprits = [s for s in opened.target.servers if s.address == address]
        if not culprits:
            return None
        if culprits[0] is head and not self._may_run_beside(opened):
            return None
        dispatcher.checks.check_blamed(culprits[0])
        return calls.Stalled(
            'the path has stalled', peer=head.address, culprit=address
        )

    def _may_run_beside(self, opened=None):
        """Return whether the route allows one more attempt.

        The present try goes on, and may be executed even if it has sent
        nothing so far. So may an opening.
        """
        executions = self._executions + (not self._has_output)
        executions += opened is not None
        return self._may_run_again(executions)

    async def _await_response(self, opening):
        """Return the response of a target once it has an event."""
        response = await self._dispatcher.transport.send(
            self._call,
            opening.target,
            self._remaining_ms(),
            self._last_event_id(),
        )
        try:
            return await self._read_event(response, opening)
        except BaseException:
            response.close()
            raise

    async def _read_event(self, response, opening):
        limits = self._dispatcher.limits
        peer = opening.target.backend.address
        is_success = response.status < FIRST_NON_SUCCESS_STATUS
        if not (is_success and self._has_events(response)):
            return await self._read_whole(response, peer)
        found = events.EventFilter(
            self._last_event_id(), limits.event_bytes, limits.head_bytes
        )
        data = b''
        with self._hold(response, peer) as holding:
            while chunk := await response.read():
                opening.has_output = True
                data += chunk
                self._dispatcher.held_bytes.resize(holding, len(data))
                try:
                    whole = found.feed(chunk)
                except ValueError as error:
                    raise calls.Broken(str(error), peer=peer) from None
                if events.has_event(whole):
                    break
                if len(data) > limits.body_bytes:
                    raise calls.Broken('no event is new', peer=peer)
            else:
                raise calls.Broken(
                    'the stream ended without an event', peer=peer
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
            body = await self._read_body(response, holding)
        return transport.ReadAhead(response, body)

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

    def _has_events(self, response):
        """Return whether a successful response is a series of events."""
        return True

    def _last_event_id(self):
        """Return the id of the last event that the client has received."""
        return 0
