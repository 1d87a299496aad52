"""Opening of sequences at later stages, before the first step."""

import asyncio
import contextlib

from pimentowalk.agent import rules
from pimentowalk.agent import sequences
from pimentowalk.core import errors
from pimentowalk.core import timers as timer_services
from pimentowalk.wire import connection as wire
from pimentowalk.wire import messages

# A suspect waits this long for the sequences that run beside it to end.
ISOLATE_WAIT_S = 10.0
IDLE_CHECK_S = 0.02


class Preparation:
    """Handle PrepareAttempt: open a sequence, or prove that none ran."""

    def __init__(self, own, stage, peers, records, timers, gate):
        self._own = own
        self._stage = stage
        self._peers = peers
        self._records = records
        self._timers = timers
        self._gate = gate
        self._waiting_alone = False
        self._tasks = set()

    def handle(self, connection, envelope):
        """Check the fence at once and do the rest as a task.

        The rest may dial or wait; later frames of the head are not held up.
        """
        frame = envelope.body
        record = self._records.of(frame.request_id)
        if not rules.accepts_attempt(record, frame.attempt):
            raise self._error('not_run', 'the attempt is fenced')
        record.highest = frame.attempt
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
        self._check_alone()
        if not self._is_alone(frame):
            await self._open(connection, frame)
            return
        self._waiting_alone = True
        try:
            await self._until_idle()
            await self._open(connection, frame)
        finally:
            self._waiting_alone = False

    def _is_alone(self, frame):
        return frame.isolate or self._gate.is_suspect(frame.fingerprint)

    def _check(self, connection, frame):
        record = self._records.of(frame.request_id)
        if frame.attempt <= record.closed or connection.closed:
            raise self._error('not_run', 'the attempt is fenced')
        self._stage.check_prepare(frame, self._gate.refusal(frame))

    def _check_alone(self):
        running = self._stage.sequences.values()
        if self._waiting_alone or any(s.isolate for s in running):
            raise self._error('overloaded', 'a suspect runs alone')

    async def _until_idle(self):
        deadline_s = self._timers.now_s() + ISOLATE_WAIT_S
        while self._stage.sequences:
            if self._timers.now_s() >= deadline_s:
                raise self._error('overloaded', 'no idle time for a suspect')
            await self._timers.sleep(IDLE_CHECK_S)

    async def _open(self, connection, frame):
        if frame.position + 1 < len(frame.chain):
            # A broken link is found while nothing has run yet.
            await self._peers.connection(frame.chain[frame.position + 1])
        self._check(connection, frame)
        alone = self._is_alone(frame)
        if not alone:
            self._check_alone()
        sequence = sequences.Sequence(
            frame.request_id,
            frame.attempt,
            frame.chain,
            frame.position,
            frame.first_index,
            frame.max_tokens,
            frame.account,
            frame.fingerprint,
            alone,
            connection,
        )
        self._stage.open(sequence, frame)

    def _error(self, code, text):
        return errors.NotRun(
            text, code=code, step='prepare', peer=self._own.server_id
        )
