"""HTTP handlers of an entry."""

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

# A request body must fit in one frame, together with the other fields and
# the tokens that a retry carries.
MAX_BODY_BYTES = 512 * 1024
BEARER = 'bearer'


class HttpFront:
    """Serve HTTP requests; `drain` tracks them and tells of a stop."""

    def __init__(self, context, drain, claims=None):
        self._context = context
        self._drain = drain
        self._services = service_front.ServiceFront(context, claims)

    def application(self):
        """Return the aiohttp application with all routes."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_get('/healthz', self._healthz)
        app.router.add_get('/readyz', self._readyz)
        app.router.add_get('/metrics', self._metrics)
        app.router.add_get('/v1/models', self._wrap(self._list_models))
        for path, api_format in (
            ('/v1/completions', completions.COMPLETION),
            ('/v1/chat/completions', completions.CHAT),
        ):
            app.router.add_post(
                path, self._wrap(self._completions_handler(api_format))
            )
        app.router.add_route(
            '*', '/{path:.*}', self._wrap(self._services.handle)
        )
        return app

    async def finish(self, timeout_s):
        """Wait for calls whose callers have disconnected."""
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

    def _wrap(self, handler):
        """Add authentication, a request id and error handling to a handler."""

        async def handle(http_request):
            timers = self._context.timers
            request = replies.CallerRequest(
                http_request, timers.now_s(), self._context.configuration
            )
            self._context.metrics.count('requests')
            with self._drain.track(request.request_id) as active:
                request.activity = active.activity
                try:
                    async with active.interruptible():
                        account = self._authenticate(request)
                        response = await handler(request, account)
                except failures.RequestFailed as error:
                    response = self._error_reply(request, error, error.not_run)
                except errors.OutcomeUnknown as error:
                    response = self._error_reply(request, error, False)
                except errors.PimentowalkError as error:
                    # Raised before an attempt was opened, so nothing has run.
                    response = self._error_reply(request, error, True)
                except web.HTTPRequestEntityTooLarge:
                    response = self._error_reply(
                        request, _body_too_large(), True
                    )
                except Exception as error:
                    response = self._internal_error(request, error)
            return self._finish_response(request, response)

        return handle

    def _finish_response(self, request, response):
        if not response.prepared:
            request_id = request.request_id.hex()
            response.headers[replies.REQUEST_ID_HEADER] = request_id
            if self._drain.draining:
                response.force_close()
        elapsed_s = self._context.timers.now_s() - request.started_s
        self._context.metrics.record_s('request', elapsed_s)
        return response

    def _error_reply(self, request, error, not_run):
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
        if request.stream is not None:
            # The caller must not take the beginning for the whole response.
            if request.http_request.transport is not None:
                request.http_request.transport.abort()
            return request.stream
        return replies.error_response(
            error, request.request_id, not_run=not_run
        )

    def _internal_error(self, request, error):
        LOG.exception(
            'request handler failed',
            extra=logs.fields(request_id=request.request_id),
        )
        internal_error = errors.PimentowalkError(
            'internal error in the entry', step='handle'
        )
        return self._error_reply(request, internal_error, False)

    def _authenticate(self, request):
        if not self._context.ready:
            raise errors.NotRun('no configuration yet', step='authenticate')
        header = request.http_request.headers.get('Authorization', '')
        scheme, _, key = header.partition(' ')
        account = None
        if scheme.lower() == BEARER:
            account = self._context.accounts.find(
                request.configuration, key.strip()
            )
        if account is None:
            raise errors.PimentowalkError(
                'the key belongs to no client account',
                code='unauthorized',
                step='authenticate',
            )
        return account

    async def _list_models(self, request, account):
        data = []
        for service in request.configuration.services.values():
            if service.kind != contracts.MODEL:
                continue
            if not completions.may_use_service(account, service):
                continue
            name = service.model or service.name
            names = [
                name,
                *(f'{name}:{adapter}' for adapter in service.adapters),
            ]
            data.extend(
                {'id': model_id, 'object': 'model', 'owned_by': service.name}
                for model_id in names
            )
        return web.json_response({'object': 'list', 'data': data})

    def _completions_handler(self, api_format):
        async def handle(request, account):
            body = completions.parse_body(await request.http_request.read())
            spec = completions.model_spec(account, api_format, body, request)
            self._admit(spec)
            request.activity.begin_try()
            call = model_call.ModelCall(self._context, spec)
            reply = completions.ReplyBuilder(
                api_format, body['model'], request.request_id
            )
            try:
                if body.get('stream') is True:
                    return await self._reply_stream(request, call, reply)
                return await self._reply_complete(call, reply)
            finally:
                call.close('the caller has gone')
                self._correct_charge(call)

        return handle

    def _admit(self, spec):
        if spec.fingerprint in self._context.session.quarantined:
            raise errors.PimentowalkError(
                'this request has crashed backend servers before',
                code='quarantined',
                step='admit',
            )
        self._context.charge_account(spec.account, spec.predicted_tokens)

    def _correct_charge(self, call):
        spec = call.spec
        used = spec.prompt_tokens + call.assembly.next_index
        self._context.account_limits.correct(
            spec.account, spec.predicted_tokens, used
        )

    async def _reply_complete(self, call, reply):
        texts = []
        while tokens := await call.next_tokens():
            texts.extend(token.text for token in tokens)
        answer = call.assembly
        return web.json_response(
            reply.body(
                ''.join(texts),
                answer.finish_reason or 'stop',
                completions.token_usage(call.spec, answer.next_index),
            )
        )

    async def _reply_stream(self, request, call, reply):
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
        await response.prepare(request.http_request)
        request.stream = response
        # After the caller has disconnected there is nothing left to write;
        # the handler closes the attempt.
        with contextlib.suppress(ConnectionError):
            await self._write_events(request, call, reply, response, tokens)
        return response

    async def _write_events(self, request, call, reply, response, tokens):
        try:
            while tokens:
                await response.write(
                    b''.join(reply.chunk_event(token) for token in tokens)
                )
                tokens = await call.next_tokens()
        except failures.RequestFailed as error:
            self._context.metrics.count(f'errors_{error.code}')
            body = replies.error_body(
                error, request.request_id, not_run=error.not_run
            )
            await response.write(completions.sse_event(body, 'error'))
        else:
            await response.write(b'data: [DONE]\n\n')
        await response.write_eof()


def _body_too_large():
    return errors.PimentowalkError(
        f'the body exceeds {MAX_BODY_BYTES} bytes',
        code='too_large',
        step='read',
    )
