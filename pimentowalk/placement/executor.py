"""Executes the placement plan on the control leader."""

import asyncio
import logging

import attrs

from pimentowalk.core import errors
from pimentowalk.core import logs
from pimentowalk.placement import planner
from pimentowalk.placement import tiling

LOG = logging.getLogger(__name__)

CHECK_PERIOD_S = 0.25
# Period of the check for changed servers. A layer without a server stops its
# zone, so waiting for CHECK_PERIOD_S instead would interrupt many streams.
POLL_S = 0.05
# A new leader waits until other nodes have forwarded the announcements of
# their servers. Otherwise it would plan for a part of the servers.
SETTLE_S = 1.0
# After a start, servers announce themselves within one period.
FIRST_SETTLE_S = 2.0
# Ranges of a first plan that lacks some servers do not align with those of
# the rest. While no server holds layers, nothing is served anyway, and the
# first plan waits until none has joined for this long: a server that gets no
# answer from one node calls the next one a second later.
JOINED_QUIET_S = 1.3
MAX_FIRST_SETTLE_S = 6.0
# An order that is not in effect after the load time plus this is dropped, and
# may be given again.
CONFIRM_TIMEOUT_S = 2.0
# A suspicion may be withdrawn soon, so a loaded server is moved only if the
# gap that it closes has lasted this long.
SUSPECT_MOVE_AFTER_S = 0.3
# A server that has left does not return, but its replacement may join soon
# after: within 20 ms in a rolling release.
DEPARTED_MOVE_AFTER_S = 0.1
# A server that crashed is back within a few seconds, and after a start not all
# servers are known at once. After this time, a zone that lacks layers is
# planned without the servers that it has lost or waits for.
SHORT_ZONE_AFTER_S = 6.0
# The same where the servers of all zones together lack layers. Nothing is
# served then, which costs more than memory for requests.
OUTAGE_AFTER_S = 3.0
# Loads take longer while other servers load as well.
LOAD_MARGIN = 1.5
# A failed order is given again after this time.
FAILED_ORDER_PAUSE_S = 1.0


class ObsoleteOrder(errors.Conflict):
    """Report that an order was not sent, since it is not needed any more."""


@attrs.define
class Order:
    """An order that was given but may not be in effect yet."""

    service: str
    assignment: planner.Assignment
    born_ms: int
    due_s: float


