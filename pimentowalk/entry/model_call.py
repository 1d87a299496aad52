"""A model request: attempts on chains until the response is complete."""

import asyncio
import logging

import attrs

from pimentowalk.core import errors
from pimentowalk.core import logs
from pimentowalk.entry import assembly
from pimentowalk.entry import failures
from pimentowalk.entry import model_run
from pimentowalk.routing import index
from pimentowalk.routing import prefix
from pimentowalk.topology import contracts

LOG = logging.getLogger(__name__)

MAX_ATTEMPTS = 8
# Refusals by servers that drain or have a newer configuration belong to
# planned changes, and the refused attempt is proven not to have run. A few
# retries after them are not charged to the retry budget.
PLANNED_CODES = frozenset({'draining', 'stale_configuration'})
MAX_PLANNED_RETRIES = 3
# A lost server costs each of its requests one attempt, so these retries do not
# multiply load, while a budget would fail the requests beyond its share.
# Overload shows as refusals and stalls, which are charged to the budget.
MAX_FAILOVERS = 2
# After this many crashes the control plane quarantines a request. An attempt
# before the quarantine arrives at the entry would crash one more engine.
MAX_CRASHES = 2
# A caller may resend a failed request within milliseconds. The error is
# therefore held back until the control plane has confirmed the crashes, which
# takes a commit and a push, about 30 ms. The timeout bounds the wait while the
# control plane has no quorum.
CRASH_CONFIRMATION_TIMEOUT_S = 1.0
CRASH_CONFIRMATION_POLL_S = 0.01


@attrs.frozen
class ModelSpec:
    """A model request.

    `deadline_s` is a time on the clock of the timer service.
    """

    request_id: bytes
    account: contracts.ClientAccount
    service: contracts.Service
    route: contracts.Route
    adapter: str
    prompt: str
    max_tokens: int
    seed: int
    temperature: float
    fingerprint: int
    scope_version: int
    deadline_s: float

    @property
    def prompt_tokens(self):
        """Return the estimated length of the prompt in tokens."""
        return 1 + len(self.prompt) // prefix.CHARACTERS_PER_TOKEN

    @property
    def predicted_tokens(self):
        """Return the predicted cost of the request in tokens."""
        return self.prompt_tokens + self.max_tokens


