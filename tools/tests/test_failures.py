"""Kill, freeze and stop processes under load and compare every answer."""

import asyncio
import contextlib
import itertools
import json
import signal

import pytest

from pimentowalk.core import timers
from tools import demo
from tools import deployment as deployments
from tools import load

pytestmark = pytest.mark.processes
# Long enough for a fault to hit answers that are under way.
TOKENS = 60
CALLERS = 24
FAST_ENGINE = ('--tokens-per-s', '4000', '--base-s', '0.004')


@contextlib.asynccontextmanager
async def running(folder, **options):
    """Start a published deployment with an HTTP session."""
    options.setdefault('engine_options', FAST_ENGINE)
    with demo.Hjulverk(folder, **options) as site:
        site.start()
        await site.publish()
        async with load.client_session() as session:
            await site.ready(session)
            yield site, session


def bodies(count):
    """Return requests with fixed seeds, all long enough to be hit."""
    return [request_body(number) for number in range(count)]


def request_body(number):
    """Return a request with a fixed seed, long enough to be hit."""
    return {
        'model': demo.MODEL,
        'prompt': f'repair note number {number}',
        'max_tokens': TOKENS,
        'seed': number + 1,
        'temperature': 0.8,
    }


async def send(site, session, requests, accounts=None):
    """Send requests at once over all entries."""
    accounts = accounts or site.accounts(demo.MODEL)[:3]
    return await load.run_all(
        demo.complete_with_retries(
            session,
            site.entries[number % len(site.entries)],
            site.key(accounts[number % len(accounts)]),
            body,
        )
        for number, body in enumerate(requests)
    )


def check(site, requests, outcomes):
    """Assert that every answer is whole and right."""
    for body, outcome in zip(requests, outcomes, strict=True):
        assert outcome.complete, outcome
        assert outcome.text == site.reference(body), outcome


async def engine_has_run(site, name, steps=30):
    """Wait until an engine has recorded this many steps."""
    path = site.folder / f'{name}.record'

    def enough():
        return path.exists() and len(path.read_bytes().splitlines()) >= steps

    await deployments.wait_until(enough, what=f'{steps} steps at {name}')


@contextlib.asynccontextmanager
async def sustained_load(site, session, callers=CALLERS):
    """Keep one request of each caller running; yield what was answered.

    At the end of the block, each caller finishes the request that it has
    sent. A fixed number of requests might all avoid a server that has just
    joined, since its share of the work grows over seconds.
    """
    answered = []
    numbers = itertools.count()
    block_ended = asyncio.Event()

    async def call(url, key):
        while not block_ended.is_set():
            body = request_body(next(numbers))
            outcome = await demo.complete_with_retries(session, url, key, body)
            answered.append((body, outcome))

    accounts = site.accounts(demo.MODEL)[:3]
    calls = asyncio.ensure_future(
        load.run_all(
            call(
                site.entries[number % len(site.entries)],
                site.key(accounts[number % len(accounts)]),
            )
            for number in range(callers)
        )
    )
    async with timers.cancelling(calls):
        yield answered
        block_ended.set()
        await calls


async def under_load(site, session, fault):
    """Cause a fault while requests run; check all their answers."""
    async with sustained_load(site, session) as answered:
        await engine_has_run(site, f'{demo.MODEL}-1-1')
        await fault()
    assert len(answered) >= CALLERS
    check(site, *zip(*answered, strict=True))


@pytest.mark.parametrize('stage', [0, 1])
@pytest.mark.parametrize('program', ['agent', 'engine'])
async def test_killed_process_loses_no_answer(tmp_path, program, stage):
    """Answers must go on elsewhere when an agent or an engine dies."""
    async with running(tmp_path) as (site, session):

        async def fault():
            site.processes[f'{program}-{demo.MODEL}-1-{stage}'].kill()

        await under_load(site, session, fault)


