"""Decode the requests of callers and return the responses to them."""

import asyncio

from aiohttp import web

from pimentowalk.core import errors
from pimentowalk.core import identifiers
from pimentowalk.dispatch import calls
from pimentowalk.dispatch import transport
from pimentowalk.platform import bodies
from pimentowalk.platform import intake as client_intake
from pimentowalk.platform import names
from pimentowalk.platform import request_log
from pimentowalk.settings import gateway as gateway_settings

# Range of Retry-After: after this time, a lost server has been replaced in
# most cases. Drawn at random so that callers do not retry simultaneously.
RETRY_AFTER_S = (0.6, 1.4)
# Streams end after about two seconds, and a load peak lasts for several.
# Callers that retry spread over this range find the capacity that finished
# streams have released.
OVERLOADED_RETRY_AFTER_S = (1.0, 5.0)
# Added where the time is known, so that callers do not all return at once.
RETRY_AFTER_SPREAD_S = 0.3
# Other nodes can serve the request at once.
DRAINING_RETRY_AFTER_S = (0.0, 0.3)
RETRY_AFTER_BY_CODE_S = {
    'overloaded': OVERLOADED_RETRY_AFTER_S,
    'draining': DRAINING_RETRY_AFTER_S,
}
# A starting node receives the configuration and the backend servers within
# this time in most cases, and a refused caller retries at most once.
START_TIMEOUT_S = 1.5
START_POLL_INTERVAL_S = 0.02
# Time in which the answer of a node that starts reaches a caller before its
# deadline.
START_ANSWER_MARGIN_S = 0.1
# A node without contact to the leader for longer does not answer 401 or 404,
# since a newer configuration may contain the key or the route.
MAX_LEADER_SILENCE_S = 1.2
# Bodies are written to callers in pieces of this size.
WRITE_BYTES = 16_384
DEFAULT_ANSWER_TOKENS = 256
# The ids of events are below 2^63.
MAX_ID_DIGITS = 18
# Prompts have a few parts; only the first ones are looked at.
MAX_SHARED_PARTS = 16
# Only refusals that guarantee that the request did not run have Retry-After.
RETRY_AFTER_CODES = frozenset(
    {'not_run', 'no_chain', 'overloaded', 'draining', 'no_quorum'}
)


class CallerResponder(transport.Responder):
    """Relay the response of a backend server to one aiohttp request."""

    def __init__(self, request, is_closing):
        self._request = request
        self._is_closing = is_closing
        self._is_stream = False
        self.response = None

    @property
    def started(self):
        """Return whether status and headers have been set."""
        return self.response is not None

    @property
    def is_committed(self):
        """Return whether the caller can get no other response any more."""
        if self.response is None:
            return False
        return self._is_stream or self._request.writer.output_size > 0

    async def start(self, answer):
        """Start the response with the status and headers of an answer."""
        self.response = web.StreamResponse(status=answer.status)
        for name, value in answer.headers.items():
            if (
                name.lower() not in names.HOP_BY_HOP_HEADERS
                and name.lower() not in names.NODE_HEADERS
            ):
                self.response.headers.add(name, value)
        self._body = []
        self._is_stream = answer.is_event_stream
        if self._is_closing():
            self.response.force_close()
        if self._is_stream:
            await self.response.prepare(self._request)

    async def write(self, data):
        """Send a chunk of a stream, or buffer a chunk of any other body."""
        if self._is_stream:
            await self.response.write(data)
        else:
            self._body.append(data)

    async def finish(self):
        """End the response."""
        if not self._is_stream:
            body = b''.join(self._body)
            # A response to HEAD has no body whose length could be set.
            if self._request.method != 'HEAD':
                self.response.content_length = len(body)
            await self.response.prepare(self._request)
            # In pieces, so that no second copy waits for a slow caller.
            for first in range(0, len(body), WRITE_BYTES):
                await self.response.write(body[first : first + WRITE_BYTES])
        await self.response.write_eof()

    def abort(self):
        """Abort the connection so that the body is not taken as complete."""
        connection = self._request.transport
        if connection is not None:
            connection.abort()


