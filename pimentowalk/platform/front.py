"""Decode callers' requests and pass answers back to them."""

import itertools
import logging

from aiohttp import web

from pimentowalk.core import errors
from pimentowalk.core import identifiers
from pimentowalk.core import logs
from pimentowalk.dispatch import calls
from pimentowalk.dispatch import transport
from pimentowalk.platform import names

LOG = logging.getLogger(__name__)

# When a caller may come back after a refusal, from and to: by then a lost
# server has been replaced in most cases. Spread, so that callers do not
# return at once.
RETRY_AFTER_S = (0.6, 1.4)
# Streams end after about two seconds, and a crest lasts for several. Callers
# that come back over this time find the room that ended streams leave.
CROWDED_RETRY_AFTER_S = (1.0, 5.0)
RETRY_TIMES_S = {'overloaded': CROWDED_RETRY_AFTER_S}
# A node that starts knows configuration and backend servers within this
# time in most cases, and a caller who is refused has one more try at most.
START_WAIT_S = 1.5
START_POLL_S = 0.02
# A node that has not heard the leader this long does not answer 401 or 404,
# since a newer configuration may have the route or the key.
CERTAIN_S = 1.2
DEFAULT_ANSWER_TOKENS = 256
PROMISED_CODES = frozenset(
    {'not_run', 'no_chain', 'overloaded', 'draining', 'no_quorum'}
)


class CallerResponder(transport.Responder):
    """Answer one aiohttp request with what a backend server sends."""

    def __init__(self, request, closing):
        self._request = request
        self._closing = closing
        self._streams = False
        self.response = None

    @property
    def started(self):
        """Return whether status and headers have been chosen."""
        return self.response is not None

    async def start(self, answer):
        """Begin the response with the headers of an answer."""
        self.response = web.StreamResponse(status=answer.status)
        for name, value in answer.headers.items():
            if name.lower() not in names.CONNECTION_HEADERS:
                self.response.headers.add(name, value)
        self._body = []
        content_type = answer.headers.get('Content-Type', '')
        self._streams = content_type.startswith('text/event-stream')
        if self._closing():
            self.response.force_close()
        if self._streams:
            await self.response.prepare(self._request)

    async def write(self, data):
        """Send a piece of a stream, or keep one of a whole body."""
        if self._streams:
            await self.response.write(data)
        else:
            self._body.append(data)

    async def finish(self):
        """End the response."""
        if not self._streams:
            body = b''.join(self._body)
            # A response to HEAD has no body to measure.
            if self._request.method != 'HEAD':
                self.response.content_length = len(body)
            await self.response.prepare(self._request)
            await self.response.write(body)
        await self.response.write_eof()

    def cut(self):
        """Close the connection, so that the answer is not taken for whole."""
        transport_ = self._request.transport
        if transport_ is not None:
            transport_.abort()


