"""Durable claims on idempotency keys, kept by control."""

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

# Tells the caller what a resend with the same key gets.
RECORD_HEADER = 'X-Idempotency-Record'
STATUS_ONLY = 'status-only'
REPLAYED = 'replayed'
# A claim is an entry of the replicated log; a larger reply is recorded by
# its status only.
MAX_RECORDED_BYTES = 64 * 1024
MAX_RECORDED_HEADERS = 32
# The caller waits this long for the record before it gets its reply; the
# record is then written in the background.
SETTLE_WAIT_S = 2.0
SETTLE_TRIES = 5
SETTLE_RETRY_S = 1.0
QUERY_TIMEOUT_S = 1.0
# A resend waits this long for the result of a call that still runs.
IN_PROGRESS_WAIT_S = 2.0
IN_PROGRESS_POLL_S = 0.25
MAX_OPEN_S = 5.0


@attrs.frozen
class Recorded:
    """The recorded reply of an earlier call with the same key."""

    status: int
    headers: list
    body: bytes


@attrs.frozen
class Held:
    """A claim that this request holds."""

    account: str
    key: str
    claim_id: str


def body_hash(method, path, body):
    """Return the hash by which reuse of a key is recognized."""
    digest = hashlib.sha256()
    for part in (method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(4, 'big'))
        digest.update(part)
    return digest.hexdigest()


def is_recordable(body):
    """Return whether a claim can hold a reply body."""
    return len(body) <= MAX_RECORDED_BYTES


class Claims:
    """Open, settle and release claims through the node session.

    `commands` is the module `control.commands`.
    """

    def __init__(self, session, commands, pool, timers):
        self._session = session
        self._commands = commands
        self._pool = pool
        self._timers = timers
        self._tasks = set()

    async def open(self, spec, server, attempt, timeout_s):
        """Return `Held`, or `Recorded` if the call has run before.

        Raises RequestFailed if the call must not be sent.
        """
        claim_id = identifiers.new_change_id()
        held = Held(spec.account.name, spec.key, claim_id)
        command = self._commands.OpenClaim(
            account=held.account,
            key=held.key,
            body_hash=body_hash(spec.method, spec.path, spec.body),
            claim_id=claim_id,
            request_id=spec.request_id,
            server=self._commands.ServerAddress(
                server.server_id, server.incarnation, server.host, server.port
            ),
            attempt=attempt,
        )
        give_up_s = self._timers.now_s() + IN_PROGRESS_WAIT_S
        timeout_s = min(timeout_s, MAX_OPEN_S)
        while True:
            result = await self._request_open(command, held, timeout_s)
            if result.state == 'new':
                return held
            claim = result.claim
            if result.state == 'open' and claim.claim_id == claim_id:
                return held
            if result.state != 'open':
                return _ended(result)
            await self._resolve(held, claim, give_up_s)

    async def _request_open(self, command, held, timeout_s):
        try:
            return await self._session.request(command, timeout_s)
        except errors.PimentowalkError as error:
            # The claim may have been accepted although its reply was lost.
            # The call has not left, so releasing it is right.
            if error.code == 'outcome_unknown':
                self._background(self._release(held))
            code = error.code
            if code not in failures.SPECIFIC_CODES:
                code = 'not_run'
            raise failures.RequestFailed(
                f'no claim could be made: {error.message}',
                code=code,
                step='claim',
                peer=error.peer,
                not_run=True,
            ) from None

    async def _resolve(self, held, claim, give_up_s):
        """Release an open claim of a call that provably never ran."""
        state = await self._query(claim)
        if state in messages.NEVER_ADMITTED:
            await self._release(attrs.evolve(held, claim_id=claim.claim_id))
            return
        if self._timers.now_s() < give_up_s:
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

    async def _query(self, claim):
        """Fence the attempt of a claim and return its state, or ''."""
        server = claim.server
        query = messages.AttemptQuery(
            claim.request_id, claim.attempt, server.incarnation
        )
        try:
            link = await self._pool.connect_to(server)
            status = await link.peer.call(query, QUERY_TIMEOUT_S)
        except (errors.PimentowalkError, TimeoutError):
            return ''
        same = (status.request_id, status.attempt) == (
            claim.request_id,
            claim.attempt,
        )
        return status.state if same else ''

    async def settle(self, held, outcome, reply=None):
        """Record how a call ended, before its caller learns it.

        Of a reply that no claim can hold, only the status is recorded, with
        a header that says so. Without a quorum the caller gets the reply
        after a short wait, and the record is tried again in the background.
        """
        status, headers, body = 0, [], b''
        if reply is not None:
            status, headers, body = _recorded(reply)
        command = self._commands.SettleClaim(
            account=held.account,
            key=held.key,
            claim_id=held.claim_id,
            outcome=outcome,
            status=status,
            headers=headers,
            body=body,
        )
        await self._within_wait(self._insist(command))

    async def release(self, held):
        """Give a claim back; the proof must have been seen before."""
        await self._within_wait(self._release(held))

    async def _release(self, held):
        await self._insist(
            self._commands.ReleaseClaim(held.account, held.key, held.claim_id)
        )

    async def _insist(self, command):
        for _ in range(SETTLE_TRIES):
            try:
                return await self._session.request(command)
            except errors.PimentowalkError as error:
                LOG.warning(
                    'claim not updated: %s',
                    error,
                    extra=logs.fields(step='claim', peer=error.peer),
                )
            await self._timers.sleep(SETTLE_RETRY_S)
        return None

    async def _within_wait(self, work):
        task = self._background(work)
        pause = asyncio.ensure_future(self._timers.sleep(SETTLE_WAIT_S))
        try:
            await asyncio.wait(
                [task, pause], return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            pause.cancel()

    def _background(self, work):
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def finish(self, timeout_s):
        """Wait for updates of claims that are still under way."""
        if self._tasks:
            await asyncio.wait(list(self._tasks), timeout=timeout_s)


def _recorded(reply):
    if is_recordable(reply.body):
        headers = list(reply.headers)[:MAX_RECORDED_HEADERS]
        return reply.status, headers, reply.body
    return reply.status, [messages.Header(RECORD_HEADER, STATUS_ONLY)], b''


def _ended(result):
    """Return the recorded reply of a claim, or raise RequestFailed."""
    if result.state == 'settled':
        claim = result.claim
        return Recorded(claim.status, claim.headers, claim.body)
    if result.state == 'key_reused':
        raise failures.RequestFailed(
            'the idempotency key came with another body',
            code='key_reused',
            step='claim',
            not_run=True,
        )
    raise failures.RequestFailed(
        'an earlier call with this key may have run',
        code='outcome_unknown',
        step='claim',
    )
