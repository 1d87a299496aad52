"""One attempt of a model request on one chain."""

import asyncio
import logging

from pimentowalk.core import errors
from pimentowalk.core import logs
from pimentowalk.entry import failures
from pimentowalk.entry import pool
from pimentowalk.entry import watchdog
from pimentowalk.wire import messages

LOG = logging.getLogger(__name__)

# The longest time between tokens, for deadlines of 30 s and more; for
# shorter ones the same share of the deadline, but never below the minimum.
STALL_S = 2.0
STALL_SHARE = 1 / 15
LEAST_STALL_S = 0.25
# A queued attempt whose head sends no frame at all within this time is
# given up.
QUEUED_SILENCE_S = 5.0
# Heads report their load every 0.5 s to entries with work, so one that was
# heard within this time is alive.
LIVELY_S = 1.0
# A lively head gets this share of the limit more. It finds a frozen stage by
# its own probes within about 2.5 s, and its report names the stage.
GRACE_SHARE = 0.75
# Prefill may take this many times the time that the announced speeds give.
PREFILL_ALLOWANCE = 4.0
# How long to wait for the proof that an attempt was never admitted.
PROOF_TIMEOUT_S = 0.5


def stall_s(timeout_s):
    """Return the stall time for a request with a total timeout.

    >>> stall_s(60), stall_s(15), stall_s(1)
    (2.0, 1.0, 0.25)
    """
    return min(STALL_S, max(LEAST_STALL_S, timeout_s * STALL_SHARE))


def stage_address(server):
    """Return the address of a server as one stage of a chain."""
    return messages.StageAddress(
        server.server_id,
        server.incarnation,
        server.host,
        server.port,
        server.first_layer,
        server.end_layer,
    )


