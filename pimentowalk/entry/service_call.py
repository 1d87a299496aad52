"""One call of a plain service, with its attempts."""

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
# A plain call counts as one unit of work in the load estimates.
CALL_COST = 1


@attrs.frozen
class ServiceSpec:
    """What a caller asked of a service; `deadline_s` is on the timers."""

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
        """Return whether a second run would do something twice."""
        return self.method in self.route.non_idempotent_methods


@attrs.frozen
class ServiceResult:
    """The reply of a service; `replayed` if recorded by an earlier call."""

    status: int
    headers: list
    body: bytes
    replayed: bool = False
    status_only: bool = False


class ServiceRequest:
    """Call a service: idempotent calls may be retried, others claimed."""

    def __init__(self, context, claims, spec):
        self._context = context
        self._claims = claims
        self._avoid = set()
        self.spec = spec
        self.records = []

    def remaining_s(self):
        """Return the time left until the deadline."""
        return self.spec.deadline_s - self._context.timers.now_s()

    async def run(self):
        """Return the result; raise RequestFailed."""
        while True:
            server = self._choose()
            held = None
            if self.spec.non_idempotent and self.spec.key:
                held = await self._claim(server)
                if isinstance(held, entry_claims.Recorded):
                    return _replayed(held)
            try:
                reply = await self._attempt(server)
            except failures.AttemptFailed as error:
                await self._attempt_failed(server, held, error)
                continue
            return await self._finished(server, held, reply)

    async def _claim(self, server):
        held = await self._claims.open(
            self.spec, server, len(self.records) + 1, self.remaining_s()
        )
        if self.remaining_s() > 0 or isinstance(held, entry_claims.Recorded):
            return held
        await self._claims.release(held)
        raise self._failure('the deadline passed', 'deadline')

    def _choose(self):
        server = plain.choose(
            self._context.routing, self.spec.service.name, self._avoid
        )
        if self.remaining_s() <= 0:
            raise self._failure('the deadline passed', 'deadline')
        if server is None:
            raise self._failure('no server of this service', 'no_chain')
        return server

    def _failure(self, message, code):
        error = errors.PimentowalkError(message, code=code, step='choose')
        return failures.request_failure(error, self.records)

    async def _attempt(self, server):
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
        run = ServiceRun(self._context, self, server, record.attempt)
        try:
            return await run.run()
        finally:
            self._context.routing.loads.settle(charge)

    async def _attempt_failed(self, server, held, error):
        record = self.records[-1]
        record.fail(error, self._context.timers.now_s())
        self._avoid.add(server.server_id)
        links = self._context.routing.links
        if error.code == 'peer_lost':
            links.record_failure(links.origin, server.server_id)
        if held is not None:
            if error.never_admitted:
                await self._claims.release(held)
            else:
                await self._claims.settle(held, 'unknown')
        if not self._may_retry(error):
            raise failures.request_failure(error, self.records)
        self._context.metrics.count('service_retries')

    def _may_retry(self, error):
        if error.code in failures.FINAL_CODES or self.remaining_s() <= 0:
            return False
        if len(self.records) >= MAX_ATTEMPTS:
            return False
        if self.spec.non_idempotent:
            return error.never_admitted
        return self._context.retry_budgets.of(self.spec.route).take()

    async def _finished(self, server, held, reply):
        links = self._context.routing.links
        links.record_success(links.origin, server.server_id)
        record = self.records[-1]
        record.state = reply.state
        record.ended_s = self._context.timers.now_s()
        status_only = False
        if held is not None:
            status_only = not entry_claims.is_recordable(reply.body)
            await self._claims.settle(held, 'done', reply)
        return ServiceResult(
            reply.status, reply.headers, reply.body, False, status_only
        )


def _replayed(recorded):
    return ServiceResult(
        recorded.status, recorded.headers, recorded.body, replayed=True
    )


class ServiceRun:
    """Send one attempt of a service call and wait for its reply."""

    def __init__(self, context, request, server, attempt):
        self._context = context
        self._request = request
        self._server = server
        self._attempt = attempt
        self._inbox = asyncio.Queue()
        self._link = None

    async def run(self):
        """Return the ServiceReply; raise AttemptFailed."""
        server = self._server
        try:
            self._link = await self._context.pool.connect_to(server)
        except errors.PimentowalkError as error:
            raise self._failed(error, never_admitted=True) from None
        spec = self._request.spec
        remaining_s = self._request.remaining_s()
        dog = watchdog.Watchdog(self._context.timers, self._inbox, remaining_s)
        dog.expect(remaining_s)
        self._link.attach(spec.request_id, self._inbox)
        try:
            await self._send()
            return await self._receive()
        except asyncio.CancelledError:
            self._close('the caller has gone')
            raise
        finally:
            dog.stop()
            self._link.detach(spec.request_id, self._inbox)

    async def _send(self):
        spec = self._request.spec
        call = messages.ServiceCall(
            request_id=spec.request_id,
            attempt=self._attempt,
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
            await self._link.peer.send(call)
        except errors.FrameError as error:
            raise self._failed(error, never_admitted=True) from None
        except errors.PimentowalkError as error:
            raise self._failed(error) from None

    async def _receive(self):
        while True:
            body = await self._inbox.get()
            if isinstance(body, messages.ServiceReply):
                if body.attempt != self._attempt:
                    continue
                if body.state == messages.AttemptState.FINISHED:
                    return body
                if body.state in messages.ENDED:
                    raise self._ended(body)
            elif isinstance(body, pool.Lost):
                raise self._error('the connection ended', 'peer_lost')
            elif isinstance(body, watchdog.Overdue):
                never = await self._prove_never_admitted()
                raise self._error('the deadline passed', 'deadline', never)

    def _ended(self, reply):
        never_admitted = reply.state in messages.NEVER_ADMITTED
        fallback = 'not_run' if never_admitted else 'outcome_unknown'
        return self._error(
            reply.text or f'state {reply.state}',
            reply.code or fallback,
            never_admitted,
        )

    def _error(self, message, code, never_admitted=False):
        return failures.AttemptFailed(
            message,
            code=code,
            step='service_call',
            peer=self._server.server_id,
            never_admitted=never_admitted,
        )

    def _failed(self, error, *, never_admitted=False):
        return self._error(error.message, error.code, never_admitted)

    async def _prove_never_admitted(self):
        """Fence the attempt; return whether it provably never ran."""
        query = messages.AttemptQuery(
            self._request.spec.request_id,
            self._attempt,
            self._server.incarnation,
        )
        try:
            status = await self._link.peer.call(
                query, model_run.PROOF_TIMEOUT_S
            )
        except (errors.PimentowalkError, TimeoutError):
            return False
        return (
            isinstance(status, messages.AttemptStatus)
            and status.attempt == self._attempt
            and status.request_id == self._request.spec.request_id
            and status.state in messages.NEVER_ADMITTED
        )

    def _close(self, reason):
        self._link.peer.post(
            messages.CloseAttempt(
                self._request.spec.request_id, self._attempt, reason
            )
        )
