"""Measure a lunch-hour swing to three times the capacity of the engines.

The daemons and stand-in engines run as processes on loopback. The same
arrivals run under the default policies and the baseline, with and without
the long jobs. Run it with `python -m bench.crest`; it prints JSON lines.
"""

import asyncio
import os
import random
import tempfile
import time

import attrs

from bench import common
from bench import fairness
from bench import path
from tools import demo
from tools import demo_keys
from tools import deployment as deployments
from tools import load

SEED = 20261204
CHAINS = 2
ENGINE_TOKENS_PER_S = 600.0
# Without a fixed time for each iteration and without a prefix cache, the
# bound is exact: each engine runs this many prompt and answer tokens a
# second.
ENGINE = (
    *('--tokens-per-s', ENGINE_TOKENS_PER_S, '--base-s', 0),
    *('--cache-tokens', 0, '--max-running', 8),
)
BOUND_TOKENS_PER_S = CHAINS * ENGINE_TOKENS_PER_S
# A short queue, so that it fills and drains within a run.
QUEUE_REQUESTS = 60
# Offered load of the accounts, relative to each other; all have the same
# weight, and at the crest even the smallest offers more than its share.
OFFERED = (3, 3, 3, 3, 4, 4, 6, 8, 10)
LIGHT = 'light'
LIGHT_REQUESTS_PER_S = 5.0
LOW_LOAD = 0.3
CREST_LOAD = 3.0
LOW_S = 5.0
RISE_S = 1.0
CREST_S = 9.0
FALL_S = 1.0
CREST_BEGIN_S = LOW_S + RISE_S
CREST_END_S = CREST_BEGIN_S + CREST_S
END_S = CREST_END_S + FALL_S
LONG_SHARE = 0.1
PROMPT = 'note about one tyre'
PROMPT_TOKENS = 5
SHORT = fairness.Uniform(3, 9)
LONG = fairness.Uniform(220, 340)
MEAN_COST = (
    PROMPT_TOKENS + LONG_SHARE * LONG.mean + (1 - LONG_SHARE) * SHORT.mean
)
POLICIES = {
    'default': ('fair', 'least_cost'),
    'baseline': ('fifo', 'round_robin'),
}
BIN_S = 0.5


@attrs.define
class Arrival:
    """One request, when it is sent and what became of it."""

    account: str
    at_s: float
    tokens: int
    seed: int
    long: bool = False
    outcome: load.Outcome | None = None

    @property
    def body(self):
        """Return the completion."""
        return {
            'model': demo.MODEL,
            'prompt': PROMPT,
            'max_tokens': self.tokens,
            'seed': self.seed,
            'temperature': 0.8,
        }


def load_at(time_s):
    """Return the offered load relative to the bound.

    >>> load_at(0.0), load_at(10.0)
    (0.3, 3.0)
    """
    up = (time_s - LOW_S) / RISE_S
    down = (END_S - time_s) / FALL_S
    part = min(1.0, max(0.0, min(up, down)))
    return LOW_LOAD + part * (CREST_LOAD - LOW_LOAD)


def arrivals(seed=SEED):
    """Return the requests of all accounts, in order of time."""
    chance = random.Random(seed)
    found = []
    peak = CREST_LOAD * BOUND_TOKENS_PER_S / MEAN_COST / sum(OFFERED)
    for number, offered in enumerate(OFFERED):
        for at_s in times(chance, offered * peak):
            # Thinning: of arrivals at the peak rate, keep the share that
            # the load has at their time.
            if chance.random() * CREST_LOAD < load_at(at_s):
                long = chance.random() < LONG_SHARE
                tokens = LONG(chance) if long else SHORT(chance)
                found.append(
                    Arrival(f'office-{number}', at_s, tokens, 0, long)
                )
    found.extend(
        Arrival(LIGHT, at_s, SHORT(chance), 0)
        for at_s in times(chance, LIGHT_REQUESTS_PER_S)
    )
    found.sort(key=lambda one: one.at_s)
    return [
        attrs.evolve(one, seed=number + 1) for number, one in enumerate(found)
    ]


def times(chance, per_s):
    """Return Poisson arrival times up to the end of the swing."""
    found = []
    at_s = chance.expovariate(per_s)
    while at_s < END_S:
        found.append(at_s)
        at_s += chance.expovariate(per_s)
    return found