class Front:
    """Serve the requests of callers on the front address."""

    def __init__(
        self, node, freshness, dispatcher, timers, drain, metrics, intake=None
    ):
        self._node = node
        self._freshness = freshness
        self._dispatcher = dispatcher
        self._timers = timers
        self._drain = drain
        self._metrics = metrics
        self._intake = intake or client_intake.Intake(
            gateway_settings.ClientSettings(), timers, dispatcher.held_bytes
        )
        self._busy_connections = set()
        self._closing_connections = set()

    def is_busy(self, connection):
        """Return whether a request on a connection is in progress."""
        return connection in self._busy_connections

    def close_after_response(self, connection):
        """Close a connection after its response, even if that has begun."""
        self._closing_connections.add(connection)

    def application(self, max_body_bytes):
        """Build the aiohttp application."""
        app = web.Application(client_max_size=max_body_bytes)
        app.router.add_route(
            '*',
            '/{path:.*}',
            self._handle,
            expect_handler=bodies.expect_nothing,
        )
        return app

    async def _handle(self, request):
        received_s = self._timers.now_s()
        request_id = request.headers.get(names.REQUEST_ID, '')
        log = request_log.RequestLog(
            request_id, received_s, self._timers.now_s, self._node
        )
        responder = CallerResponder(request, lambda: self._drain.draining)
        self._metrics.count('requests')
        self._busy_connections.add(request.protocol)
        reader = bodies.BodyReader(
            request, self._dispatcher.held_bytes, self._timers.now_s
        )
        with self._drain.track(request_id) as active:
            try:
                async with active.interruptible():
                    self._intake.begin_request(request.protocol)
                    log.call = await self._decode_call(
                        request,
                        request_id,
                        received_s,
                        active.activity,
                        reader,
                    )
                    await self._dispatcher.handle(log.call, responder)
                response = responder.response
            except asyncio.CancelledError:
                cut_reason = self._intake.cut_reason(request.protocol)
                if cut_reason:
                    self._metrics.count('cut_requests')
                log.log_cancelled(
                    is_connected=request.transport is not None,
                    is_started=responder.started,
                    cut_reason=cut_reason,
                )
                raise
            except ConnectionError as error:
                log.log_closed(error, is_started=responder.started)
                response = responder.response or web.Response(status=499)
            except Exception as error:
                response = self._error_response(error, log, responder)
            finally:
                reader.release()
                self._busy_connections.discard(request.protocol)
        if self._closes_after(request):
            response.force_close()
        return response

    def _closes_after(self, request):
        """Return whether no further request of a connection is served."""
        return (
            request.protocol in self._closing_connections
            or self._intake.is_refused(request.protocol)
            # The rest of a body that nobody reads is not worth receiving.
            or not request.content.is_eof()
        )

    def _error_response(self, exception, log, responder):
        error = log.public_error(exception)
        if error is not exception:
            self._metrics.count(f'exceptions_{type(exception).__name__}')
        self._metrics.count(f'errors_{error.code}')
        log.log_failed(
            error,
            is_cut=responder.is_committed,
            lease_age_s=self._freshness.age_s,
        )
        if responder.is_committed:
            responder.abort()
            return responder.response
        response = web.json_response(
            {'error': error.code, 'message': error.message},
            status=error.http_status,
        )
        if error.code in RETRY_AFTER_CODES:
            retry_after_s = self._choose_retry_after_s(error)
            response.headers[names.RETRY_AFTER] = f'{retry_after_s:.2f}'
        if log.request_id:
            response.headers[names.REQUEST_ID] = log.request_id
        if self._drain.draining:
            response.force_close()
        return response

    def _choose_retry_after_s(self, error):
        uniform = self._dispatcher.rng.uniform
        if error.retry_after_s > 0:
            return error.retry_after_s + uniform(0.0, RETRY_AFTER_SPREAD_S)
        return uniform(*RETRY_AFTER_BY_CODE_S.get(error.code, RETRY_AFTER_S))

    async def _decode_call(
        self, request, request_id, received_s, activity, reader
    ):
        await self._wait_for_start(request, received_s)
        document = self._node.document
        if document is None:
            raise errors.NotRun('no configuration yet', step='admit')
        path = request.raw_path.partition('?')[0]
        host = request.headers.get('Host', '').partition(':')[0].lower()
        route = document.route(host, path)
        if route is None:
            raise self._admission_error('not_found', 'no route')
        activity.kind = route.kind
        account = self._authenticate(request, document, route)
        body = await reader.read(
            document.limits.body_bytes, received_s + route.timeout_s
        )
        call = self._build_call(
            request, request_id, received_s, document, route, account, body
        )
        call.activity = activity
        activity.expires_at_s = call.expires_at_s
        activity.usual_s = self._dispatcher.durations.usual_s(
            route.name, call.expected_answer_tokens
        )
        return call

    async def _wait_for_start(self, request, received_s):
        """Wait until the node has a configuration and a view of servers.

        The wait ends shortly before the deadline of the caller, if that is
        sooner, and at once if the configuration was withdrawn.
        """
        until_s = received_s + START_TIMEOUT_S
        if remaining_s := _remaining_s(request.headers):
            answered_s = received_s + remaining_s - START_ANSWER_MARGIN_S
            until_s = min(until_s, answered_s)
        while not (self._freshness.was_ever_valid and self._node.has_view):
            is_over = self._timers.now_s() >= until_s
            if is_over or self._node.has_withdrawn_document:
                return
            await self._timers.sleep(START_POLL_INTERVAL_S)

    def _admission_error(self, code, reason):
        if self._freshness.age_s > MAX_LEADER_SILENCE_S:
            return errors.NotRun(
                f'{reason}, but the configuration may be old', step='admit'
            )
        return errors.PimentowalkError(reason, code=code, step='admit')

    def _authenticate(self, request, document, route):
        if not document.checks_keys:
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
            raise self._admission_error('unauthorized', 'unknown key')
        return account

    def _build_call(
        self, request, request_id, received_s, document, route, account, body
    ):
        headers = request.headers
        target = request.raw_path
        deadline_s = received_s + (_remaining_s(headers) or route.timeout_s)
        prompt_tokens, max_tokens = _parse_token_counts(
            headers.get(names.TOKEN_COUNT)
        )
        length_hint = _parse_number(headers.get(names.LENGTH_HINT), 0)
        return calls.Call(
            request_id=request_id,
            method=request.method,
            target=target,
            forwarded_headers=_forwarded_headers(headers),
            body=body,
            document=document,
            route=route,
            account=account,
            received_s=received_s,
            deadline_s=deadline_s,
            timeout_at_s=received_s + route.timeout_s,
            prompt_tokens=prompt_tokens,
            max_answer_tokens=max_tokens,
            expected_answer_tokens=int(
                length_hint or max_tokens or DEFAULT_ANSWER_TOKENS
            ),
            last_event_id=_parse_event_id(headers.get(names.LAST_EVENT_ID)),
            fingerprint=_fingerprint(request.method, target, account, body),
            shared_parts=_parse_shared_parts(headers.get(names.PROMPT_PARTS)),
        )


