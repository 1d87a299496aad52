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

# Longest time between tokens. The maximum applies to requests with 30 s and
# more until the deadline; others get the same fraction of their time, but at
# least the minimum.
MAX_STALL_TIMEOUT_S = 2.0
STALL_TIMEOUT_FRACTION = 1 / 15
MIN_STALL_TIMEOUT_S = 0.25
# A queued attempt fails if its head sends no frame at all for this time.
QUEUED_SILENCE_TIMEOUT_S = 5.0
# Heads report their load every 0.5 s to entries that have work there, so a
# head that sent a frame within this time is alive.
LIVENESS_WINDOW_S = 1.0
# After a stall, a head that is alive gets this fraction of the limit as extra
# time. It finds a frozen stage with its own probes within about 2.5 s, and its
# report names the stage.
GRACE_FRACTION = 0.75
# A chain that shares a server with the present one takes over only after this
# silence, since its attempt fences the present one there.
SHARED_CHAIN_SILENCE_S = MAX_STALL_TIMEOUT_S * (1 + GRACE_FRACTION)
# Prefill may take this multiple of the time estimated from the speeds of the
# servers.
PREFILL_TIME_FACTOR = 4.0
# Time to wait for the proof that an attempt was never admitted.
PROOF_TIMEOUT_S = 0.5


def stall_timeout_s(timeout_s):
    """Return the stall timeout of a request with this total timeout.

    >>> stall_timeout_s(60), stall_timeout_s(15), stall_timeout_s(1)
    (2.0, 1.0, 0.25)
    """
    return min(
        MAX_STALL_TIMEOUT_S,
        max(MIN_STALL_TIMEOUT_S, timeout_s * STALL_TIMEOUT_FRACTION),
    )


def stage_address(server):
    """Return the address of a server for use as a stage of a chain."""
    return messages.StageAddress(
        server.server_id,
        server.incarnation,
        server.host,
        server.port,
        server.first_layer,
        server.end_layer,
    )


