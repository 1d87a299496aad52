"""Run a gateway on the users' platform."""

import asyncio
import logging
import os
import signal
import sys

from aiohttp import web
import attrs

from pimentowalk.core import errors
from pimentowalk.core import logs
from pimentowalk.core import sockets
from pimentowalk.core import timers as core_timers
from pimentowalk.dispatch import transport
from pimentowalk.gateway import core
from pimentowalk.mesh import status as mesh_status
from pimentowalk.platform import client_connection
from pimentowalk.platform import control_api
from pimentowalk.platform import documents
from pimentowalk.platform import engines
from pimentowalk.platform import front as platform_front
from pimentowalk.platform import intake
from pimentowalk.settings import gateway as gateway_settings

LOG = logging.getLogger(__name__)

# The part of the stop time kept for closing files and connections, and the
# largest share of a short stop that is kept for it.
STOP_MARGIN_S = 0.8
MAX_STOP_MARGIN_SHARE = 0.5
# The load balancer removes an instance after two failed health checks, one
# second apart.
SHUTDOWN_DELAY_S = 2.6
# In a short drain, connections are accepted for this share of it at most:
# what arrives on them has to be answered in the rest.
MAX_SHUTDOWN_DELAY_SHARE = 0.5
MAX_LINE_BYTES = 32768
# Must exceed the idle timeout of the configuration: callers reuse connections
# that were idle for nearly that long, and must not find them closed.
KEEPALIVE_S = 30.0


class Gateway(core.GatewayNode):
    """A gateway node that serves the addresses and APIs of the platform."""

    def __init__(
        self,
        settings,
        bounds,
        read_seeds,
        timers=None,
        listeners=None,
        responses=None,
        routing=None,
    ):
        limits = _transport_limits(
            responses or gateway_settings.ResponseSettings(), settings.clients
        )
        super().__init__(
            settings,
            bounds,
            engines.BackendClient(limits),
            decode=documents.decode_stored,
            read_seeds=read_seeds,
            timers=timers or core_timers.TimerService(),
            limits=limits,
            routing=routing,
        )
        self._listeners = listeners or sockets.ListenerSet()
        self._runners = []
        self._sockets = {}
        self._stop_requested = asyncio.Event()
        self.intake = self._new_intake(intake.FRONT_DESCRIPTOR_SHARE)
        self._readiness_intake = self._new_intake(
            intake.READINESS_DESCRIPTOR_SHARE
        )
        self.front = platform_front.Front(
            self.node,
            self.freshness,
            self.dispatcher,
            self.timers,
            self.drain,
            self.metrics,
            self.intake,
        )
        self._add_gauges()

    def _add_gauges(self):
        self.metrics.gauge(
            'client_connections', lambda: self.intake.connection_count
        )
        self.metrics.gauge(
            'held_request_bytes',
            lambda: self.dispatcher.held_bytes.request_bytes,
        )

    def _new_intake(self, descriptor_share):
        """Return the bounds on the clients of one address."""
        clients = self.settings.clients
        return intake.Intake(
            attrs.evolve(
                clients,
                max_connections=min(
                    clients.max_connections,
                    intake.descriptor_limit(descriptor_share),
                ),
            ),
            self.timers,
            self.dispatcher.held_bytes,
            self.metrics,
            self._published_limits,
        )

    def _published_limits(self):
        document = self.node.document
        return document.limits if document is not None else None

    async def start(self):
        """Listen on all addresses and start the periodic tasks."""
        settings = self.settings
        await self.engines.start()
        await super().start()
        api = control_api.ControlApi(self.node, self.client, self.metrics)
        await self._listen(settings.control, api.application())
        await self._listen(
            settings.ready,
            self._readiness_application(),
            clients=self._readiness_intake,
            reads_bodies=False,
        )
        self._front_site = await self._listen(
            settings.front,
            self.front.application(control_api.MAX_BODY_BYTES),
            cancel_handlers=True,
            clients=self.intake,
        )
        for one in (self.intake, self._readiness_intake):
            self.timers.every(intake.CHECK_INTERVAL_S, one.check)
        self._front_runner = self._runners[-1]
        if settings.metrics_port:
            await self._listen(
                gateway_settings.Address(settings.host, settings.metrics_port),
                self._metrics_application(),
            )
        LOG.info(
            'started',
            extra=logs.fields(
                step='start',
                node=settings.name,
                first_start=settings.first_start,
                has_disk=bool(settings.data_folder),
            ),
        )

    async def _listen(
        self,
        address,
        application,
        *,
        cancel_handlers=False,
        clients=None,
        reads_bodies=True,
    ):
        """Serve an address; with `clients`, within these bounds."""
        runner = web.AppRunner(
            application,
            handler_cancellation=cancel_handlers,
            shutdown_timeout=0.1,
            access_log=None,
            keepalive_timeout=KEEPALIVE_S,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
        )
        await runner.setup()
        listener = self._listeners.take(address.host, address.port)
        self._sockets[address] = listener
        if clients is None:
            site = web.SockSite(runner, listener, backlog=sockets.BACKLOG)
        else:
            site = client_connection.ClientSite(
                runner, listener, clients, reads_bodies=reads_bodies
            )
        await site.start()
        self._runners.append(runner)
        return site

    def _readiness_application(self):
        async def show_readiness(request):
            reason = self.unready_reason()
            return web.json_response(
                {'reason': reason}, status=503 if reason else 200
            )

        async def close_connection(request, response):
            response.force_close()

        app = web.Application()
        app.router.add_get('/v1/readiness', show_readiness)
        app.on_response_prepare.append(close_connection)
        return app

    def _metrics_application(self):
        async def show_metrics(request):
            return web.Response(text=self.metrics.render())

        async def show_status(request):
            status = mesh_status.gateway_status(
                self.node, self.freshness, self.dispatcher.account_shares
            )
            return web.json_response(attrs.asdict(status))

        app = web.Application()
        app.router.add_get('/metrics', show_metrics)
        app.router.add_get('/status', show_status)
        return app

    def request_stop(self):
        """Begin a graceful stop; a second call ends the drain at once."""
        if self._stop_requested.is_set():
            self.drain.abort()
        self._stop_requested.set()

    async def run(self):
        """Serve until a stop is requested, then drain the gateway."""
        await self._stop_requested.wait()
        LOG.info('stopping', extra=logs.fields(step='stop'))
        transfer_task = asyncio.ensure_future(self.transfer_leadership())
        drain_s = _drain_s(self.bounds.stop_s)
        await self.drain.run(
            self._stop_accepting,
            drain_s,
            shutdown_delay_s=min(
                SHUTDOWN_DELAY_S, drain_s * MAX_SHUTDOWN_DELAY_SHARE
            ),
            has_unhandled=self._has_open_request,
            has_unsent=self._has_unsent_bytes,
        )
        transfer_task.cancel()

    async def _stop_accepting(self):
        """Close the listening socket and the idle connections.

        A request that arrived later on a keep-alive connection could exceed
        the time that is left until the stop.
        """
        await sockets.stop_accepting([self._sockets[self.settings.front]])
        await self._front_site.stop()
        self._close_connections()

    def _has_open_request(self):
        """Return whether a request has been read but not yet answered."""
        return any(
            not _is_idle(connection)
            for connection in self._front_runner.server.connections
        )

    def _has_unsent_bytes(self):
        """Return whether a part of a response has not left the process."""
        return any(
            connection.has_unsent_bytes
            for connection in self._front_runner.server.connections
        )

    def _close_connections(self):
        """Close idle connections at once and the others when they are idle.

        aiohttp drops all bytes that arrive on a connection that is shutting
        down, also the rest of a body that a handler waits for.
        """
        for connection in self._front_runner.server.connections:
            if self.front.is_busy(connection) or not _is_idle(connection):
                self.front.close_after_response(connection)
            else:
                connection.force_close()

    async def close(self):
        """Close all connections and files."""
        for runner in self._runners:
            await runner.cleanup()
        await super().close()
        self._listeners.close()
        await self.engines.stop()
        LOG.info('stopped', extra=logs.fields(step='stop'))


