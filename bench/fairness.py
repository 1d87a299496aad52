"""Measure fairness and the wait of short work at one head.

The queue, head and stage are the real code; the engine and the clock are
simulated, so that a run depends on its seed only. Run it with
`python -m bench.fairness`; it prints JSON lines.
"""

import asyncio
import heapq
import itertools
import random
import types

import attrs
import defopt

from bench import common
from pimentowalk.agent import engine_client
from pimentowalk.agent import head
from pimentowalk.agent import node
from pimentowalk.agent import sequences
from pimentowalk.agent import stage
from pimentowalk.core import timers
from pimentowalk.topology import contracts
from pimentowalk.wire import messages

PLACES = 16
STEP_S = 0.02
PREFILL_S_PER_TOKEN = 0.0001
CAPACITY_TOKENS_PER_S = PLACES / STEP_S
LAYERS = 8
PROMPT_TOKENS = 40
# Shares of the offered load. All accounts have the same weight, and at
# three times the capacity even the smallest offers more than its share.
OFFERED = (1, 1, 1, 1, 1, 2, 2, 3, 4, 5)
OVERLOAD = 3.0
# Relative to the capacity, and with the reserve in percent: short work that
# the default reserve can hold, more than it can hold, and a larger reserve.
SHORT_CASES = ((0.15, 25), (0.3, 25), (0.3, 50))
LONG_LOAD = 1.0
CHAIN = [messages.StageAddress('agent', 1, '127.0.0.1', 1, 0, LAYERS)]
SETTLE_TURNS = 4


class Clock(timers.TimerService):
    """Simulated time."""

    def __init__(self):
        self.time_s = 0.0

    def now_s(self):
        """Return the simulated time."""
        return self.time_s


class Engine:
    """A batching engine: one token of each sequence in every step."""

    def __init__(self):
        self.hello = engine_client.EngineHello(
            'model', '1', [], 0, LAYERS, LAYERS, PLACES, CAPACITY_TOKENS_PER_S
        )
        self.last_hello = self.hello
        self.pending = []
        self.lengths = {}
        self.prefill_tokens = 0

    def open(self, sequence, **fields):
        """Note how long the answer will be."""
        self.lengths[sequence] = int(fields['prompt'])
        self.prefill_tokens += PROMPT_TOKENS

    def step(self, item):
        """Queue a step for the next batch."""
        self.pending.append(item)

    def close(self, sequence):
        """Forget a sequence."""
        self.lengths.pop(sequence, None)

    def begin(self):
        """Take the next batch; return its items and its time."""
        items, self.pending = self.pending, []
        prefill_s = self.prefill_tokens * PREFILL_S_PER_TOKEN
        self.prefill_tokens = 0
        return items, STEP_S + prefill_s

    def results(self, items):
        """Return the results of a batch."""
        return [
            {
                'sequence': item['sequence'],
                'index': item['index'],
                'token': 1,
                'text': '',
                'end': item['index'] + 1 >= self.lengths[item['sequence']],
            }
            for item in items
            if item['sequence'] in self.lengths
        ]


@attrs.define
class Request:
    """One request and what became of it."""

    account: str
    arrives_s: float
    tokens: int
    admitted_s: float | None = None
    refused: bool = False


