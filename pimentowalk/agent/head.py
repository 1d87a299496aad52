"""The head role: queues, admits and runs attempts and reports to entries."""

import asyncio
import logging
import math

from pimentowalk.admission import fair_queue
from pimentowalk.agent import attempts
from pimentowalk.agent import queued
from pimentowalk.agent import rules
from pimentowalk.agent import sequences
from pimentowalk.core import errors
from pimentowalk.core import logs
from pimentowalk.core import timers as timer_services
from pimentowalk.wire import messages

LOG = logging.getLogger(__name__)

STATES = messages.AttemptState


class HeadRole:
    """Queue attempts, admit them by policy and schedule their steps.

    `gate` is the admission gate: `refusal_code(frame)` returns an error code
    or '', and `draining` is true while the agent drains.
    """

    def __init__(self, identity, stage, peers, records, timers, gate):
        self._identity = identity
        self._stage = stage
        self._peers = peers
        self._records = records
        self._timers = timers
        self._gate = gate
        self.queue = fair_queue.FairQueue(fair_queue.QueueLimits())
        self.attempts = {}
        self.loads = lambda: []
        self.on_finished = lambda frame: None

    def open(self, entry, frame):
        """Queue a new attempt or refuse it."""
        record = self._records.get(frame.request_id)
        if not rules.accepts_attempt(record, frame.attempt):
            self._answer_fenced(entry, frame, record)
            return
        record.highest_attempt = frame.attempt
        self.cancel_lower(frame.request_id, frame.attempt)
        attempt = attempts.Attempt(frame, entry)
        code = self._gate.refusal_code(frame) or self._own_stage_refusal_code(
            frame
        )
        if code:
            self._records.fence(*attempt.key)
            self._send_status(attempt, STATES.REFUSED, code, step='admit')
            return
        self._enqueue(attempt)
        self.admit()

    def _answer_fenced(self, entry, frame, record):
        # A duplicate frame of an attempt that is queued or was admitted gets
        # no answer: the first frame already led to reports of its state.
        if frame.attempt <= record.highest_fenced:
            if frame.attempt not in record.admitted:
                attempt = attempts.Attempt(frame, entry)
                self._send_status(attempt, STATES.CANCELLED, 'not_run')

    def _own_stage_refusal_code(self, frame):
        try:
            self._stage.check_prepare(attempts.prepare_frame(frame, 0), '')
        except errors.NotRun as error:
            return '' if error.code == 'overloaded' else error.code
        return ''

    def _enqueue(self, attempt):
        frame = attempt.frame
        now_s = self._timers.now_s()
        due_s = now_s + frame.deadline_ms / 1000 if frame.deadline_ms else None
        work = fair_queue.WorkItem(
            attempt.key,
            frame.account,
            frame.weight if frame.weight > 0 else 1.0,
            max(1, frame.predicted_tokens),
            now_s,
            due_s or math.inf,
            frame.isolate or self._gate.is_suspect(frame.fingerprint),
        )
        self.attempts[attempt.key] = attempt
        refused = self.queue.push(work)
        if refused is None or refused is not work:
            self._send_status(attempt, STATES.QUEUED)
        if refused is not None:
            self._refuse(refused.key, 'overloaded', 'the queue is full')

    def _refuse(self, key, code, text):
        attempt = self.attempts.pop(key)
        self._records.fence(*key)
        self._send_status(attempt, STATES.REFUSED, code, text, step='queue')

    def admit(self):
        """Prepare queued attempts while fewer than the maximum are running."""
        while (work := self.queue.pop(self._timers.now_s())) is not None:
            attempt = self.attempts[work.key]
            attempt.preparing = asyncio.ensure_future(
                self._prepare_and_run(attempt, work)
            )

    async def _prepare_and_run(self, attempt, work):
        try:
            await self._prepare(attempt, work)
        except (errors.PimentowalkError, TimeoutError) as error:
            attempt.preparing = None
            self._fail_preparation(attempt, error)
            return
        attempt.preparing = None
        self._run_first_step(attempt)

    async def _prepare(self, attempt, work):
        stages = list(enumerate(attempt.frame.chain))[1:]
        if work.isolate:
            # Prepared one after the other, so that two suspects that wait
            # for the same stages cannot deadlock.
            for position, stage in stages:
                await self._prepare_stage(attempt, position, stage, work)
            return
        tasks = [
            asyncio.ensure_future(self._prepare_stage(attempt, n, stage, work))
            for n, stage in stages
        ]
        # After a refusal the preparation of the other stages is cancelled.
        async with timer_services.cancelling(*tasks):
            await asyncio.gather(*tasks)

    async def _prepare_stage(self, attempt, position, stage, work):
        peer = await self._peers.connection(stage)
        attempt.prepared.append(stage)
        frame = attempts.prepare_frame(
            attempt.frame,
            position,
            work.isolate,
            attempts.engine_priority(work),
        )
        try:
            await peer.call(frame, attempts.prepare_timeout_s(work.isolate))
        except TimeoutError:
            raise errors.PeerLost(
                'no reply to PrepareAttempt',
                step='prepare',
                peer=stage.server_id,
            ) from None

    def _fail_preparation(self, attempt, error):
        if attempt.key in self.attempts:
            self._fail(
                attempt, error.code, error.message, 'prepare', error.peer
            )

    def _run_first_step(self, attempt):
        frame = attempt.frame
        if attempt.key not in self.attempts:
            return
        record = self._records.get(frame.request_id)
        if not self._gate.may_admit(record, frame.attempt):
            code = 'draining' if self._gate.draining else 'not_run'
            self._fail(
                attempt, code, 'the attempt can no longer be admitted', 'admit'
            )
            return
        work = self.queue.running[attempt.key]
        attempt.sequence = sequences.Sequence(
            frame.request_id,
            frame.attempt,
            frame.chain,
            0,
            len(frame.generated),
            frame.max_tokens,
            frame.account,
            frame.fingerprint,
            work.isolate,
            priority=attempts.engine_priority(work),
        )
        self._stage.open(
            attempt.sequence,
            frame,
            prompt=frame.prompt,
            generated=list(frame.generated),
        )
        # The predicted cost covers the prompt and all tokens to generate.
        self.queue.record_output(
            attempt.key, max(0, frame.predicted_tokens - frame.max_tokens)
        )
        self._stage.run_step(attempt.sequence, len(frame.generated), [])
        self._send_status(attempt, STATES.ADMITTED)

    def on_tokens(self, batch):
        """Forward tokens to their entries and start the next steps."""
        for token in batch:
            attempt = self.attempts.get((token.request_id, token.attempt))
            if attempt is None or attempt.sequence is None:
                continue
            sequence = attempt.sequence
            if rules.accepts_token(
                sequence.next_index, sequence.running_index, token.token_index
            ):
                self._forward_token(attempt, token)

    def _forward_token(self, attempt, token):
        self.queue.record_output(attempt.key, 1)
        self._peers.to_peer(attempt.entry, token)
        if token.last:
            self._finish(attempt)
            return
        self._stage.run_step(
            attempt.sequence, token.token_index + 1, [], token=token.token_id
        )
        if attempt.sequence.isolate and not attempt.sequence.on_probation:
            attempt.sequence.isolate = False
            self.queue.clear_suspect(attempt.key)
            self.admit()

    def _finish(self, attempt):
        self._send_status(attempt, STATES.FINISHED)
        self.on_finished(attempt.frame)
        self._remove(attempt, attempts.FINISHED_REASON)

    def on_failed(self, failure):
        """Fail an attempt of which one stage has reported a failure."""
        attempt = self.attempts.get((failure.request_id, failure.attempt))
        if attempt is not None:
            self._fail(
                attempt,
                failure.code,
                failure.text,
                failure.step,
                failure.peer,
                failure.engine_crashed,
            )
            if failure.engine_crashed:
                self._gate.mark_suspect(attempt.frame)

    def on_stage_lost(self, address):
        """Fail the attempts whose connection to a later stage has closed."""
        for attempt in list(self.attempts.values()):
            for stage in attempt.prepared:
                if (stage.host, stage.port) == address:
                    text = 'the connection to the stage closed'
                    self._fail(
                        attempt, 'peer_lost', text, 'link', stage.server_id
                    )
                    break

    def _fail(
        self, attempt, code, text='', step='', peer='', engine_crashed=False
    ):
        state = rules.state_after_failure(self._was_admitted(attempt))
        self._send_status(
            attempt,
            state,
            code,
            text,
            step=step,
            peer=peer,
            engine_crashed=engine_crashed,
        )
        self._remove(attempt, code)

    def _was_admitted(self, attempt):
        record = self._records.get(attempt.frame.request_id)
        return attempt.frame.attempt in record.admitted

    def close(self, entry, frame):
        """Fence an attempt for its entry and report its state."""
        record = self._records.fence(frame.request_id, frame.attempt)
        known = self.attempts.get((frame.request_id, frame.attempt))
        self.cancel_lower(frame.request_id, frame.attempt)
        if known is not None:
            self._cancel(known, frame.reason)
        elif frame.attempt not in record.admitted:
            self._peers.to_peer(
                entry,
                messages.AttemptStatus(
                    frame.request_id,
                    frame.attempt,
                    STATES.CANCELLED,
                    'not_run',
                    step='close',
                    peer=self._identity.server_id,
                ),
            )

    def _cancel(self, attempt, reason):
        admitted = self._was_admitted(attempt)
        code = 'outcome_unknown' if admitted else 'not_run'
        state = rules.state_after_close(admitted)
        self._send_status(attempt, state, code, reason, step='close')
        self._remove(attempt, reason)

    def cancel_lower(self, request_id, attempt):
        """Cancel the lower attempts of a request."""
        for key, lower in list(self.attempts.items()):
            if key[0] == request_id and key[1] < attempt:
                self._cancel(lower, 'a higher attempt was opened')

    def _remove(self, attempt, reason):
        key = attempt.key
        self.attempts.pop(key, None)
        self._records.fence(*key)
        self.queue.remove(key)
        self.queue.finish(key)
        if attempt.preparing is not None:
            attempt.preparing.cancel()
        self._stage.release(key)
        for stage in attempt.prepared:
            self._peers.to_stage(stage, messages.CloseAttempt(*key, reason))
        self.admit()

    def _send_status(self, attempt, state, code='', text='', **fields):
        fields.setdefault('peer', self._identity.server_id if code else '')
        if code == 'overloaded':
            fields['retry_after_ms'] = self._retry_after_ms()
        status = messages.AttemptStatus(
            *attempt.key, state, code, text, loads=self.loads(), **fields
        )
        LOG.debug(
            'attempt %d is %s %s',
            attempt.frame.attempt,
            state,
            code,
            extra=logs.fields(request_id=attempt.frame.request_id),
        )
        self._peers.to_peer(attempt.entry, status)

    def _retry_after_ms(self):
        seconds = self.queue.waiting_cost / self._stage.tokens_per_s
        return int(1000 * min(seconds, self.queue.limits.max_queue_s))

    def expire(self):
        """Refuse queued attempts that have waited too long."""
        for key, code in queued.pop_expired(self.queue, self._timers.now_s()):
            self._refuse(
                key, code, 'the attempt waited in the queue for too long'
            )

    def refuse_all_queued(self, code):
        """Refuse all queued attempts."""
        for key in queued.pop_all(self.queue):
            self._refuse(
                key, code, 'the attempt was refused while it was queued'
            )

    def on_entry_lost(self, entry):
        """Cancel the attempts of an entry whose connection has closed."""
        for attempt in list(self.attempts.values()):
            if attempt.entry is entry:
                self._cancel(attempt, 'the connection to the entry closed')

    def fail_all(self, text, step):
        """Fail all attempts; those that were not admitted are refused."""
        self.refuse_all_queued('not_run')
        for attempt in list(self.attempts.values()):
            admitted = self._was_admitted(attempt)
            code = 'outcome_unknown' if admitted else 'not_run'
            self._fail(attempt, code, text, step)

    def abandon(self, request_id, attempt):
        """Cancel an attempt that its entry queries, so that it never runs."""
        known = self.attempts.get((request_id, attempt))
        self.cancel_lower(request_id, attempt)
        if known is not None:
            self._cancel(known, 'an entry queried the attempt')

    def renew(self):
        """Renew the leases of attempts at their later stages."""
        stages = {}
        for attempt in self.attempts.values():
            for stage in attempt.prepared:
                stage_keys = stages.setdefault(
                    (stage.host, stage.port), (stage, [])
                )
                stage_keys[1].append(attempt.key)
        for stage, keys in stages.values():
            request_ids, attempt_numbers = zip(*keys, strict=True)
            frame = messages.RenewAttempts(
                list(request_ids), list(attempt_numbers)
            )
            self._peers.to_stage(stage, frame)

    def configure(self, service):
        """Apply the queue policy and limits of a published service."""
        self.queue = fair_queue.reconfigure(self.queue, service)

    async def stop(self):
        """Cancel the tasks that prepare attempts."""
        tasks = [a.preparing for a in self.attempts.values() if a.preparing]
        await timer_services.cancel_all(tasks)
