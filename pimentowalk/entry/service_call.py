"""One call of a plain service and its attempts."""

import asyncio

import attrs

from pimentowalk.core import errors
from pimentowalk.entry import claims as entry_claims
from pimentowalk.entry import failures
from pimentowalk.entry import model_run
from pimentowalk.entry import pool
from pimentowalk.entry import watchdog
from pimentowalk.routing import plain
from pimentowalk.topology import contracts
from pimentowalk.wire import messages

MAX_ATTEMPTS = 4
# Cost of a plain call in load estimates and rate limits, in tokens.
CALL_COST = 1


@attrs.frozen
class ServiceSpec:
    """A call of a plain service.

    `deadline_s` is a time on the clock of the timer service.
    """

    request_id: bytes
    account: contracts.ClientAccount
    service: contracts.Service
    route: contracts.Route
    method: str
    path: str
    headers: list
    body: bytes
    key: str
    fingerprint: int
    scope_version: int
    deadline_s: float

    @property
    def non_idempotent(self):
        """Return whether running the call twice could have two effects."""
        return self.method in self.route.non_idempotent_methods


@attrs.frozen
class ServiceResult:
    """The response of a service.

    `replayed` marks the recorded response of an earlier call,
    `status_only` a response of which only the status is recorded.
    """

    status: int
    headers: list
    body: bytes
    replayed: bool = False
    status_only: bool = False


class ServiceRequest:
    """Run a service call with retries.

    Idempotent calls are retried within the budget. Other calls are retried
    only if the failed attempt is proven not to have run, and their
    idempotency key, if any, is claimed before they are sent.
    """

    def __init__(self, context, claims, spec):
        self._context = context
        self._claims = claims
        self._avoided_ids = set()
        self.spec = spec
        self.records = []

    def remaining_s(self):
        """Return the time left until the deadline."""
        return self.spec.deadline_s - self._context.timers.now_s()

    async def run(self):
        """Return the ServiceResult; raise RequestFailed."""
        while True:
            server = self._choose_server()
            held_claim = None
            if self.spec.non_idempotent and self.spec.key:
                held_claim = await self._open_claim(server)
                if isinstance(held_claim, entry_claims.RecordedReply):
                    return _replayed_result(held_claim)
            try:
                reply = await self._run_attempt(server)
            except failures.AttemptFailed as error:
                await self._attempt_failed(server, held_claim, error)
                continue
            return await self._finish(server, held_claim, reply)

    async def _open_claim(self, server):
        held_claim = await self._claims.open(
            self.spec, server, len(self.records) + 1, self.remaining_s()
        )
        if self.remaining_s() > 0 or isinstance(
            held_claim, entry_claims.RecordedReply
        ):
            return held_claim
        await self._claims.release(held_claim)
        raise self._failure('the deadline passed', 'deadline')

    def _choose_server(self):
        server = plain.choose(
            self._context.routing, self.spec.service.name, self._avoided_ids
        )
        if self.remaining_s() <= 0:
            raise self._failure('the deadline passed', 'deadline')
        if server is None:
            raise self._failure('no server of this service', 'no_chain')
        return server

    def _failure(self, message, code):
        error = errors.PimentowalkError(message, code=code, step='choose')
        return failures.request_failure(error, self.records)

    async def _run_attempt(self, server):
        record = failures.AttemptRecord(
            len(self.records) + 1,
            (server.server_id,),
            self._context.timers.now_s(),
        )
        self.records.append(record)
        self._context.metrics.count('service_attempts')
        if record.attempt == 1:
            self._context.retry_budgets.of(
                self.spec.route
            ).count_first_attempt()
        charge = self._context.routing.loads.charge(
            [server.server_id], CALL_COST
        )
        attempt = ServiceAttempt(self._context, self, server, record.attempt)
        try:
            return await attempt.run()
        finally:
            self._context.routing.loads.settle(charge)

    async def _attempt_failed(self, server, held_claim, error):
        record = self.records[-1]
        record.mark_failed(error, self._context.timers.now_s())
        self._avoided_ids.add(server.server_id)
        links = self._context.routing.links
        if error.code == 'peer_lost':
            links.record_failure(links.origin, server.server_id)
        if held_claim is not None:
            if error.never_admitted:
                await self._claims.release(held_claim)
            else:
                await self._claims.settle(held_claim, 'unknown')
        if not self._may_retry(error):
            raise failures.request_failure(error, self.records)
        self._context.metrics.count('service_retries')

    def _may_retry(self, error):
        if (
            error.code in failures.NON_RETRYABLE_CODES
            or self.remaining_s() <= 0
        ):
            return False
        if len(self.records) >= MAX_ATTEMPTS:
            return False
        if self.spec.non_idempotent:
            return error.never_admitted
        return self._context.retry_budgets.of(self.spec.route).take()

    async def _finish(self, server, held_claim, reply):
        links = self._context.routing.links
        links.record_success(links.origin, server.server_id)
        record = self.records[-1]
        record.state = reply.state
        record.ended_s = self._context.timers.now_s()
        status_only = False
        if held_claim is not None:
            status_only = not entry_claims.is_recordable(reply.body)
            await self._claims.settle(held_claim, 'done', reply)
        return ServiceResult(
            reply.status, reply.headers, reply.body, False, status_only
        )


