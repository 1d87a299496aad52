"""Run a call at one server of a service without an engine."""

import contextlib

from pimentowalk.core import errors
from pimentowalk.dispatch import calls
from pimentowalk.dispatch import standby_run
from pimentowalk.dispatch import transport
from pimentowalk.routing import pace_state

# Another server is tried beside one that has not answered a repeatable call
# after this share of its remaining time.
SILENCE_SHARE = 0.45
MIN_SILENCE_S = 0.15
FIRST_SERVER_ERROR_STATUS = 500
# Load penalty of a server in another zone, as a share of its slots.
ZONE_PENALTY = 0.15
# Load penalty of a server that fails all calls, as a multiple of its slots.
FAILURE_PENALTY = 2.0
# Breaks ties between equal servers at random.
JITTER = 0.05


def choose_server(
    backends, in_flight, outcomes, *, zone, excluded, rng, pace=pace_state.OFF
):
    """Return the server with the least load for its slots, or None."""
    best = None
    for backend in backends:
        if backend.server_id in excluded:
            continue
        slots = max(pace.slots(backend), 1)
        load = in_flight.requests(backend.server_id) / slots
        load += 0 if backend.zone == zone else ZONE_PENALTY
        load += outcomes.failure_share(backend.server_id) * FAILURE_PENALTY
        load += rng.random() * JITTER
        if best is None or load < best[0]:
            best = load, backend
    return best[1] if best else None


def choose_usable(dispatcher, service_name, excluded):
    """Return the usable server of a service with the least load, or None."""
    servers = dispatcher.usable(service_name)
    excluded = excluded | dispatcher.paused_ids(servers)
    best = None
    while True:
        found = choose_server(
            servers,
            dispatcher.in_flight,
            dispatcher.outcomes,
            zone=dispatcher.zone,
            excluded=excluded,
            rng=dispatcher.rng,
            pace=dispatcher.pace,
        )
        best = best or found
        if found is None or dispatcher.pace.has_room(found):
            # A call has no queue here, and a server above its limit is better
            # than none.
            return found or best
        excluded = excluded | {found.server_id}


class WholeResponse(transport.ReadAhead):
    """A response whose body has been read and is held until it is closed."""

    def __init__(self, response, body, holding, release):
        super().__init__(response, body)
        self.body = body
        self.holding = holding
        self._release = release

    def close(self):
        """Close the connection, and release the body."""
        self._release()


