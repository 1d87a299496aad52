"""Run a stream on a path of servers, and resume it if one fails."""

import asyncio

from pimentowalk.admission import account_shares
from pimentowalk.core import errors
from pimentowalk.dispatch import admitted_run
from pimentowalk.dispatch import calls
from pimentowalk.dispatch import events
from pimentowalk.dispatch import pacing
from pimentowalk.dispatch import repeats
from pimentowalk.dispatch import takeover
from pimentowalk.routing import pace_state

# A client abandons a stream after 2 s without an event; until shortly before
# that, a started stream is worth retries and waiting.
RESUME_WAIT_S = 1.8
MAX_RESUME_TRIES = 10
# A new stream is admitted to a path only if no server there would exceed
# this share of its memory in reservations. Far above it, the newest requests
# are recomputed again and again, and none of them ends in time. It exceeds 1
# because an answer uses its whole reservation only at its end, and most
# answers are shorter.
MAX_RESERVED_SHARE = 1.25
# A server queues streams beyond its slots, which then start late although
# another one may be free.
MAX_SLOT_SHARE = 1.0
# A client abandons a stream without an event after 2 s. A stream that waited
# this long for admission still sends its first event before that.
ADMISSION_WAIT_S = 1.0
# The first event follows about 0.1 s after a stream is sent, so a stream that
# waited longer than this share of its objective of 0.5 s misses it.
ADMISSION_DUE_SHARE = 0.7
# New streams may use only this share of the retry budget. The rest is kept
# for started streams, which can no longer be refused.
NEW_STREAM_BUDGET_SHARE = 0.6
# Gives servers that refuse to resume a stream time to load layers.
RESUME_BACKOFF_S = 0.05