class Simulation:
    """One head with one queue policy under a list of requests."""

    def __init__(self, policy, requests, reserve):
        self.clock = Clock()
        self.engine = Engine()
        self.requests = {}
        self.served = dict.fromkeys((r.account for r in requests), 0)
        self.generated = 0
        self._order = itertools.count()
        self._events = []
        self._computing = False
        for request in requests:
            self._at(request.arrives_s, lambda r=request: self._open(r))
        self._build(
            contracts.Service(
                'service', queue_policy=policy, short_reserve_percent=reserve
            )
        )

    def _build(self, service):
        own = node.Identity('agent', 1, 'service')
        records = sequences.RequestRecords(self.clock)
        events = types.SimpleNamespace(
            local_tokens=lambda tokens: self.head.on_tokens(tokens),
            stage_failed=lambda failure: self.head.on_failed(failure),
        )
        peers = types.SimpleNamespace(to_peer=self._receive)
        gate = types.SimpleNamespace(
            refusal_code=lambda frame: '',
            is_suspect=lambda fingerprint: False,
            may_admit=lambda record, attempt: True,
        )
        self.stage = stage.StageRole(
            own, self.engine, peers, records, self.clock, events
        )
        self.head = head.HeadRole(
            own, self.stage, peers, records, self.clock, gate
        )
        self.head.queue.limits = attrs.evolve(
            self.head.queue.limits, max_running=PLACES
        )
        self.head.configure(service)

    def _at(self, time_s, action):
        heapq.heappush(self._events, (time_s, next(self._order), action))

    def _open(self, request):
        request_id = len(self.requests).to_bytes(16, 'big')
        self.requests[request_id] = request
        self.head.expire()
        self.head.open(
            None,
            messages.OpenAttempt(
                request_id=request_id,
                attempt=1,
                account=request.account,
                service='service',
                model='model',
                version='1',
                adapter='',
                prompt=str(request.tokens),
                generated=[],
                max_tokens=request.tokens,
                seed=0,
                temperature=0.0,
                predicted_tokens=PROMPT_TOKENS + request.tokens,
                deadline_ms=0,
                weight=1.0,
                fingerprint=0,
                scope_version=0,
                chain=CHAIN,
            ),
        )

    def _receive(self, connection, item):
        request = self.requests[item.request_id]
        if isinstance(item, messages.Token):
            self.served[request.account] += 1
            self.generated += 1
        elif item.state == messages.AttemptState.ADMITTED:
            request.admitted_s = self.clock.now_s()
            self.served[request.account] += PROMPT_TOKENS
        elif item.state == messages.AttemptState.REFUSED:
            request.refused = True

    def _compute(self):
        if self._computing or not self.engine.pending:
            return
        items, duration_s = self.engine.begin()
        self._computing = True
        end_s = self.clock.now_s() + duration_s
        self._at(end_s, lambda: self._computed(items))

    def _computed(self, items):
        self._computing = False
        self.stage.on_results(self.engine.results(items))

    async def run(self, duration_s):
        """Run for a simulated time."""
        while self._events and self._events[0][0] <= duration_s:
            time_s, _, action = heapq.heappop(self._events)
            self.clock.time_s = time_s
            action()
            for _ in range(SETTLE_TURNS):
                await asyncio.sleep(0)
            self._compute()
        await self.head.stop()


def arrivals(chance, account, tokens_per_s, duration_s, tokens):
    """Return Poisson arrivals that ask for this many tokens a second.

    `tokens(chance)` draws the length of an answer, of which the mean is
    `tokens.mean`.
    """
    gap_s = tokens.mean / tokens_per_s
    time_s = chance.expovariate(1 / gap_s)
    while time_s < duration_s:
        yield Request(account, time_s, tokens(chance))
        time_s += chance.expovariate(1 / gap_s)


@attrs.frozen
class Uniform:
    """Lengths drawn uniformly between two bounds."""

    low: int
    high: int

    @property
    def mean(self):
        """Return the mean length."""
        return (self.low + self.high) / 2

    def __call__(self, chance):
        return chance.randint(self.low, self.high)


SHORT = Uniform(10, 110)
MIXED = Uniform(20, 300)
LONG = Uniform(2000, 4000)


def jain(values):
    """Return Jain's index: 1 if all are equal, 1/n if one has all.

    >>> jain([2, 2]), jain([1, 0])
    (1.0, 0.5)
    """
    return sum(values) ** 2 / (len(values) * sum(v * v for v in values))


