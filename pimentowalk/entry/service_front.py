"""HTTP routes of the configuration to plain services."""

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

KEY_HEADER = 'Idempotency-Key'
MAX_KEY_CHARACTERS = 200
ACCOUNT_HEADER = 'X-Client-Account'
# RFC 9110, section 7.6.1, and what the entry itself adds or consumes.
HOP_HEADERS = frozenset(
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
OWN_HEADERS = frozenset(
    {
        'authorization',
        ACCOUNT_HEADER.lower(),
        replies.DEADLINE_HEADER.lower(),
        replies.REQUEST_ID_HEADER.lower(),
    }
)


def end_to_end(headers):
    """Return (name, value) pairs without hop-by-hop headers.

    >>> end_to_end([('Connection', 'X-A'), ('X-A', '1'), ('X-B', '2')])
    [('X-B', '2')]
    """
    pairs = list(headers)
    named = {
        token.strip().lower()
        for name, value in pairs
        if name.lower() == 'connection'
        for token in value.split(',')
    }
    dropped = HOP_HEADERS | named
    return [pair for pair in pairs if pair[0].lower() not in dropped]


class ServiceFront:
    """Pass calls on to the plain service of the longest path prefix."""

    def __init__(self, context, claims):
        self._context = context
        self._claims = claims
        self._tasks = set()

    async def handle(self, request, account):
        """Return the reply of the service."""
        spec = await self._spec(request, account)
        self._context.charge(account, service_call.CALL_COST)
        work = service_call.ServiceRequest(self._context, self._claims, spec)
        if spec.non_idempotent:
            return _response(await self._to_the_end(work))
        return _response(await work.run())

    async def _to_the_end(self, work):
        """Run a call that must be settled even if the caller leaves."""
        task = asyncio.ensure_future(work.run())
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return await asyncio.shield(task)

    def _ended(self, task):
        self._tasks.discard(task)
        if not task.cancelled():
            task.exception()

    async def finish(self, timeout_s):
        """Wait for calls whose callers have left."""
        if self._tasks:
            await asyncio.wait(list(self._tasks), timeout=timeout_s)

    async def _spec(self, request, account):
        http = request.http
        configuration = self._context.configuration
        path = _safe_path(http)
        route, service = self._find(configuration, account, http.path)
        body = await http.read()
        fingerprint = identifiers.hash64(
            account.name, service.name, http.method, path, body
        )
        if fingerprint in self._context.session.quarantined:
            raise errors.PimentowalkError(
                'this request crashed its backend servers before',
                code='quarantined',
                step='admit',
            )
        return service_call.ServiceSpec(
            request_id=request.request_id,
            account=account,
            service=service,
            route=route,
            method=http.method,
            path=path,
            headers=_passed_on(http, request, account),
            body=body,
            key=_key(http),
            fingerprint=fingerprint,
            scope_version=self._context.scope_version(
                f'service/{service.name}',
                f'route/{route.name}',
                f'account/{account.name}',
            ),
            deadline_s=request.deadline_s(route),
        )

    def _find(self, configuration, account, path):
        route = configuration.route_of_path(path)
        service = None
        if route is not None:
            service = configuration.services.get(route.service)
        if (
            service is None
            or service.kind != contracts.PLAIN
            or not completions.may_use(account, service)
        ):
            raise errors.PimentowalkError(
                f'no route to {path}', code='not_found', step='find_route'
            )
        return route, service


def _safe_path(http):
    """Return the path with its query; raise PimentowalkError.

    A service would resolve dot segments, and so run a call under a route
    whose methods and limits were not applied.
    """
    paths = [http.raw_path, http.path, parse.unquote(http.path)]
    paths = [path.partition('?')[0] for path in paths]
    if not all(path.startswith('/') for path in paths) or any(
        segment in ('.', '..')
        for path in paths
        for segment in path.replace('\\', '/').split('/')
    ):
        raise errors.PimentowalkError(
            'the path has dot segments', code='bad_request', step='parse'
        )
    return http.raw_path


def _key(http):
    key = http.headers.get(KEY_HEADER, '')
    if len(key) > MAX_KEY_CHARACTERS or not key.isprintable():
        raise errors.PimentowalkError(
            f'{KEY_HEADER} is not up to {MAX_KEY_CHARACTERS} printable '
            'characters',
            code='bad_request',
            step='parse',
        )
    return key


def _passed_on(http, request, account):
    pairs = [
        pair
        for pair in end_to_end(http.headers.items())
        if pair[0].lower() not in OWN_HEADERS
    ]
    pairs.append((replies.REQUEST_ID_HEADER, request.request_id.hex()))
    pairs.append((ACCOUNT_HEADER, account.name))
    return [messages.Header(name, value) for name, value in pairs]


def _response(result):
    response = web.Response(status=result.status, body=result.body)
    pairs = [(header.name, header.value) for header in result.headers]
    for name, value in end_to_end(pairs):
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
