"""Run a gateway on the users' platform."""

import asyncio
import logging
import os
import signal
import sys

from aiohttp import web
import attrs

from pimentowalk.admission import crashes as admission_crashes
from pimentowalk.admission import window_budget
from pimentowalk.control import directory as control_directory
from pimentowalk.control import operators as control_operators
from pimentowalk.control import repair as control_repair
from pimentowalk.control import replica as control_replica
from pimentowalk.control import requests as control_requests
from pimentowalk.control import state as control_state
from pimentowalk.core import errors
from pimentowalk.core import identifiers
from pimentowalk.core import logs
from pimentowalk.core import metrics as core_metrics
from pimentowalk.core import timers as core_timers
from pimentowalk.dispatch import dispatcher as dispatch
from pimentowalk.entry import drain as entry_drain
from pimentowalk.membership import backends as membership
from pimentowalk.mesh import freshness as mesh_freshness
from pimentowalk.mesh import leader as mesh_leader
from pimentowalk.mesh import node as mesh_node
from pimentowalk.mesh import status as mesh_status
from pimentowalk.placement import executor as placement
from pimentowalk.platform import control_api
from pimentowalk.platform import documents
from pimentowalk.platform import engines
from pimentowalk.platform import front as platform_front
from pimentowalk.routing import work
from pimentowalk.settings import gateway as gateway_settings
from pimentowalk.topology import instances
from pimentowalk.wire import messages
from pimentowalk.wire import node_messages

LOG = logging.getLogger(__name__)

# A key that was taken away must not be served anywhere after the bound; the
# rest covers a request that was sent before the lease ended.
LEASE_SHARE = 0.75
EXPIRE_S = 0.25
# Time that a stop leaves for closing files and connections.
STOP_MARGIN_S = 0.8
# The balancer takes an instance out after two failed checks, a second apart.
NOTICE_S = 2.6
MAX_LINE_BYTES = 32768
# Callers reuse a connection that was idle for most of the limit of the
# configuration; this is longer, so that a reused one is not closed.
KEEPALIVE_S = 30.0
# A node takes callers only while it heard the leader this lately.
READY_AGE_S = 3.0