def simulate(policy, requests, duration_s, reserve=25):
    """Return the simulation after a run over fresh copies."""
    copies = [attrs.evolve(request) for request in requests]
    simulation = Simulation(policy, copies, reserve)
    asyncio.run(simulation.run(duration_s))
    return simulation


def waits(simulation, account):
    """Return the waits in the queue of admitted requests of an account."""
    return [
        request.admitted_s - request.arrives_s
        for request in simulation.requests.values()
        if request.account == account and request.admitted_s is not None
    ]


def equal_accounts(chance, duration_s):
    """Return requests of equal accounts at three times the capacity."""
    unit = OVERLOAD * CAPACITY_TOKENS_PER_S / sum(OFFERED)
    return [
        request
        for number, share in enumerate(OFFERED)
        for request in arrivals(
            chance, f'account-{number}', share * unit, duration_s, MIXED
        )
    ]


def measure_shares(policy, seed, duration_s):
    """Measure Jain's index and the wait of an account with little work."""
    chance = random.Random(seed)
    requests = equal_accounts(chance, duration_s)
    requests += arrivals(
        chance, 'light', 0.02 * CAPACITY_TOKENS_PER_S, duration_s, MIXED
    )
    simulation = simulate(policy, requests, duration_s)
    served = [
        cost for name, cost in simulation.served.items() if name != 'light'
    ]
    light = [r for r in requests if r.account == 'light']
    light_waits = waits(simulation, 'light')
    common.emit(
        'fairness_shares',
        policy=policy,
        seed=seed,
        simulated_s=duration_s,
        overload=OVERLOAD,
        accounts=len(OFFERED),
        jain_index=round(jain(served), 4),
        least_served=min(served),
        most_served=max(served),
        used_share=round(
            simulation.generated / (CAPACITY_TOKENS_PER_S * duration_s), 3
        ),
        light_requests=len(light),
        light_admitted=len(light_waits),
        light_wait_p50_s=round(common.percentile(light_waits, 50), 3),
        light_wait_p95_s=round(common.percentile(light_waits, 95), 3),
    )
    return jain(served)


def measure_short(policy, seed, duration_s, load, reserve, *, with_long):
    """Measure the wait of short work beside long jobs and without."""
    chance = random.Random(seed)
    requests = list(
        arrivals(
            chance,
            'short',
            load * CAPACITY_TOKENS_PER_S,
            duration_s,
            SHORT,
        )
    )
    if with_long:
        requests += arrivals(
            chance,
            'long',
            LONG_LOAD * CAPACITY_TOKENS_PER_S,
            duration_s,
            LONG,
        )
    simulation = simulate(policy, requests, duration_s, reserve)
    short = waits(simulation, 'short')
    result_s = common.percentile(short, 95)
    common.emit(
        'fairness_short',
        policy=policy,
        seed=seed,
        simulated_s=duration_s,
        long_jobs=with_long,
        short_load=load,
        short_reserve_percent=reserve,
        short_requests=sum(r.account == 'short' for r in requests),
        short_admitted=len(short),
        short_wait_p50_s=round(common.percentile(short, 50), 3),
        short_wait_p95_s=round(result_s, 3),
        used_share=round(
            simulation.generated / (CAPACITY_TOKENS_PER_S * duration_s), 3
        ),
    )
    return result_s


def main(*, seed: int = 1, duration_s: float = 300.0):
    """Print the measurements of both policies as JSON lines.

    :param seed: seed of the arrivals
    :param duration_s: simulated time of each run
    """
    for policy in ('fifo', 'fair'):
        measure_shares(policy, seed, duration_s)
    for load, reserve in SHORT_CASES:
        for policy in ('fifo', 'fair'):
            for with_long in (False, True):
                measure_short(
                    policy,
                    seed,
                    duration_s,
                    load,
                    reserve,
                    with_long=with_long,
                )


if __name__ == '__main__':
    defopt.run(main)