class Site(demo.Hjulverk):
    """The example with equal accounts, high limits and chosen policies."""

    async def configure(self, queue_policy, chain_policy):
        """Publish the policies and wait until the nodes have them."""
        for section in self.example.sections():
            if section.startswith('account '):
                self.example.remove_section(section)
        for account in (*self.offices(), LIGHT):
            self.example[f'account {account}'] = {
                'key_sha256': demo_keys.key_sha256(self.key(account)),
                'weight': '1',
                'requests_per_s': '100000',
                'tokens_per_s': '100000000',
            }
        self.service['queue_policy'] = queue_policy
        self.service['chain_policy'] = chain_policy
        self.service['max_queue_requests'] = str(QUEUE_REQUESTS)
        folder = self.folder / 'operator-files' / demo.EXAMPLE
        folder.mkdir(parents=True, exist_ok=True)
        with (folder / 'all.ini').open('w') as file:
            self.example.write(file)
        await deployments.wait_until(
            lambda: path.publish(self, folder), what='the publish'
        )
        await asyncio.sleep(1.0)

    @staticmethod
    def offices():
        """Return the names of the equal accounts."""
        return [f'office-{number}' for number in range(len(OFFERED))]


async def swing(site, session, requests):
    """Send the requests at their times; return when the run began."""
    begin_s = time.monotonic() + 0.1

    async def send(number, one):
        await asyncio.sleep(begin_s + one.at_s - time.monotonic())
        url = site.entries[number % len(site.entries)]
        key = site.key(one.account)
        one.outcome = await load.complete(session, url, key, one.body)

    await load.run_all(send(n, one) for n, one in enumerate(requests))
    return begin_s


def served(one, begin_s, from_s, to_s):
    """Return the tokens of a request that were served in an interval.

    The prompt counts with the first token.
    """
    moments = [moment - begin_s for moment in one.outcome.token_times_s]
    inside = sum(from_s <= moment < to_s for moment in moments)
    if moments and from_s <= moments[0] < to_s:
        inside += PROMPT_TOKENS
    return inside


def first_tokens_ms(requests, from_s, to_s):
    """Return the first-token times of answers asked for in an interval."""
    return [
        one.outcome.first_token_s * 1000
        for one in requests
        if from_s <= one.at_s < to_s and one.outcome.token_times_s
    ]


def summarize(site, requests, begin_s):
    """Return the figures of one run."""
    crest = (CREST_BEGIN_S, CREST_END_S)

    def at_crest(chosen):
        return sum(served(one, begin_s, *crest) for one in chosen)

    complete = [one for one in requests if one.outcome.complete]
    wrong = [r for r in complete if r.outcome.text != site.reference(r.body)]
    shares = [
        at_crest(one for one in complete if one.account == account)
        for account in site.offices()
    ]
    offered = [r for r in requests if crest[0] <= r.at_s < crest[1]]
    cost = sum(r.tokens + PROMPT_TOKENS for r in offered)
    long = sum(r.tokens + PROMPT_TOKENS for r in offered if r.long)
    total = at_crest(complete)
    return {
        'requests': len(requests),
        'wrong': len(wrong),
        'offered_load': cost / CREST_S / BOUND_TOKENS_PER_S,
        'goodput_share': total / CREST_S / BOUND_TOKENS_PER_S,
        'served_tokens': shares,
        'jain_index': fairness.jain(shares),
        'long_offered_share': long / cost,
        'long_served_share': at_crest(r for r in complete if r.long) / total,
        'long_complete': sum(r.long for r in complete),
        **light_and_short(requests, crest),
        **refusals(requests),
    }


def light_and_short(requests, crest):
    """Return the first-token times of the light account and short work."""
    light = [one for one in requests if one.account == LIGHT]
    short = [r for r in requests if not r.long and r.account != LIGHT]
    fields = {}
    for name, chosen in (('light', light), ('short', short)):
        for phase, span in (('low', (0.0, LOW_S)), ('crest', crest)):
            values = first_tokens_ms(chosen, *span)
            sent = sum(span[0] <= r.at_s < span[1] for r in chosen)
            fields[f'{name}_{phase}_sent'] = sent
            fields[f'{name}_{phase}_answered'] = len(values)
            for percent in (50, 95):
                key = f'{name}_{phase}_first_token_p{percent}_ms'
                fields[key] = common.percentile(values, percent)
    return fields