class Gateway:
    """One node: front, control calls, and a replica where there is a disk."""

    def __init__(self, settings, bounds, read_seeds, timers=None):
        self.settings = settings
        self._bounds = bounds
        self.timers = timers or core_timers.TimerService()
        self._read_seeds = read_seeds
        self.metrics = core_metrics.Metrics('gateway')
        self.drain = entry_drain.Drain(self.timers)
        self._runners = []
        self._tasks = []
        self._closing = []
        self._stop = asyncio.Event()
        hello = messages.Hello(
            settings.node_id,
            'control',
            identifiers.new_incarnation(),
            settings.zone,
        )
        now_s = self.timers.now_s
        self.node = mesh_node.MeshNode(
            hello,
            settings.host,
            settings.peer_port,
            self.timers,
            seeds=self._seeds,
            decode=documents.decode_stored,
            backend_table=membership.BackendTable(
                now_s, settings.announcement_period_ms / 1000
            ),
        )
        self.client = mesh_leader.LeaderClient(self.node, self.timers)
        self.freshness = mesh_freshness.Freshness(
            self.node,
            self.client,
            self.timers,
            bounds.revocation_ms / 1000 * LEASE_SHARE,
        )
        self.engines = engines.EngineClient()
        self.crashes = admission_crashes.CrashBook(now_s)
        self.node.subscribe(node_messages.CrashNote, self._note_crash)
        self.dispatcher = dispatch.Dispatcher(
            self.node,
            self.engines,
            self.timers,
            book=work.WorkBook(settings.node_id, now_s),
            budget=window_budget.WindowBudget(
                now_s,
                window_s=bounds.retry_window_s,
                ratio=bounds.retry_ratio,
                extra=bounds.retry_extra,
            ),
            crashes=self.crashes,
            metrics=self.metrics,
            zone=settings.zone,
        )
        self.front = platform_front.Front(
            self.node,
            self.freshness,
            self.dispatcher,
            self.timers,
            self.drain,
            self.metrics,
        )
        self.replica = None
        if settings.data_folder:
            self._build_control()

    def _note_crash(self, body):
        self.crashes.note(body.fingerprint, body.server_id, body.born_ms)

    def _seeds(self):
        port = self.settings.peer_port
        return [
            node_messages.ControlAddress(seed.host, seed.host, port)
            for seed in self._read_seeds()
        ]

    def _build_control(self):
        """Create the replica; the seeds are the first voters."""
        settings = self.settings
        voters = []
        if settings.first_start:
            voters = [
                instances.Instance(
                    seed.host, seed.host, settings.peer_port, ''
                )
                for seed in settings.seeds
            ]
        self.state = control_state.ControlState()
        self.replica = control_replica.Replica(
            settings.node_id,
            settings.data_folder,
            voters,
            self.state,
            self.timers,
            zone=settings.zone,
        )
        self.node.replica = self.replica
        self.node.hub.replica = self.replica
        self.node.hub.requests = control_requests.RequestHandler(
            settings.node_id,
            self.replica,
            self.state,
            control_directory.Directory(),
            control_operators.Operators(),
            self.timers,
            self.timers.now_s,
        )
        self.state.on_change(self._take_state)
        self._repair = control_repair.Repair(
            self.replica,
            self._disk_nodes,
            self.timers,
            2 * settings.tolerated_losses + 1,
        )
        self._executor = placement.Executor(
            self.node.backends,
            self.timers,
            leads=lambda: self.node.leads,
            fence=lambda: self.replica.term,
            document=lambda: self.node.document,
            order=self.engines.order_layers,
        )

    def _take_state(self):
        part = self.state.part('document')
        if part.version > self.node.document_version:
            self.node.take_document(part.version, part.content)

    def _disk_nodes(self):
        return [
            control_repair.Candidate(
                record.node_id,
                record.status.identity,
                record.status.host,
                record.status.port,
            )
            for record in self.node.hub.records()
            if record.status.identity
        ]

    async def start(self):
        """Listen on all addresses and begin the periodic work."""
        settings = self.settings
        await self.engines.start()
        if self.replica is not None:
            await self.replica.start()
            self._tasks += [
                asyncio.ensure_future(self._repair.run()),
                asyncio.ensure_future(self._executor.run()),
            ]
        await self.node.start()
        self._tasks.append(asyncio.ensure_future(self.freshness.run()))
        self.timers.every(EXPIRE_S, self.node.backends.expire)
        self.dispatcher.start()
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
        site = web.TCPSite(runner, address.host, address.port, backlog=512)
        await site.start()
        self._runners.append(runner)
        return site

    def _ready_application(self):
        async def ready(request):
            reason = self._unready_reason()
            return web.json_response(
                {'reason': reason}, status=503 if reason else 200
            )

        app = web.Application()
        app.router.add_get('/v1/readiness', ready)
        return app

    def _unready_reason(self):
        if self.drain.draining:
            return 'draining'
        if self.node.document is None:
            return 'no configuration yet'
        if self.freshness.age_s > READY_AGE_S:
            return 'control is out of reach'
        return ''

    def _metrics_application(self):
        async def render(request):
            return web.Response(text=self.metrics.render())

        async def show_status(request):
            found = mesh_status.of_node(self.node, self.freshness)
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
        self.node.draining = True
        handing_over = None
        if self.replica is not None:
            handing_over = asyncio.ensure_future(self._hand_over())
        await self.drain.run(
            self._refuse_callers,
            self._bounds.stop_ms / 1000 - STOP_MARGIN_S,
            notice_s=NOTICE_S,
        )
        if handing_over is not None:
            handing_over.cancel()

    async def _refuse_callers(self):
        """Close the listening socket and the connections that are idle.

        A request that came on a kept connection after this would have less
        time than it may need.
        """
        await self._front_site.stop()
        left_s = self._bounds.stop_ms / 1000 - STOP_MARGIN_S - NOTICE_S
        for connection in self._front_runner.server.connections:
            if self.front.is_busy(connection):
                # Ends after the answer that is on its way.
                self._closing.append(
                    asyncio.ensure_future(connection.shutdown(left_s))
                )
            else:
                connection.force_close()

    async def _hand_over(self):
        try:
            await self.replica.transfer_leadership()
        except errors.PimentowalkError as error:
            LOG.info(
                'leadership not handed over: %s',
                error,
                extra=logs.fields(step='stop'),
            )

    async def close(self):
        """Close connections and files."""
        await core_timers.cancel_all(self._tasks + self._closing)
        for runner in self._runners:
            await runner.cleanup()
        await self.node.stop()
        if self.replica is not None:
            await self.replica.abort()
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


async def serve(settings_path):
    """Run a gateway until a signal stops it."""
    settings, bounds = gateway_settings.load(settings_path)
    logs.configure(
        settings.name,
        settings.log_level,
        logs.BoundedHandler(sys.stdout.fileno()),
    )

    seeds = SeedFile(settings_path, settings.seeds)
    gateway = Gateway(settings, bounds, seeds.read)
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
