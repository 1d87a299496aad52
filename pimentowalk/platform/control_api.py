"""The calls of operators and backend servers on the control address."""

import logging

from aiohttp import web
import attrs

from pimentowalk.control import documents as control_documents
from pimentowalk.core import errors
from pimentowalk.core import logs
from pimentowalk.platform import announcements
from pimentowalk.platform import documents
from pimentowalk.topology import backends

LOG = logging.getLogger(__name__)

# Callers move to another node after a second without an answer.
PUT_TIMEOUT_S = 0.9
GET_TIMEOUT_S = 0.9
MAX_BODY_BYTES = 16 << 20


class ControlApi:
    """Serve the control address of a node."""

    def __init__(self, node, client, metrics):
        self._node = node
        self._client = client
        self._metrics = metrics

    def application(self):
        """Return the aiohttp application."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_put('/v1/configuration', self._put_configuration)
        app.router.add_get('/v1/configuration', self._get_configuration)
        app.router.add_put('/v1/instances/{server_id}', self._announce)
        app.router.add_delete('/v1/instances/{server_id}', self._leave)
        return app

    async def _put_configuration(self, request):
        text = await request.read()
        try:
            document = documents.decode(text)
            result = await self._client.request(
                control_documents.PutDocument(
                    document.version, documents.pack(text)
                ),
                PUT_TIMEOUT_S,
            )
        except errors.PimentowalkError as error:
            return self._refused(error, 'configuration refused')
        LOG.info(
            'configuration acknowledged',
            extra=logs.fields(
                step='put configuration',
                version=document.version,
                in_force=result.version,
            ),
        )
        return web.json_response({'version': result.version})

    async def _get_configuration(self, request):
        try:
            stored = await self._client.request(
                control_documents.ReadDocument(), GET_TIMEOUT_S
            )
            if not stored.version:
                raise errors.NotRun(
                    'no configuration yet', step='read configuration'
                )
            text = documents.unpack(stored.content)
        except errors.PimentowalkError as error:
            return self._refused(error, 'configuration not read')
        return web.Response(body=text, content_type='application/json')

    async def _announce(self, request):
        server_id = request.match_info['server_id']
        try:
            backend = announcements.decode(server_id, await request.read())
        except errors.PimentowalkError as error:
            return self._refused(error, 'announcement refused', server_id)
        self._take(backend)
        return web.json_response({})

    async def _leave(self, request):
        server_id = request.match_info['server_id']
        known = self._node.backends.get(server_id)
        if known is not None:
            self._take(attrs.evolve(known, state=backends.GONE))
        return web.json_response({})

    def _take(self, backend):
        self._metrics.count('announcements')
        self._node.announce(backend)

    def _refused(self, error, text, peer=''):
        self._metrics.count(f'control_errors_{error.code}')
        LOG.info(
            '%s: %s',
            text,
            error.message,
            extra=logs.fields(
                step=error.step, peer=error.peer or peer, code=error.code
            ),
        )
        return web.json_response(
            {'error': error.code, 'message': error.message},
            status=error.http_status,
        )
