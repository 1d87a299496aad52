"""A model request: attempts on chains until its answer is complete."""

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
# Refusals by servers that leave or have a newer configuration are part of
# planned changes and proven not to have run, so a few retries after them
# are not charged to the budget.
PLANNED_CODES = frozenset({'draining', 'stale_configuration'})
MAX_PLANNED_RETRIES = 3
# The end of a server costs each of its requests one attempt, however many
# there are, so it cannot multiply load; a budget would fail those beyond
# its share. Overload shows as refusals and stalls, which are charged.
MAX_FAILOVERS = 2
# After this many crashes control quarantines a request; running it once
# more before the news arrives would cost another engine.
MAX_CRASHES = 2
# A caller may send a failed request again within milliseconds. It is told of
# the failure only once the crashes are known here, which takes a commit and
# a push, about 30 ms; the limit bounds the wait while control has no quorum.
CRASH_NEWS_WAIT_S = 1.0
CRASH_NEWS_POLL_S = 0.01


@attrs.frozen
class ModelSpec:
    """What a caller asked of a model; `deadline_s` is on the timers."""

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
        """Return the predicted cost of the request."""
        return self.prompt_tokens + self.max_tokens


class ModelCall:
    """Run a model request; the caller reads tokens until none are left."""

    def __init__(self, context, spec):
        now_s = context.timers.now_s()
        self._context = context
        self._run = None
        self._runs = []
        self._avoid = set()
        self._planned_retries = 0
        self._failovers = 0
        self._crashes = 0
        self.spec = spec
        self.records = []
        self.recomputed_tokens = 0
        self.stall_s = model_run.stall_s(spec.deadline_s - now_s)
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
        """Return the next tokens, none after the last.

        Raises RequestFailed when no further attempt is allowed.
        """
        while not self.assembly.complete:
            try:
                if self._run is None:
                    await self._open()
                released = await self._run.receive()
            except failures.AttemptFailed as error:
                await self._attempt_failed(error)
                continue
            if self.assembly.complete:
                self._finish()
            if released:
                return released
        return []

    async def _open(self):
        chain = await self._choose()
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
        self._run = model_run.ModelRun(self._context, self, chain, record)
        self._runs.append(self._run)
        self.assembly.total_layers = chain[-1].total_layers
        self.assembly.begin(record.attempt)
        await self._run.open()

    async def _choose(self):
        spec = self.spec
        if self.remaining_s() <= 0:
            raise await self._final('the deadline passed', 'deadline')
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
            avoid=frozenset(self._avoid),
        )
        policy = self._context.chain_policy(spec.service.chain_policy)
        chain = policy.choose(query)
        if chain is None:
            message = 'no servers tile all layers'
            raise await self._final(message, 'no_chain')
        return chain

    async def _final(self, message, code):
        await self._seek_proof()
        error = errors.PimentowalkError(message, code=code, step='choose')
        return failures.request_failure(error, self.records)

    def _finish(self):
        run = self._run
        self._run = None
        run.ended = True
        run.close('complete')
        record = self.records[-1]
        record.state = 'finished'
        record.ended_s = self._context.timers.now_s()
        self._context.suspects.clear(self.spec.fingerprint)
        routing = self._context.routing
        source_id = routing.links.origin
        for server in run.chain:
            routing.links.record_success(source_id, server.server_id)
            source_id = server.server_id
        routing.prefixes.remember(
            prefix.prefix_keys(
                self.spec.service.name, self.spec.adapter, self.spec.prompt
            ),
            record.server_ids,
        )

    async def _attempt_failed(self, error):
        run = self._run
        self._run = None
        self.assembly.fence()
        run.close(error.code)
        self.records[-1].fail(error, self._context.timers.now_s())
        self._learn(run, error)
        LOG.info(
            'attempt failed: %s',
            error,
            extra=logs.fields(
                request_id=self.spec.request_id,
                step=error.step,
                peer=error.peer,
                attempt=self.records[-1].attempt,
                never_admitted=error.never_admitted,
            ),
        )
        if not self._may_retry(error):
            await self._seek_proof()
            await self._await_crash_news()
            raise failures.request_failure(error, self.records)
        self._context.metrics.count('retries')

    def _learn(self, run, error):
        """Blame the link to the peer that failed, and avoid the peer."""
        if error.engine_crashed:
            self._crashes += 1
            self._context.suspects.add(self.spec.fingerprint)
        # A stall or a wrong token tells nothing about which stage failed.
        anywhere = error.step in ('stall', 'assemble')
        planned = error.never_admitted and error.code != 'peer_lost'
        source_id = self._context.routing.links.origin
        for server in run.chain:
            if anywhere or server.server_id == error.peer:
                self._avoid.add(server.server_id)
                if not planned:
                    self._context.routing.links.record_failure(
                        source_id, server.server_id
                    )
            source_id = server.server_id

    def _may_retry(self, error):
        if error.code in failures.FINAL_CODES or self.remaining_s() <= 0:
            return False
        if len(self.records) >= MAX_ATTEMPTS:
            return False
        if self._crashes >= MAX_CRASHES:
            return False
        if self.spec.fingerprint in self._context.session.quarantined:
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

    async def _await_crash_news(self):
        """Wait until control has counted the crashes of this request."""
        if not self._crashes:
            return
        timers = self._context.timers
        end_s = timers.now_s() + min(CRASH_NEWS_WAIT_S, self.remaining_s())
        while not self._crashes_are_known():
            if timers.now_s() >= end_s:
                LOG.warning(
                    'crashes not confirmed by control',
                    extra=logs.fields(
                        request_id=self.spec.request_id,
                        step='quarantine',
                        crashes=self._crashes,
                    ),
                )
                return
            await timers.sleep(CRASH_NEWS_POLL_S)

    def _crashes_are_known(self):
        session = self._context.session
        if self.spec.fingerprint in session.quarantined:
            return True
        if self._crashes >= MAX_CRASHES:
            return False
        return self.spec.fingerprint in session.suspects

    async def _seek_proof(self):
        """Ask the heads of unproven attempts, if all may be proven."""
        unproven = [
            (run, record)
            for run, record in zip(self._runs, self.records, strict=True)
            if not record.never_admitted
        ]
        if any(run.admitted for run, _ in unproven):
            return
        for run, record in unproven:
            record.never_admitted = await run.prove_never_admitted()
            if not record.never_admitted:
                return

    def close(self, reason):
        """Give the request up, because its caller has gone."""
        if self._run is None:
            return
        self._run.close(reason)
        self._run = None
        self._context.metrics.count('requests_given_up')
