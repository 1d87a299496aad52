"""Guard the stand-in engine against the interface of the design page."""

import itertools
import json

import aiohttp
import pytest

from tools import standin_batcher as batcher
from tools import standin_model as model
from tools.tests import engine_bench
from tools.tests import waiting

WEIGHTS = model.Weights('standin', '1')
TOTAL_LAYERS = engine_bench.TOTAL_LAYERS
PROMPT = ' '.join(f'word{number}' for number in range(100))


@pytest.fixture
async def bench():
    async with engine_bench.running() as found:
        yield found


def reference(prompt, weights=WEIGHTS, **parameters):
    """Return the right answer over all layers."""
    return model.reference_answer(weights, TOTAL_LAYERS, prompt, **parameters)


@pytest.mark.parametrize('bounds', [[0, 8], [0, 3, 8], [0, 2, 5, 8]])
async def test_a_chain_gives_the_reference_answer(bench, bounds):
    """An engine that differs from the model would make every check void."""
    engines, clients = zip(
        *[await bench.pair(*pair) for pair in itertools.pairwise(bounds)],
        strict=True,
    )
    parameters = {'max_tokens': 6, 'seed': 3, 'temperature': 0.5}
    tokens = await engine_bench.answer(clients, 'aa-1', PROMPT, **parameters)
    expected = reference(PROMPT, **parameters)
    assert tokens == expected
    rest = await engine_bench.answer(
        clients, 'aa-2', PROMPT, generated=tokens[:2], **parameters
    )
    assert rest == expected[2:]
    ran = []
    for engine in engines:
        ran += batcher.layers_ran((await bench.record(engine))['ran'])
    whole = range(TOTAL_LAYERS)
    assert sorted(ran) == sorted(
        [('aa', 1, i, n) for i in range(6) for n in whole]
        + [('aa', 2, i, n) for i in range(2, 6) for n in whole]
    )


async def test_a_repeated_step_shows_in_record_and_answer(bench):
    """An engine that hides repeated steps would hide a broken router."""
    engine, client = await bench.pair()
    token = (await client.run('aa-1', 'hei', max_tokens=9))['token']
    await client.step('aa-1', 1, token=token)
    first = await client.done()
    await client.step('aa-1', 1, token=token)
    assert (await client.done())['token'] != first['token']
    rows = (await bench.record(engine))['ran']
    assert [row['index'] for row in rows] == [0, 1, 1]


async def test_steps_of_many_sequences_share_iterations(bench):
    """An engine without batching would not show what batching costs."""
    engine, client = await bench.pair(base_s=0.005)
    names = [f'{number:02x}-1' for number in range(20)]
    for name in names:
        await client.open(name, 'hei', max_tokens=2)
    items = [{'sequence': name, 'index': 0} for name in names]
    await client.send('steps', items=items)
    done = {(await client.done())['sequence'] for _ in names}
    assert done == set(names)
    record = await bench.record(engine)
    assert record['largest_batch'] == len(names)
    assert record['iterations'] == 1


async def test_max_running_and_priority_order_the_work(bench):
    """Urgent work must overtake work that waits for a slot."""
    engine, client = await bench.pair(base_s=0.002, max_running=1)
    for name, priority in [('aa-1', 0), ('bb-1', 0), ('cc-1', 5)]:
        await client.open(name, 'hei', max_tokens=1, priority=priority)
    await client.send(
        'steps',
        items=[
            {'sequence': name, 'index': 0} for name in ('aa-1', 'bb-1', 'cc-1')
        ],
    )
    order = []
    for _ in range(3):
        order.append((await client.done())['sequence'])
        await client.send('close', sequence=order[-1])
    assert order == ['cc-1', 'aa-1', 'bb-1']
    assert (await bench.record(engine))['largest_batch'] == 1


async def test_sequences_beyond_max_running_take_turns(bench):
    """Sequences that starve would look like a stall of the router."""
    engine, client = await bench.pair(base_s=0.001, max_running=2)
    names = [f'{number:02x}-1' for number in range(6)]
    for name in names:
        await client.open(name, 'hei', max_tokens=10)
    items = [{'sequence': name, 'index': 0} for name in names]
    await client.send('steps', items=items)
    order = []
    while len(order) < 30:
        item = await client.done()
        order.append(item['sequence'])
        await client.step(
            item['sequence'], item['index'] + 1, token=item['token']
        )
    # One of the two places is always for the oldest step.
    assert set(order[:10]) == set(names)
    for start in range(12, len(order) - 5):
        assert sorted(order[start : start + 6]) == names


