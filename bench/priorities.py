"""Measure a burst of the least urgent kind of streams at full load.

Real streams are admitted at several gateways, in virtual time, by one of the
admission orders; servers are stand-ins with a capacity in tokens. All orders
get the same arrivals. Run it with `python -m bench.priorities`; it prints JSON
lines.
"""

import asyncio
import collections
import heapq
import itertools
import random
import sys
import types

import attrs
import defopt

from bench import common
from bench import virtual_time
from pimentowalk.admission import account_shares
from pimentowalk.admission import room
from pimentowalk.core import activity
from pimentowalk.core import errors
from pimentowalk.core import metrics
from pimentowalk.dispatch import stream
from pimentowalk.dispatch import transport
from pimentowalk.membership import backends as membership
from pimentowalk.routing import hops
from pimentowalk.routing import outcomes
from pimentowalk.routing import pace_state
from pimentowalk.routing import work
from pimentowalk.topology import backends
from pimentowalk.topology import documents

SEED = 20261206
SEEDS = 3
ORDERS = (
    'overdue_last',
    'strict',
    'weighted',
    'earliest_deadline',
    'headroom',
)
GATEWAYS = 8
SERVERS = 12
REPORT_PERIOD_S = 0.5
WARM_UP_S = 8.0
BURST_S = 5.0
# Streams are measured from the begin of the burst until some time after it.
MEASURED_S = 10.0
BURST_FACTOR = 2.2
FIRST_EVENT_S = 0.1
EVENT_S = 0.05
SAMPLE_S = 0.05
# The load of the reservations that servers are filled to, without the burst.
FULL_LOAD = 1.0
# A server with more than this in reservations queues streams by urgency.
SERVER_QUEUE_SHARE = 1.4
RETRY_AFTER_S = (1.0, 5.0)
RETRY_SPREAD_S = 0.3


@attrs.frozen
class Kind:
    """A kind of streams."""

    rate_per_s: float
    priority: int
    objective_s: float
    prompt_tokens: int
    events: int

    @property
    def held_s(self):
        """Return how long a stream of mean length holds its memory."""
        return FIRST_EVENT_S + EVENT_S * self.events

    @property
    def tokens(self):
        """Return the reservation of a stream."""
        return self.prompt_tokens + 4 * self.events


KINDS = (
    Kind(64.9, 0, 0.5, 800, 43),
    Kind(34.3, 1, 0.5, 714, 66),
    Kind(21.3, 2, 1.0, 800, 66),
)
LEAST_URGENT = KINDS[-1]
USUAL_TOKENS = sum(k.rate_per_s * k.held_s * k.tokens for k in KINDS)


@attrs.frozen
class Case:
    """One run of an order on the arrivals of a seed."""

    order: str
    burst: float = BURST_FACTOR
    load: float = FULL_LOAD
    seed: int = SEED
    gateways: int = GATEWAYS

    @property
    def capacity_tokens(self):
        """Return the memory of one server."""
        limit = SERVERS * stream.MAX_RESERVED_SHARE
        return USUAL_TOKENS / self.load / limit


@attrs.define
class Result:
    """Outcomes by priority; `refusals` counts first and second ones."""

    requests: collections.Counter = attrs.field(factory=collections.Counter)
    in_time: collections.Counter = attrs.field(factory=collections.Counter)
    refusals: collections.Counter = attrs.field(factory=collections.Counter)
    refused_after_s: list = attrs.field(factory=list)
    used_shares: list = attrs.field(factory=list)

    def share(self, *priorities):
        """Return the share of the requests of priorities that are in time."""
        chosen = priorities or [kind.priority for kind in KINDS]
        requests = sum(self.requests[p] for p in chosen)
        return sum(self.in_time[p] for p in chosen) / max(requests, 1)

    def used_share(self):
        """Return how full the servers are while a stream waits."""
        samples = self.used_shares or [1.0]
        return sum(samples) / len(samples)