def refusals(requests):
    """Return how many requests had no answer, and when to try again."""
    failed = [one.outcome for one in requests if not one.outcome.complete]
    codes = {}
    for outcome in failed:
        kind = 'not run' if outcome.not_run else 'cut'
        name = f'{outcome.status} {outcome.code}, {kind}'
        codes[name] = codes.get(name, 0) + 1
    waits = [one.retry_after_s for one in failed if one.retry_after_s]
    return {
        'refused': sum(outcome.not_run for outcome in failed),
        'cut': sum(not outcome.not_run for outcome in failed),
        'codes': codes,
        'with_retry_after': len(waits),
        'retry_after_p50_s': common.percentile(waits, 50),
        'retry_after_max_s': max(waits, default=0.0),
    }


def series(requests, begin_s):
    """Return offered and served tokens a second over time for the plot."""
    last_s = max(one.outcome.end_s for one in requests) - begin_s
    steps = [number * BIN_S for number in range(int(last_s / BIN_S) + 1)]
    return {
        'seconds': steps,
        'offered': [
            sum(
                one.tokens + PROMPT_TOKENS
                for one in requests
                if begin <= one.at_s < begin + BIN_S
            )
            / BIN_S
            for begin in steps
        ],
        'served': [
            sum(served(r, begin_s, begin, begin + BIN_S) for r in requests)
            / BIN_S
            for begin in steps
        ],
    }


async def run_policy(site, session, name):
    """Run the swing with and without long jobs; return both summaries."""
    queue_policy, chain_policy = POLICIES[name]
    await site.configure(queue_policy, chain_policy)
    found = {}
    for with_long in (True, False):
        requests = [r for r in arrivals() if with_long or not r.long]
        begin_s = await swing(site, session, requests)
        run = {
            'policies': name,
            'queue_policy': queue_policy,
            'chain_policy': chain_policy,
            'long_jobs': with_long,
        }
        found[with_long] = summarize(site, requests, begin_s)
        common.emit(
            'crest.run',
            **run,
            seed=SEED,
            load_average=os.getloadavg()[0],
            **rounded(found[with_long]),
        )
        common.emit('crest.series', **run, **series(requests, begin_s))
    return found


def rounded(fields):
    """Return fields with floats to three places."""
    return {
        name: round(value, 3) if isinstance(value, float) else value
        for name, value in fields.items()
    }


def ratio(value, base):
    """Return a quotient, infinite over a base without values."""
    return value / base if base else float('inf')


def report(found):
    """Print each goal beside what was measured."""
    fifo_share = found['baseline'][True]['long_served_share']
    for name, runs in found.items():
        full, alone = runs[True], runs[False]
        light = ratio(
            full['light_crest_first_token_p95_ms'],
            full['light_low_first_token_p95_ms'],
        )
        short = ratio(
            full['short_crest_first_token_p95_ms'],
            alone['short_crest_first_token_p95_ms'],
        )
        kept = ratio(full['long_served_share'], full['long_offered_share'])
        goals = {
            'jain_index': (full['jain_index'], full['jain_index'] >= 0.95),
            'light_p95_ratio': (light, light <= 2.0),
            'goodput_share': (
                full['goodput_share'],
                full['goodput_share'] >= 0.9,
            ),
            'short_p95_ratio': (short, short <= 1.5),
            'long_share_of_offered': (kept, kept >= 0.8),
            'long_share_of_fifo': (
                ratio(full['long_served_share'], fifo_share),
                full['long_served_share'] >= 0.8 * fifo_share,
            ),
        }
        for goal, (value, met) in goals.items():
            common.emit(
                'crest.goal',
                policies=name,
                goal=goal,
                value=round(value, 3),
                met=met,
            )


async def measure(folder):
    """Run both policies on one deployment."""
    with Site(folder, chains=CHAINS, engine_options=map(str, ENGINE)) as site:
        site.start(entries=2)
        await site.configure(*POLICIES['default'])
        async with load.client_session() as session:
            await site.ready(session)
            found = {
                name: await run_policy(site, session, name)
                for name in POLICIES
            }
        report(found)


def main():
    """Run the measurements of the crest."""
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(measure(folder))


if __name__ == '__main__':
    main()