async def test_decode_steps_run_between_pieces_of_a_prompt(bench):
    """A long prompt must not hold up answers that are under way."""
    engine, client = await bench.pair(cache_tokens=0)
    await client.run('aa-1', 'hei', max_tokens=99)
    words = ' '.join(str(number) for number in range(20_000))
    await client.open('bb-1', words, max_tokens=1)
    # Sent together, so that the order does not depend on the client's pace.
    items = [{'sequence': 'bb-1', 'index': 0}]
    for index in range(1, 11):
        items.append({'sequence': 'aa-1', 'index': index, 'token': 7})
    await client.send('steps', items=items)
    order = [(await client.done())['sequence'] for _ in items]
    # The prompt takes 20 iterations of 1024 tokens.
    assert order == ['aa-1'] * 10 + ['bb-1']


async def test_pause_holds_and_resume_continues(bench):
    """A paused sequence must free its slot and lose nothing."""
    engine, client = await bench.pair(max_running=1)
    await client.open('aa-1', 'hei', max_tokens=1)
    await client.open('bb-1', 'hei', max_tokens=1)
    await client.send('pause', sequence='aa-1')
    await client.step('aa-1', 0)
    await client.step('bb-1', 0)
    assert (await client.done())['sequence'] == 'bb-1'
    await client.send('close', sequence='bb-1')
    await client.send('resume', sequence='aa-1')
    expected = reference('hei', max_tokens=1)
    assert [(await client.done())['token']] == expected


async def test_cancel_and_closed_connection_end_sequences(bench):
    """Cancelled work must neither run on nor answer."""
    engine, client = await bench.pair()
    await client.open('aa-1', 'hei', max_tokens=3)
    await client.send('close', sequence='aa-1')
    await client.step('aa-1', 0)
    assert (await client.receive('failed'))['code'] == 'not_found'
    await client.run('bb-1', 'hei', max_tokens=3)
    assert (await bench.record(engine))['open'] == ['bb-1']
    await client.socket.close()
    record = await bench.idle_record(engine)
    assert [row['request'] for row in record['ran']] == ['bb']


async def test_prefix_cache_saves_work_and_stays_bounded(bench):
    """A wrong cache hit would change answers."""
    engines = [
        await bench.engine(0, 4, cache_tokens=128),
        await bench.engine(4, 8, cache_tokens=128),
    ]
    clients = [await bench.client(engine) for engine in engines]
    for number, prompt in enumerate([PROMPT, PROMPT, f'{PROMPT} more']):
        tokens = await engine_bench.answer(
            clients, f'0{number}-1', prompt, max_tokens=3
        )
        assert tokens == reference(prompt, max_tokens=3)
    for engine in engines:
        rows = (await bench.record(engine))['ran']
        hits = [r['cached_tokens'] for r in rows if r['index'] == 0]
        assert hits == [0, 96, 96]
    await engine_bench.answer(
        clients, '03-1', f'other {PROMPT} {PROMPT}', max_tokens=1
    )
    assert all(len(engine.cache) <= 128 for engine in engines)


async def test_prefixes_of_an_adapter_are_kept_apart(bench):
    """The cache of other weights gives the answer of another model."""
    client = await bench.client(await bench.engine(adapters=['a']))
    for number, adapter in enumerate(['', 'a', '']):
        tokens = await engine_bench.answer(
            [client], f'0{number}-1', PROMPT, max_tokens=2, adapter=adapter
        )
        weights = model.Weights('standin', '1', adapter)
        assert tokens == reference(PROMPT, weights, max_tokens=2)