class Front:
    """Serve callers on the front address."""

    def __init__(self, node, freshness, dispatcher, timers, drain, metrics):
        self._node = node
        self._freshness = freshness
        self._dispatcher = dispatcher
        self._timers = timers
        self._drain = drain
        self._metrics = metrics
        self._serial = itertools.count()
        self._busy = set()

    def is_busy(self, connection):
        """Return whether a request of a connection is being answered."""
        return connection in self._busy

    def application(self, most_body_bytes):
        """Return the aiohttp application."""
        app = web.Application(client_max_size=most_body_bytes)
        app.router.add_route('*', '/{path:.*}', self._handle)
        return app

    async def _handle(self, request):
        received_s = self._timers.now_s()
        request_id = request.headers.get(names.REQUEST_ID, '')
        responder = CallerResponder(request, lambda: self._drain.draining)
        self._metrics.count('requests')
        self._busy.add(request.protocol)
        with self._drain.track(f'{request_id}/{next(self._serial)}'):
            try:
                call = await self._decode(request, request_id, received_s)
                await self._dispatcher.handle(call, responder)
                response = responder.response
            except errors.PimentowalkError as error:
                response = self._failed(
                    request_id, error, responder, received_s
                )
            except web.HTTPRequestEntityTooLarge:
                error = errors.PimentowalkError(
                    'the body is too large', code='too_large', step='read'
                )
                response = self._failed(
                    request_id, error, responder, received_s
                )
            except ConnectionError as error:
                LOG.info(
                    'the caller left: %r',
                    error,
                    extra=logs.fields(step='answer', request_id=request_id),
                )
                response = responder.response or web.Response(status=499)
            finally:
                self._busy.discard(request.protocol)
        return response

    def _failed(self, request_id, error, responder, received_s):
        self._metrics.count(f'errors_{error.code}')
        elapsed_s = self._timers.now_s() - received_s
        LOG.info(
            'request failed: %s',
            error.message,
            extra=logs.fields(
                step=error.step,
                peer=error.peer,
                request_id=request_id,
                code=error.code,
                elapsed_ms=int(elapsed_s * 1000),
                version=self._node.document_version,
                lease_age_s=round(min(self._freshness.age_s, 1e6), 2),
            ),
        )
        if responder.started:
            responder.cut()
            return responder.response
        response = web.json_response(
            {'error': error.code, 'message': error.message},
            status=error.http_status,
        )
        if error.code in PROMISED_CODES:
            times_s = RETRY_TIMES_S.get(error.code, RETRY_AFTER_S)
            wait_s = self._dispatcher.rng.uniform(*times_s)
            response.headers['Retry-After'] = f'{wait_s:.2f}'
        if request_id:
            response.headers[names.REQUEST_ID] = request_id
        if self._drain.draining:
            response.force_close()
        return response

    async def _decode(self, request, request_id, received_s):
        await self._wait_for_start()
        document = self._node.document
        if document is None:
            raise errors.NotRun('no configuration yet', step='admit')
        target = request.raw_path
        path = target.partition('?')[0]
        host = request.headers.get('Host', '').partition(':')[0].lower()
        route = document.route(host, path)
        if route is None:
            raise self._unless_stale('not_found', 'no route')
        account = self._account(request, document, route)
        body = await request.read()
        return self._call(
            request, request_id, received_s, route, account, target, body
        )

    async def _wait_for_start(self):
        """Wait until a node that has just started knows what it needs."""
        end_s = self._timers.now_s() + START_WAIT_S
        while not (self._freshness.was_ever_valid and self._node.has_view):
            if self._timers.now_s() >= end_s:
                return
            await self._timers.sleep(START_POLL_S)

    def _unless_stale(self, code, reason):
        if self._freshness.age_s > CERTAIN_S:
            return errors.NotRun(
                f'{reason}, but the configuration may be old', step='admit'
            )
        return errors.PimentowalkError(reason, code=code, step='admit')

    def _account(self, request, document, route):
        if not document.has_accounts:
            return None
        account = document.account_of(request.headers.get(names.KEY, ''))
        if route.is_public:
            return account
        if not self._freshness.is_valid:
            raise errors.NotRun(
                'the key cannot be checked: control is out of reach',
                step='admit',
            )
        if account is None:
            raise self._unless_stale('unauthorized', 'unknown key')
        return account

    def _call(
        self, request, request_id, received_s, route, account, target, body
    ):
        headers = request.headers
        wait_ms = _number(headers.get(names.DEADLINE_MS), 0)
        deadline_s = received_s + (
            wait_ms / 1000 if wait_ms else route.timeout_s
        )
        prompt, most = _token_counts(headers.get(names.TOKEN_COUNT))
        hint = _number(headers.get(names.LENGTH_HINT), 0)
        return calls.Call(
            request_id=request_id,
            method=request.method,
            target=target,
            forwarded_headers=_passed(headers),
            body=body,
            route=route,
            account=account,
            received_s=received_s,
            deadline_s=deadline_s,
            timeout_at_s=received_s + route.timeout_s,
            prompt_tokens=prompt,
            max_answer_tokens=most,
            expected_answer_tokens=int(hint or most or DEFAULT_ANSWER_TOKENS),
            last_event_id=int(_number(headers.get(names.LAST_EVENT_ID), 0)),
            fingerprint=_fingerprint(target, account, body),
        )


def _passed(headers):
    dropped = {
        part.strip().lower()
        for value in headers.getall('Connection', ())
        for part in value.split(',')
    }
    return [
        (name, value)
        for name, value in headers.items()
        if (lower := name.lower()) not in names.CONNECTION_HEADERS
        and lower not in names.OWN_HEADERS
        and lower not in dropped
    ]


def _fingerprint(target, account, body):
    name = account.name if account else ''
    return identifiers.hash64(target, name, body) if body else 0


def _number(text, default):
    try:
        value = float(text)
    except (TypeError, ValueError):
        return default
    return value if 0 <= value < 1e9 else default


def _token_counts(text):
    """Return (prompt tokens, most answer tokens), zeros if unknown."""
    parts = (text or '').split(',')
    if len(parts) != 2:
        return 0, 0
    return int(_number(parts[0], 0)), int(_number(parts[1], 0))
