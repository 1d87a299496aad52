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
from pimentowalk.gateway import core
from pimentowalk.mesh import status as mesh_status
from pimentowalk.platform import control_api
from pimentowalk.platform import documents
from pimentowalk.platform import engines
from pimentowalk.platform import front as platform_front
from pimentowalk.settings import gateway as gateway_settings

LOG = logging.getLogger(__name__)

# Time that a stop leaves for closing files and connections.
STOP_MARGIN_S = 0.8
# The balancer takes an instance out after two failed checks, a second apart.
NOTICE_S = 2.6
MAX_LINE_BYTES = 32768
# Callers reuse a connection that was idle for most of the limit of the
# configuration; this is longer, so that a reused one is not closed.
KEEPALIVE_S = 30.0


class Gateway(core.GatewayNode):
    """A gateway node with the platform's addresses and calls."""

    def __init__(
        self, settings, bounds, read_seeds, timers=None, listeners=None
    ):
        super().__init__(
            settings,
            bounds,
            engines.EngineClient(),
            decode=documents.decode_stored,
            read_seeds=read_seeds,
            timers=timers or core_timers.TimerService(),
        )
        self._listeners = listeners or sockets.ListenerSet()
        self._runners = []
        self._closing = []
        self._stop = asyncio.Event()
        self.front = platform_front.Front(
            self.node,
            self.freshness,
            self.dispatcher,
            self.timers,
            self.drain,
            self.metrics,
        )

    async def start(self):
        """Listen on all addresses and begin the periodic work."""
        settings = self.settings
        await self.engines.start()
        await super().start()
        api = control_api.ControlApi(self.node, self.client, self.metrics)
        await self._listen(settings.control, api.application())
        await self._listen(settings.ready, self._ready_application())
        self._front_site = await self._listen(
            settings.front,
            self.front.application(control_api.MAX_BODY_BYTES),
            cancels=True,
        )
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

    async def _listen(self, address, application, *, cancels=False):
        runner = web.AppRunner(
            application,
            handler_cancellation=cancels,
            shutdown_timeout=0.1,
            access_log=None,
            keepalive_timeout=KEEPALIVE_S,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
        )
        await runner.setup()
        site = web.SockSite(
            runner,
            self._listeners.take(address.host, address.port),
            backlog=sockets.BACKLOG,
        )
        await site.start()
        self._runners.append(runner)
        return site

    def _ready_application(self):
        async def ready(request):
            reason = self.unready_reason()
            return web.json_response(
                {'reason': reason}, status=503 if reason else 200
            )

        app = web.Application()
        app.router.add_get('/v1/readiness', ready)
        return app

    def _metrics_application(self):
        async def render(request):
            return web.Response(text=self.metrics.render())

        async def show_status(request):
            found = mesh_status.gateway_status(self.node, self.freshness)
            return web.json_response(attrs.asdict(found))

        app = web.Application()
        app.router.add_get('/metrics', render)
        app.router.add_get('/status', show_status)
        return app

    def request_stop(self):
        """Begin a graceful stop."""
        self._stop.set()

    async def run(self):
        """Serve until a stop is requested, then drain."""
        await self._stop.wait()
        LOG.info('stopping', extra=logs.fields(step='stop'))
        transferring = asyncio.ensure_future(self.transfer_leadership())
        await self.drain.run(
            self._refuse_callers,
            self.bounds.stop_ms / 1000 - STOP_MARGIN_S,
            shutdown_delay_s=NOTICE_S,
        )
        transferring.cancel()

    async def _refuse_callers(self):
        """Close the listening socket and the connections that are idle.

        A request that came on a kept connection after this would have less
        time than it may need.
        """
        await self._front_site.stop()
        left_s = self.bounds.stop_ms / 1000 - STOP_MARGIN_S - NOTICE_S
        for connection in self._front_runner.server.connections:
            if self.front.is_busy(connection):
                # Ends after the answer that is on its way.
                self._closing.append(
                    asyncio.ensure_future(connection.shutdown(left_s))
                )
            else:
                connection.force_close()

    async def close(self):
        """Close connections and files."""
        await core_timers.cancel_all(self._closing)
        for runner in self._runners:
            await runner.cleanup()
        await super().close()
        self._listeners.close()
        await self.engines.stop()
        LOG.info('stopped', extra=logs.fields(step='stop'))


class SeedFile:
    """The seeds in the settings file, which may change at any time."""

    def __init__(self, path, seeds):
        self._path = path
        self._seeds = seeds
        self._seen = self._stamp()

    def _stamp(self):
        try:
            found = os.stat(self._path)
        except OSError as error:
            LOG.warning(
                'settings file not found: %s',
                error,
                extra=logs.fields(step='reload'),
            )
            return None
        return found.st_mtime_ns, found.st_size, found.st_ino

    def read(self):
        """Return the seeds, read again where the file has changed."""
        stamp = self._stamp()
        if stamp is None or stamp == self._seen:
            return self._seeds
        self._seen = stamp
        try:
            self._seeds = gateway_settings.load(self._path)[0].seeds
        except errors.PimentowalkError as error:
            LOG.warning(
                'settings not read again: %s',
                error,
                extra=logs.fields(step='reload'),
            )
        else:
            LOG.info(
                'settings read again',
                extra=logs.fields(step='reload', seeds=len(self._seeds)),
            )
        return self._seeds


async def serve(settings_path, settings, bounds, listeners):
    """Run a gateway until a signal stops it."""
    logs.configure(
        settings.name,
        settings.log_level,
        logs.BoundedHandler(sys.stdout.fileno()),
    )

    seeds = SeedFile(settings_path, settings.seeds)
    gateway = Gateway(settings, bounds, seeds.read, listeners=listeners)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, gateway.request_stop)
    loop.add_signal_handler(
        signal.SIGHUP,
        lambda: LOG.info('reload', extra=logs.fields(step='reload')),
    )
    await gateway.start()
    try:
        await gateway.run()
    finally:
        await gateway.close()
