"""Route HTTP requests to plain services."""

import asyncio
from urllib import parse

from aiohttp import web

from pimentowalk.core import errors
from pimentowalk.core import identifiers
from pimentowalk.entry import claims as entry_claims
from pimentowalk.entry import completions
from pimentowalk.entry import replies
from pimentowalk.entry import service_call
from pimentowalk.topology import contracts
from pimentowalk.wire import messages

IDEMPOTENCY_KEY_HEADER = 'Idempotency-Key'
MAX_KEY_LENGTH = 200
ACCOUNT_HEADER = 'X-Client-Account'
# Hop-by-hop headers of RFC 9110, section 7.6.1, and Host and Content-Length,
# which each hop sets itself.
HOP_BY_HOP_HEADERS = frozenset(
    {
        'connection',
        'content-length',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)
# Headers that the entry consumes, or sets for the service.
ENTRY_HEADERS = frozenset(
    {
        'authorization',
        ACCOUNT_HEADER.lower(),
        replies.DEADLINE_HEADER.lower(),
        replies.REQUEST_ID_HEADER.lower(),
    }
)


def end_to_end_headers(headers):
    """Return (name, value) pairs without hop-by-hop headers.

    >>> end_to_end_headers([('Connection', 'X-A'), ('X-A', '1'), ('X-B', '2')])
    [('X-B', '2')]
    """
    pairs = list(headers)
    connection_options = {
        option.strip().lower()
        for name, value in pairs
        if name.lower() == 'connection'
        for option in value.split(',')
    }
    dropped = HOP_BY_HOP_HEADERS | connection_options
    return [pair for pair in pairs if pair[0].lower() not in dropped]


class ServiceFront:
    """Forward calls to the plain service with the longest path prefix."""

    def __init__(self, context, claims):
        self._context = context
        self._claims = claims
        self._tasks = set()

    async def handle(self, request, account):
        """Forward a request and return the response of the service."""
        spec = await self._build_spec(request, account)
        self._context.charge_account(account, service_call.CALL_COST)
        call = service_call.ServiceRequest(self._context, self._claims, spec)
        request.activity.begin_try()
        if spec.non_idempotent:
            return _build_response(await self._run_detached(call))
        return _build_response(await call.run())

    async def _run_detached(self, call):
        """Run a call to the end even if the caller disconnects.

        Its claim must be settled in any case.
        """
        task = asyncio.ensure_future(call.run())
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return await asyncio.shield(task)

    def _on_task_done(self, task):
        self._tasks.discard(task)
        if not task.cancelled():
            task.exception()

    async def finish(self, timeout_s):
        """Wait for calls whose callers have disconnected."""
        if self._tasks:
            await asyncio.wait(list(self._tasks), timeout=timeout_s)

    async def _build_spec(self, request, account):
        http_request = request.http_request
        configuration = request.configuration
        path = _checked_path(http_request)
        route, service = self._find_service(
            configuration, account, http_request.path
        )
        body = await http_request.read()
        fingerprint = identifiers.hash64(
            account.name, service.name, http_request.method, path, body
        )
        if fingerprint in self._context.session.quarantined:
            raise errors.PimentowalkError(
                'this request has crashed backend servers before',
                code='quarantined',
                step='admit',
            )
        return service_call.ServiceSpec(
            request_id=request.request_id,
            account=account,
            service=service,
            route=route,
            method=http_request.method,
            path=path,
            headers=_forwarded_headers(http_request, request, account),
            body=body,
            key=_idempotency_key(http_request),
            fingerprint=fingerprint,
            scope_version=configuration.scope_version(
                f'service/{service.name}',
                f'route/{route.name}',
                f'account/{account.name}',
            ),
            deadline_s=request.deadline_s(route),
        )

    def _find_service(self, configuration, account, path):
        route = configuration.route_of_path(path)
        service = None
        if route is not None:
            service = configuration.services.get(route.service)
        if (
            service is None
            or service.kind != contracts.PLAIN
            or not completions.may_use_service(account, service)
        ):
            raise errors.PimentowalkError(
                f'no route to {path}', code='not_found', step='find_route'
            )
        return route, service


def _checked_path(http_request):
    """Return the path with its query; raise PimentowalkError.

    Dot segments are rejected. A service would resolve them, and the call
    would reach a path whose route has other methods and limits than the
    ones that were applied.
    """
    paths = [
        http_request.raw_path,
        http_request.path,
        parse.unquote(http_request.path),
    ]
    paths = [path.partition('?')[0] for path in paths]
    if not all(path.startswith('/') for path in paths) or any(
        segment in ('.', '..')
        for path in paths
        for segment in path.replace('\\', '/').split('/')
    ):
        raise errors.PimentowalkError(
            'the path is not absolute or has dot segments',
            code='bad_request',
            step='parse',
        )
    return http_request.raw_path


def _idempotency_key(http_request):
    key = http_request.headers.get(IDEMPOTENCY_KEY_HEADER, '')
    if len(key) > MAX_KEY_LENGTH or not key.isprintable():
        raise errors.PimentowalkError(
            f'{IDEMPOTENCY_KEY_HEADER} must have at most {MAX_KEY_LENGTH} '
            'characters, all printable',
            code='bad_request',
            step='parse',
        )
    return key


def _forwarded_headers(http_request, request, account):
    pairs = [
        pair
        for pair in end_to_end_headers(http_request.headers.items())
        if pair[0].lower() not in ENTRY_HEADERS
    ]
    pairs.append((replies.REQUEST_ID_HEADER, request.request_id.hex()))
    pairs.append((ACCOUNT_HEADER, account.name))
    return [messages.Header(name, value) for name, value in pairs]


def _build_response(result):
    response = web.Response(status=result.status, body=result.body)
    pairs = [(header.name, header.value) for header in result.headers]
    for name, value in end_to_end_headers(pairs):
        if name.lower() == 'content-type':
            response.headers[name] = value
        else:
            response.headers.add(name, value)
    if result.status_only:
        response.headers[entry_claims.RECORD_HEADER] = entry_claims.STATUS_ONLY
    elif result.replayed:
        response.headers.setdefault(
            entry_claims.RECORD_HEADER, entry_claims.REPLAYED
        )
    return response
