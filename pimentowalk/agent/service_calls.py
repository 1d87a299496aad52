"""Plain services: HTTP calls passed on within a fair queue."""

import asyncio
import logging
import math

import aiohttp
import attrs

from pimentowalk.admission import fair_queue
from pimentowalk.agent import queued
from pimentowalk.agent import rules
from pimentowalk.agent import sequences
from pimentowalk.core import logs
from pimentowalk.core import timers as timer_services
from pimentowalk.wire import messages

LOG = logging.getLogger(__name__)

STATES = messages.AttemptState
# A plain service has no hello that says how many calls it runs at once.
PLAIN_MAX_RUNNING = 64
# The HTTP library would add these for itself; with Accept-Encoding a service
# could answer compressed to a caller that did not ask for it.
LIBRARY_HEADERS = ('Accept', 'Accept-Encoding', 'User-Agent')
# A reply must fit into one frame with its headers.
MAX_REPLY_BYTES = 900_000
# These headers belong to one connection and are not passed on.
HOP_HEADERS = frozenset(
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
    """A service call that waits or runs; `answer` sends its reply."""

    frame: messages.ServiceCall
    entry: object
    answer: object
    task: asyncio.Task | None = None

    @property
    def key(self):
        """Return the request id and the attempt."""
        return self.frame.request_id, self.frame.attempt


class Outcome(Exception):
    """End a call with a state and a code."""

    def __init__(self, state, code, text, *, crashed=False):
        super().__init__(text)
        self.state = state
        self.code = code
        self.text = text
        self.crashed = crashed


class ServiceCalls:
    """Queue service calls and send each to the service at most once."""

    def __init__(self, backend_url, records, timers, gate, alive):
        self._url = backend_url.rstrip('/')
        self._records = records
        self._timers = timers
        self._gate = gate
        self._alive = alive
        self._keeping = None
        self._single = None
        limits = fair_queue.QueueLimits(max_running=PLAIN_MAX_RUNNING)
        self.queue = fair_queue.FairQueue(limits)
        self.calls = {}
        self.loads = lambda: []
        self.on_crash = lambda frames: None
        self.on_finished = lambda frame: None

    async def start(self):
        """Open the HTTP sessions."""
        self._keeping = aiohttp.ClientSession(
            auto_decompress=False, skip_auto_headers=LIBRARY_HEADERS
        )
        # aiohttp repeats a request whose kept connection had just ended,
        # for some methods. A new connection for each call rules that out.
        self._single = aiohttp.ClientSession(
            auto_decompress=False,
            skip_auto_headers=LIBRARY_HEADERS,
            connector=aiohttp.TCPConnector(force_close=True),
        )

    async def stop(self):
        """Cut the running calls and close the HTTP sessions."""
        tasks = [call.task for call in self.calls.values() if call.task]
        await timer_services.cancel_all(tasks)
        for session in (self._keeping, self._single):
            if session is not None:
                await session.close()

    def open(self, entry, frame, answer):
        """Queue a call, or refuse it."""
        keep_s = sequences.RECORD_S
        if frame.non_idempotent:
            keep_s = sequences.CLAIM_RECORD_S
        record = self._records.of(frame.request_id, keep_s)
        call = Call(frame, entry, answer)
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
            self._records.close(*call.key)
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
        self._records.close(*key)
        self._reply(self.calls.pop(key), state, code, text)

    def admit(self):
        """Start the calls for which there is a place."""
        while (work := self.queue.pop(self._timers.now_s())) is not None:
            call = self.calls[work.key]
            record = self._records.of(work.key[0])
            if not self._gate.may_admit(record, work.key[1]):
                self.queue.finish(work.key)
                self._refuse(work.key, 'not_run', 'closed before it ran')
                continue
            record.admitted.add(work.key[1])
            call.task = asyncio.ensure_future(self._run(call, work))

    async def _run(self, call, work):
        record = self._records.of(call.frame.request_id)
        try:
            reply = await self._send(call.frame, work.due_s)
        except Outcome as outcome:
            if outcome.state in messages.NEVER_ADMITTED:
                record.admitted.discard(call.frame.attempt)
            self._reply(
                call,
                outcome.state,
                outcome.code,
                outcome.text,
                engine_crashed=outcome.crashed,
            )
        else:
            self.on_finished(call.frame)
            self._reply(call, STATES.FINISHED, **reply)
        finally:
            self._records.close(*call.key)
            self.calls.pop(call.key, None)
            self.queue.record_output(work.key, 1)
            self.queue.finish(work.key)
            self.admit()

    async def _send(self, frame, due_s):
        session = self._single if frame.non_idempotent else self._keeping
        left_s = None
        if due_s < math.inf:
            left_s = max(0.001, due_s - self._timers.now_s())
        headers = [
            (header.name, header.value)
            for header in frame.headers
            if header.name.lower() not in HOP_HEADERS
        ]
        try:
            async with session.request(
                frame.method,
                self._url + frame.path,
                headers=headers,
                data=frame.body or None,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(total=left_s),
            ) as response:
                return await self._read(response)
        except (
            TimeoutError,
            aiohttp.ClientError,
            OSError,
            ValueError,
        ) as error:
            raise await self._outcome(frame, error) from None

    async def _read(self, response):
        body = await response.content.read(MAX_REPLY_BYTES + 1)
        while len(body) <= MAX_REPLY_BYTES:
            more = await response.content.read(MAX_REPLY_BYTES + 1)
            if not more:
                break
            body += more
        if len(body) > MAX_REPLY_BYTES:
            raise Outcome(STATES.FAILED, 'too_large', 'the reply is too large')
        headers = [
            messages.Header(name, value)
            for name, value in response.headers.items()
            if name.lower() not in HOP_HEADERS
        ]
        return {'status': response.status, 'headers': headers, 'body': body}

    async def _outcome(self, frame, error):
        if isinstance(error, aiohttp.ClientConnectorError):
            # No connection, so not a byte of the call has left.
            return Outcome(
                STATES.REFUSED, 'not_run', f'the service is away: {error}'
            )
        if isinstance(error, TimeoutError):
            return Outcome(STATES.FAILED, 'deadline', 'no reply in time')
        crashed = not await self._alive()
        if crashed:
            # Each call in flight fails and gets here for itself.
            self.on_crash([frame])
        LOG.warning(
            'service call failed: %r',
            error,
            extra=logs.fields(request_id=frame.request_id, step='call'),
        )
        return Outcome(
            STATES.FAILED, 'outcome_unknown', repr(error), crashed=crashed
        )

    def close(self, frame):
        """Fence a call for its entry; what has left is not cut."""
        self._records.close(frame.request_id, frame.attempt)
        for key in list(self.queue.waiting):
            if key[0] == frame.request_id and key[1] <= frame.attempt:
                self.queue.remove(key)
                self._refuse(key, 'not_run', 'closed', STATES.CANCELLED)

    def expire(self):
        """Refuse queued calls that have waited too long."""
        for key, code in queued.expired(self.queue, self._timers.now_s()):
            self._refuse(key, code, 'waited too long')

    def refuse_queued(self, code):
        """Refuse everything that waits."""
        for key in queued.emptied(self.queue):
            self._refuse(key, code, 'refused while it waited')

    def configure(self, service):
        """Take over the queue policy and limits of a published service."""
        self.queue = fair_queue.reconfigure(self.queue, service)

    def on_entry_lost(self, entry):
        """Drop the queued calls of an entry that has gone."""
        for key in list(self.queue.waiting):
            if self.calls[key].entry is entry:
                self.queue.remove(key)
                self._refuse(key, 'not_run', 'the entry has gone')

    def _reply(self, call, state, code='', text='', **fields):
        call.answer(
            messages.ServiceReply(
                *call.key, state, code, text, loads=self.loads(), **fields
            )
        )
