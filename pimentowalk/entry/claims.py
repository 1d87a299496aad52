"""Durable claims on idempotency keys, stored by the control plane."""

import asyncio
import hashlib
import logging

import attrs

from pimentowalk.core import errors
from pimentowalk.core import identifiers
from pimentowalk.core import logs
from pimentowalk.entry import failures
from pimentowalk.wire import messages

LOG = logging.getLogger(__name__)

# Tells the caller what a resend with the same key receives.
RECORD_HEADER = 'X-Idempotency-Record'
STATUS_ONLY = 'status-only'
REPLAYED = 'replayed'
# A claim is stored in the replicated log. Of a larger response only the
# status is recorded.
MAX_RECORDED_BYTES = 64 * 1024
MAX_RECORDED_HEADERS = 32
# The response is delayed by up to this time until it is recorded; after that
# the record is written in the background.
SETTLE_WAIT_S = 2.0
SETTLE_ATTEMPTS = 5
SETTLE_RETRY_DELAY_S = 1.0
QUERY_TIMEOUT_S = 1.0
# A resend waits this long for the result of a call that is still running.
IN_PROGRESS_WAIT_S = 2.0
IN_PROGRESS_POLL_S = 0.25
MAX_OPEN_TIMEOUT_S = 5.0


@attrs.frozen
class RecordedReply:
    """The recorded response of an earlier call with the same key."""

    status: int
    headers: list
    body: bytes


@attrs.frozen
class HeldClaim:
    """An open claim that belongs to this request."""

    account: str
    key: str
    claim_id: str


def request_hash(method, path, body):
    """Return the hash that detects reuse of a key for another request."""
    digest = hashlib.sha256()
    for part in (method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(4, 'big'))
        digest.update(part)
    return digest.hexdigest()


def is_recordable(body):
    """Return whether a response body is small enough for a claim."""
    return len(body) <= MAX_RECORDED_BYTES


