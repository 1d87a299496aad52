"""Guard what an entry learns of load, stalls and disturbed frames."""

import asyncio
import random

import attrs

from pimentowalk.admission import retry_budget
from pimentowalk.core import timers as core_timers
from pimentowalk.entry import model_call
from pimentowalk.entry.tests import fake_agent
from pimentowalk.entry.tests import harness
from pimentowalk.entry.tests import test_failures
from pimentowalk.wire import messages


async def test_load_reports_reach_the_chain_choice():
    """Without reports the entry would know only its own work."""
    async with harness.running() as entry:
        agent = await entry.add_agent('a')
        await entry.add_agent('b')
        entry.update_view()

        async def report(agent, peer, frame):
            await peer.send(
                messages.LoadReport(
                    [messages.StageLoad('b', 900, 3, 50.0)],
                    [
                        messages.LinkDelay('a', 'b', 0.5),
                        messages.LinkDelay('a', 'gone', 0.5),
                    ],
                )
            )
            await fake_agent.answer(agent, peer, frame)

        for each in entry.agents:
            each.script = report
        await entry.complete()
        routing = entry.context.routing
        assert routing.loads.queued_tokens('b') > 800
        assert routing.loads.tokens_per_s(agent.record()) == 1000.0
        target = entry.agents[1].record()
        assert routing.links.delay_s('a', 'z1', target) == 0.25


async def test_unreachable_head_is_avoided_by_later_requests():
    """A lost head has no load, so that it would look cheapest."""
    async with harness.running() as entry:
        lost = await entry.add_agent('a')
        await entry.add_agent('b')
        entry.update_view()
        await lost.server.stop()
        for _ in range(20):
            assert (await entry.complete())[0] == 200
        assert entry.context.metrics.counters['attempts'] <= 21
        links = entry.context.routing.links
        assert links.penalty_s('entry-1', 'b') == 0


def spec_of(configuration):
    """Return a model request that did not come over HTTP."""
    return model_call.ModelSpec(
        request_id=b'r' * 16,
        account=configuration.accounts['north'],
        service=configuration.services['assist'],
        route=configuration.routes['assist'],
        adapter='',
        prompt='Hi',
        max_tokens=6,
        seed=1,
        temperature=0.0,
        fingerprint=1,
        scope_version=0,
        deadline_s=30.0,
    )


async def test_slow_caller_is_not_taken_for_a_stall():
    """Tokens that wait for a slow caller must not cause a retry."""
    timers = core_timers.ManualTimerService()
    async with harness.running(timers) as entry:
        agent = await entry.add_agent('a')
        go_on = asyncio.Event()

        async def pause(agent, peer, frame):
            frames = fake_agent.frames_of(frame)
            for body in frames[:5]:
                await peer.send(body)
            agent.stalled.set()
            await go_on.wait()
            for body in frames[5:]:
                await peer.send(body)

        agent.script = pause
        entry.update_view()
        spec = spec_of(entry.session.configuration)
        call = model_call.ModelCall(entry.context, spec)
        tokens = await call.next_tokens()
        await agent.stalled.wait()
        for _ in range(3):
            await timers.advance(1.0)
        go_on.set()
        while not call.assembly.complete:
            tokens += await call.next_tokens()
        assert (
            ''.join(token.text for token in tokens) == test_failures.REFERENCE
        )
        assert len(agent.opened) == 1


def disturbed(rng):
    """Return a script that loses, doubles, reorders and adds tokens."""

    def change(frames):
        head, tokens, finished = frames[:2], frames[2:-1], frames[-1]
        kind = rng.choice(['lose', 'double', 'reorder', 'foreign', 'none'])
        if kind == 'lose':
            tokens.pop(rng.randrange(len(tokens)))
        elif kind == 'double':
            tokens.insert(0, rng.choice(tokens))
        elif kind == 'reorder':
            rng.shuffle(tokens)
        elif kind == 'foreign':
            token = tokens[0].tokens[0]
            for others in (
                {'request_id': b'x' * 16},
                {'attempt': token.attempt - 1},
                {'attempt': token.attempt + 1},
            ):
                other = attrs.evolve(token, token_id=1, text='no ', **others)
                tokens.insert(0, messages.TokenBatch([other]))
        return [*head, *tokens, finished]

    return fake_agent.mangled(change)


async def test_answers_survive_disturbed_frames():
    """Lost, doubled, reordered or foreign tokens must change no answer."""
    async with harness.running() as entry:
        rng = random.Random(5)
        for name in ('a', 'b', 'c'):
            agent = await entry.add_agent(name)
            agent.script = disturbed(rng)
        entry.update_view()
        entry.context.retry_budgets = retry_budget.RouteBudgets('unlimited')
        prompts = [f'question {number}' for number in range(40)]
        results = await asyncio.gather(*(entry.complete(p) for p in prompts))
        texts = [body['choices'][0]['text'] for _, body in results]
        assert texts == [fake_agent.reference_text(p, 6) for p in prompts]
        assert entry.context.metrics.counters['retries'] > 0


async def test_stall_is_charged_to_the_budget():
    """Stalls come with overload, which free retries would multiply."""
    timers = core_timers.ManualTimerService()
    async with harness.running(timers) as entry:
        agents, asked = await test_failures.pair(
            entry, fake_agent.stall_after(2)
        )
        harness.set_budget(entry, 0)
        request = asyncio.ensure_future(entry.stream())
        await harness.until(lambda: asked and asked[0].stalled.is_set())
        agent = asked[0]
        server = agent.record()
        link = await entry.context.pool.connect_to(server)
        while not agent.close_seen.is_set():
            await agent.peers[0].send(messages.LoadReport([]))
            await harness.until(lambda: link.heard_s == timers.now_s())
            await timers.advance(0.5)
            await asyncio.sleep(0.001)
        events = await request
        assert events[-1][0] == 'error'
        assert sum(len(agent.opened) for agent in agents) == 1