class ModelRun:
    """Open an attempt, receive its tokens, and fence it at the end."""

    def __init__(self, context, call, chain, record):
        self._context = context
        self._call = call
        self._record = record
        self._inbox = asyncio.Queue()
        self._link = None
        self._watchdog = None
        self._charge = None
        self._sent = False
        self._opened_s = context.timers.now_s()
        self._prefill_s = 0.0
        self._grace_given = False
        self.chain = chain
        self.admitted = False
        self.ended = False

    async def open(self):
        """Send the attempt to its head; raise AttemptFailed."""
        head = self.chain[0]
        context = self._context
        try:
            self._link = await context.pool.connect_to(head)
        except errors.PimentowalkError as error:
            raise self._failed(error, never_admitted=True) from None
        spec = self._call.spec
        self._link.attach(spec.request_id, self._inbox)
        cost = spec.predicted_tokens + self._call.recomputed_tokens
        self._charge = context.routing.loads.charge(
            [server.server_id for server in self.chain], cost
        )
        slowest = min(
            context.routing.loads.tokens_per_s(server) for server in self.chain
        )
        self._prefill_s = PREFILL_ALLOWANCE * cost / slowest
        self._opened_s = context.timers.now_s()
        self._watchdog = watchdog.Watchdog(
            context.timers, self._inbox, self._call.stall_s
        )
        self._expect(self._call.stall_s)
        self._sent = True
        try:
            await self._link.peer.send(self._message())
        except errors.FrameError as error:
            self._sent = False
            raise self._failed(error, never_admitted=True) from None
        except errors.PimentowalkError as error:
            raise self._failed(error) from None

    def _message(self):
        call = self._call
        spec = call.spec
        return messages.OpenAttempt(
            request_id=spec.request_id,
            attempt=self._record.attempt,
            account=spec.account.name,
            service=spec.service.name,
            model=self.chain[0].model,
            version=self.chain[0].version,
            adapter=spec.adapter,
            prompt=spec.prompt,
            generated=list(call.assembly.token_ids),
            max_tokens=spec.max_tokens,
            seed=spec.seed,
            temperature=spec.temperature,
            predicted_tokens=spec.predicted_tokens,
            deadline_ms=call.remaining_ms(),
            weight=spec.account.weight,
            fingerprint=spec.fingerprint,
            scope_version=spec.scope_version,
            chain=[stage_address(server) for server in self.chain],
            isolate=spec.fingerprint in self._context.suspects,
        )

    def _expect(self, limit_s):
        self._watchdog.expect(min(limit_s, self._call.remaining_s()))

    async def receive(self):
        """Return the next frame that counts: tokens, perhaps none.

        Raises AttemptFailed when the attempt has ended without an answer.
        """
        body = await self._inbox.get()
        if isinstance(body, messages.Token):
            return self._take(body)
        if isinstance(body, pool.Lost):
            raise failures.AttemptFailed(
                'the connection to the head ended',
                code='peer_lost',
                step='receive',
                peer=self.chain[0].server_id,
            )
        if isinstance(body, watchdog.Overdue):
            self._overdue(body)
        elif isinstance(body, messages.AttemptStatus):
            self._status(body)
        return []

    def _take(self, token):
        answer = self._call.assembly
        if token.attempt == self._record.attempt:
            self.admitted = True
        try:
            released = answer.offer(token)
        except errors.FrameError as error:
            raise self._failed(error) from None
        if released:
            self._grace_given = False
            self._record.tokens += len(released)
            self._expect(self._call.stall_s)
        return released

    def _overdue(self, overdue):
        limit_s = self._call.stall_s
        head_id = self.chain[0].server_id
        if self._call.remaining_s() <= 0:
            raise failures.AttemptFailed(
                'the deadline passed', code='deadline', peer=head_id
            )
        # A caller that reads slowly holds this task up; what arrived in the
        # meantime is progress, although the watchdog did not see it.
        if not (self._inbox.empty() and self._watchdog.is_overdue):
            self._restart_watchdog(limit_s)
            return
        silent_s = self._context.timers.now_s() - self._link.heard_s
        if self._record.state == messages.AttemptState.QUEUED:
            if silent_s < QUEUED_SILENCE_S:
                self._restart_watchdog(limit_s)
                return
        # A head that still reports its load is alive, so that the stall is
        # due to overload or to another stage. A silent head is lost.
        lively = silent_s < LIVELY_S
        if lively and not self._grace_given:
            self._grace_given = True
            self._restart_watchdog(limit_s * GRACE_SHARE)
            return
        raise failures.AttemptFailed(
            f'nothing arrived for {overdue.waited_s:.2f} s',
            code='peer_lost',
            step='stall' if lively else 'silence',
            peer=head_id,
        )

    def _restart_watchdog(self, limit_s):
        self._watchdog = watchdog.Watchdog(
            self._context.timers, self._inbox, self._call.stall_s
        )
        self._expect(limit_s)

    def _status(self, status):
        if status.attempt != self._record.attempt:
            return
        self._measure()
        if status.state in messages.ENDED:
            self._record.state = status.state
            self.ended = True
            raise _ended(status, self.chain[0].server_id, self.admitted)
        if self.admitted:
            return
        self._record.state = status.state
        if status.state == messages.AttemptState.QUEUED:
            self._expect(QUEUED_SILENCE_S)
        elif status.state == messages.AttemptState.ADMITTED:
            self.admitted = True
            self._expect(self._call.stall_s + self._prefill_s)

    def _measure(self):
        """Take the first status as the end of a round trip."""
        if self._record.state or not self._sent:
            return
        routing = self._context.routing
        routing.links.record_round_trip(
            routing.links.origin,
            routing.links.zone,
            self.chain[0],
            self._context.timers.now_s() - self._opened_s,
        )

    def _failed(self, error, *, never_admitted=False):
        return failures.AttemptFailed(
            error.message,
            code=error.code,
            step=error.step,
            # A failed dial names an address, but chains are kept by ids.
            peer=self.chain[0].server_id,
            never_admitted=never_admitted,
        )

    async def prove_never_admitted(self):
        """Fence the attempt; return whether it provably never ran."""
        if not self._sent:
            return True
        if self.admitted or self._link.closed:
            return False
        spec = self._call.spec
        query = messages.AttemptQuery(
            spec.request_id,
            self._record.attempt,
            self.chain[0].incarnation,
        )
        try:
            status = await self._link.peer.call(query, PROOF_TIMEOUT_S)
        except (errors.PimentowalkError, TimeoutError) as error:
            LOG.info(
                'no proof that an attempt never ran: %s',
                str(error) or 'no answer in time',
                extra=logs.fields(step='proof', request_id=spec.request_id),
            )
            return False
        return (
            isinstance(status, messages.AttemptStatus)
            and status.attempt == self._record.attempt
            and status.request_id == spec.request_id
            and status.state in messages.NEVER_ADMITTED
        )

    def close(self, reason):
        """Fence the attempt at its head and release what it holds."""
        if self._watchdog is not None:
            self._watchdog.stop()
        if self._charge is not None:
            self._context.routing.loads.settle(self._charge)
        if self._link is None:
            return
        request_id = self._call.spec.request_id
        self._link.detach(request_id, self._inbox)
        if self._sent and not self.ended:
            self._link.peer.post(
                messages.CloseAttempt(request_id, self._record.attempt, reason)
            )


def _ended(status, head_id, admitted):
    finished = status.state == messages.AttemptState.FINISHED
    never_admitted = status.state in messages.NEVER_ADMITTED and not admitted
    unknown = 'frame_error' if finished else 'outcome_unknown'
    return failures.AttemptFailed(
        status.text
        or ('tokens are missing' if finished else f'state {status.state}'),
        code=status.code or ('not_run' if never_admitted else unknown),
        step=status.step,
        peer=status.peer or head_id,
        never_admitted=never_admitted,
        retry_after_s=status.retry_after_ms / 1000,
        engine_crashed=status.engine_crashed,
    )
