"""Measure a lunch-hour swing to three times the capacity of the engines.

The daemons and stand-in engines run as processes on loopback. The same
arrivals run under the default policies and the baseline, with and without
the long jobs. Run it with `python -m bench.crest`; it prints JSON lines.
"""

import asyncio
import contextlib
import os
import tempfile
import time

from bench import common
from bench import direct
from bench import fairness
from bench import path
from bench import swing
from tools import demo
from tools import demo_keys
from tools import deployment as deployments
from tools import load

PLACES = 8
# Without a fixed time for each iteration and without a prefix cache, the
# bound is exact: each engine runs this many prompt and answer tokens a
# second.
ENGINE = (
    *('--tokens-per-s', swing.ENGINE_TOKENS_PER_S, '--base-s', 0),
    *('--cache-tokens', 0, '--max-running', PLACES),
)
# A short queue, so that it fills and drains within a run.
QUEUE_REQUESTS = 40
POLICIES = {
    'default': ('fair', 'least_cost'),
    'baseline': ('fifo', 'round_robin'),
}
BIN_S = 0.5
DIRECT_S = 2.5
DIRECT_TOKENS = 60
# The prompt of `path.body`: one to begin and one a word.
DIRECT_PROMPT_TOKENS = 7


class Site(demo.Hjulverk):
    """The example with equal accounts, high limits and chosen policies."""

    async def configure(self, queue_policy, chain_policy):
        """Publish the policies and wait until the nodes have them."""
        for section in self.example.sections():
            if section.startswith('account '):
                self.example.remove_section(section)
        for account in (*self.offices(), swing.LIGHT):
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
        return [f'office-{number}' for number in range(len(swing.OFFERED))]


async def send_all(site, session, requests):
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
        inside += swing.PROMPT_TOKENS
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
    crest = (swing.CREST_BEGIN_S, swing.CREST_END_S)

    def at_crest(chosen):
        return sum(served(one, begin_s, *crest) for one in chosen)

    complete = [one for one in requests if one.outcome.complete]
    wrong = [r for r in complete if r.outcome.text != site.reference(r.body)]
    shares = [
        at_crest(one for one in complete if one.account == account)
        for account in site.offices()
    ]
    offered = [r for r in requests if crest[0] <= r.at_s < crest[1]]
    cost = sum(r.tokens + swing.PROMPT_TOKENS for r in offered)
    long = sum(r.tokens + swing.PROMPT_TOKENS for r in offered if r.long)
    total = at_crest(complete)
    return {
        'requests': len(requests),
        'wrong': len(wrong),
        'offered_load': cost / swing.CREST_S / swing.BOUND_TOKENS_PER_S,
        'goodput_share': total / swing.CREST_S / swing.BOUND_TOKENS_PER_S,
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
    light = [one for one in requests if one.account == swing.LIGHT]
    short = [r for r in requests if not r.long and r.account != swing.LIGHT]
    fields = {}
    for name, chosen in (('light', light), ('short', short)):
        for phase, span in (('low', (0.0, swing.LOW_S)), ('crest', crest)):
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
                one.tokens + swing.PROMPT_TOKENS
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


async def drive_chain(chain, callers, end_s):
    """Keep a chain busy without pimentowalk; return the tokens run."""

    async def call(number):
        count = 0
        while time.monotonic() < end_s:
            body = path.body(number, DIRECT_TOKENS)
            begin_s = time.monotonic()
            outcome = await chain.complete(body)
            ran = len(outcome.token_times_s)
            # The last answer counts with the part made in time.
            took_s = outcome.end_s - begin_s
            inside = min(1.0, (end_s - begin_s) / took_s)
            count += inside * (ran + DIRECT_PROMPT_TOKENS)
        return count

    return sum(await load.run_all(call(n) for n in range(callers)))


async def measure_direct(site):
    """Print what the engines give with as many sequences as places."""
    for callers in (PLACES, site.stages * PLACES):
        async with contextlib.AsyncExitStack() as stack:
            chains = []
            for number in range(1, swing.CHAINS + 1):
                names = [
                    f'{demo.MODEL}-{number}-{n}' for n in range(site.stages)
                ]
                urls = [
                    f'http://127.0.0.1:{site.engine_ports[n]}' for n in names
                ]
                chain = direct.DirectChain(
                    urls, site.service['model'], site.service['version']
                )
                chains.append(await stack.enter_async_context(chain))
            end_s = time.monotonic() + DIRECT_S
            counts = await load.run_all(
                drive_chain(chain, callers, end_s) for chain in chains
            )
        common.emit(
            'crest.direct',
            sequences_per_chain=callers,
            share_of_bound=round(
                sum(counts) / DIRECT_S / swing.BOUND_TOKENS_PER_S, 3
            ),
            load_average=os.getloadavg()[0],
        )


async def run_policy(site, session, name):
    """Run the swing with and without long jobs; return both summaries."""
    queue_policy, chain_policy = POLICIES[name]
    await site.configure(queue_policy, chain_policy)
    found = {}
    for with_long in (True, False):
        requests = [r for r in swing.arrivals() if with_long or not r.long]
        begin_s = await send_all(site, session, requests)
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
            seed=swing.SEED,
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
    with Site(
        folder, chains=swing.CHAINS, engine_options=map(str, ENGINE)
    ) as site:
        site.start(entries=2)
        await site.configure(*POLICIES['default'])
        async with load.client_session() as session:
            await site.ready(session)
            await measure_direct(site)
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