def _replayed_result(recorded):
    return ServiceResult(
        recorded.status, recorded.headers, recorded.body, replayed=True
    )


class ServiceAttempt:
    """Send one attempt of a service call and wait for the reply."""

    def __init__(self, context, request, server, number):
        self._context = context
        self._request = request
        self._server = server
        self._number = number
        self._inbox = asyncio.Queue()
        self._connection = None

    async def run(self):
        """Return the ServiceReply; raise AttemptFailed."""
        server = self._server
        try:
            self._connection = await self._context.pool.connect_to(server)
        except errors.PimentowalkError as error:
            raise self._to_attempt_failed(error, never_admitted=True) from None
        spec = self._request.spec
        remaining_s = self._request.remaining_s()
        deadline_watchdog = watchdog.Watchdog(
            self._context.timers, self._inbox, remaining_s
        )
        deadline_watchdog.set_limit(remaining_s)
        self._connection.attach(spec.request_id, self._inbox)
        try:
            await self._send()
            return await self._receive()
        except asyncio.CancelledError:
            self._close('the caller has gone')
            raise
        finally:
            deadline_watchdog.stop()
            self._connection.detach(spec.request_id, self._inbox)

    async def _send(self):
        spec = self._request.spec
        call = messages.ServiceCall(
            request_id=spec.request_id,
            attempt=self._number,
            account=spec.account.name,
            service=spec.service.name,
            method=spec.method,
            path=spec.path,
            headers=spec.headers,
            body=spec.body,
            deadline_ms=max(int(self._request.remaining_s() * 1000), 1),
            weight=spec.account.weight,
            scope_version=spec.scope_version,
            non_idempotent=spec.non_idempotent,
            fingerprint=spec.fingerprint,
        )
        try:
            await self._connection.peer.send(call)
        except errors.FrameError as error:
            raise self._to_attempt_failed(error, never_admitted=True) from None
        except errors.PimentowalkError as error:
            raise self._to_attempt_failed(error) from None

    async def _receive(self):
        while True:
            event = await self._inbox.get()
            if isinstance(event, messages.ServiceReply):
                if event.attempt != self._number:
                    continue
                if event.state == messages.AttemptState.FINISHED:
                    return event
                if event.state in messages.ENDED:
                    raise self._ended_failure(event)
            elif isinstance(event, pool.ConnectionLost):
                raise self._attempt_error(
                    'the connection to the agent ended', 'peer_lost'
                )
            elif isinstance(event, watchdog.ProgressTimeout):
                never_admitted = await self._prove_never_admitted()
                raise self._attempt_error(
                    'the deadline passed', 'deadline', never_admitted
                )

    def _ended_failure(self, reply):
        never_admitted = reply.state in messages.NEVER_ADMITTED
        default_code = 'not_run' if never_admitted else 'outcome_unknown'
        return self._attempt_error(
            reply.text or f'the attempt ended in state {reply.state}',
            reply.code or default_code,
            never_admitted,
        )

    def _attempt_error(self, message, code, never_admitted=False):
        return failures.AttemptFailed(
            message,
            code=code,
            step='service_call',
            peer=self._server.server_id,
            never_admitted=never_admitted,
        )

    def _to_attempt_failed(self, error, *, never_admitted=False):
        return self._attempt_error(error.message, error.code, never_admitted)

    async def _prove_never_admitted(self):
        """Fence the attempt; return whether it is proven not to have run."""
        query = messages.AttemptQuery(
            self._request.spec.request_id,
            self._number,
            self._server.incarnation,
        )
        try:
            status = await self._connection.peer.call(
                query, model_run.PROOF_TIMEOUT_S
            )
        except (errors.PimentowalkError, TimeoutError):
            return False
        return (
            isinstance(status, messages.AttemptStatus)
            and status.attempt == self._number
            and status.request_id == self._request.spec.request_id
            and status.state in messages.NEVER_ADMITTED
        )

    def _close(self, reason):
        self._connection.peer.post(
            messages.CloseAttempt(
                self._request.spec.request_id, self._number, reason
            )
        )
