"""Plain services: HTTP calls that are queued and forwarded to a service."""

import asyncio
import logging
import math

import aiohttp
import attrs

from pimentowalk.admission import fair_queue
from pimentowalk.agent import queued
from pimentowalk.agent import rules
from pimentowalk.agent import sequences
from pimentowalk.core import http_client
from pimentowalk.core import logs
from pimentowalk.core import timers as timer_services
from pimentowalk.wire import messages

LOG = logging.getLogger(__name__)

STATES = messages.AttemptState
# A plain service does not announce how many calls it can run at once.
PLAIN_MAX_RUNNING = 64
# aiohttp adds these headers by default. With Accept-Encoding a service could
# send a compressed reply to a caller that did not ask for one.
AUTO_HEADERS = ('Accept', 'Accept-Encoding', 'User-Agent')
# A reply must fit into one frame together with its headers.
MAX_REPLY_BYTES = 900_000
# These headers concern a single connection and are not forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    {
        'connection',
        'content-length',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)


@attrs.define(eq=False)
class Call:
    """A queued or running service call; `send_reply(reply)` answers it."""

    frame: messages.ServiceCall
    entry: object
    send_reply: object
    task: asyncio.Task | None = None

    @property
    def key(self):
        """Return the request id and the attempt."""
        return self.frame.request_id, self.frame.attempt


class CallError(Exception):
    """Report the state and the error code of a call that has failed."""

    def __init__(self, state, code, text, *, crashed=False):
        super().__init__(text)
        self.state = state
        self.code = code
        self.text = text
        self.crashed = crashed


