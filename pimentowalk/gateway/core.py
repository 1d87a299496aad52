"""Assemble the parts of a gateway that need no protocol adapter."""

import functools
import logging

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
from pimentowalk.core import tasks
from pimentowalk.core import timers as core_timers
from pimentowalk.dispatch import dispatcher as dispatch
from pimentowalk.dispatch import pacing
from pimentowalk.entry import drain as entry_drain
from pimentowalk.membership import backends as membership
from pimentowalk.mesh import cache_files
from pimentowalk.mesh import departure_log
from pimentowalk.mesh import freshness as mesh_freshness
from pimentowalk.mesh import leader as mesh_leader
from pimentowalk.mesh import node as mesh_node
from pimentowalk.mesh import status as mesh_status
from pimentowalk.placement import executor as placement
from pimentowalk.routing import work
from pimentowalk.topology import instances
from pimentowalk.wire import messages
from pimentowalk.wire import node_messages

LOG = logging.getLogger(__name__)

# A revoked key must not be accepted anywhere after the revocation bound. The
# rest of the bound covers a request that was sent before the lease ended.
LEASE_SHARE = 0.75
# A node is ready only if the leader confirmed its document within this time.
MAX_READY_AGE_S = 3.0
# Client accounts with the most use that have a metric of their own.
SHOWN_ACCOUNTS = 3


