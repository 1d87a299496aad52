"""Run a stream on a path of servers, and go on elsewhere if one fails."""

import asyncio

from pimentowalk.core import errors
from pimentowalk.dispatch import calls
from pimentowalk.dispatch import events
from pimentowalk.dispatch import watched_run

SERVER_FAULT = 500
SUCCESS = 300
# A caller abandons a stream after 2 s without an event, so that a stream
# that has begun is worth tries and waiting until shortly before.
RESUME_WAIT_S = 1.8
MAX_RESUME_TRIES = 10
# A new stream is sent on a path only if no server there would have more of
# its memory reserved: far above it the newest requests are read again and
# again, and none of them ends in time. Answers use what is reserved for them
# only at their end, and most are shorter.
ADMITTED_SHARE = 1.25
# A caller leaves a stream without an event after 2 s. A stream that waited
# this long for room still brings its first event before that.
ROOM_WAIT_S = 1.0
# The first event comes about 0.1 s after a stream is sent, so that one that
# waited longer than this share of its objective of 0.5 s misses it.
WAITING_SHARE = 0.7
# A stream that its caller reads is worth more tries than one that could
# still be refused, so that the latter leave this part of the budget.
NEW_STREAM_SHARE = 0.6
# Servers that refuse to go on with a stream are given time to load layers.
RESUME_PAUSE_S = 0.05
# Streams that have begun and wait for room go before all new ones.
BEGUN_PRIORITY = -1