class PlainRun(standby_run.StandbyRun):
    """One call of a service without an engine, with its tries."""

    def __init__(self, dispatcher, call, service, responder):
        super().__init__(dispatcher, call, service, responder)
        # The servers hold no tokens, only requests.
        self._tokens = 0

    def _choose(self):
        backend = choose_usable(
            self._dispatcher, self._service.name, self._excluded
        )
        return calls.Target(backend) if backend else None

    def _has_spare_attempt(self):
        """Return whether an attempt is left beside the tries under way."""
        under_way = 1 + (self._standby is not None)
        return self._may_run_again(self._executions + under_way)

    def _has_expired(self):
        # An answer that is ready is delivered, also late.
        is_ready = self._standby is not None and self._standby.has_ended
        return super()._has_expired() and not is_ready

    def _left_s(self):
        return self._call.expires_at_s - self._dispatcher.timers.now_s()

    async def _try_target(self):
        present = self._standby or self._begin(self._target)
        self._standby = None
        try:
            response = await self._first_response(present)
            is_error = response.status >= FIRST_SERVER_ERROR_STATUS
            if is_error and (self._standby or self._has_spare_attempt()):
                raise _status_error(response, present.target)
            # A body that has been cut is not held any more.
            self._dispatcher.held_bytes.resize(
                response.holding, len(response.body)
            )
            self._drop_standby()
            self._dispatcher.pace.end(present.probe, pace_state.ANSWERED)
            self._dispatcher.outcomes.record(
                present.target.backend.server_id, failed=is_error
            )
            await self._send_body(response, response.body, response.holding)
        finally:
            self._end(present)

    async def _first_response(self, present):
        """Return the response of the present try; raise TryFailed.

        Fails also once another server has answered first, whose try is then
        the standby try.
        """
        left_s = self._left_s()
        silence_s = max(left_s * SILENCE_SHARE, MIN_SILENCE_S)
        if not await present.wait(min(silence_s, left_s)):
            await self._try_others(present)
        if not await present.wait(max(self._left_s(), 0)):
            peer = present.target.backend.address
            raise calls.Broken(
                'no complete response before the deadline', peer=peer
            )
        return await present.response()

    async def _try_others(self, present):
        """Try other servers while the present one is silent."""
        dispatcher = self._dispatcher
        backend = present.target.backend
        self._excluded.add(backend.server_id)
        if self._has_spare_attempt():
            dispatcher.checks.check(backend)
        while self._has_spare_attempt():
            target = self._choose_successor()
            if target is None:
                dispatcher.log_kept_try(
                    self._call, present.target, backend.address, 'no response'
                )
                return
            standby = self._open(target)
            await present.wait(max(self._left_s(), 0), standby)
            if present.has_ended or not standby.has_ended:
                return
            if standby.error is not None:
                self._give_up_standby(standby.error)
                continue
            response = await standby.response()
            if response.status >= FIRST_SERVER_ERROR_STATUS:
                # It is passed on if the present try brings no answer.
                return
            dispatcher.metrics.count('takeovers')
            raise calls.Stalled(
                'another server has answered first',
                peer=backend.address,
                culprit=backend.address,
            )

    async def _await_response(self, standby):
        """Return the whole response of a target; raise TryFailed."""
        target = standby.target
        response = await self._dispatcher.transport.send(
            self._call, target, self._remaining_ms(), 0
        )
        with contextlib.ExitStack() as stack:
            stack.callback(response.close)
            is_error = response.status >= FIRST_SERVER_ERROR_STATUS
            if is_error and self._has_spare_attempt():
                raise _status_error(response, target)
            holding = stack.enter_context(
                self._hold(response, target.backend.address)
            )
            body = await self._read_body(response, holding)
            return WholeResponse(
                response, body, holding, stack.pop_all().close
            )

    def _handle_failure(self, error):
        self._record_failure(error, self._target)

    def _record_failure(self, error, target, *, has_output=False):
        dispatcher = self._dispatcher
        if isinstance(error, calls.Refused):
            dispatcher.pace.record_refusal(target.backend.server_id)
        else:
            self._executions += 1
        self._excluded.add(target.backend.server_id)
        dispatcher.outcomes.record(target.backend.server_id, failed=True)
        dispatcher.log_failed_try(self._call, target, error)
        if calls.proves_server_down(error):
            dispatcher.suspect(target.backend, error.message, is_down=True)
        else:
            dispatcher.checks.check(target.backend)
        if not isinstance(error, calls.Refused):
            dispatcher.report_failed_run(
                self._call, target.backend, has_output=False
            )

    def _final_error(self, failure):
        call = self._call
        if self._dispatcher.timers.now_s() >= call.expires_at_s:
            return errors.PimentowalkError(
                'no response before the deadline',
                code='deadline',
                step='forward',
            )
        if failure is None or not self._executions:
            return errors.PimentowalkError(
                'no backend server took the call',
                code='not_run',
                step='forward',
                peer=failure.peer if failure else '',
                retry_after_s=self._dispatcher.pauses.remaining_s(
                    self._dispatcher.usable(self._service.name)
                ),
            )
        return errors.OutcomeUnknown(
            failure.message, step=failure.step, peer=failure.peer
        )


def _status_error(response, target):
    return calls.Broken(
        f'status {response.status}', peer=target.backend.address
    )
