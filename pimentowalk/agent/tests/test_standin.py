"""Guard the agents against the stand-in engine's own record."""

import collections
import contextlib

import pytest

from pimentowalk.agent.tests import fakes
from pimentowalk.core import timers
from tools import standin_engine
from tools import standin_model

LAYERS = [(0, 3), (3, 5), (5, 8)]
WEIGHTS = standin_model.Weights('standin', '1')


@pytest.fixture
async def deployment():
    """Run three stages with stand-in engines, and an entry."""
    clock = timers.TimerService()
    async with contextlib.AsyncExitStack() as stack:
        engines = []
        agents = []
        for number, (first, end) in enumerate(LAYERS):
            options = standin_engine.Options(
                first_layer=first, end_layer=end, tokens_per_s=0, base_s=0
            )
            engine = standin_engine.Engine(options)
            await engine.start()
            stack.push_async_callback(engine.stop)
            engine.url = f'http://127.0.0.1:{engine.port}'
            engines.append(engine)
            agents.append(
                await stack.enter_async_context(
                    fakes.running_agent(engine, clock, f'agent-{number}')
                )
            )
        entry = fakes.FakeEntry()
        await entry.connect(agents[0])
        stack.push_async_callback(entry.close)
        chain = [
            fakes.address(agent, *layers)
            for agent, layers in zip(agents, LAYERS, strict=True)
        ]
        yield entry, chain, engines


async def test_answers_and_record_agree_with_the_reference(deployment):
    """Each layer must run exactly once for each token of each answer."""
    entry, chain, engines = deployment
    frames = [
        fakes.open_attempt(
            chain,
            model='standin',
            prompt=f'how to true wheel {number}',
            max_tokens=12,
            seed=number,
            temperature=0.7,
        )
        for number in range(20)
    ]
    for frame in frames:
        await entry.connection.send(frame)
    for frame in frames:
        status = await entry.ended(frame.request_id)
        assert status.state == 'finished'
        expected = standin_model.reference_answer(
            WEIGHTS,
            8,
            frame.prompt,
            max_tokens=12,
            seed=frame.seed,
            temperature=0.7,
        )
        tokens = entry.tokens(frame.request_id)
        assert [token.token_id for token in tokens] == expected
        assert tokens[-1].finish_reason in ('stop', 'length')
    rows = [str(row) for e in engines for row in e.record.rows]
    assert rows
    assert max(collections.Counter(rows).values()) == 1
    await fakes.reach(lambda: not any(e.batcher.sequences for e in engines))


async def test_continuation_after_the_first_tokens(deployment):
    """The next attempt must continue the answer that callers have seen."""
    entry, chain, _ = deployment
    prompt = 'how to polish a plaque'
    whole = standin_model.reference_answer(WEIGHTS, 8, prompt, max_tokens=9)
    frame = fakes.open_attempt(
        chain,
        model='standin',
        attempt=2,
        prompt=prompt,
        generated=whole[:4],
        max_tokens=9,
        seed=0,
    )
    await entry.connection.send(frame)
    await entry.ended(frame.request_id)
    tokens = entry.tokens()
    assert [token.token_id for token in tokens] == whole[4:]
    assert tokens[-1].token_count == len(whole)
