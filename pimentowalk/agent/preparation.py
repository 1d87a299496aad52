"""Opening of sequences at later stages, before the first step."""

import asyncio
import contextlib

from pimentowalk.agent import rules
from pimentowalk.agent import sequences
from pimentowalk.core import errors
from pimentowalk.core import timers as timer_services
from pimentowalk.wire import connection as wire
from pimentowalk.wire import messages

# A suspect waits this long for the suspects before it.
ISOLATE_WAIT_S = 10.0


class Preparation:
    """Handle PrepareAttempt: open a sequence, or prove that none ran."""

    def __init__(self, own, stage, peers, records, timers, gate):
        self._own = own
        self._stage = stage
        self._peers = peers
        self._records = records
        self._timers = timers
        self._gate = gate
        self._suspect_lock = asyncio.Lock()
        self._tasks = set()

    def handle(self, connection, envelope):
        """Check the fence at once and do the rest as a task.

        The rest may dial or wait; later frames of the head are not held up.
        """
        frame = envelope.body
        record = self._records.of(frame.request_id)
        if not rules.accepts_attempt(record, frame.attempt):
            raise self._error('not_run', 'the attempt is fenced')
        record.highest_attempt = frame.attempt
        self._stage.release_below(frame.request_id, frame.attempt)
        task = asyncio.ensure_future(self._answer(connection, envelope))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def stop(self):
        """End the waiting preparations."""
        await timer_services.cancel_all(list(self._tasks))

    async def _answer(self, connection, envelope):
        with contextlib.suppress(errors.PeerLost):
            try:
                await self._prepare(connection, envelope.body)
            except errors.PimentowalkError as error:
                await connection.reply(envelope, wire.failure(error))
            else:
                await connection.reply(envelope, messages.Empty())

    async def _prepare(self, connection, frame):
        self._check(connection, frame)
        if not self._is_suspect(frame):
            await self._open(connection, frame)
            return
        async with self._suspect_lock:
            await self._until_no_probation()
            await self._open(connection, frame)

    def _is_suspect(self, frame):
        return frame.isolate or self._gate.is_suspect(frame.fingerprint)

    def _check(self, connection, frame):
        record = self._records.of(frame.request_id)
        fenced = rules.is_fenced(record, frame.attempt)
        if fenced or connection.closed:
            raise self._error('not_run', 'the attempt is fenced')
        self._stage.check_prepare(frame, self._gate.refusal_code(frame))

    async def _until_no_probation(self):
        deadline_s = self._timers.now_s() + ISOLATE_WAIT_S
        moved = self._stage.suspect_moved
        timeout = self._timers.after(ISOLATE_WAIT_S, moved.set)
        try:
            while any(s.on_probation for s in self._stage.sequences.values()):
                if self._timers.now_s() >= deadline_s:
                    raise self._error('overloaded', 'another suspect runs')
                moved.clear()
                await moved.wait()
        finally:
            timeout.cancel()

    async def _open(self, connection, frame):
        if frame.position + 1 < len(frame.chain):
            # A broken link is found while nothing has run yet.
            await self._peers.connection(frame.chain[frame.position + 1])
        self._check(connection, frame)
        sequence = sequences.Sequence(
            frame.request_id,
            frame.attempt,
            frame.chain,
            frame.position,
            frame.first_index,
            frame.max_tokens,
            frame.account,
            frame.fingerprint,
            self._is_suspect(frame),
            connection,
            frame.priority,
        )
        self._stage.open(sequence, frame)

    def _error(self, code, text):
        return errors.NotRun(
            text, code=code, step='prepare', peer=self._own.server_id
        )
