"""The tries of one call, independent of the kind of service."""

import abc
import contextlib

from pimentowalk.core import errors
from pimentowalk.dispatch import calls
from pimentowalk.dispatch import held_bytes
from pimentowalk.dispatch import repeats
from pimentowalk.dispatch import transport

# A route does not bound tries that were provably not executed, but each of
# them costs the server and the client time.
MAX_TRIES = 4
# A node that has just started does not know all servers yet. A call without
# a target waits this long for them, since a refused client retries only once.
VIEW_WAIT_S = 1.5
VIEW_POLL_S = 0.02
# Interval at which a denied retry is requested again. Other nodes report
# their retries twice a second, so polling more often finds little new.
RETRY_POLL_S = 0.1


def _without_frames(error):
    """Drop the frames of an error, which hold the bytes read so far."""
    error.__context__ = None
    return error.with_traceback(None)


class CallRun(abc.ABC):
    """Try a call at one target after another.

    `_executions` counts the tries that a server may have begun to execute;
    `attempts` of the route bounds them. All tries after the first one draw
    on the retry budget.
    """

    def __init__(self, dispatcher, call, service, responder):
        self._dispatcher = dispatcher
        self._call = call
        self._service = service
        self._responder = responder
        self._excluded = set()
        self._executions = 0
        self._tries = 0
        self._target = None
        # Whether targets exist, but none has capacity.
        self._lacks_capacity = False

    async def run(self):
        """Try until a response is complete; raise PimentowalkError."""
        failure = None
        while self._may_try():
            if self._tries and not await self._acquire_retry():
                break
            if backoff_s := self._backoff_s():
                await self._dispatcher.timers.sleep(backoff_s)
            await self._select_target()
            if self._target is None:
                await self._wait_for_target()
            if self._target is None or self._has_expired():
                break
            self._reject_unsent()
            self._count_try()
            try:
                await self._try_target()
                return
            except calls.TryFailed as error:
                failure = _without_frames(error)
                self._handle_failure(error)
                if isinstance(error, calls.Refused):
                    self._call.activity.may_have_run = self._may_have_run()
                if not self._may_retry(error):
                    break
        raise self._final_error(failure)

    def _has_expired(self):
        """Return whether a response would be of no use any more."""
        return self._dispatcher.timers.now_s() >= self._call.expires_at_s

    def _reject_unsent(self):
        """Raise PimentowalkError if the next try must not be sent."""
        self._dispatcher.reject_if_barred(self._call)
        self._reject_if_late()

    def _reject_if_late(self):
        """Raise PimentowalkError if the stop would cut the response.

        A try after one that may have run is allowed: its caller gets an
        error that promises nothing in any case.
        """
        activity = self._call.activity
        now_s = self._dispatcher.timers.now_s()
        if not activity.may_have_run and activity.is_late(now_s):
            raise errors.PimentowalkError(
                'too little time is left before the process stops',
                code='draining',
                step='drain',
            )

    def _may_have_run(self):
        """Return whether a server may have begun to execute the call."""
        return self._executions > 0

    def _may_try(self):
        """Return whether the call may take another try."""
        return self._tries < self._max_tries()

    def _count_try(self):
        """Count a try that is about to be sent."""
        self._tries += 1
        self._call.activity.begin_try()

    def _max_tries(self):
        """Return how many tries the call may take."""
        return MAX_TRIES

    def _backoff_s(self):
        """Return the delay before the next try."""
        return 0.0

    def _wait_end_s(self):
        """Return until when the call waits for a target or a retry."""
        if self._tries or self._dispatcher.node.backends.is_complete:
            return 0.0
        return self._call.received_s + VIEW_WAIT_S

    def log_fields(self):
        """Return the log fields of a completed call."""
        return {'peer': self._target.backend.address, 'tries': self._tries}

    async def _select_target(self):
        """Set the target of the next try."""
        self._target = self._choose()

    async def _wait_for_target(self):
        """Choose again while a target may still appear."""
        timers = self._dispatcher.timers
        table = self._dispatcher.node.backends
        generation = None
        # Capacity and the end of a pause do not change the table.
        may_change = self._lacks_capacity or self._dispatcher.has_pauses
        while timers.now_s() < min(
            self._wait_end_s(), self._call.expires_at_s
        ):
            await timers.sleep(VIEW_POLL_S)
            if table.generation == generation and not may_change:
                continue
            generation = table.generation
            self._target = self._choose()
            if self._target is not None:
                return
            may_change = self._lacks_capacity or self._dispatcher.has_pauses

    async def _acquire_retry(self):
        """Return whether the retry budget allows another try in time."""
        dispatcher = self._dispatcher
        timers = dispatcher.timers
        until_s = min(self._wait_end_s(), self._call.expires_at_s)
        is_denied = False
        while timers.now_s() < self._call.expires_at_s:
            if self._take_retry():
                return True
            if not is_denied:
                dispatcher.log_denied_retry(
                    self._call, self._service, self._retry_budget_share()
                )
                is_denied = True
            if timers.now_s() >= until_s:
                return False
            await timers.sleep(RETRY_POLL_S)
        return False

    def _take_retry(self):
        """Return whether the retry budget allows another try now."""
        dispatcher = self._dispatcher
        return dispatcher.budget.take(
            self._service.name,
            dispatcher.node.live_nodes,
            share=self._retry_budget_share(),
        )

    def _retry_budget_share(self):
        """Return the share of the retry budget that the call may use."""
        return 1.0

    @contextlib.contextmanager
    def _hold(self, response, peer=''):
        """Count the bytes that are held of a response, until the end.

        `peer` is its server, if that is not the present one.
        """
        held = self._dispatcher.held_bytes
        holding = held_bytes.Holding(
            response.close,
            self._call.request_id,
            peer or self._target.backend.address,
        )
        try:
            yield holding
        finally:
            held.release(holding)

    async def _read_body(self, response, holding):
        """Return the whole body of a response; raise Broken.

        It is read before the client gets any of it, so that the call can still
        be retried if the connection breaks within the body.
        """
        dispatcher = self._dispatcher
        body = await transport.read_body(
            response,
            dispatcher.limits,
            holding.peer,
            lambda size: dispatcher.held_bytes.resize(holding, size),
        )
        # The end of a response that has been cut must not pass for its own.
        dispatcher.held_bytes.resize(holding, len(body))
        return body

    async def _send_body(self, response, body, holding):
        """Pass a whole response to the client."""
        # A client that does not read keeps the body here.
        holding.is_whole = True
        holding.cut = self._responder.abort
        await self._responder.start(response)
        await self._responder.write(body)
        await self._responder.finish()

    def _may_retry(self, error):
        if isinstance(error, calls.Refused):
            return repeats.may_run_again(self._call, error.answer)
        return self._may_run_again(self._executions)

    def _may_run_again(self, executions):
        """Return whether the route allows a run after so many executions."""
        is_allowed = repeats.may_run_again(self._call, self._answer())
        return is_allowed and executions < self._call.route.attempts

    def _answer(self):
        """Return what the client has of the answer."""
        return (
            repeats.Answer.BEGUN
            if self._responder.started
            else repeats.Answer.SENT
        )

    def _remaining_ms(self):
        """Return the time until the deadline of the client, at least 1."""
        left_s = self._call.deadline_s - self._dispatcher.timers.now_s()
        return max(1, int(left_s * 1000))

    @abc.abstractmethod
    def _choose(self):
        """Return the target of the next try, or None."""

    @abc.abstractmethod
    async def _try_target(self):
        """Pass a complete response to the client; raise TryFailed."""

    @abc.abstractmethod
    def _handle_failure(self, error):
        """Record a failed try and exclude its server."""

    @abc.abstractmethod
    def _final_error(self, failure):
        """Return the error that the client receives."""
