"""Open the next try of a call beside the present one."""

import abc
import asyncio

from pimentowalk.dispatch import call_run
from pimentowalk.dispatch import calls
from pimentowalk.dispatch import pacing
from pimentowalk.routing import pace_state


class StandbyTry:
    """A try whose response is awaited by a task.

    `probe` is that of the server's pace, `has_output` tells whether the server
    has sent a part of its body.
    """

    def __init__(self, target, probe, began_s):
        self.target = target
        self.probe = probe
        self.began_s = began_s
        self.has_output = False
        self._task = None

    def begin(self, coroutine):
        """Run the coroutine that returns the response."""
        self._task = asyncio.ensure_future(coroutine)
        self._task.add_done_callback(_consume_exception)

    async def wait(self, timeout_s, *others):
        """Wait until this try or another one ends; return if this one has."""
        await asyncio.wait(
            {standby._task for standby in (self, *others)},
            timeout=timeout_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        return self.has_ended

    @property
    def has_ended(self):
        """Return whether the task has ended."""
        return self._task.done()

    @property
    def error(self):
        """Return the exception of a task that has ended, or None."""
        return self._task.exception()

    @property
    def may_have_executed(self):
        """Return whether the server has not refused the call."""
        return not (
            self._task.done() and isinstance(self.error, calls.Refused)
        )

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


class StandbyRun(call_run.CallRun):
    """A call that may have two tries under way.

    A free server and a granted retry promise neither room nor an answer, so
    that a server that is only silent is not left for them.
    """

    def __init__(self, dispatcher, call, service, responder):
        super().__init__(dispatcher, call, service, responder)
        # The try beside the present one.
        self._standby = None
        # What a try reserves at each server of its target.
        self._tokens = call.prompt_tokens + call.expected_answer_tokens

    async def run(self):
        """Try until a response is complete; raise PimentowalkError."""
        try:
            await super().run()
        finally:
            self._close_standby()

    def _may_have_run(self):
        return self._standby is not None or super()._may_have_run()

    def _may_try(self):
        return self._standby is not None or super()._may_try()

    def _count_try(self):
        # A standby try was counted when it was sent.
        if self._standby is None:
            super()._count_try()
        self._call.activity.may_have_run = True

    def _reject_unsent(self):
        # A standby try has been sent already.
        if self._standby is None:
            super()._reject_unsent()

    def _may_retry(self, error):
        return self._standby is not None or super()._may_retry(error)

    async def _acquire_retry(self):
        if self._standby is not None:
            return True
        return await super()._acquire_retry()

    async def _select_target(self):
        if self._standby is not None:
            self._target = self._standby.target
        else:
            await super()._select_target()

    def _choose_successor(self):
        """Return a target that may be sent the call now, or None."""
        dispatcher = self._dispatcher
        is_in_time = dispatcher.timers.now_s() < self._standby_end_s()
        if not (self._may_try() and is_in_time):
            return None
        if dispatcher.is_barred(self._call):
            return None
        target = self._choose()
        return target if target is not None and self._take_retry() else None

    def _standby_end_s(self):
        """Return until when another server may be tried."""
        return self._call.expires_at_s

    def _open(self, target):
        """Send the call to a target, beside its present try."""
        self._dispatcher.metrics.count('standby_tries')
        super()._count_try()
        self._standby = self._begin(target)
        return self._standby

    def _begin(self, target):
        """Send the call to a target; return its `StandbyTry`."""
        dispatcher = self._dispatcher
        dispatcher.in_flight.begin(target.server_ids, self._tokens)
        probe = pacing.begin(
            dispatcher.pace, self._service, self._call, target
        )
        standby = StandbyTry(target, probe, dispatcher.timers.now_s())
        standby.begin(self._await_response(standby))
        return standby

    def _end(self, standby):
        """End a try, and release what it holds."""
        standby.close()
        dispatcher = self._dispatcher
        dispatcher.in_flight.end(standby.target.server_ids, self._tokens)
        dispatcher.pace.end(standby.probe, pace_state.ABANDONED)

    def _drop_standby(self):
        """Keep the present server, which has gone on first."""
        if self._standby is not None:
            self._dispatcher.metrics.count('dropped_standby_tries')
            self._executions += self._standby.may_have_executed
            self._close_standby()

    def _close_standby(self):
        """End the standby try, if there is one."""
        standby, self._standby = self._standby, None
        if standby is not None:
            self._end(standby)

    def _give_up_standby(self, error):
        """Record that the standby try has failed; the present try goes on."""
        standby = self._standby
        self._close_standby()
        if not isinstance(error, calls.TryFailed):
            raise error
        self._executions += standby.has_output
        self._record_failure(
            error, standby.target, has_output=standby.has_output
        )

    @abc.abstractmethod
    async def _await_response(self, standby):
        """Send the call to a target; return a response that may take over.

        Raises `calls.TryFailed`.
        """

    @abc.abstractmethod
    def _record_failure(self, error, target, *, has_output=False):
        """Record a failed try at a target, and exclude its server."""