@pytest.mark.parametrize('stage', [0, 1])
async def test_frozen_agent_loses_no_answer(tmp_path, stage):
    """A silent agent must be left, and must add nothing on waking."""
    async with running(tmp_path) as (site, session):
        agent = site.processes[f'agent-{demo.MODEL}-1-{stage}']

        async def fault():
            agent.signal(signal.SIGSTOP)

        await under_load(site, session, fault)
        agent.signal(signal.SIGCONT)
        requests = bodies(12)
        check(site, requests, await send(site, session, requests))


async def test_drained_server_finishes_what_it_runs(tmp_path):
    """A drain must cut nothing and must end new work."""
    async with running(tmp_path) as (site, session):
        name = f'agent-{demo.MODEL}-1-0'

        async def fault():
            await asyncio.to_thread(site.operate, 'drain', name)

        await under_load(site, session, fault)
        record = site.folder / f'{demo.MODEL}-1-0.record'
        before = record.read_bytes()
        requests = bodies(8)
        check(site, requests, await send(site, session, requests))
        assert record.read_bytes() == before


async def test_stopped_processes_cut_no_request(tmp_path):
    """A planned stop of an agent or an entry must finish its requests."""
    async with running(tmp_path) as (site, session):
        agent = site.processes[f'agent-{demo.MODEL}-1-0']
        entry = site.processes['entry-2']
        async with sustained_load(site, session) as answered:
            await engine_has_run(site, f'{demo.MODEL}-1-1')
            agent.signal(signal.SIGTERM)
            entry.signal(signal.SIGTERM)
        # Requests that came after the stop are sent to the other entry, as
        # the platform's balancer does.
        done = [pair for pair in answered if pair[1].complete]
        late = [pair for pair in answered if not pair[1].complete]
        for _, outcome in late:
            assert not outcome.text, outcome
        site.entries = site.entries[:1]
        again = [body for body, _ in late]
        check(site, again, await send(site, session, again))
        assert done
        check(site, *zip(*done, strict=True))
        assert await asyncio.to_thread(agent.wait_stopped) == 0
        assert await asyncio.to_thread(entry.wait_stopped) == 0


async def test_crashing_request_is_quarantined(tmp_path):
    """A request that crashes engines must stop after two crashes."""
    options = (*FAST_ENGINE, '--crash-marker', 'CRASH')
    async with running(tmp_path, chains=4, engine_options=options) as (
        site,
        session,
    ):
        innocent = bodies(16)
        sending = asyncio.ensure_future(send(site, session, innocent))
        crashing = {**bodies(1)[0], 'prompt': 'CRASH now'}
        key = site.key(site.accounts(demo.MODEL)[3])
        for number in range(4):
            url = site.entries[number % len(site.entries)]
            outcome = await load.complete(session, url, key, crashing)
            assert not outcome.complete
        assert outcome.code == 'quarantined', outcome
        crashed = [
            name
            for name, process in site.processes.items()
            if name.startswith('engine-') and not process.running
        ]
        assert 1 <= len(crashed) <= 2, crashed
        check(site, innocent, await sending)
        listed = json.loads(site.operate('quarantine', 'list', '--json'))
        assert len(listed['requests']) == 1, listed


async def test_killed_service_agent_runs_no_booking_twice(tmp_path):
    """A booking whose agent died must not run again on a resend."""
    async with running(tmp_path) as (site, session):
        key = site.key(site.accounts('verkstad')[0])
        numbers = range(30)

        async def book(number):
            return await load.book(
                session,
                site.entries[number % len(site.entries)],
                demo.BOOKING_PATH,
                key,
                {'id': f'booking-{number}'},
                f'key-{number}',
            )

        sending = asyncio.ensure_future(load.run_all(map(book, numbers)))
        await deployments.wait_until(
            lambda: demo.count_runs(site.record), what='the first booking'
        )
        site.processes['agent-verkstad'].kill()
        first = await sending
        again = await load.run_all(map(book, numbers))
        runs = demo.count_runs(site.record)
        assert max(runs.values()) == 1, runs
        for number, outcome in zip(numbers, first, strict=True):
            ran = f'booking-{number}' in runs
            assert ran or not outcome.complete
            assert not (ran and outcome.not_run), outcome
            if outcome.complete:
                assert again[number].body == outcome.body
