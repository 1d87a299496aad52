"""The HTTP front of an entry."""

import contextlib
import logging

from aiohttp import web

from pimentowalk.core import errors
from pimentowalk.core import logs
from pimentowalk.entry import completions
from pimentowalk.entry import failures
from pimentowalk.entry import model_call
from pimentowalk.entry import replies
from pimentowalk.entry import service_front
from pimentowalk.topology import contracts

LOG = logging.getLogger(__name__)

# A body has to fit into one frame, with room for the other fields and the
# tokens that a retry carries.
MAX_BODY_BYTES = 512 * 1024
BEARER = 'bearer'


class Front:
    """Serve callers; `drain` tells whether the entry is stopping."""

    def __init__(self, context, drain, claims=None):
        self._context = context
        self._drain = drain
        self._services = service_front.ServiceFront(context, claims)

    def application(self):
        """Return the aiohttp application."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_get('/healthz', self._healthz)
        app.router.add_get('/readyz', self._readyz)
        app.router.add_get('/metrics', self._metrics)
        app.router.add_get('/v1/models', self._guarded(self._models))
        for path, shape in (
            ('/v1/completions', completions.COMPLETION),
            ('/v1/chat/completions', completions.CHAT),
        ):
            app.router.add_post(path, self._guarded(self._model(shape)))
        app.router.add_route(
            '*', '/{path:.*}', self._guarded(self._services.handle)
        )
        return app

    async def finish(self, timeout_s):
        """Wait for calls whose callers have left."""
        await self._services.finish(timeout_s)

    async def _healthz(self, request):
        return web.json_response({'status': 'alive'})

    async def _readyz(self, request):
        reason = 'draining' if self._drain.draining else ''
        if not self._context.ready:
            reason = reason or 'no configuration or view yet'
        status = 503 if reason else 200
        return web.json_response(
            {'ready': not reason, 'reason': reason}, status=status
        )

    async def _metrics(self, request):
        return web.Response(text=self._context.metrics.render())

    def _guarded(self, handler):
        """Wrap a handler with authentication, request id and errors."""

        async def handle(http):
            timers = self._context.timers
            request = replies.CallerRequest(http, timers.now_s())
            self._context.metrics.count('requests')
            with self._drain.track(request.request_id):
                try:
                    account = self._authenticate(http)
                    response = await handler(request, account)
                except failures.RequestFailed as error:
                    response = self._error(request, error, error.not_run)
                except errors.PimentowalkError as error:
                    # Raised before any attempt was opened.
                    response = self._error(request, error, True)
                except web.HTTPRequestEntityTooLarge:
                    response = self._error(request, _too_large(), True)
                except Exception as error:
                    response = self._fault(request, error)
            return self._finish(request, response)

        return handle

    def _finish(self, request, response):
        if not response.prepared:
            request_id = request.request_id.hex()
            response.headers[replies.REQUEST_ID_HEADER] = request_id
            if self._drain.draining:
                response.force_close()
        elapsed_s = self._context.timers.now_s() - request.started_s
        self._context.metrics.record_s('request', elapsed_s)
        return response

    def _error(self, request, error, not_run):
        self._context.metrics.count(f'errors_{error.code}')
        LOG.info(
            'request failed: %s',
            error,
            extra=logs.fields(
                request_id=request.request_id,
                step=error.step,
                peer=error.peer,
                not_run=not_run,
            ),
        )
        return replies.error_response(
            error, request.request_id, not_run=not_run
        )

    def _fault(self, request, error):
        LOG.exception(
            'request handler failed',
            extra=logs.fields(request_id=request.request_id),
        )
        fault = errors.PimentowalkError('internal fault', step='handle')
        return self._error(request, fault, False)

    def _authenticate(self, http):
        configuration = self._context.configuration
        if not self._context.ready:
            raise errors.NotRun('no configuration yet', step='authenticate')
        header = http.headers.get('Authorization', '')
        scheme, _, key = header.partition(' ')
        account = None
        if scheme.lower() == BEARER:
            account = self._context.accounts.find(configuration, key.strip())
        if account is None:
            raise errors.PimentowalkError(
                'the key belongs to no client account',
                code='unauthorized',
                step='authenticate',
            )
        return account

    async def _models(self, request, account):
        data = []
        for service in self._context.configuration.services.values():
            if service.kind != contracts.MODEL:
                continue
            if not completions.may_use(account, service):
                continue
            name = service.model or service.name
            names = [name, *(f'{name}:{a}' for a in service.adapters)]
            data.extend(
                {'id': each, 'object': 'model', 'owned_by': service.name}
                for each in names
            )
        return web.json_response({'object': 'list', 'data': data})

    def _model(self, shape):
        async def handle(request, account):
            body = completions.parse_body(await request.http.read())
            spec = completions.model_spec(
                self._context, account, shape, body, request
            )
            self._admit(spec)
            call = model_call.ModelCall(self._context, spec)
            reply = completions.Reply(shape, body['model'], request.request_id)
            try:
                if body.get('stream') is True:
                    return await self._stream(request, call, reply)
                return await self._whole(call, reply)
            finally:
                call.close('the caller has gone')
                self._settle(call)

        return handle

    def _admit(self, spec):
        if spec.fingerprint in self._context.session.quarantined:
            raise errors.PimentowalkError(
                'this request crashed its backend servers before',
                code='quarantined',
                step='admit',
            )
        self._context.charge(spec.account, spec.predicted_tokens)

    def _settle(self, call):
        spec = call.spec
        used = spec.prompt_tokens + call.assembly.next_index
        self._context.limits.correct(spec.account, spec.predicted_tokens, used)

    async def _whole(self, call, reply):
        texts = []
        while tokens := await call.next_tokens():
            texts.extend(token.text for token in tokens)
        answer = call.assembly
        return web.json_response(
            reply.whole(
                ''.join(texts),
                answer.finish_reason or 'stop',
                completions.usage(call.spec, answer.next_index),
            )
        )

    async def _stream(self, request, call, reply):
        tokens = await call.next_tokens()
        elapsed_s = self._context.timers.now_s() - request.started_s
        self._context.metrics.record_s('first_token', elapsed_s)
        response = web.StreamResponse(
            headers={
                'Content-Type': 'text/event-stream',
                'Cache-Control': 'no-store',
                replies.REQUEST_ID_HEADER: request.request_id.hex(),
            }
        )
        if self._drain.draining:
            response.force_close()
        await response.prepare(request.http)
        # Once the caller has gone there is nobody to write to; the handler
        # closes the attempt.
        with contextlib.suppress(ConnectionError):
            await self._pass_on(request, call, reply, response, tokens)
        return response

    async def _pass_on(self, request, call, reply, response, tokens):
        try:
            while tokens:
                await response.write(
                    b''.join(reply.piece(token) for token in tokens)
                )
                tokens = await call.next_tokens()
        except failures.RequestFailed as error:
            self._context.metrics.count(f'errors_{error.code}')
            body = replies.error_body(
                error, request.request_id, not_run=error.not_run
            )
            await response.write(completions.event(body, 'error'))
        else:
            await response.write(b'data: [DONE]\n\n')
        await response.write_eof()


def _too_large():
    return errors.PimentowalkError(
        f'the body exceeds {MAX_BODY_BYTES} bytes',
        code='too_large',
        step='read',
    )