async def test_exported_state_continues_elsewhere(bench):
    """A move that loses KV state would change the answer."""
    source = await bench.client(await bench.engine())
    target = await bench.client(await bench.engine())
    expected = reference('hei', max_tokens=2)
    for client in (source, target):
        await client.open('aa-1', 'hei', max_tokens=2)
    await source.step('aa-1', 0)
    token = (await source.done())['token']
    await source.send('export', sequence='aa-1')
    state = (await source.receive('state'))['state']
    await target.send('import', sequence='aa-1', state=state)
    await target.step('aa-1', 1, token=token)
    assert [token, (await target.done())['token']] == expected
    await target.send('import', sequence='aa-1', state={'weights': 1})
    assert (await target.receive('failed'))['code'] == 'bad_request'


@pytest.mark.parametrize('checks', [True, False])
async def test_orders_check_or_ignore_the_fence(bench, checks):
    """Both kinds of engines exist, so agents must be tested with both."""
    engine, client = await bench.pair(checks_fencing=checks)
    assert client.hello['checks_fencing'] is checks
    assert await bench.order(engine, 5, 'load_adapter', adapter='a') == 200
    assert (await client.receive('hello'))['adapters'] == ['a']
    old = await bench.order(engine, 4, 'load_version', version='2')
    assert old == (409 if checks else 200)
    assert engine.options.version == ('1' if checks else '2')
    assert await bench.order(engine, 6, 'explode') == 400


async def test_weights_change_only_without_open_sequences(bench):
    """Weights replaced under a running answer would corrupt it."""
    engine, client = await bench.pair()
    await client.run('aa-1', 'hei', max_tokens=3)
    assert await bench.order(engine, 1, 'load_version', version='2') == 503
    await client.send('close', sequence='aa-1')
    await bench.idle_record(engine)
    role = {'first_layer': 2, 'end_layer': 5}
    assert await bench.order(engine, 2, 'change_role', **role) == 200
    assert (await client.receive('hello'))['first_layer'] == 2
    await client.send(
        'open', sequence='bb-1', model='standin', version='9', adapter=''
    )
    assert (await client.receive('failed'))['code'] == 'not_found'


async def test_load_reports_are_late(bench):
    """Routing must be tested with the lag that real engines have."""
    engine, client = await bench.pair(load_period_s=0.01, load_lag_s=0.05)
    await client.open('aa-1', 'hei', max_tokens=3)
    report = await client.receive('load')
    while not report['running']:
        report = await client.receive('load')
    assert report == {'type': 'load', 'queued': 0, 'running': 1}


@pytest.mark.parametrize(
    'text', ['', '[]', '{}', '{"type": "open"}', '{"type": "steps"}', '"x"']
)
async def test_malformed_messages_are_answered(bench, text):
    """One malformed message must not end the stage of all sequences."""
    client = await bench.client(await bench.engine())
    await client.socket.send_str(text)
    assert (await client.receive('failed'))['code'] == 'bad_request'
    assert (await client.run('aa-1', 'hei', max_tokens=1))['end']


async def test_the_marker_crashes_when_the_prompt_runs(bench):
    """Quarantine is tested with prompts that end the process."""
    crashes = []
    engine, client = await bench.pair(
        crash_marker='POISON', crash=lambda: crashes.append(1)
    )
    await client.open('aa-1', 'a POISON word', max_tokens=1)
    await client.run('bb-1', 'a clean word', max_tokens=1)
    assert not crashes
    await client.step('aa-1', 0)
    await client.done()
    assert crashes


@pytest.mark.processes
async def test_program_exits_on_the_marker_and_keeps_its_record(tmp_path):
    """A crash that loses the record would hide what ran before it."""
    record = tmp_path / 'ran.jsonl'
    async with (
        aiohttp.ClientSession() as session,
        waiting.program(
            'tools.standin_engine',
            '--crash-marker=POISON',
            f'--record-file={record}',
        ) as process,
    ):
        url = f'{await waiting.line(process)}/v1/stage'
        async with session.ws_connect(url) as socket:
            client = engine_bench.Client(socket)
            await client.receive('hello')
            await client.run('aa-1', 'clean', max_tokens=1)
            await client.open('bb-1', 'POISON', max_tokens=1)
            await client.step('bb-1', 0)
            assert await waiting.exit_status(process) == 70
    rows = [json.loads(row) for row in record.read_text().splitlines()]
    assert [row['request'] for row in rows] == ['aa']
