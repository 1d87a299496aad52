"""Carry out the plan at the leader of control."""

import asyncio
import logging

import attrs

from pimentowalk.core import errors
from pimentowalk.core import logs
from pimentowalk.placement import planner

LOG = logging.getLogger(__name__)

PERIOD_S = 0.25
# Changes of servers are looked for this often. A layer without a server stops
# its zone, so that a quarter of a second more is worth many streams.
POLL_S = 0.05
# A new leader first hears of the servers that announced themselves
# elsewhere, so that it does not plan for half of them.
SETTLE_S = 1.0
# At the first start servers announce themselves over one period.
FIRST_SETTLE_S = 2.0
# A server that did not confirm an order within this time, besides the time
# to load, is asked for its state and may be ordered again.
CONFIRM_S = 2.0
# A suspicion may be withdrawn at once; a move follows if the gap lasts this
# long.
MOVE_AFTER_S = 0.3
# A server that left does not come back, but its replacement may join just
# after it: within 20 ms where servers are released.
DEPARTED_MOVE_AFTER_S = 0.1
# Load times are longer while others load.
LOAD_MARGIN = 1.5
# A server that refused an order is ordered again after this time.
FAILED_PAUSE_S = 1.0


@attrs.define
class Order:
    """An order that was given and may not be in effect yet."""

    service: str
    assignment: planner.Assignment
    born_ms: int
    due_s: float


class Executor:
    """Compare what servers hold with the plan, and order the difference.

    `streams(server_id)` returns how many requests pass through a server.
    `order(backend, assignment, fence, preempt=...)` gives an order; it
    raises PimentowalkError if the order was refused or its outcome is
    unknown. A server that gives up layers for a missing one does not wait
    for the streams that pass through it: one whose node is frozen would
    hold it for as long as its caller waits.
    """

    def __init__(
        self, table, timers, *, leads, fence, document, order, streams
    ):
        self._table = table
        self._timers = timers
        self._leads = leads
        self._fence = fence
        self._document = document
        self._order = order
        self._streams = streams
        self._orders = {}
        self._tasks = set()
        self._led_since_s = None
        self._gap_since_s = {}
        self._checked_s = float('-inf')
        self._checked_generation = None
        self._started_s = timers.now_s()

    async def run(self):
        """Check until cancelled."""
        while True:
            await self._timers.sleep(POLL_S)
            if not self._leads():
                self._led_since_s = None
                self._orders.clear()
                continue
            now_s = self._timers.now_s()
            if self._led_since_s is None:
                self._led_since_s = now_s
            if now_s - self._led_since_s < SETTLE_S:
                continue
            if now_s - self._started_s < FIRST_SETTLE_S:
                continue
            if self._is_due(now_s):
                self._checked_s = now_s
                self._checked_generation = self._table.generation
                self._check(now_s)

    def _is_due(self, now_s):
        """Return whether servers changed, or time calls for a check."""
        return (
            self._checked_generation != self._table.generation
            or now_s - self._checked_s >= PERIOD_S
            or any(
                now_s - since_s < MOVE_AFTER_S + POLL_S
                for since_s in self._gap_since_s.values()
            )
        )

    def _check(self, now_s):
        document = self._document()
        if document is None:
            return
        for service in document.services.values():
            if service.engine is not None:
                self._check_service(service, now_s)

    def _check_service(self, service, now_s):
        backends = {b.server_id: b for b in self._table.usable(service.name)}
        self._settle(service.name, backends, now_s)
        holders = [self._holder(b) for b in backends.values()]
        assignments = planner.plan(holders, service.engine)
        gap = self._has_lasting_gap(service.name, assignments, backends, now_s)
        for assignment in assignments:
            backend = backends[assignment.server_id]
            if backend.layer_count and not gap:
                continue
            if assignment.server_id in self._orders:
                continue
            self._give(backend, assignment, service.engine, now_s)

    def _has_lasting_gap(self, name, assignments, backends, now_s):
        moves = any(backends[a.server_id].layer_count for a in assignments)
        if not moves:
            self._gap_since_s.pop(name, None)
            return False
        since_s = self._gap_since_s.setdefault(name, now_s)
        is_suspicion = self._table.has_suspects(name)
        wait_s = MOVE_AFTER_S if is_suspicion else DEPARTED_MOVE_AFTER_S
        return now_s - since_s >= wait_s

    def _settle(self, service_name, backends, now_s):
        """Drop orders that are in effect, overdue or pointless."""
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

    def _holder(self, backend):
        order = self._orders.get(backend.server_id)
        first, end = backend.first_layer, backend.end_layer
        if order is not None:
            first = order.assignment.first_layer
            end = order.assignment.end_layer
        return planner.Holder(
            backend.server_id,
            backend.zone,
            backend.accelerator,
            first,
            end,
            self._streams(backend.server_id),
        )

    def _give(self, backend, assignment, engine, now_s):
        size = assignment.end_layer - assignment.first_layer
        load_s = engine.load_s * size / engine.total_layers
        self._orders[backend.server_id] = Order(
            backend.service,
            assignment,
            backend.born_ms,
            now_s + load_s * LOAD_MARGIN + CONFIRM_S,
        )
        task = asyncio.ensure_future(self._give_order(backend, assignment))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _give_order(self, backend, assignment):
        fields = logs.fields(
            step='placement',
            peer=backend.address,
            server=backend.server_id,
            layers=f'{assignment.first_layer}-{assignment.end_layer}',
            held=f'{backend.first_layer}-{backend.end_layer}',
            fence=self._fence(),
        )
        try:
            await self._order(
                backend,
                assignment,
                self._fence(),
                preempt=backend.layer_count > 0,
            )
        except errors.PimentowalkError as error:
            LOG.warning('order failed: %s', error, extra=fields)
            order = self._orders.get(backend.server_id)
            if order is not None:
                order.due_s = self._timers.now_s() + FAILED_PAUSE_S
        else:
            LOG.info('order given', extra=fields)