class ServiceCalls:
    """Queue service calls and send each to the service at most once.

    `check_health()` returns whether the service passes its health check.
    """

    def __init__(self, backend_url, records, timers, gate, check_health):
        self._url = backend_url.rstrip('/')
        self._records = records
        self._timers = timers
        self._gate = gate
        self._check_health = check_health
        self._session = None
        limits = fair_queue.QueueLimits(max_running=PLAIN_MAX_RUNNING)
        self.queue = fair_queue.FairQueue(limits)
        self.calls = {}
        self.loads = lambda: []
        self.on_crash = lambda frames: None
        self.on_finished = lambda frame: None

    async def start(self):
        """Open the HTTP session."""
        # Each call has a connection of its own: a copy of an earlier reply
        # that arrives late on a pooled connection would be taken as the reply
        # to the next call.
        self._session = aiohttp.ClientSession(
            auto_decompress=False,
            skip_auto_headers=AUTO_HEADERS,
            connector=aiohttp.TCPConnector(force_close=True),
            middlewares=(http_client.send_once,),
        )

    async def stop(self):
        """Cancel the running calls and close the HTTP session."""
        tasks = [call.task for call in self.calls.values() if call.task]
        await timer_services.cancel_all(tasks)
        if self._session is not None:
            await self._session.close()

    def open(self, entry, frame, send_reply):
        """Queue a call or refuse it."""
        ttl_s = sequences.RECORD_TTL_S
        if frame.non_idempotent:
            ttl_s = sequences.CLAIM_RECORD_TTL_S
        record = self._records.get(frame.request_id, ttl_s)
        call = Call(frame, entry, send_reply)
        if not rules.accepts_attempt(record, frame.attempt):
            if (
                frame.attempt <= record.highest_fenced
                and frame.attempt not in record.admitted
            ):
                self._reply(call, STATES.CANCELLED, 'not_run')
            return
        record.highest_attempt = frame.attempt
        code = self._gate.refusal_code(frame)
        if code:
            self._records.fence(*call.key)
            self._reply(call, STATES.REFUSED, code)
            return
        self._enqueue(call)
        self.admit()

    def _enqueue(self, call):
        frame = call.frame
        now_s = self._timers.now_s()
        due_s = math.inf
        if frame.deadline_ms:
            due_s = now_s + frame.deadline_ms / 1000
        work = fair_queue.WorkItem(
            call.key,
            frame.account,
            frame.weight if frame.weight > 0 else 1.0,
            1,
            now_s,
            due_s,
            self._gate.is_suspect(frame.fingerprint),
        )
        self.calls[call.key] = call
        refused = self.queue.push(work)
        if refused is not None:
            self._refuse(refused.key, 'overloaded', 'the queue is full')

    def _refuse(self, key, code, text, state=STATES.REFUSED):
        self._records.fence(*key)
        self._reply(self.calls.pop(key), state, code, text)

    def admit(self):
        """Start queued calls while fewer than the maximum are running."""
        while (work := self.queue.pop(self._timers.now_s())) is not None:
            call = self.calls[work.key]
            record = self._records.get(work.key[0])
            if not self._gate.may_admit(record, work.key[1]):
                self.queue.finish(work.key)
                self._refuse(
                    work.key, 'not_run', 'the call can no longer be admitted'
                )
                continue
            record.admitted.add(work.key[1])
            call.task = asyncio.ensure_future(self._run(call, work))

    async def _run(self, call, work):
        record = self._records.get(call.frame.request_id)
        try:
            reply = await self._send(call.frame, work.due_s)
        except CallError as error:
            if error.state in messages.NEVER_ADMITTED:
                record.admitted.discard(call.frame.attempt)
            self._reply(
                call,
                error.state,
                error.code,
                error.text,
                engine_crashed=error.crashed,
            )
        else:
            self.on_finished(call.frame)
            self._reply(call, STATES.FINISHED, **reply)
        finally:
            self._records.fence(*call.key)
            self.calls.pop(call.key, None)
            self.queue.record_output(work.key, 1)
            self.queue.finish(work.key)
            self.admit()

    async def _send(self, frame, due_s):
        remaining_s = None
        if due_s < math.inf:
            remaining_s = max(0.001, due_s - self._timers.now_s())
        headers = [
            (header.name, header.value)
            for header in frame.headers
            if header.name.lower() not in HOP_BY_HOP_HEADERS
        ]
        try:
            async with self._session.request(
                frame.method,
                self._url + frame.path,
                headers=headers,
                data=frame.body or None,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(total=remaining_s),
            ) as response:
                return await self._read_reply(response)
        except (
            TimeoutError,
            aiohttp.ClientError,
            OSError,
            ValueError,
        ) as error:
            raise await self._call_error(frame, error) from None

    async def _read_reply(self, response):
        body = await response.content.read(MAX_REPLY_BYTES + 1)
        while len(body) <= MAX_REPLY_BYTES:
            chunk = await response.content.read(MAX_REPLY_BYTES + 1)
            if not chunk:
                break
            body += chunk
        if len(body) > MAX_REPLY_BYTES:
            raise CallError(
                STATES.FAILED,
                'too_large',
                f'the reply is larger than {MAX_REPLY_BYTES} bytes',
            )
        headers = [
            messages.Header(name, value)
            for name, value in response.headers.items()
            if name.lower() not in HOP_BY_HOP_HEADERS
        ]
        return {'status': response.status, 'headers': headers, 'body': body}

    async def _call_error(self, frame, error):
        if isinstance(error, aiohttp.ClientConnectorError):
            # The connection failed, so no byte of the call was sent.
            return CallError(
                STATES.REFUSED,
                'not_run',
                f'the service is unreachable: {error}',
            )
        if isinstance(error, TimeoutError):
            return CallError(
                STATES.FAILED, 'deadline', 'no reply before the deadline'
            )
        crashed = not await self._check_health()
        if crashed:
            # Every other call in flight fails too and reports itself here.
            self.on_crash([frame])
        LOG.warning(
            'service call failed: %r',
            error,
            extra=logs.fields(request_id=frame.request_id, step='call'),
        )
        return CallError(
            STATES.FAILED, 'outcome_unknown', repr(error), crashed=crashed
        )

    def close(self, frame):
        """Fence a call; cancel it if queued, and let it end if running."""
        self._records.fence(frame.request_id, frame.attempt)
        for key in list(self.queue.waiting):
            if key[0] == frame.request_id and key[1] <= frame.attempt:
                self.queue.remove(key)
                self._refuse(key, 'not_run', 'closed', STATES.CANCELLED)

    def expire(self):
        """Refuse queued calls that have waited too long."""
        for key, code in queued.pop_expired(self.queue, self._timers.now_s()):
            self._refuse(
                key, code, 'the call waited in the queue for too long'
            )

    def refuse_all_queued(self, code):
        """Refuse all queued calls."""
        for key in queued.pop_all(self.queue):
            self._refuse(key, code, 'the call was refused while it was queued')

    def configure(self, service):
        """Apply the queue policy and limits of a published service."""
        self.queue = fair_queue.reconfigure(self.queue, service)

    def on_entry_lost(self, entry):
        """Refuse the queued calls of an entry whose connection has closed."""
        for key in list(self.queue.waiting):
            if self.calls[key].entry is entry:
                self.queue.remove(key)
                self._refuse(
                    key, 'not_run', 'the connection to the entry closed'
                )

    def _reply(self, call, state, code='', text='', **fields):
        call.send_reply(
            messages.ServiceReply(
                *call.key, state, code, text, loads=self.loads(), **fields
            )
        )