class ClaimClient:
    """Open, settle and release claims through the node session.

    `commands` is the module `control.commands`, passed in so that this
    module does not import the control plane.
    """

    def __init__(self, session, commands, pool, timers):
        self._session = session
        self._commands = commands
        self._pool = pool
        self._timers = timers
        self._tasks = set()

    async def open(self, spec, server, attempt, timeout_s):
        """Return a `HeldClaim`, or `RecordedReply` if the call ran before.

        Raises RequestFailed if the call must not be sent.
        """
        claim_id = identifiers.new_change_id()
        held_claim = HeldClaim(spec.account.name, spec.key, claim_id)
        command = self._commands.OpenClaim(
            account=held_claim.account,
            key=held_claim.key,
            body_hash=request_hash(spec.method, spec.path, spec.body),
            claim_id=claim_id,
            request_id=spec.request_id,
            server=self._commands.ServerAddress(
                server.server_id, server.incarnation, server.host, server.port
            ),
            attempt=attempt,
        )
        poll_until_s = self._timers.now_s() + IN_PROGRESS_WAIT_S
        timeout_s = min(timeout_s, MAX_OPEN_TIMEOUT_S)
        while True:
            result = await self._request_open(command, held_claim, timeout_s)
            if result.state == 'new':
                return held_claim
            claim = result.claim
            if result.state == 'open' and claim.claim_id == claim_id:
                return held_claim
            if result.state != 'open':
                return _ended_claim_result(result)
            await self._resolve_open_claim(held_claim, claim, poll_until_s)

    async def _request_open(self, command, held_claim, timeout_s):
        try:
            return await self._session.request(command, timeout_s)
        except errors.PimentowalkError as error:
            # The claim may have been accepted although the reply was lost.
            # The call has not been sent, so the claim can be released.
            if error.code == 'outcome_unknown':
                self._start_task(self._release(held_claim))
            code = error.code
            if code not in failures.ACTIONABLE_CODES:
                code = 'not_run'
            raise failures.RequestFailed(
                f'the idempotency key could not be claimed: {error.message}',
                code=code,
                step='claim',
                peer=error.peer,
                not_run=True,
            ) from None

    async def _resolve_open_claim(self, held_claim, claim, poll_until_s):
        """Release an open claim whose call is proven not to have run.

        Without that proof sleep until the next poll, and raise RequestFailed
        after `poll_until_s`.
        """
        state = await self._query_attempt(claim)
        if state in messages.NEVER_ADMITTED:
            await self._release(
                attrs.evolve(held_claim, claim_id=claim.claim_id)
            )
            return
        if self._timers.now_s() < poll_until_s:
            await self._timers.sleep(IN_PROGRESS_POLL_S)
            return
        running = state in (
            messages.AttemptState.QUEUED,
            messages.AttemptState.ADMITTED,
        )
        raise failures.RequestFailed(
            'a call with this key is still running'
            if running
            else 'an earlier call with this key may have run',
            code='key_in_progress' if running else 'outcome_unknown',
            step='claim',
            peer=claim.server.server_id,
        )

    async def _query_attempt(self, claim):
        """Fence the attempt of a claim; return its state, '' if unknown."""
        server = claim.server
        query = messages.AttemptQuery(
            claim.request_id, claim.attempt, server.incarnation
        )
        try:
            connection = await self._pool.connect_to(server)
            status = await connection.peer.call(query, QUERY_TIMEOUT_S)
        except (errors.PimentowalkError, TimeoutError):
            return ''
        is_same_attempt = (status.request_id, status.attempt) == (
            claim.request_id,
            claim.attempt,
        )
        return status.state if is_same_attempt else ''

    async def settle(self, held_claim, outcome, reply=None):
        """Record the outcome of a call before the caller receives it.

        Of a response that is too large for a claim only the status is
        recorded, with a header that says so. Without a quorum the caller
        gets the response after `SETTLE_WAIT_S`, and recording it is retried
        in the background.
        """
        status, headers, body = 0, [], b''
        if reply is not None:
            status, headers, body = _recorded_fields(reply)
        command = self._commands.SettleClaim(
            account=held_claim.account,
            key=held_claim.key,
            claim_id=held_claim.claim_id,
            outcome=outcome,
            status=status,
            headers=headers,
            body=body,
        )
        await self._wait_briefly(self._request_with_retries(command))

    async def release(self, held_claim):
        """Release a claim whose call is proven not to have run."""
        await self._wait_briefly(self._release(held_claim))

    async def _release(self, held_claim):
        await self._request_with_retries(
            self._commands.ReleaseClaim(
                held_claim.account, held_claim.key, held_claim.claim_id
            )
        )

    async def _request_with_retries(self, command):
        for _ in range(SETTLE_ATTEMPTS):
            try:
                return await self._session.request(command)
            except errors.PimentowalkError as error:
                LOG.warning(
                    'claim not updated: %s',
                    error,
                    extra=logs.fields(step='claim', peer=error.peer),
                )
            await self._timers.sleep(SETTLE_RETRY_DELAY_S)
        return None

    async def _wait_briefly(self, update):
        task = self._start_task(update)
        delay = asyncio.ensure_future(self._timers.sleep(SETTLE_WAIT_S))
        try:
            await asyncio.wait(
                [task, delay], return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            delay.cancel()

    def _start_task(self, update):
        task = asyncio.ensure_future(update)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def finish(self, timeout_s):
        """Wait for claim updates that run in the background."""
        if self._tasks:
            await asyncio.wait(list(self._tasks), timeout=timeout_s)


def _recorded_fields(reply):
    if is_recordable(reply.body):
        headers = list(reply.headers)[:MAX_RECORDED_HEADERS]
        return reply.status, headers, reply.body
    return reply.status, [messages.Header(RECORD_HEADER, STATUS_ONLY)], b''


def _ended_claim_result(result):
    """Return the recorded response of a claim, or raise RequestFailed."""
    if result.state == 'settled':
        claim = result.claim
        return RecordedReply(claim.status, claim.headers, claim.body)
    if result.state == 'key_reused':
        raise failures.RequestFailed(
            'the idempotency key was used with a different request',
            code='key_reused',
            step='claim',
            not_run=True,
        )
    raise failures.RequestFailed(
        'an earlier call with this key may have run',
        code='outcome_unknown',
        step='claim',
    )