class StreamRun(watched_run.WatchedRun):
    """One streamed call with its tries."""

    def __init__(self, dispatcher, call, service, responder):
        super().__init__(dispatcher, call, service, responder)
        self._refusals = 0
        self._may_have_run = False
        self._full_server = None
        self._room_wait_s = 0.0
        self._memory_share = 0.0
        self._slot_share = 0.0
        self._events = events.EventFilter(call.last_event_id)
        self._first_event_s = None
        self._last_event_s = 0.0
        self._longest_pause_s = 0.0

    def _record(self):
        metrics = self._dispatcher.metrics
        for server in self._target.servers:
            self._dispatcher.outcomes.record(server.server_id, failed=False)
        if self._first_event_s is not None:
            metrics.record_s('first_event', self._first_event_wait_s())

    def _first_event_wait_s(self):
        return (self._first_event_s or 0.0) - self._call.received_s

    def summary(self):
        """Return what the log says of a complete stream."""
        hops = self._target.hops
        zones = [hop.backend.zone for hop in hops]
        pairs = zip(zones, zones[1:], strict=False)
        return super().summary() | {
            'first_event_ms': int(self._first_event_wait_s() * 1000),
            'room_wait_ms': int(self._room_wait_s * 1000),
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
        """Return a path, or None if there is none or none has room."""
        self._is_crowded = False
        hops = self._choose_hops()
        if not hops:
            return None
        target = calls.Target(hops[0].backend, tuple(hops))
        self._full_server = self._find_full_server(target)
        self._is_crowded = self._full_server is not None
        return None if self._is_crowded else target

    def _find_full_server(self, target):
        """Return a server without room for the stream, or None.

        A stream that has begun is tried wherever it was not refused: its
        caller cannot come back.
        """
        book = self._dispatcher.book
        self._slot_share = book.reported_slot_share(target.backend)
        self._memory_share, fullest = max(
            (
                (book.reported_memory_share(server, self._tokens), server)
                for server in target.servers
            ),
            key=lambda pair: pair[0],
        )
        has_begun = self._responder.started
        if has_begun and not self._refusals:
            return None
        for server in target.servers:
            if book.refused_lately(server.server_id):
                return server
        if not has_begun and self._memory_share >= ADMITTED_SHARE:
            return fullest
        return None

    async def _choose_first(self):
        """Choose a path, after the streams that wait for room already."""
        room = self._dispatcher.room
        call = self._call
        has_begun = self._responder.started
        priority = BEGUN_PRIORITY if has_begun else call.priority
        if has_begun or not room.must_wait(priority):
            self._target = self._choose()
            if not self._is_crowded:
                return
        timers = self._dispatcher.timers
        since_s = timers.now_s()
        if has_begun:
            due_s = until_s = self._patience_end_s()
        else:
            due_s = call.received_s + call.route.objective_s * WAITING_SHARE
            until_s = call.received_s + ROOM_WAIT_S
        self._target = await room.wait(
            self._choose, priority, due_s=due_s, until_s=until_s
        )
        self._is_crowded = self._target is None
        self._room_wait_s += timers.now_s() - since_s
        self._dispatcher.metrics.record_s('room_wait', self._room_wait_s)

    def _budget_share(self):
        return 1.0 if self._responder.started else NEW_STREAM_SHARE

    def _most_tries(self):
        if self._responder.started:
            return MAX_RESUME_TRIES
        return super()._most_tries()

    def _patience_end_s(self):
        if self._responder.started:
            return self._last_event_s + RESUME_WAIT_S
        return super()._patience_end_s()

    def _pause_s(self):
        if self._responder.started:
            return RESUME_PAUSE_S * self._refusals
        return super()._pause_s()

    async def _choose_later(self):
        if self._is_crowded:
            # It has waited already, and is told when to come back.
            return
        if self._responder.started:
            # A server that had no room may have some meanwhile.
            self._avoid.clear()
        await super()._choose_later()

    async def _try(self):
        dispatcher = self._dispatcher
        self.progress_s = dispatcher.timers.now_s()
        self._interruption = None
        self._recovering = None
        self._has_begun = False
        dispatcher.book.begin(self._target.server_ids, self._tokens)
        self._try_task = asyncio.ensure_future(self._pass_answer())
        left_s = self._call.ends_s - dispatcher.timers.now_s()
        try:
            async with asyncio.timeout(left_s):
                await self._try_task
            self._record()
        except TimeoutError:
            raise calls.Broken('no complete answer in time') from None
        except asyncio.CancelledError:
            if self._interruption is None:
                raise
            raise self._interruption from None
        finally:
            self._try_task.cancel()
            for task in (self._asking, self._recovering):
                if task is not None:
                    task.cancel()
            self._asking = None
            dispatcher.book.end(self._target.server_ids, self._tokens)

    async def _pass_answer(self):
        dispatcher = self._dispatcher
        call = self._call
        answer = await dispatcher.transport.send(
            call, self._target, self._remaining_ms(), self._events.last_id
        )
        try:
            if answer.status >= SUCCESS:
                await self._pass_failure(answer)
                return
            self._events.restart()
            while data := await answer.read():
                self.progress_s = dispatcher.timers.now_s()
                self._asks = 0
                if not self._has_begun:
                    self._has_begun = True
                    self._runs += 1
                await self._pass(answer, data)
            if self._events.holds_partial:
                raise calls.Broken(
                    'the stream ended within an event',
                    peer=self._target.backend.address,
                )
            await self._start(answer)
            await self._responder.finish()
        finally:
            answer.close()

    async def _pass(self, answer, data):
        try:
            whole = self._events.feed(data)
        except ValueError as error:
            raise calls.Broken(
                str(error), peer=self._target.backend.address
            ) from None
        if whole:
            if self._first_event_s is None:
                self._first_event_s = self.progress_s
            else:
                pause_s = self.progress_s - self._last_event_s
                self._longest_pause_s = max(self._longest_pause_s, pause_s)
            self._last_event_s = self.progress_s
            await self._start(answer)
            await self._responder.write(whole)

    async def _start(self, answer):
        if not self._responder.started:
            await self._responder.start(answer)

    async def _pass_failure(self, answer):
        address = self._target.backend.address
        self._has_begun = True
        self._runs += 1
        route = self._call.route
        again = route.is_repeatable and self._runs < route.attempts
        if self._responder.started or (
            answer.status >= SERVER_FAULT and again
        ):
            raise calls.Broken(f'status {answer.status}', peer=address)
        body = []
        while data := await answer.read():
            body.append(data)
        await self._responder.start(answer)
        await self._responder.write(b''.join(body))
        await self._responder.finish()

    def _note_failure(self, error):
        dispatcher = self._dispatcher
        target = self._target
        dispatcher.log_failed_try(self._call, target, error)
        at_fault = error.culprit or target.backend.address
        is_refused = isinstance(error, calls.Refused)
        self._refusals += is_refused
        if not is_refused:
            self._note_unproven(error, at_fault)
        for server in target.servers:
            if server.address == at_fault:
                # A full server may be the only one for a stream that has
                # begun, which waits until it has room.
                if not (is_refused and self._responder.started):
                    self._avoid.add(server.server_id)
                dispatcher.outcomes.record(server.server_id, failed=True)
                if is_refused:
                    dispatcher.book.record_full(server.server_id)
                if self._has_begun:
                    dispatcher.note_failed_run(self._call, server)
                if calls.proves_server_down(error):
                    dispatcher.suspect(server, error.message)
                elif not isinstance(error, calls.Stalled):
                    # It may be dead, or only short of memory.
                    dispatcher.checks.check(server)

    def _note_unproven(self, error, at_fault):
        """Count a run whose first event may have been lost on its way.

        A head that can be reached and sent no event has not begun. One that
        is silent may be alive behind a slow link.
        """
        if self._has_begun:
            return
        is_broken = isinstance(error, calls.Broken)
        if is_broken or at_fault == self._target.backend.address:
            self._runs += 1
            self._may_have_run = True
        if not self._call.route.is_repeatable:
            self._may_have_run = True

    def _final(self, failure):
        step = failure.step if failure else 'choose'
        peer = failure.peer if failure else ''
        if self._responder.started:
            message = failure.message if failure else 'no path'
            return errors.OutcomeUnknown(
                f'stream cut: {message}', step=step, peer=peer
            )
        if self._dispatcher.timers.now_s() >= self._call.ends_s:
            return errors.PimentowalkError(
                'no answer in time', code='deadline', step='forward'
            )
        if self._runs or self._may_have_run:
            return errors.OutcomeUnknown(failure.message, step=step, peer=peer)
        code, message = 'no_chain', 'no path holds all layers'
        if self._is_crowded:
            code, message = 'overloaded', 'no path has room'
            if self._full_server is not None:
                peer = self._full_server.address
        elif failure is not None:
            code, message = 'not_run', failure.message
        return errors.PimentowalkError(
            message, code=code, step=step, peer=peer
        )