class StreamRun(admitted_run.AdmittedRun):
    """One streamed call with its tries."""

    # Code and message of the error if no server can take the call.
    _unavailable = 'no_chain', 'no path holds all layers'

    def __init__(self, dispatcher, call, service, responder):
        super().__init__(dispatcher, call, service, responder)
        self._refusals = 0
        self._may_have_executed = False
        self._full_server = None
        self._slot_share = 0.0
        self._events = events.EventFilter(
            call.last_event_id,
            dispatcher.limits.event_bytes,
            dispatcher.limits.head_bytes,
        )
        self._partial_since_s = None
        # Comments that came before the first event.
        self._comments = b''
        self._probe = None
        # Whether the current try has received a whole event.
        self._has_event = False
        # Whether the client is sent a whole answer in place of events.
        self._has_whole = False
        self._first_event_s = None
        self._last_event_s = 0.0
        self._longest_pause_s = 0.0
        # How the last try ended that had sent an event.
        self._lost_try = None
        self._charge = account_shares.Charge()

    def _record_success(self):
        metrics = self._dispatcher.metrics
        for server in self._target.servers:
            self._dispatcher.outcomes.record(server.server_id, failed=False)
        if self._first_event_s is not None:
            metrics.record_s('first_event', self._time_to_first_event_s())

    def _time_to_first_event_s(self):
        return (self._first_event_s or 0.0) - self._call.received_s

    def log_fields(self):
        """Return the log fields of a completed stream."""
        hops = self._target.hops
        zones = [server.zone for server in self._target.servers]
        pairs = zip(zones, zones[1:], strict=False)
        return super().log_fields() | {
            'first_event_ms': int(self._time_to_first_event_s() * 1000),
            'room_wait_ms': int(self._admission_wait_s * 1000),
            'memory_share': round(self._memory_share, 2),
            'slot_share': round(self._slot_share, 2),
            'longest_pause_ms': int(self._longest_pause_s * 1000),
            'hops': len(hops),
            'zone': zones[0],
            'crossings': sum(a != b for a, b in pairs),
            'path': ','.join(
                f'{hop.backend.address}={hop.first_layer}-{hop.end_layer}'
                for hop in hops
            ),
        }

    def _choose(self):
        """Return a path with capacity, or None."""
        self._lacks_capacity = False
        hops = self._choose_hops()
        if not hops:
            return None
        target = calls.Target(hops[0].backend, tuple(hops))
        self._full_server = self._find_full_server(target)
        self._lacks_capacity = self._full_server is not None
        return None if self._lacks_capacity else target

    def _find_full_server(self, target):
        """Return a server without capacity for the stream, or None.

        A started stream is sent to any server that has not refused it, since
        its client cannot retry.
        """
        in_flight = self._dispatcher.in_flight
        self._slot_share = in_flight.reported_slot_share(target.backend)
        self._memory_share, fullest = max(
            (
                (in_flight.reported_memory_share(server, self._tokens), server)
                for server in target.servers
            ),
            key=lambda pair: pair[0],
        )
        is_started = self._responder.started
        if is_started and not self._refusals:
            return None
        for server in target.servers:
            if in_flight.refused_recently(server.server_id):
                return server
        if not is_started:
            for server in target.servers:
                if not self._dispatcher.pace.has_room(server):
                    return server
            # The requests in flight at a server include those that began at
            # another one, which is rare if it runs all layers itself. One
            # slot is also assumed where a server announces no number.
            runs_alone = len(target.hops) == 1 and target.backend.slots > 1
            free_share = 1 - self._reserved_share()
            slot_limit = self._admission.slot_limit(
                MAX_SLOT_SHARE, target.backend
            )
            if runs_alone and self._slot_share > slot_limit * free_share:
                return target.backend
            memory_limit = self._admission.memory_limit(
                MAX_RESERVED_SHARE, fullest
            )
            if self._memory_share >= memory_limit * free_share:
                return fullest
        return None

    def _admission_times_s(self):
        """Return when a new stream is overdue, and until when it waits."""
        call = self._call
        return (
            call.received_s + call.route.objective_s * ADMISSION_DUE_SHARE,
            call.received_s + ADMISSION_WAIT_S,
        )

    def _retry_budget_share(self):
        return 1.0 if self._responder.started else NEW_STREAM_BUDGET_SHARE

    def _max_tries(self):
        if self._responder.started:
            return MAX_RESUME_TRIES
        return super()._max_tries()

    def _wait_end_s(self):
        if self._responder.started:
            return self._last_event_s + RESUME_WAIT_S
        return super()._wait_end_s()

    def _standby_end_s(self):
        if self._responder.started:
            return self._wait_end_s()
        return super()._standby_end_s()

    def _backoff_s(self):
        if self._standby is not None:
            return 0.0
        if self._responder.started:
            return RESUME_BACKOFF_S * self._refusals
        return super()._backoff_s()

    async def _wait_for_target(self):
        if self._lacks_capacity:
            # It has already waited; its client is told when to retry.
            return
        if self._responder.started:
            # An excluded server may have capacity by now.
            self._excluded.clear()
        await super()._wait_for_target()

    async def _try_target(self):
        call = self._call
        with self._shares.running(
            self._account_name, call.prompt_tokens, call.expected_answer_tokens
        ) as self._charge:
            await self._run_try()

    async def _run_try(self):
        dispatcher = self._dispatcher
        self._promoted, self._standby = self._standby, None
        self.progress_s = dispatcher.timers.now_s()
        self._interruption = None
        self._recovery_task = None
        self._has_output = False
        self._has_event = False
        if self._promoted is not None:
            self._probe = self._promoted.probe
        else:
            dispatcher.in_flight.begin(self._target.server_ids, self._tokens)
            self._probe = pacing.begin(
                dispatcher.pace, self._service, self._call, self._target
            )
        self._watch_path()
        began_s = self.progress_s
        self._record_begin()
        self._try_task = asyncio.ensure_future(self._pass_response())
        left_s = self._call.expires_at_s - dispatcher.timers.now_s()
        try:
            async with asyncio.timeout(left_s):
                await self._try_task
            self._charge.is_complete = True
            self._record_success()
        except TimeoutError:
            raise calls.Broken(
                'no complete response before the deadline'
            ) from None
        except asyncio.CancelledError:
            # The recovery may interrupt the try in the iteration of the event
            # loop in which the whole request is cancelled.
            is_cancelled = asyncio.current_task().cancelling() > 0
            if self._interruption is None or is_cancelled:
                self._report_abandoned_run()
                raise
            raise self._interruption from None
        finally:
            self._try_task.cancel()
            if self._promoted is not None:
                self._promoted.close()
            for task in (self._report_task, self._recovery_task):
                if task is not None:
                    task.cancel()
            self._report_task = None
            dispatcher.in_flight.end(self._target.server_ids, self._tokens)
            dispatcher.pace.end(self._probe, pace_state.ABANDONED)
            self._record_held(dispatcher.timers.now_s() - began_s)

    def _report_abandoned_run(self):
        """Report a run that its client gave up at the moment of a crash."""
        self._dispatcher.report_failed_run(
            self._call, self._target.backend, has_output=self._has_event
        )

    async def _pass_response(self):
        dispatcher = self._dispatcher
        response = await self._send()
        try:
            is_success = response.status < takeover.FIRST_NON_SUCCESS_STATUS
            if not (is_success and self._has_events(response)):
                await self._pass_whole(response)
                return
            self._events.discard_partial()
            self._partial_since_s = None
            self._comments = b''
            with self._hold(response) as holding:
                while data := await response.read():
                    if not self._has_output:
                        self._has_output = True
                        self._executions += 1
                    await self._pass_events(response, data)
                    dispatcher.held_bytes.resize(holding, self._held_bytes())
                # The end of a response that has been cut is not its own.
                dispatcher.held_bytes.resize(holding, self._held_bytes())
            if self._events.has_partial:
                raise calls.Broken(
                    'the stream ended within an event',
                    peer=self._target.backend.address,
                )
            await self._start_response(response)
            if self._comments:
                await self._responder.write(self._comments)
            await self._responder.finish()
        finally:
            response.close()

    def _held_bytes(self):
        return self._events.partial_bytes + len(self._comments)

    def _last_event_id(self):
        return self._events.last_id

    async def _pass_events(self, response, data):
        """Forward whole events; raise Broken for bytes that complete none.

        Only whole events count as progress. A server that sends single bytes
        has stalled like one that sends nothing. Silence is no fault here: a
        slow server may send its next event late.
        """
        now_s = self._dispatcher.timers.now_s()
        try:
            whole = self._events.feed(data)
        except ValueError as error:
            raise calls.Broken(
                str(error), peer=self._target.backend.address
            ) from None
        if not whole and self._partial_since_s is not None:
            timeout_s = self._dispatcher.limits.event_timeout_s
            if now_s - self._partial_since_s > timeout_s:
                raise calls.Broken(
                    f'no event was completed within {timeout_s:.1f} s',
                    peer=self._target.backend.address,
                )
        elif self._events.has_partial:
            self._partial_since_s = now_s
        else:
            self._partial_since_s = None
        if not (self._responder.started or events.has_event(whole)):
            # Without an event, another server may still answer.
            self._comments += whole
            return
        if whole:
            whole, self._comments = self._comments + whole, b''
            if events.has_event(whole):
                self._keep_present(now_s)
            if not self._has_event:
                self._dispatcher.pace.end(self._probe, pace_state.ANSWERED)
            self._charge.events += events.count_events(whole)
            self._has_event = True
            if self.pauses is not None:
                self.pauses.record(now_s - self.progress_s)
            self.progress_s = now_s
            self._report_count = 0
            if self._first_event_s is None:
                self._first_event_s = self.progress_s
            else:
                pause_s = self.progress_s - self._last_event_s
                self._longest_pause_s = max(self._longest_pause_s, pause_s)
            self._last_event_s = self.progress_s
            await self._start_response(response)
            await self._responder.write(whole)

    async def _start_response(self, response):
        if not self._responder.started:
            await self._responder.start(response)

    async def _pass_whole(self, response):
        address = self._target.backend.address
        self._has_output = True
        self._executions += 1
        if self._responder.started or (
            response.status >= takeover.FIRST_SERVER_ERROR_STATUS
            and self._may_run_again(self._executions)
        ):
            raise calls.Broken(f'status {response.status}', peer=address)
        self._drop_standby()
        with self._hold(response) as holding:
            body = await self._read_body(response, holding)
            self._has_whole = True
            await self._send_body(response, body, holding)

    def _answer(self):
        is_resumable = not (self._has_whole or self._events.has_unnumbered)
        if self._responder.started and is_resumable:
            return repeats.Answer.EVENTS
        return super()._answer()

    def _handle_failure(self, error):
        if self._has_event:
            self._lost_try = calls.LostTry(
                self._cause_of_end(error),
                error.culprit or self._target.backend.address,
                self._dispatcher.timers.now_s() - self.progress_s,
            )
        self._record_failure(
            error,
            self._target,
            has_output=self._has_output,
            has_event=self._has_event,
        )

    def _record_failure(
        self, error, target, *, has_output=False, has_event=False
    ):
        """Record a failed try at a target, and exclude its server."""
        dispatcher = self._dispatcher
        dispatcher.log_failed_try(self._call, target, error)
        culprit = error.culprit or target.backend.address
        is_refused = isinstance(error, calls.Refused)
        self._refusals += is_refused
        if not (is_refused or has_output):
            self._count_uncertain_execution(error, target, culprit)
        for server in target.servers:
            if server.address == culprit:
                is_paused = dispatcher.pauses.is_paused(server)
                # A full server may be the only one for a started stream,
                # which then waits until the server has capacity. A paused one
                # may still run layers for another head.
                if not (is_refused and (self._responder.started or is_paused)):
                    self._excluded.add(server.server_id)
                dispatcher.outcomes.record(server.server_id, failed=True)
                if is_refused and not is_paused:
                    dispatcher.in_flight.record_full(server.server_id)
                    dispatcher.pace.record_refusal(server.server_id)
                if not is_refused:
                    dispatcher.report_failed_run(
                        self._call, server, has_output=has_event
                    )
                if calls.proves_server_down(error):
                    dispatcher.suspect(server, error.message, is_down=True)
                elif not isinstance(error, calls.Stalled):
                    # It may have crashed, or only be short of memory.
                    dispatcher.checks.check(server)

    def _cause_of_end(self, error):
        """Return whether this process or the server ended a try."""
        if self._has_expired():
            return calls.DEADLINE
        if isinstance(error, calls.Stalled):
            return calls.SERVER_LEFT
        return calls.SERVER_BROKE_OFF

    def _count_uncertain_execution(self, error, target, culprit):
        """Count an execution whose first event may have been lost.

        A reachable head that sent no event has not begun to execute. One
        that does not answer may be executing behind a slow link.
        """
        is_broken = isinstance(error, calls.Broken)
        if is_broken or culprit == target.backend.address:
            self._executions += 1
            self._may_have_executed = True
        if not repeats.may_run_again(self._call, repeats.Answer.SENT):
            self._may_have_executed = True

    def _pause_s(self):
        """Return when a server may begin the stream, 0 if one may now."""
        return self._dispatcher.pauses.remaining_s(
            server
            for server in self._dispatcher.usable(self._service.name)
            if server.first_layer == 0 and server.layer_count > 0
        )

    def _final_error(self, failure):
        step = failure.step if failure else 'choose'
        peer = failure.peer if failure else ''
        if self._responder.started:
            self._dispatcher.log_cut_stream(
                self._call, self._lost_try, self._refusals
            )
            message = failure.message if failure else 'no path available'
            return errors.OutcomeUnknown(
                f'stream cut: {message}', step=step, peer=peer
            )
        if self._dispatcher.timers.now_s() >= self._call.expires_at_s:
            return errors.PimentowalkError(
                'no response before the deadline',
                code='deadline',
                step='forward',
            )
        if self._executions or self._may_have_executed:
            return errors.OutcomeUnknown(failure.message, step=step, peer=peer)
        code, message = self._unavailable
        if self._lacks_capacity:
            code, message = 'overloaded', 'no path has capacity'
            if self._full_server is not None:
                peer = self._full_server.address
        elif failure is not None:
            code, message = 'not_run', failure.message
        return errors.PimentowalkError(
            message,
            code=code,
            step=step,
            peer=peer,
            retry_after_s=max(self._pause_s(), self._return_s()),
        )
