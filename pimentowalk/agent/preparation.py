"""Handling of PrepareAttempt: opens sequences before the first step."""

import asyncio
import contextlib

from pimentowalk.agent import rules
from pimentowalk.agent import sequences
from pimentowalk.core import errors
from pimentowalk.core import timers as timer_services
from pimentowalk.wire import connection as wire
from pimentowalk.wire import messages

# How long a suspect waits for other suspects to pass their probation.
SUSPECT_WAIT_S = 10.0


class PrepareHandler:
    """Handle PrepareAttempt: open a sequence, or reply that nothing ran."""

    def __init__(self, identity, stage, peers, records, timers, gate):
        self._identity = identity
        self._stage = stage
        self._peers = peers
        self._records = records
        self._timers = timers
        self._gate = gate
        self._suspect_lock = asyncio.Lock()
        self._tasks = set()

    def handle(self, connection, envelope):
        """Check the fence at once and prepare in a task.

        The task may dial or wait without delaying later frames of the head.
        """
        frame = envelope.body
        record = self._records.get(frame.request_id)
        if not rules.accepts_attempt(record, frame.attempt):
            raise self._not_run(
                'not_run', f'attempt {frame.attempt} is fenced'
            )
        record.highest_attempt = frame.attempt
        self._stage.release_lower(frame.request_id, frame.attempt)
        task = asyncio.ensure_future(
            self._prepare_and_reply(connection, envelope)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def stop(self):
        """Cancel the preparations in progress."""
        await timer_services.cancel_all(list(self._tasks))

    async def _prepare_and_reply(self, connection, envelope):
        with contextlib.suppress(errors.PeerLost):
            try:
                await self._prepare(connection, envelope.body)
            except errors.PimentowalkError as error:
                await connection.reply(envelope, wire.failure(error))
            else:
                await connection.reply(envelope, messages.Empty())

    async def _prepare(self, connection, frame):
        self._check_admissible(connection, frame)
        if not self._is_suspect(frame):
            await self._open(connection, frame)
            return
        async with self._suspect_lock:
            await self._wait_for_probation()
            await self._open(connection, frame)

    def _is_suspect(self, frame):
        return frame.isolate or self._gate.is_suspect(frame.fingerprint)

    def _check_admissible(self, connection, frame):
        record = self._records.get(frame.request_id)
        fenced = rules.is_fenced(record, frame.attempt)
        if fenced or connection.closed:
            raise self._not_run(
                'not_run', f'attempt {frame.attempt} is fenced'
            )
        self._stage.check_prepare(frame, self._gate.refusal_code(frame))

    async def _wait_for_probation(self):
        deadline_s = self._timers.now_s() + SUSPECT_WAIT_S
        progressed = self._stage.suspect_progressed
        timeout = self._timers.after(SUSPECT_WAIT_S, progressed.set)
        try:
            while any(s.on_probation for s in self._stage.sequences.values()):
                if self._timers.now_s() >= deadline_s:
                    raise self._not_run(
                        'overloaded',
                        'another suspect is still on probation',
                    )
                progressed.clear()
                await progressed.wait()
        finally:
            timeout.cancel()

    async def _open(self, connection, frame):
        if frame.position + 1 < len(frame.chain):
            # Dial now, so that a broken link is found before any step ran.
            await self._peers.connection(frame.chain[frame.position + 1])
        self._check_admissible(connection, frame)
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

    def _not_run(self, code, text):
        return errors.NotRun(
            text, code=code, step='prepare', peer=self._identity.server_id
        )