class SeedFile:
    """Seed addresses from a settings file that may change at any time."""

    def __init__(self, path, seeds):
        self._path = path
        self._seeds = seeds
        # The file may have changed since the seeds were read at the start.
        self._last_stamp = None

    def _file_stamp(self):
        try:
            file_stat = os.stat(self._path)
        except OSError as error:
            LOG.warning(
                'cannot stat the settings file: %s',
                error,
                extra=logs.fields(step='reload'),
            )
            return None
        return file_stat.st_mtime_ns, file_stat.st_size, file_stat.st_ino

    def read(self):
        """Return the seeds, reloading the file if it has changed."""
        stamp = self._file_stamp()
        if stamp is None or stamp == self._last_stamp:
            return self._seeds
        self._last_stamp = stamp
        previous_seeds = self._seeds
        try:
            self._seeds = gateway_settings.load(self._path)[0].seeds
        except errors.PimentowalkError as error:
            LOG.warning(
                'settings not read again, keeping the old seeds: %s',
                error,
                extra=logs.fields(step='reload'),
            )
        else:
            LOG.info(
                'settings read again',
                extra=logs.fields(
                    step='reload',
                    seeds=len(self._seeds),
                    changed=self._seeds != previous_seeds,
                ),
            )
        return self._seeds


def _drain_s(stop_s):
    """Return the part of a stop in which requests may finish.

    >>> _drain_s(8.0), _drain_s(0.5)
    (7.2, 0.25)
    """
    return stop_s - min(STOP_MARGIN_S, stop_s * MAX_STOP_MARGIN_SHARE)


def _is_idle(connection):
    """Return whether an aiohttp connection waits for its next request.

    A request that has been read may not have reached its handler yet; then
    the future that the connection waits for is done or gone.
    """
    waiter = connection._waiter
    return waiter is not None and not waiter.done()


def _transport_limits(responses, clients):
    return transport.ResponseLimits(
        responses.max_head_bytes,
        responses.max_body_bytes,
        responses.max_event_bytes,
        responses.event_timeout_ms / 1000,
        responses.max_pause_s,
        responses.max_held_bytes,
        clients.max_request_bytes,
        clients.stalled_body_ms / 1000,
    )


async def serve(settings_path, sections, listeners):
    """Run a gateway until SIGTERM or SIGINT."""
    settings, bounds, responses, routing = sections
    logs.configure(
        settings.name,
        settings.log_level,
        logs.BoundedHandler(sys.stdout.fileno()),
    )

    seeds = SeedFile(settings_path, settings.seeds)
    gateway = Gateway(
        settings,
        bounds,
        seeds.read,
        listeners=listeners,
        responses=responses,
        routing=routing,
    )
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, gateway.request_stop)
    loop.add_signal_handler(
        signal.SIGHUP,
        lambda: LOG.info('reload', extra=logs.fields(step='reload')),
    )
    await gateway.start()
    try:
        await gateway.run()
    finally:
        await gateway.close()