class GatewayNode:
    """Run membership, dispatch and, on a node with a data folder, control.

    `engines` is the client for backend servers, `decode(content)` returns
    the document of stored content, and `read_seeds()` returns the seed
    addresses that the settings name at that time. `limits` bounds the
    responses of backend servers, `routing` are the settings of the choice of
    servers.
    """

    def __init__(
        self,
        settings,
        bounds,
        engines,
        *,
        decode,
        read_seeds,
        timers,
        limits=None,
        routing=None,
    ):
        self.settings = settings
        self.bounds = bounds
        self.engines = engines
        self.timers = timers
        self._read_seeds = read_seeds
        self.metrics = core_metrics.Metrics('gateway')
        self.drain = entry_drain.Drain(timers)
        self._tasks = []
        hello = messages.Hello(
            settings.node_id,
            'control',
            identifiers.new_incarnation(),
            settings.zone,
        )
        now_s = timers.now_s
        self.node = mesh_node.MeshNode(
            hello,
            settings.host,
            settings.peer_port,
            timers,
            seeds=self._seeds,
            decode=decode,
            backend_table=membership.BackendTable(
                now_s,
                settings.announcement_period_ms / 1000,
                self._is_named_service,
            ),
            tolerated_losses=settings.tolerated_losses,
        )
        self.client = mesh_leader.LeaderClient(self.node, timers)
        self.freshness = mesh_freshness.Freshness(
            self.node,
            self.client,
            timers,
            bounds.revocation_ms / 1000 * LEASE_SHARE,
        )
        self.crashes = admission_crashes.CrashTracker(now_s, settings.node_id)
        self.node.subscribe(node_messages.CrashNote, self._on_crash_note)
        self.node.on_subscriber(self.crashes.notes)
        self.dispatcher = dispatch.Dispatcher(
            self.node,
            engines,
            timers,
            in_flight=work.InFlightTracker(
                settings.node_id, now_s, lambda: self.node.live_nodes
            ),
            budget=window_budget.WindowBudget(
                now_s,
                window_s=bounds.retry_window_s,
                ratio=bounds.retry_ratio,
                extra=bounds.retry_extra,
                has_restarted=not settings.first_start,
            ),
            crashes=self.crashes,
            metrics=self.metrics,
            zone=settings.zone,
            limits=limits,
            server_pace=routing.server_pace if routing else pacing.OFF,
            refuses_early=bounds.refuse_early,
        )
        self.metrics.gauge(
            'missing_layers', lambda: mesh_status.missing_layers(self.node)
        )
        self.metrics.gauge(
            'barred_traits', lambda: len(self.crashes.active_bars())
        )
        self.metrics.gauge(
            'incomplete_zones', lambda: mesh_status.incomplete_zones(self.node)
        )
        shares = self.dispatcher.account_shares
        self.metrics.gauge('account_reserve', lambda: shares.reserve)
        for place in range(SHOWN_ACCOUNTS):
            self.metrics.gauge(
                f'account_rank_{place + 1}',
                functools.partial(shares.rank_of_largest, place),
            )
        self.replica = None
        if settings.data_folder:
            self._build_control()

    def _on_crash_note(self, body):
        self.crashes.record(body)

    def _seeds(self):
        port = self.settings.peer_port
        return [
            node_messages.ControlAddress(seed.host, seed.host, port)
            for seed in self._read_seeds()
        ]

    def _build_control(self):
        """Create the replica; on the first start, the seeds are the voters."""
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
            first_start=settings.first_start,
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
        self.state.on_change(self._on_state_change)
        self._repair = control_repair.Repair(
            self.replica,
            self._replica_candidates,
            self.timers,
            2 * settings.tolerated_losses + 1,
        )
        self._cache_files = [
            cache_files.ViewFile(
                settings.data_folder, self.node.backends, self.timers
            ),
            cache_files.CrashFile(
                settings.data_folder, self.crashes, self.timers
            ),
        ]
        self.node.departure_log = departure_log.DepartureLog(
            settings.data_folder, self.node.backends, self.timers
        )
        self._executor = placement.Executor(
            self.node.backends,
            self.timers,
            is_leader=lambda: self.node.leads,
            fence=lambda: self.replica.term,
            document=lambda: self.node.document,
            order=self._order_layers,
            streams=self.dispatcher.in_flight.reported_requests,
        )

    def _is_named_service(self, service):
        """Return whether the document has a service, None without one."""
        document = self.node.document
        return service in document.services if document else None

    async def _order_layers(self, backend, assignment, fence, **options):
        """Send an order to a server unless it asked this node for a pause."""
        if self.dispatcher.pauses.is_paused(backend):
            raise errors.Conflict(
                'the server pauses', step='place', peer=backend.address
            )
        await self.engines.order_layers(backend, assignment, fence, **options)

    def _on_state_change(self):
        stored = self.state.part('document')
        if stored.is_withdrawn:
            self.node.withdraw_document(stored.version)
        elif stored.version > self.node.document_version:
            self.node.apply_document(stored.version, stored.content)

    def _replica_candidates(self):
        return [
            control_repair.AvailableInstance(
                record.node_id,
                record.status.identity,
                record.status.host,
                record.status.port,
            )
            for record in self.node.hub.records()
            if record.status.identity
        ]

    async def start(self):
        """Start control and the links, then the periodic tasks."""
        if self.replica is not None:
            await self.replica.start()
            for file in self._cache_files:
                file.load()
                self._start_task(file.run, 'save', file=file.name)
            # They end servers of the file that was saved before.
            self.node.departure_log.load()
            self._start_task(self.node.departure_log.run, 'leave')
            self._start_task(self._repair.run, 'repair')
            self._start_task(self._executor.run, 'placement')
        await self.node.start()
        self._start_task(self.freshness.run, 'freshness')
        self.dispatcher.start()

    def _start_task(self, run, step, **fields):
        self._tasks.append(tasks.start(run, self.timers, step, **fields))

    def unready_reason(self):
        """Return why the node is not ready, empty if it is."""
        if self.drain.draining:
            return 'draining'
        if self.node.document is None:
            return 'no configuration yet'
        if self.freshness.age_s > MAX_READY_AGE_S:
            return 'control is out of reach'
        return ''

    async def transfer_leadership(self):
        """Transfer control leadership to another voter before the stop."""
        self.node.draining = True
        if self.replica is None:
            return
        try:
            await self.replica.transfer_leadership()
        except errors.PimentowalkError as error:
            LOG.info(
                'leadership not transferred: %s',
                error,
                extra=logs.fields(step='stop'),
            )

    async def close(self):
        """Close connections and files."""
        await core_timers.cancel_all(self._tasks)
        await self.node.stop()
        if self.replica is not None:
            await self.replica.abort()