class Server:
    """A server that holds reservations and queues the rest by urgency."""

    def __init__(self, number, case):
        self.limit_tokens = case.capacity_tokens * SERVER_QUEUE_SHARE
        self.tokens = 0
        self._queue = []
        self._serials = itertools.count()
        self.backend = backends.Backend(
            f'i-{number}', 100, 5, 'svc', f'10.0.0.{number}', 80, 'z1',
            accelerator='card', slots=96, first_layer=0, end_layer=8,
        )  # fmt: skip

    async def begin(self, priority, tokens):
        """Wait until the reservation fits."""
        if self._queue or self.tokens + tokens > self.limit_tokens:
            begun = asyncio.get_running_loop().create_future()
            entry = priority, next(self._serials), tokens, begun
            heapq.heappush(self._queue, entry)
            await begun
        else:
            self.tokens += tokens

    def end(self, tokens):
        """Free a reservation."""
        self.tokens -= tokens
        while self._queue:
            _, _, wanted, begun = self._queue[0]
            if self.tokens + wanted > self.limit_tokens:
                return
            heapq.heappop(self._queue)
            self.tokens += wanted
            begun.set_result(None)


class SimulatedStream(stream.StreamRun):
    """A stream that holds memory at a stand-in server."""

    first_s = None

    async def _try_target(self):
        dispatcher, call = self._dispatcher, self._call
        server = dispatcher.servers[self._target.backend.server_id]
        ids = self._target.server_ids
        dispatcher.in_flight.begin(ids, self._tokens)
        self._record_begin()
        began_s = dispatcher.timers.now_s()
        try:
            await server.begin(call.priority, self._tokens)
            await asyncio.sleep(FIRST_EVENT_S)
            self.first_s = dispatcher.timers.now_s()
            await asyncio.sleep(call.held_s - FIRST_EVENT_S)
            server.end(self._tokens)
        finally:
            dispatcher.in_flight.end(ids, self._tokens)
            self._record_held(dispatcher.timers.now_s() - began_s)


def _engine(case):
    layer_bytes = 1000.0
    memory_mb = case.capacity_tokens * layer_bytes * 8 / 1e6
    return documents.Engine(
        'model',
        total_layers=8,
        layer_mb=0.0,
        kv_token_bytes=layer_bytes * 8,
        load_s=1.0,
        accelerators={'card': documents.Accelerator('card', memory_mb)},
    )


def _queue(case, timers):
    if case.order != 'headroom':
        return room.AdmissionQueue(timers, case.order)
    queue = room.AdmissionQueue(timers)
    queue.set_priorities({kind.priority for kind in KINDS})
    return queue


def _gateway(number, case, timers, servers):
    now_s = timers.now_s
    table = membership.BackendTable(now_s, 0.0)
    for server in servers:
        table.apply(server.backend)
    in_flight = work.InFlightTracker(f'n{number}', now_s)
    in_flight.set_engines({'svc': _engine(case)})
    queue = _queue(case, timers)
    return types.SimpleNamespace(
        timers=timers,
        zone='z1',
        servers={server.backend.server_id: server for server in servers},
        limits=transport.ResponseLimits(),
        node=types.SimpleNamespace(backends=table, live_nodes=case.gateways),
        metrics=metrics.Metrics('bench'),
        queue=queue,
        admission=types.SimpleNamespace(of_service=lambda _: queue),
        account_shares=account_shares.AccountShares(now_s),
        pace=pace_state.OFF,
        in_flight=in_flight,
        paths=hops.POLICIES.get('cheapest')(
            in_flight,
            random.Random(case.seed + number),
            outcomes.OutcomeTracker(now_s),
        ),
        usable=table.usable,
        pauses=types.SimpleNamespace(remaining_s=lambda _: 0.0),
        paused_ids=lambda _: frozenset(),
        has_pauses=False,
        reject_if_barred=lambda _: None,
    )


def _call(kind, now_s, held_s):
    return types.SimpleNamespace(
        request_id='r',
        account=None,
        received_s=now_s,
        expires_at_s=now_s + 20.0,
        last_event_id=0,
        priority=kind.priority,
        prompt_tokens=kind.prompt_tokens,
        expected_answer_tokens=4 * kind.events,
        activity=activity.Activity(),
        route=types.SimpleNamespace(
            kind=documents.STREAMING,
            is_resumable=True,
            attempts=2,
            objective_s=kind.objective_s,
        ),
        held_s=held_s,
    )


