"""HTTP API for operators and backend servers on the control address."""

import logging

from aiohttp import web

from pimentowalk.control import documents as control_documents
from pimentowalk.core import errors
from pimentowalk.core import logs
from pimentowalk.platform import announcements
from pimentowalk.platform import documents
from pimentowalk.topology import backends

LOG = logging.getLogger(__name__)

# Clients try another node after one second without an answer.
PUT_TIMEOUT_S = 0.9
GET_TIMEOUT_S = 0.9
DEPARTURE_TIMEOUT_S = 0.8
MAX_BODY_BYTES = 16 << 20


class ControlApi:
    """Serve configuration and announcements of a node over HTTP."""

    def __init__(self, node, client, metrics):
        self._node = node
        self._client = client
        self._metrics = metrics

    def application(self):
        """Build the aiohttp application."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_put('/v1/configuration', self._put_configuration)
        app.router.add_get('/v1/configuration', self._get_configuration)
        app.router.add_put('/v1/instances/{server_id}', self._put_instance)
        app.router.add_delete(
            '/v1/instances/{server_id}', self._remove_instance
        )
        return app

    async def _put_configuration(self, request):
        text = await request.read()
        try:
            document = documents.decode(text)
            result = await self._client.request(
                control_documents.PutDocument(
                    document.version, documents.compress(text)
                ),
                PUT_TIMEOUT_S,
            )
        except errors.PimentowalkError as error:
            return self._error_response(error, 'configuration refused')
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
            text = documents.decompress(stored.content)
        except errors.PimentowalkError as error:
            return self._error_response(error, 'configuration not read')
        return web.Response(body=text, content_type='application/json')

    async def _put_instance(self, request):
        server_id = request.match_info['server_id']
        try:
            backend = announcements.decode(server_id, await request.read())
        except errors.PimentowalkError as error:
            return self._error_response(
                error, 'announcement refused', server_id
            )
        if backend.state != backends.READY:
            return await self._acknowledge_departures(server_id, [backend])
        self._metrics.count('announcements')
        self._node.announce(backend)
        return web.json_response({})

    async def _remove_instance(self, request):
        server_id = request.match_info['server_id']
        table = self._node.backends
        known = table.announced_as(server_id)
        response = None
        if known:
            # Repeated if no answer arrived: it must be on disk then, too.
            response = await self._acknowledge_departures(
                server_id, [b.as_gone(b.service) for b in known]
            )
        if not any(table.is_named(backend.service) for backend in known):
            # Other nodes may know the server and would go on to use it: what
            # is known here may be of another writer.
            error = errors.NotRun('unknown here', step='leave')
            return self._error_response(error, 'departure refused', server_id)
        return response

    async def _acknowledge_departures(self, server_id, departures):
        """Answer once disks hold that a server drains or has left."""
        self._metrics.count('announcements')
        try:
            await self._node.announce_departures(
                departures, DEPARTURE_TIMEOUT_S
            )
        except errors.NotDurable as error:
            return self._error_response(
                error, 'departure not acknowledged', server_id
            )
        return web.json_response({})

    def _error_response(self, error, event, peer=''):
        self._metrics.count(f'control_errors_{error.code}')
        LOG.info(
            '%s: %s',
            event,
            error.message,
            extra=logs.fields(
                step=error.step, peer=error.peer or peer, code=error.code
            ),
        )
        return web.json_response(
            {'error': error.code, 'message': error.message},
            status=error.http_status,
        )