class Executor:
    """Order servers to load the layer ranges of the plan.

    `streams(server_id)` returns how many requests run through a server.
    `order(backend, assignment, fence, preempt=..., validate=...)` sends an
    order, unless `validate()` raises by then: since the plan was made, the
    process may have been suspended beyond its lease, or the gap may have
    closed. It raises PimentowalkError if the order was rejected or its outcome
    is unknown. A server that gives up layers for missing ones is preempted
    instead of drained: a stream of a frozen node would delay it until the
    caller of the stream gives up.
    """

    def __init__(
        self, table, timers, *, is_leader, fence, document, order, streams
    ):
        self._table = table
        self._timers = timers
        self._is_leader = is_leader
        self._fence = fence
        self._document = document
        self._order = order
        self._streams = streams
        self._orders = {}
        self._tasks = set()
        self._leader_since_s = None
        self._gap_since_s = {}
        self._short_since_s = {}
        self._checked_s = float('-inf')
        self._checked_generation = None
        self._started_s = timers.now_s()
        self._has_first_plan = False
        self._known_servers = 0
        self._joined_s = self._started_s

    async def run(self):
        """Check the placement periodically until cancelled."""
        while True:
            await self._timers.sleep(POLL_S)
            try:
                self._poll(self._timers.now_s())
            except Exception:
                # An entry that the planner cannot handle must not end the
                # placement of all services for good.
                LOG.exception(
                    'placement check failed',
                    extra=logs.fields(step='placement'),
                )

    def _poll(self, now_s):
        leads = self._leads_settled(now_s)
        waits = self._waits_for_servers(now_s)
        if waits or now_s - self._started_s < FIRST_SETTLE_S:
            return
        if leads and self._is_due(now_s):
            self._checked_s = now_s
            self._checked_generation = self._table.generation
            self._check(now_s)
        elif not leads and now_s - self._checked_s >= CHECK_PERIOD_S:
            self._checked_s = now_s
            self._observe(now_s)

    def _waits_for_servers(self, now_s):
        """Return whether more servers may join before the first plan."""
        if self._has_first_plan:
            return False
        records = self._table.records()
        if len(records) != self._known_servers:
            self._known_servers = len(records)
            self._joined_s = now_s
        is_quiet = now_s - self._joined_s >= JOINED_QUIET_S
        is_late = now_s - self._started_s >= MAX_FIRST_SETTLE_S
        has_layers = any(record.backend.layer_count for record in records)
        is_settled = bool(records) and is_quiet
        self._has_first_plan = is_settled or is_late or has_layers
        return not self._has_first_plan

    def _leads_settled(self, now_s):
        """Return whether this node has led for long enough to plan."""
        if not self._is_leader():
            self._leader_since_s = None
            self._orders.clear()
            return False
        if self._leader_since_s is None:
            self._leader_since_s = now_s
        return now_s - self._leader_since_s >= SETTLE_S

    def _is_due(self, now_s):
        """Return whether the placement should be checked now."""
        return (
            self._checked_generation != self._table.generation
            or now_s - self._checked_s >= CHECK_PERIOD_S
            or any(
                now_s - since_s < SUSPECT_MOVE_AFTER_S + POLL_S
                for since_s in self._gap_since_s.values()
            )
        )

    def _engine_services(self):
        document = self._document()
        services = document.services.values() if document else ()
        return [service for service in services if service.engine is not None]

    def _check(self, now_s):
        for service in self._engine_services():
            self._check_service(service, now_s)

    def _observe(self, now_s):
        """Record since when zones lack layers, for the time as a leader."""
        for service in self._engine_services():
            usable = self._table.usable(service.name)
            servers = [
                self._planned_server(backend, service.engine)
                for backend in usable
            ]
            self._short_zones(service, servers, now_s)

    def _check_service(self, service, now_s):
        backends = {b.server_id: b for b in self._table.usable(service.name)}
        self._drop_settled_orders(service.name, backends, now_s)
        servers = [
            self._planned_server(backend, service.engine)
            for backend in backends.values()
        ]
        assignments = planner.plan(
            servers,
            service.engine,
            self._short_zones(service, servers, now_s),
        )
        has_gap = self._has_lasting_gap(
            service.name, assignments, backends, now_s
        )
        for assignment in assignments:
            backend = backends[assignment.server_id]
            if backend.layer_count and not has_gap:
                continue
            if assignment.server_id in self._orders:
                continue
            self._start_order(backend, assignment, service.engine, now_s)

    def _short_zones(self, service, servers, now_s):
        """Return the zones that have lacked layers for a long time.

        A server counts as holding the layers that it was ordered to load.
        """
        total_layers = service.engine.total_layers
        is_outage = 0 in tiling.coverage(servers, total_layers)
        wait_s = OUTAGE_AFTER_S if is_outage else SHORT_ZONE_AFTER_S
        zones = {}
        for server in servers:
            zones.setdefault(server.zone, []).append(server)
        result = set()
        for zone, members in zones.items():
            key = service.name, zone
            missing = tiling.coverage(members, total_layers).count(0)
            if not missing:
                if self._short_since_s.pop(key, None) is not None:
                    self._log_zone('zone holds all layers', key, 0)
                continue
            if key not in self._short_since_s:
                self._short_since_s[key] = now_s
                self._log_zone('zone lacks layers', key, missing)
            if now_s - self._short_since_s[key] >= wait_s:
                result.add(zone)
        return result

    def _log_zone(self, message, key, missing):
        service, zone = key
        LOG.info(
            message,
            extra=logs.fields(
                step='placement', service=service, zone=zone, missing=missing
            ),
        )

    def _has_lasting_gap(self, name, assignments, backends, now_s):
        moves = any(backends[a.server_id].layer_count for a in assignments)
        if not moves:
            self._gap_since_s.pop(name, None)
            return False
        since_s = self._gap_since_s.setdefault(name, now_s)
        is_suspicion = self._table.has_suspects(name)
        wait_s = (
            SUSPECT_MOVE_AFTER_S if is_suspicion else DEPARTED_MOVE_AFTER_S
        )
        return now_s - since_s >= wait_s

    def _drop_settled_orders(self, service_name, backends, now_s):
        """Drop orders that are in effect, overdue or obsolete."""
        for server_id, order in list(self._orders.items()):
            if order.service != service_name:
                continue
            backend = backends.get(server_id)
            if backend is None or backend.born_ms != order.born_ms:
                del self._orders[server_id]
                continue
            wanted = order.assignment
            held = backend.first_layer, backend.end_layer
            in_effect = held == (wanted.first_layer, wanted.end_layer)
            if in_effect or now_s > order.due_s:
                del self._orders[server_id]

    def _planned_server(self, backend, engine):
        order = self._orders.get(backend.server_id)
        first, end = backend.first_layer, backend.end_layer
        if order is not None:
            first = order.assignment.first_layer
            end = order.assignment.end_layer
        return planner.Server(
            backend.server_id,
            backend.zone,
            backend.accelerator,
            min(first, engine.total_layers),
            min(end, engine.total_layers),
            self._streams(backend.server_id),
        )

    def _start_order(self, backend, assignment, engine, now_s):
        size = assignment.end_layer - assignment.first_layer
        load_s = engine.load_s * size / engine.total_layers
        order = self._orders[backend.server_id] = Order(
            backend.service,
            assignment,
            backend.born_ms,
            now_s + load_s * LOAD_MARGIN + CONFIRM_TIMEOUT_S,
        )
        # Read together with the lease: after a change of leaders, the term
        # is that of the next one.
        task = asyncio.ensure_future(
            self._send_order(backend, order, engine, self._fence())
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _validate(self, backend, assignment, engine):
        """Raise PimentowalkError if an order must not be sent any more."""
        if not self._is_leader():
            raise errors.NotLeader(
                'the leadership ended before the order was sent',
                step='place',
                peer=backend.address,
            )
        if backend.layer_count and not self._adds_missing_layer(
            backend, assignment, engine
        ):
            raise ObsoleteOrder(
                'the gap closed before the order was sent',
                step='place',
                peer=backend.address,
            )

    def _adds_missing_layer(self, backend, assignment, engine):
        """Return whether a server would load a layer that its zone lacks."""
        others = [
            self._planned_server(other, engine)
            for other in self._table.usable(backend.service)
            if other.zone == backend.zone
            and other.server_id != backend.server_id
        ]
        copies = tiling.coverage(others, engine.total_layers)
        held = range(backend.first_layer, backend.end_layer)
        loaded = range(assignment.first_layer, assignment.end_layer)
        return any(not copies[layer] for layer in loaded if layer not in held)

    async def _send_order(self, backend, order, engine, fence):
        assignment = order.assignment
        fields = logs.fields(
            step='placement',
            peer=backend.address,
            server=backend.server_id,
            layers=f'{assignment.first_layer}-{assignment.end_layer}',
            held=f'{backend.first_layer}-{backend.end_layer}',
            fence=fence,
        )
        try:
            await self._order(
                backend,
                assignment,
                fence,
                preempt=backend.layer_count > 0,
                validate=lambda: self._validate(backend, assignment, engine),
            )
        except ObsoleteOrder as error:
            LOG.info('order not sent: %s', error, extra=fields)
            if self._orders.get(backend.server_id) is order:
                del self._orders[backend.server_id]
        except errors.PimentowalkError as error:
            LOG.warning('order failed: %s', error, extra=fields)
            order = self._orders.get(backend.server_id)
            if order is not None:
                order.due_s = self._timers.now_s() + FAILED_ORDER_PAUSE_S
        else:
            LOG.info('order given', extra=fields)