def _forwarded_headers(headers):
    connection_options = {
        part.strip().lower()
        for value in headers.getall('Connection', ())
        for part in value.split(',')
    }
    return [
        (name, value)
        for name, value in headers.items()
        if (lower_name := name.lower()) not in names.HOP_BY_HOP_HEADERS
        and lower_name not in names.RESERVED_HEADERS
        and lower_name not in connection_options
    ]


def _fingerprint(method, target, account, body):
    """Return a hash that a request has whenever it is sent again.

    Requests without a body differ by their methods, such as GET and DELETE.
    """
    name = account.name if account else ''
    return identifiers.hash64(target, name, body or method)


def _parse_shared_parts(text):
    """Return hashes of the parts of a prompt that requests may share.

    The last part belongs to the request alone.
    """
    parts = [
        part.partition(':')[0].strip() for part in (text or '').split(',')
    ]
    shared = parts[:-1][:MAX_SHARED_PARTS]
    return tuple(identifiers.hash64('part', part) for part in shared if part)


def _remaining_s(headers):
    """Return the time until the deadline of the caller, 0 if unknown."""
    return _parse_number(headers.get(names.DEADLINE_MS), 0) / 1000


def _parse_number(text, default):
    try:
        value = float(text)
    except (TypeError, ValueError):
        return default
    return value if 0 <= value < 1e9 else default


def _parse_event_id(text):
    """Return the id of an event, 0 if it is no number or absent."""
    is_number = text and text.isascii() and text.isdecimal()
    return int(text) if is_number and len(text) <= MAX_ID_DIGITS else 0


def _parse_token_counts(text):
    """Return (prompt tokens, maximum answer tokens), zeros if unknown."""
    parts = (text or '').split(',')
    if len(parts) != 2:
        return 0, 0
    return int(_parse_number(parts[0], 0)), int(_parse_number(parts[1], 0))