class ModelAttempt:
    """Open an attempt, receive its tokens, and fence it at the end.

    `progress_s` is when it was opened or released its last token.
    """

    def __init__(self, context, call, chain, record):
        self._context = context
        self._call = call
        self._next_event = None
        self._is_open = False
        self.record = record
        self._inbox = asyncio.Queue()
        self._connection = None
        self._watchdog = None
        self._charge = None
        self._sent = False
        self._opened_s = context.timers.now_s()
        self._prefill_limit_s = 0.0
        self._grace_used = False
        self.progress_s = self._opened_s
        self.chain = chain
        self.admitted = False
        self.ended = False

    async def open(self):
        """Send the attempt to the head of its chain; raise AttemptFailed."""
        self._is_open = True
        head = self.chain[0]
        context = self._context
        try:
            self._connection = await context.pool.connect_to(head)
        except errors.PimentowalkError as error:
            raise self._to_attempt_failed(error, never_admitted=True) from None
        spec = self._call.spec
        self._connection.attach(spec.request_id, self._inbox)
        cost = spec.predicted_tokens + self._call.recomputed_tokens
        self._charge = context.routing.loads.charge(
            [server.server_id for server in self.chain], cost
        )
        slowest_tokens_per_s = min(
            context.routing.loads.tokens_per_s(server) for server in self.chain
        )
        self._prefill_limit_s = (
            PREFILL_TIME_FACTOR * cost / slowest_tokens_per_s
        )
        self._opened_s = self.progress_s = context.timers.now_s()
        self._watchdog = watchdog.Watchdog(
            context.timers, self._inbox, self._call.stall_timeout_s
        )
        self._set_progress_limit(self._call.stall_timeout_s)
        self._sent = True
        try:
            await self._connection.peer.send(self._open_frame())
        except errors.FrameError as error:
            self._sent = False
            raise self._to_attempt_failed(error, never_admitted=True) from None
        except errors.PimentowalkError as error:
            raise self._to_attempt_failed(error) from None

    def _open_frame(self):
        call = self._call
        spec = call.spec
        return messages.OpenAttempt(
            request_id=spec.request_id,
            attempt=self.record.attempt,
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

    def _set_progress_limit(self, limit_s):
        self._watchdog.set_limit(min(limit_s, self._call.remaining_s()))

    def next_event(self):
        """Return a task for the next event; it opens a new attempt first."""
        if self._next_event is None:
            self._next_event = asyncio.ensure_future(self._await_event())
            self._next_event.add_done_callback(_consume_exception)
        return self._next_event

    async def _await_event(self):
        if not self._is_open:
            await self.open()
        return await self._inbox.get()

    @property
    def has_token(self):
        """Return whether the next event has arrived and is a token."""
        task = self._next_event
        return (
            task is not None
            and task.done()
            and task.exception() is None
            and isinstance(task.result(), messages.Token)
        )

    async def receive(self):
        """Process one event; return the tokens it released, if any.

        Raises AttemptSilent without progress within the limit, and another
        AttemptFailed when the attempt has ended without a complete response.
        """
        next_event, self._next_event = self._next_event, None
        event = await (next_event or self._inbox.get())
        if isinstance(event, messages.Token):
            return self._on_token(event)
        if isinstance(event, pool.ConnectionLost):
            raise failures.AttemptFailed(
                'the connection to the head ended',
                code='peer_lost',
                step='receive',
                peer=self.chain[0].server_id,
            )
        if isinstance(event, watchdog.ProgressTimeout):
            self._on_progress_timeout(event)
        elif isinstance(event, messages.AttemptStatus):
            self._on_status(event)
        return []

    def _on_token(self, token):
        assembly = self._call.assembly
        if token.attempt == self.record.attempt:
            self.admitted = True
        try:
            in_order = assembly.offer(token)
        except errors.FrameError as error:
            raise self._to_attempt_failed(error) from None
        if in_order:
            self._grace_used = False
            self.progress_s = self._context.timers.now_s()
            self.record.tokens += len(in_order)
            self._set_progress_limit(self._call.stall_timeout_s)
        return in_order

    def _on_progress_timeout(self, timeout):
        limit_s = self._call.stall_timeout_s
        head_id = self.chain[0].server_id
        if self._call.remaining_s() <= 0:
            raise failures.AttemptFailed(
                'the deadline passed', code='deadline', peer=head_id
            )
        # A slow reader blocks this task. Frames that arrived meanwhile are
        # progress, although the watchdog has not been told of them.
        if not (self._inbox.empty() and self._watchdog.has_expired):
            self._restart_watchdog(limit_s)
            return
        silent_s = self._context.timers.now_s() - self._connection.last_frame_s
        if self.record.state == messages.AttemptState.QUEUED:
            if silent_s < QUEUED_SILENCE_TIMEOUT_S:
                self._restart_watchdog(limit_s)
                return
        # The stall of a head that still reports its load is due to overload
        # or to another stage. A silent head is lost.
        head_is_alive = silent_s < LIVENESS_WINDOW_S
        if head_is_alive and not self._grace_used:
            self._grace_used = True
            self._restart_watchdog(limit_s * GRACE_FRACTION)
            return
        self._restart_watchdog(limit_s)
        raise failures.AttemptSilent(
            f'no progress for {timeout.waited_s:.2f} s',
            code='peer_lost',
            step='stall' if head_is_alive else 'silence',
            peer=head_id,
        )

    def _restart_watchdog(self, limit_s):
        self._watchdog.stop()
        self._watchdog = watchdog.Watchdog(
            self._context.timers, self._inbox, self._call.stall_timeout_s
        )
        self._set_progress_limit(limit_s)

    def _on_status(self, status):
        if status.attempt != self.record.attempt:
            return
        self._record_round_trip()
        if status.state in messages.ENDED:
            self.record.state = status.state
            self.ended = True
            raise _ended_failure(
                status, self.chain[0].server_id, self.admitted
            )
        if self.admitted:
            return
        self.record.state = status.state
        if status.state == messages.AttemptState.QUEUED:
            self._set_progress_limit(QUEUED_SILENCE_TIMEOUT_S)
        elif status.state == messages.AttemptState.ADMITTED:
            self.admitted = True
            self._set_progress_limit(
                self._call.stall_timeout_s + self._prefill_limit_s
            )

    def _record_round_trip(self):
        """Use the first status to measure the round trip to the head."""
        if self.record.state or not self._sent:
            return
        routing = self._context.routing
        routing.links.record_round_trip(
            routing.links.origin,
            routing.links.zone,
            self.chain[0],
            self._context.timers.now_s() - self._opened_s,
        )

    def _to_attempt_failed(self, error, *, never_admitted=False):
        return failures.AttemptFailed(
            error.message,
            code=error.code,
            step=error.step,
            # A failed dial names an address; servers are identified by id.
            peer=self.chain[0].server_id,
            never_admitted=never_admitted,
        )

    async def prove_never_admitted(self):
        """Fence the attempt; return whether it is proven not to have run."""
        if not self._sent:
            return True
        if self.admitted or self._connection.closed:
            return False
        spec = self._call.spec
        query = messages.AttemptQuery(
            spec.request_id,
            self.record.attempt,
            self.chain[0].incarnation,
        )
        try:
            status = await self._connection.peer.call(query, PROOF_TIMEOUT_S)
        except (errors.PimentowalkError, TimeoutError) as error:
            LOG.info(
                'no proof that an attempt never ran: %s',
                str(error) or 'no reply in time',
                extra=logs.fields(step='proof', request_id=spec.request_id),
            )
            return False
        return (
            isinstance(status, messages.AttemptStatus)
            and status.attempt == self.record.attempt
            and status.request_id == spec.request_id
            and status.state in messages.NEVER_ADMITTED
        )

    def close(self, reason):
        """Fence the attempt at its head and release its resources."""
        if self._next_event is not None:
            self._next_event.cancel()
        if self._watchdog is not None:
            self._watchdog.stop()
        if self._charge is not None:
            self._context.routing.loads.settle(self._charge)
        if self._connection is None:
            return
        request_id = self._call.spec.request_id
        self._connection.detach(request_id, self._inbox)
        if self._sent and not self.ended:
            self._connection.peer.post(
                messages.CloseAttempt(request_id, self.record.attempt, reason)
            )


def _consume_exception(task):
    """Retrieve the exception of a task that nobody awaits any more."""
    if not task.cancelled():
        task.exception()


def _ended_failure(status, head_id, admitted):
    finished = status.state == messages.AttemptState.FINISHED
    never_admitted = status.state in messages.NEVER_ADMITTED and not admitted
    default_code = 'frame_error' if finished else 'outcome_unknown'
    return failures.AttemptFailed(
        status.text
        or (
            'finished without the last token'
            if finished
            else f'the attempt ended in state {status.state}'
        ),
        code=status.code or ('not_run' if never_admitted else default_code),
        step=status.step,
        peer=status.peer or head_id,
        never_admitted=never_admitted,
        retry_after_s=status.retry_after_ms / 1000,
        engine_crashed=status.engine_crashed,
    )
