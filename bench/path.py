"""Measure what the path through entry and agents costs.

Every measurement compares, in one run, a chain of stand-in engines called
directly with the same chain behind an entry and agents.
"""

import asyncio
import tempfile
import time

from bench import common
from bench import direct
from tools import demo
from tools import deployment as deployments
from tools import load

ENGINE = ('--tokens-per-s', '4000', '--base-s', '0.005')
HALF_LOAD = 8
FULL_LOAD = 64
TOKENS = 32
REQUESTS_PER_CALLER = 4
TOKEN_COUNTS = (8, 32, 96)
MEMORY_REQUESTS = 1000
ACCOUNT = 'helse-vest'


def body(number, tokens):
    """Return a completion of a fixed length."""
    return {
        'model': demo.MODEL,
        'prompt': f'note {number} about a punctured tyre',
        'max_tokens': tokens,
        'seed': number + 1,
        'temperature': 0.8,
    }


class Site(demo.Hjulverk):
    """One chain, one entry, and accounts without tight limits."""

    def unlimited(self):
        """Publish a copy of the example with high account limits."""
        folder = self.folder / 'operators-files' / demo.EXAMPLE
        folder.mkdir(parents=True)
        for section in self.example.sections():
            if section.startswith('account '):
                self.example[section]['requests_per_s'] = '100000'
                self.example[section]['tokens_per_s'] = '100000000'
        with (folder / 'all.ini').open('w') as file:
            self.example.write(file)
        return folder


async def drive(complete, callers, tokens):
    """Run callers that each send requests one after the other."""

    async def call(number):
        found = []
        for turn in range(REQUESTS_PER_CALLER):
            identity = number * REQUESTS_PER_CALLER + turn
            found.append(await complete(body(identity, tokens)))
        return found

    begin_s = time.monotonic()
    nested = await load.run_all(call(n) for n in range(callers))
    took_s = time.monotonic() - begin_s
    outcomes = [outcome for one in nested for outcome in one]
    failed = [one for one in outcomes if not one.complete]
    if failed:
        raise RuntimeError(f'{len(failed)} failed, for example {failed[0]}')
    return outcomes, took_s


def times_ms(outcomes):
    """Return the median and the 95th percentile of both times."""
    first = [one.first_token_s * 1000 for one in outcomes]
    gaps = [gap * 1000 for one in outcomes for gap in one.gaps_s]
    return {
        'first_token_p50_ms': common.percentile(first, 50),
        'first_token_p95_ms': common.percentile(first, 95),
        'gap_p50_ms': common.percentile(gaps, 50),
        'gap_p95_ms': common.percentile(gaps, 95),
    }


async def compare(paths, callers):
    """Measure both paths at one load, in turns; print and return rows."""
    rows = {}
    for name, complete in paths.items():
        await drive(complete, 2, 4)
        outcomes, took_s = await drive(complete, callers, TOKENS)
        tokens = sum(len(one.token_times_s) for one in outcomes)
        rows[name] = {
            'tokens_per_s': tokens / took_s,
            'requests_per_s': len(outcomes) / took_s,
            **times_ms(outcomes),
        }
        common.emit('path.load', path=name, callers=callers, **rows[name])
    return rows


def processor_s(site, prefix):
    """Return the processor time of the processes with a name."""
    return sum(
        process.processor_s()
        for name, process in site.processes.items()
        if name.startswith(prefix)
    )


async def measure_slopes(site, complete):
    """Print processor time a request and a token for each daemon."""
    callers = 24
    requests = callers * REQUESTS_PER_CALLER
    spent = {'entry-': [], f'agent-{demo.MODEL}': []}
    for tokens in TOKEN_COUNTS:
        before = {name: processor_s(site, name) for name in spent}
        await drive(complete, callers, tokens)
        for name, values in spent.items():
            used_s = processor_s(site, name) - before[name]
            values.append(used_s / requests * 1e6)
    for name, values in spent.items():
        line = common.fit(TOKEN_COUNTS, values)
        processes = site.stages if name.startswith('agent') else 1
        common.emit(
            'path.processor',
            daemon=name.split('-')[0],
            sizes=TOKEN_COUNTS,
            values_us_per_request=values,
            token_us=line.slope / processes,
            request_us=line.intercept / processes,
        )


async def measure_memory(site, complete):
    """Print the resident memory of each daemon after many requests."""
    for _ in range(MEMORY_REQUESTS // 100):
        await drive(complete, 100 // REQUESTS_PER_CALLER, 8)
    for name, process in sorted(site.processes.items()):
        if name.startswith(('control', 'entry', 'agent')):
            common.emit(
                'path.memory',
                process=name,
                resident_mb=process.resident_bytes() / 1e6,
                after_requests=MEMORY_REQUESTS,
            )


async def measure(folder):
    """Run all measurements on one deployment."""
    with Site(folder, chains=1, engine_options=ENGINE) as site:
        site.start(entries=1)
        path = site.unlimited()
        await deployments.wait_until(
            lambda: publish(site, path), what='the publish'
        )
        names = [f'{demo.MODEL}-1-{n}' for n in range(site.stages)]
        urls = [f'http://127.0.0.1:{site.engine_ports[n]}' for n in names]
        chain = direct.DirectChain(
            urls, site.service['model'], site.service['version']
        )
        async with load.client_session() as session, chain:
            await site.ready(session)

            async def through(request):
                key = site.key(ACCOUNT)
                url = site.entries[0]
                return await load.complete(session, url, key, request)

            paths = {'direct': chain.complete, 'pimentowalk': through}
            half = await compare(paths, HALF_LOAD)
            full = await compare(paths, FULL_LOAD)
            report(half, full)
            await measure_slopes(site, through)
            await measure_memory(site, through)


def publish(site, path):
    """Publish a folder; return '' while there is no leader."""
    try:
        return site.operate('publish', path)
    except RuntimeError as error:
        common.note(str(error).strip())
        return ''


def report(half, full):
    """Print the goals of the path beside what was measured."""
    ours, theirs = half['pimentowalk'], half['direct']
    common.emit(
        'path.cost',
        added_first_token_p50_ms=ours['first_token_p50_ms']
        - theirs['first_token_p50_ms'],
        added_gap_p50_ms=ours['gap_p50_ms'] - theirs['gap_p50_ms'],
        goal_added_first_token_ms=5.0,
        share_of_engine_bound=full['pimentowalk']['tokens_per_s']
        / full['direct']['tokens_per_s'],
        goal_share_of_engine_bound=0.9,
    )


def main():
    """Run the measurements of the path."""
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(measure(folder))


if __name__ == '__main__':
    main()
