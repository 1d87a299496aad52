"""Tests of the agents with stand-in engines, compared with their record."""

import collections

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

    def make_engine(first, end):
        options = standin_engine.Options(
            first_layer=first, end_layer=end, tokens_per_s=0, base_s=0
        )
        return standin_engine.Engine(options)

    clock = timers.TimerService()
    async with fakes.running_stages(LAYERS, make_engine, clock) as stages:
        yield stages


async def test_answers_and_record_agree_with_the_reference(deployment):
    """Each layer must run exactly once for each token of an answer."""
    entry, engines = deployment.entry, deployment.engines
    frames = [
        await deployment.open(
            model='standin',
            prompt=f'how to true wheel {number}',
            max_tokens=12,
            seed=number,
            temperature=0.7,
        )
        for number in range(20)
    ]
    for frame in frames:
        await entry.wait_for_end(frame, 'finished')
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
    await fakes.wait_until(
        lambda: not any(e.batcher.sequences for e in engines)
    )


async def test_continuation_after_the_first_tokens(deployment):
    """The next attempt must continue the answer already sent to callers."""
    prompt = 'how to polish a plaque'
    expected = standin_model.reference_answer(WEIGHTS, 8, prompt, max_tokens=9)
    await deployment.run_to_end(
        model='standin',
        attempt=2,
        prompt=prompt,
        generated=expected[:4],
        max_tokens=9,
        seed=0,
    )
    tokens = deployment.entry.tokens()
    assert [token.token_id for token in tokens] == expected[4:]
    assert tokens[-1].token_count == len(expected)
