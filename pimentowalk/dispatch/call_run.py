"""The tries of one call, whatever kind of service it is for."""

import abc

from pimentowalk.dispatch import calls

# Tries that prove that nothing ran are not bounded by the route, but each
# costs the server and the caller time.
MAX_TRIES = 4
# A node that has just started does not know all servers yet. A call without
# a target waits so long for them, since a refused caller returns only once.
VIEW_WAIT_S = 1.5
VIEW_POLL_S = 0.02
# A denied repeat is asked for again this often. Other nodes report what they
# used twice a second, so that more often finds little new.
REPEAT_POLL_S = 0.1


class CallRun(abc.ABC):
    """Try a call at one target after the other.

    `_runs` counts the servers at which it may have begun to run; the route
    bounds them. Other tries only draw on the budget.
    """

    def __init__(self, dispatcher, call, service, responder):
        self._dispatcher = dispatcher
        self._call = call
        self._service = service
        self._responder = responder
        self._avoid = set()
        self._runs = 0
        self._tries = 0
        self._target = None
        # Whether the targets that there are have no room.
        self._is_crowded = False

    async def run(self):
        """Try until the answer is complete; raise PimentowalkError."""
        failure = None
        while self._tries < self._most_tries():
            if self._tries and not await self._wait_for_repeat():
                break
            if pause_s := self._pause_s():
                await self._dispatcher.timers.sleep(pause_s)
            await self._choose_first()
            if self._target is None:
                await self._choose_later()
            if self._target is None:
                break
            self._tries += 1
            try:
                await self._try()
                return
            except calls.TryFailed as error:
                failure = error
                self._note_failure(error)
                if not self._may_go_on(error):
                    break
        raise self._final(failure)

    def _most_tries(self):
        """Return how many tries the call may take."""
        return MAX_TRIES

    def _pause_s(self):
        """Return how long to wait before the next try."""
        return 0.0

    def _patience_end_s(self):
        """Return until when the call waits for a target."""
        if self._tries or self._dispatcher.node.backends.is_complete:
            return 0.0
        return self._call.received_s + VIEW_WAIT_S

    def summary(self):
        """Return what the log says of an answered call."""
        return {'peer': self._target.backend.address, 'tries': self._tries}

    async def _choose_first(self):
        """Choose a target for the next try."""
        self._target = self._choose()

    async def _choose_later(self):
        """Choose again while a target may still appear."""
        timers = self._dispatcher.timers
        table = self._dispatcher.node.backends
        generation = None
        while timers.now_s() < min(self._patience_end_s(), self._call.ends_s):
            await timers.sleep(VIEW_POLL_S)
            if table.generation == generation and not self._is_crowded:
                continue
            generation = table.generation
            self._target = self._choose()
            if self._target is not None:
                return

    async def _wait_for_repeat(self):
        """Return whether another try is allowed before the patience ends."""
        dispatcher = self._dispatcher
        timers = dispatcher.timers
        share = self._budget_share()
        until_s = min(self._patience_end_s(), self._call.ends_s)
        is_denied = False
        while timers.now_s() < self._call.ends_s:
            if dispatcher.budget.take(
                self._service.name, dispatcher.node.live_nodes, share=share
            ):
                return True
            if not is_denied:
                dispatcher.log_denied_repeat(self._call, self._service, share)
                is_denied = True
            if timers.now_s() >= until_s:
                return False
            await timers.sleep(REPEAT_POLL_S)
        return False

    def _budget_share(self):
        """Return the share of the budget that the call may use."""
        return 1.0

    def _may_go_on(self, error):
        if isinstance(error, calls.Refused):
            return True
        route = self._call.route
        return route.is_repeatable and self._runs < route.attempts

    def _remaining_ms(self):
        """Return how long the caller still waits, for the server to know."""
        left_s = self._call.deadline_s - self._dispatcher.timers.now_s()
        return max(1, int(left_s * 1000))

    @abc.abstractmethod
    def _choose(self):
        """Return the target of the next try, or None."""

    @abc.abstractmethod
    async def _try(self):
        """Pass a whole answer on; raise `calls.TryFailed`."""

    @abc.abstractmethod
    def _note_failure(self, error):
        """Draw conclusions from a failed try."""

    @abc.abstractmethod
    def _final(self, failure):
        """Return the error that answers the caller."""
