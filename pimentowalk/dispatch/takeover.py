"""Open a second try of a stream before its first one is left."""

import contextlib

from pimentowalk.dispatch import calls
from pimentowalk.dispatch import events
from pimentowalk.dispatch import standby_run
from pimentowalk.dispatch import transport

FIRST_NON_SUCCESS_STATUS = 300
FIRST_SERVER_ERROR_STATUS = 500
# The head of a standby try without an event is asked this often which server
# has stalled. Its first event takes longer, since the prompt is read before.
REPORT_INTERVAL_S = 0.25
# An event that arrives within this time after a server has refused connections
# may have been sent before.
EVENT_TRANSIT_S = 0.1


class TakeoverRun(standby_run.StandbyRun):
    """A call that keeps its present try until another one has an event."""

    def __init__(self, dispatcher, call, service, responder):
        super().__init__(dispatcher, call, service, responder)
        # The standby try that became the present try.
        self._promoted = None

    async def _take_over(self, address, reason):
        """Leave a silent server once another one has sent an event.

        Returns whether the stream goes on, at either of them.
        """
        target = self._choose_successor() if self._may_run_beside() else None
        if target is None:
            return False
        standby = self._open(target)
        try:
            stall = await self._await_end(standby)
        except Exception:
            self._close_standby()
            raise
        if self._standby is not standby:
            return True
        # Its event may have come while a report was awaited.
        error = standby.error if standby.has_ended else stall
        if error is None:
            # Without an event, the present server has crashed.
            self._dispatcher.metrics.count('takeovers')
            peer = self._target.backend.address
            self._interrupt(calls.Stalled(reason, peer=peer, culprit=address))
            return True
        self._give_up_standby(error)
        return False

    def _keep_present(self, now_s):
        """Drop the standby try, since the present one has sent an event.

        It is kept if the path may have failed while the event was on its way:
        a dropped try counts as an attempt, and may be the last one.
        """
        standby = self._standby
        if standby is None:
            return
        is_down = self._dispatcher.node.backends.is_down
        is_recent = now_s - standby.began_s < EVENT_TRANSIT_S
        if not (is_recent and any(map(is_down, self.servers))):
            self._drop_standby()

    async def _await_end(self, standby):
        """Wait until a standby try has ended; return why it has stalled."""
        has_crashed = self._dispatcher.node.backends.has_crashed
        while not await standby.wait(REPORT_INTERVAL_S):
            stall = await self._find_stall(standby)
            if stall is not None:
                return stall
            if any(has_crashed(server) for server in self.servers):
                return None
        return None

    async def _find_stall(self, standby):
        """Return why a standby try is given up for another one, or None.

        A head that has sent nothing may have begun to execute, so that it is
        kept if it was the last attempt.
        """
        dispatcher = self._dispatcher
        head = standby.target.backend
        failed = self._failed_server(standby.target)
        address = failed.address if failed is not None else ''
        if not address:
            with contextlib.suppress(calls.TryFailed):
                report = await dispatcher.checks.report(head)
                address = report.stalled.get(self._call.request_id, '')
        culprits = [s for s in standby.target.servers if s.address == address]
        if not culprits:
            return None
        if culprits[0] is head and not self._may_run_beside(standby):
            return None
        dispatcher.checks.check_blamed(culprits[0])
        return calls.Stalled(
            'the path has stalled', peer=head.address, culprit=address
        )

    def _may_run_beside(self, standby=None):
        """Return whether the route allows one more attempt.

        The present try goes on, and may be executed even if it has sent
        nothing so far. So may a standby try.
        """
        executions = self._executions + (not self._has_output)
        executions += standby is not None
        return self._may_run_again(executions)

    async def _await_response(self, standby):
        """Return the response of a target once it has an event."""
        response = await self._dispatcher.transport.send(
            self._call,
            standby.target,
            self._remaining_ms(),
            self._last_event_id(),
        )
        try:
            return await self._read_event(response, standby)
        except BaseException:
            response.close()
            raise

    async def _read_event(self, response, standby):
        limits = self._dispatcher.limits
        peer = standby.target.backend.address
        is_success = response.status < FIRST_NON_SUCCESS_STATUS
        if not (is_success and self._has_events(response)):
            return await self._read_whole(response, peer)
        found = events.EventFilter(
            self._last_event_id(), limits.event_bytes, limits.head_bytes
        )
        data = b''
        with self._hold(response, peer) as holding:
            while chunk := await response.read():
                standby.has_output = True
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
        if self._promoted is not None:
            return await self._promoted.response()
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