class ModelCall:
    """Run a model request with retries; `next_tokens` yields its tokens.

    A silent attempt is kept until a standby attempt has sent a token, because
    another chain may refuse or fail, and the silent one may go on.
    """

    def __init__(self, context, spec):
        now_s = context.timers.now_s()
        self._context = context
        self._attempt = None
        # The attempt beside a silent one.
        self._standby = None
        self._attempts = []
        self._avoided_ids = set()
        self._planned_retries = 0
        self._failovers = 0
        self._crashes = 0
        self.spec = spec
        self.records = []
        self.recomputed_tokens = 0
        self.stall_timeout_s = model_run.stall_timeout_s(
            spec.deadline_s - now_s
        )
        self.assembly = assembly.AnswerAssembly(
            spec.request_id, spec.service.total_layers, spec.max_tokens
        )

    def remaining_s(self):
        """Return the time left until the deadline."""
        return self.spec.deadline_s - self._context.timers.now_s()

    def remaining_ms(self):
        """Return the time left in whole milliseconds, at least 1."""
        return max(int(self.remaining_s() * 1000), 1)

    async def next_tokens(self):
        """Return the next tokens, or an empty list after the last.

        Raises RequestFailed when no further attempt is allowed.
        """
        while not self.assembly.complete:
            try:
                tokens = await self._receive()
            except failures.AttemptSilent as error:
                self._attempt_silent(error)
                continue
            except failures.AttemptFailed as error:
                await self._attempt_failed(error)
                continue
            if self.assembly.complete:
                self._finish()
            if tokens:
                return tokens
        return []

    async def _receive(self):
        if self._attempt is None:
            self._begin(self._new_attempt(await self._choose_chain()))
            await self._attempt.open()
        if self._standby is not None:
            await self._await_first_event()
        tokens = await self._attempt.receive()
        if tokens and self._standby is not None:
            self._drop_standby('the silent attempt has gone on')
        return tokens

    async def _await_first_event(self):
        """Wait for an event of the present attempt or a token of the standby.

        The standby attempt becomes the present one with its first token.
        """
        while self._standby is not None:
            present, standby = self._attempt, self._standby
            await asyncio.wait(
                {present.next_event(), standby.next_event()},
                return_when=asyncio.FIRST_COMPLETED,
            )
            if present.next_event().done():
                return
            if standby.has_token:
                self._take_over()
                return
            try:
                await standby.receive()
            except failures.AttemptFailed as error:
                self._standby = None
                self._end_failed(standby, error)
                self._penalize_servers(standby, error)

    def _begin(self, attempt):
        """Accept tokens of this attempt from now on."""
        self._attempt = attempt
        self.assembly.total_layers = attempt.chain[-1].total_layers
        self.assembly.begin(attempt.record.attempt)

    def _new_attempt(self, chain):
        self.recomputed_tokens = self.assembly.next_index
        record = failures.AttemptRecord(
            attempt=len(self.records) + 1,
            server_ids=tuple(server.server_id for server in chain),
            started_s=self._context.timers.now_s(),
            recomputed_tokens=self.recomputed_tokens,
        )
        self.records.append(record)
        self._context.metrics.count('attempts')
        if len(self.records) == 1:
            self._context.retry_budgets.of(
                self.spec.route
            ).count_first_attempt()
        attempt = model_run.ModelAttempt(self._context, self, chain, record)
        self._attempts.append(attempt)
        return attempt

    def _take_over(self):
        """Leave the present attempt for the standby attempt."""
        left, standby = self._attempt, self._standby
        self._standby = None
        self._context.metrics.count('takeovers')
        self._end_failed(
            left,
            failures.AttemptFailed(
                'another chain has taken over',
                code='peer_lost',
                step='stall',
                peer=left.chain[0].server_id,
            ),
        )
        self._begin(standby)

    def _drop_standby(self, reason):
        standby, self._standby = self._standby, None
        if standby is not None:
            standby.record.mark_dropped(self._context.timers.now_s())
            standby.close(reason)

    async def _choose_chain(self):
        if self.remaining_s() <= 0:
            raise await self._final_failure('the deadline passed', 'deadline')
        chain = self._find_chain(self._avoided_ids)
        if chain is None:
            message = 'no chain of servers covers all layers'
            raise await self._final_failure(message, 'no_chain')
        return chain

    def _find_chain(self, avoided_ids):
        """Return a chain, without these servers if possible, or None."""
        spec = self.spec
        query = index.ChainQuery(
            service=spec.service.name,
            model=spec.service.model,
            version=spec.service.version,
            adapter=spec.adapter,
            total_layers=spec.service.total_layers,
            predicted_tokens=spec.predicted_tokens + self.assembly.next_index,
            output_tokens=spec.max_tokens,
            prefix_keys=prefix.prefix_keys(
                spec.service.name, spec.adapter, spec.prompt
            ),
            avoid=frozenset(avoided_ids),
        )
        return self._context.chain_policy(spec.service.chain_policy).choose(
            query
        )

    async def _final_failure(self, message, code):
        await self._prove_not_run()
        error = errors.PimentowalkError(message, code=code, step='choose')
        return failures.request_failure(error, self.records)

    def _finish(self):
        attempt = self._attempt
        self._attempt = None
        attempt.ended = True
        attempt.close('complete')
        record = attempt.record
        record.state = 'finished'
        record.ended_s = self._context.timers.now_s()
        self._context.suspects.discard(self.spec.fingerprint)
        routing = self._context.routing
        source_id = routing.links.origin
        for server in attempt.chain:
            routing.links.record_success(source_id, server.server_id)
            source_id = server.server_id
        routing.prefixes.remember(
            prefix.prefix_keys(
                self.spec.service.name, self.spec.adapter, self.spec.prompt
            ),
            record.server_ids,
        )

    def _attempt_silent(self, error):
        """Open a standby attempt on another chain, if the call may have one.

        One on a chain that shares a server with the silent attempt would fence
        it there, so that the silent attempt ends first.
        """
        if self._standby is not None:
            return
        silent = self._attempt
        present_ids = {server.server_id for server in silent.chain}
        chain = self._find_chain(self._avoided_ids | present_ids)
        if chain is None:
            return
        is_shared = any(server.server_id in present_ids for server in chain)
        silence_s = self._context.timers.now_s() - silent.progress_s
        if is_shared and silence_s < model_run.SHARED_CHAIN_SILENCE_S:
            return
        if not (self._is_retryable(error) and self._take_retry(error)):
            return
        self._context.metrics.count('retries')
        self._penalize_servers(silent, error)
        if is_shared:
            self._attempt = None
            self.assembly.fence()
            self._end_failed(silent, error)
            return
        self._log_failure(silent, error, 'attempt is silent: %s')
        self._standby = self._new_attempt(chain)

    async def _attempt_failed(self, error):
        attempt = self._attempt
        self._attempt = None
        self.assembly.fence()
        self._end_failed(attempt, error)
        self._penalize_servers(attempt, error)
        is_retryable = self._is_retryable(error)
        if is_retryable and self._standby is not None:
            standby, self._standby = self._standby, None
            self._begin(standby)
            return
        if not (is_retryable and self._take_retry(error)):
            self._drop_standby(error.code)
            await self._prove_not_run()
            await self._await_crash_confirmation()
            raise failures.request_failure(error, self.records)
        self._context.metrics.count('retries')

    def _end_failed(self, attempt, error):
        """Fence an attempt, and record why it has failed."""
        attempt.close(error.code)
        attempt.record.mark_failed(error, self._context.timers.now_s())
        self._log_failure(attempt, error, 'attempt failed: %s')

    def _log_failure(self, attempt, error, message):
        LOG.info(
            message,
            error,
            extra=logs.fields(
                request_id=self.spec.request_id,
                step=error.step,
                peer=error.peer,
                attempt=attempt.record.attempt,
                never_admitted=error.never_admitted,
            ),
        )

    def _penalize_servers(self, attempt, error):
        """Avoid the server that failed and penalize the link to it.

        Also records whether the request crashed an engine.
        """
        if error.engine_crashed:
            self._crashes += 1
            self._context.suspects.add(self.spec.fingerprint)
        # A stall or a wrong token does not tell which stage failed.
        failed_stage_unknown = error.step in ('stall', 'assemble')
        planned_refusal = error.never_admitted and error.code != 'peer_lost'
        source_id = self._context.routing.links.origin
        for server in attempt.chain:
            if failed_stage_unknown or server.server_id == error.peer:
                self._avoided_ids.add(server.server_id)
                if not planned_refusal:
                    self._context.routing.links.record_failure(
                        source_id, server.server_id
                    )
            source_id = server.server_id

    def _is_retryable(self, error):
        """Return whether the request may go on after an attempt has failed."""
        if (
            error.code in failures.NON_RETRYABLE_CODES
            or self.remaining_s() <= 0
        ):
            return False
        if self._crashes >= MAX_CRASHES:
            return False
        return self.spec.fingerprint not in self._context.session.quarantined

    def _take_retry(self, error):
        """Return whether another attempt is granted after this failure."""
        if len(self.records) >= MAX_ATTEMPTS:
            return False
        if error.never_admitted and error.code in PLANNED_CODES:
            self._planned_retries += 1
            if self._planned_retries <= MAX_PLANNED_RETRIES:
                return True
        if error.code == 'peer_lost' and error.step != 'stall':
            self._failovers += 1
            if self._failovers <= MAX_FAILOVERS:
                return True
        budget = self._context.retry_budgets.of(self.spec.route)
        if budget.take():
            return True
        self._context.metrics.count('retries_over_budget')
        return False

    async def _await_crash_confirmation(self):
        """Wait until the control plane has counted the crashes."""
        if not self._crashes:
            return
        timers = self._context.timers
        end_s = timers.now_s() + min(
            CRASH_CONFIRMATION_TIMEOUT_S, self.remaining_s()
        )
        while not self._crashes_confirmed():
            if timers.now_s() >= end_s:
                LOG.warning(
                    'crashes not confirmed by the control plane',
                    extra=logs.fields(
                        request_id=self.spec.request_id,
                        step='quarantine',
                        crashes=self._crashes,
                    ),
                )
                return
            await timers.sleep(CRASH_CONFIRMATION_POLL_S)

    def _crashes_confirmed(self):
        session = self._context.session
        if self.spec.fingerprint in session.quarantined:
            return True
        if self._crashes >= MAX_CRASHES:
            return False
        return self.spec.fingerprint in session.suspects

    async def _prove_not_run(self):
        """Ask the heads for proof that no attempt was admitted.

        Without effect if an attempt is known to have been admitted, since
        the request can then not be proven not to have run.
        """
        unproven = [
            (attempt, record)
            for attempt, record in zip(
                self._attempts, self.records, strict=True
            )
            if not record.never_admitted
        ]
        if any(attempt.admitted for attempt, _ in unproven):
            return
        for attempt, record in unproven:
            record.never_admitted = await attempt.prove_never_admitted()
            if not record.never_admitted:
                return

    def close(self, reason):
        """Abandon the request, e.g. because its caller disconnected."""
        self._drop_standby(reason)
        if self._attempt is None:
            return
        self._attempt.close(reason)
        self._attempt = None
        self._context.metrics.count('requests_given_up')