class Simulation:
    """One run; arrivals and lengths do not depend on the order."""

    def __init__(self, case):
        self.case = case
        self.timers = virtual_time.LoopTimers()
        self.servers = [Server(n, case) for n in range(SERVERS)]
        self.gateways = [
            _gateway(n, case, self.timers, self.servers)
            for n in range(case.gateways)
        ]
        self.service = types.SimpleNamespace(name='svc', engine=_engine(case))
        self.result = Result()
        self._turns = itertools.cycle(range(case.gateways))
        self.begin_s = self.timers.now_s() + WARM_UP_S
        self.end_s = self.begin_s + MEASURED_S

    async def run(self):
        """Return the `Result`."""
        period_s = REPORT_PERIOD_S / self.case.gateways
        self.timers.every(period_s, self._exchange)
        self.timers.every(SAMPLE_S, self._sample)
        async with asyncio.TaskGroup() as group:
            for kind in KINDS:
                group.create_task(self._arrive(kind, group))
        return self.result

    def _exchange(self):
        """Deliver the report of the next gateway.

        Gateways that report at the same moment would all choose the same
        server until the next reports.
        """
        report = self.gateways[next(self._turns)].in_flight.report()
        for gateway in self.gateways:
            gateway.in_flight.record_report(report)

    def _sample(self):
        if not self.begin_s <= self.timers.now_s() < self.end_s:
            return
        if not any(len(gateway.queue) for gateway in self.gateways):
            return
        capacity = self.case.capacity_tokens
        shares = [min(1.0, s.tokens / capacity) for s in self.servers]
        self.result.used_shares.append(sum(shares) / len(shares))

    async def _arrive(self, kind, group):
        rng = random.Random(f'{self.case.seed} {kind.priority}')
        peak_per_s = kind.rate_per_s * BURST_FACTOR
        burst_end_s = self.begin_s + BURST_S
        while True:
            await asyncio.sleep(rng.expovariate(peak_per_s))
            now_s = self.timers.now_s()
            if now_s >= self.end_s:
                return
            factor = 1.0
            if kind is LEAST_URGENT and self.begin_s <= now_s < burst_end_s:
                factor = self.case.burst
            # The draws do not depend on the case.
            keep, gateway = rng.random(), rng.choice(self.gateways)
            held_s = FIRST_EVENT_S + EVENT_S * kind.events * rng.uniform(0, 2)
            if keep < factor / BURST_FACTOR:
                caller = self._request(kind, gateway, held_s, rng.random())
                group.create_task(caller)

    async def _request(self, kind, gateway, held_s, draw):
        is_measured = self.timers.now_s() >= self.begin_s
        counts = self.result if is_measured else Result()
        counts.requests[kind.priority] += 1
        rng = random.Random(draw)
        for number in range(2):
            now_s = self.timers.now_s()
            call = _call(kind, now_s, held_s)
            responder = types.SimpleNamespace(started=False)
            run = SimulatedStream(gateway, call, self.service, responder)
            try:
                await run.run()
            except errors.PimentowalkError as error:
                counts.refusals[number] += 1
                counts.refused_after_s.append(self.timers.now_s() - now_s)
                wait_s = error.retry_after_s or rng.uniform(*RETRY_AFTER_S)
                await asyncio.sleep(wait_s + rng.uniform(0, RETRY_SPREAD_S))
                continue
            is_in_time = run.first_s - now_s <= kind.objective_s
            counts.in_time[kind.priority] += is_in_time
            return


def measure(case):
    """Return the `Result` of a case."""

    async def simulate():
        return await Simulation(case).run()

    return virtual_time.run(simulate())


def measure_seeds(order, burst, load=FULL_LOAD, gateways=GATEWAYS):
    """Return the sum of the results of all seeds."""
    total = Result()
    for seed in range(SEED, SEED + SEEDS):
        one = measure(Case(order, burst, load, seed, gateways))
        total.requests += one.requests
        total.in_time += one.in_time
        total.refusals += one.refusals
        total.refused_after_s += one.refused_after_s
        total.used_shares += one.used_shares
    return total


def main(*, load: float = FULL_LOAD, gateways: int = GATEWAYS):
    """Compare the orders with and without the burst.

    :param load: load of the servers without the burst
    :param gateways: number of gateways
    """
    for order, burst in itertools.product(ORDERS, (1.0, BURST_FACTOR)):
        result = measure_seeds(order, burst, load, gateways)
        waits_s = result.refused_after_s
        common.emit(
            'priorities',
            order=order,
            burst=burst,
            load=load,
            gateways=gateways,
            seeds=SEEDS,
            shares=[round(result.share(k.priority), 3) for k in KINDS],
            all=round(result.share(), 3),
            used=round(result.used_share(), 3),
            refused=result.refusals[0],
            refused_again=result.refusals[1],
            refusal_p99_s=round(common.percentile(waits_s, 99), 3),
        )
    return 0


if __name__ == '__main__':
    sys.exit(defopt.run(main))
