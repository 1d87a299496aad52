"""Guard attempts, retries, budgets and deadlines of model requests."""

import asyncio
import time

import attrs

from pimentowalk.core import timers as core_timers
from pimentowalk.entry import model_call
from pimentowalk.entry.tests import fake_agent
from pimentowalk.entry.tests import harness
from pimentowalk.wire import messages

REFERENCE = fake_agent.reference_text('Hi', 6)


async def pair(entry, script, other=fake_agent.answer):
    """Start two agents with all layers; the first to be asked misbehaves."""
    agents = [await entry.add_agent('a'), await entry.add_agent('b')]
    asked = []

    async def run(agent, peer, frame):
        asked.append(agent)
        chosen = script if len(asked) == 1 else other
        await chosen(agent, peer, frame)

    for agent in agents:
        agent.script = run
    entry.update_view()
    return agents, asked


async def test_answer_continues_on_another_chain_after_a_cut():
    """A stage that dies must not cost tokens or repeat them."""
    async with harness.running() as entry:
        _, asked = await pair(entry, fake_agent.cut_after(3))
        events = await entry.stream()
        assert harness.text_of(events) == REFERENCE
        assert events[-1] == ('', '[DONE]')
        first, second = asked
        assert first is not second
        frame = second.opened[0]
        assert frame.attempt == 2
        assert frame.request_id == first.opened[0].request_id
        assert frame.generated == [
            fake_agent.token_id('Hi', '', 1, index) for index in range(3)
        ]


async def test_stalled_attempt_is_closed_and_late_tokens_are_dropped():
    """A frozen agent that wakes must not add to the answer."""
    timers = core_timers.ManualTimerService()
    late_sent = asyncio.Event()
    async with harness.running(timers) as entry:

        async def wake_late(agent, peer, frame):
            await fake_agent.stall_after(2)(agent, peer, frame)
            await agent.close_seen.wait()
            for body in fake_agent.frames_of(frame)[4:]:
                await peer.send(body)
            late_sent.set()

        async def after_late(agent, peer, frame):
            await late_sent.wait()
            await fake_agent.answer(agent, peer, frame)

        _, asked = await pair(entry, wake_late, after_late)
        request = asyncio.ensure_future(entry.stream())
        await harness.until(lambda: asked)
        await harness.advance_until(timers, asked[0].close_seen)
        events = await request
        assert harness.text_of(events) == REFERENCE
        assert len(asked) == 2
        assert asked[0].closed[0].attempt == 1


async def test_refused_by_all_is_reported_as_not_run():
    """A proven refusal must be told apart from an unknown outcome."""
    async with harness.running() as entry:
        script = fake_agent.refuse('overloaded', retry_after_ms=3000)
        await pair(entry, script, script)
        body = {'model': 'm1', 'prompt': 'Hi'}
        async with entry.client.post(
            '/v1/completions', json=body, headers=harness.AUTH
        ) as response:
            assert response.status == 503
            assert response.headers['Retry-After'] == '3'
            request_id = response.headers['X-Request-Id']
            error = (await response.json())['error']
        assert error['code'] == 'overloaded'
        assert error['not_run'] is True
        assert error['request_id'] == request_id
        assert error['peer'] in ('a', 'b')


async def test_lost_servers_are_replaced_without_budget():
    """A failure of many servers must not fail what the rest can serve."""
    async with harness.running() as entry:
        _, asked = await pair(entry, fake_agent.cut_after(3))
        harness.set_budget(entry, 0)
        events = await entry.stream()
        assert len(asked) == 2
        assert events[-1] == ('', '[DONE]')


async def test_a_request_leaves_few_lost_servers():
    """A request that loses every server must not be tried for ever."""
    async with harness.running() as entry:
        agents = [await entry.add_agent(name) for name in 'abcd']
        for agent in agents:
            agent.script = fake_agent.cut_after(0)
        entry.update_view()
        harness.set_budget(entry, 0)
        status, body = await entry.complete()
        assert status == 502
        assert body['error']['code'] == 'outcome_unknown'
        opened = sum(len(agent.opened) for agent in agents)
        assert opened == 1 + model_call.MAX_FAILOVERS


async def test_without_budget_a_cut_stream_ends_with_an_error_event():
    """A cut answer must not look complete, nor be called not run."""
    async with harness.running() as entry:
        _, asked = await pair(entry, fake_agent.fail_after(3))
        harness.set_budget(entry, 0)
        events = await entry.stream()
        assert len(asked) == 1
        name, value = events[-1]
        assert name == 'error'
        assert value['error']['code'] == 'outcome_unknown'
        assert value['error']['not_run'] is False
        assert len(events) == 4


async def test_planned_refusals_are_retried_without_budget():
    """A planned stop of an agent must not fail requests."""
    async with harness.running() as entry:
        _, asked = await pair(entry, fake_agent.refuse('draining'))
        harness.set_budget(entry, 0)
        status, _ = await entry.complete()
        assert (status, len(asked)) == (200, 2)


async def test_one_unproven_attempt_makes_the_outcome_unknown():
    """`not_run` needs a proof for every attempt."""
    async with harness.running() as entry:
        refuse = fake_agent.refuse('overloaded')
        await pair(entry, fake_agent.cut_after(0), refuse)
        status, body = await entry.complete()
        assert status == 502
        assert body['error']['code'] == 'outcome_unknown'
        assert body['error']['not_run'] is False


async def deadline_error(query_state):
    """Let the deadline pass at a silent agent; returns the error."""
    timers = core_timers.ManualTimerService()
    async with harness.running(timers) as entry:
        agent = await entry.add_agent('a')
        agent.script = fake_agent.silent
        agent.query_state = query_state
        entry.update_view()
        harness.set_budget(entry, 0)
        request = asyncio.ensure_future(
            entry.complete(headers={**harness.AUTH, 'X-Deadline-Ms': '200'})
        )
        await harness.advance_until(timers, agent.close_seen, 0.05)
        status, body = await request
        assert agent.opened[0].deadline_ms == 200
        assert status == 504
        return body['error']


async def test_deadline_asks_for_the_proof_that_nothing_ran():
    """A queued attempt that was fenced in time did not run."""
    error = await deadline_error(messages.AttemptState.CANCELLED)
    assert (error['code'], error['not_run']) == ('deadline', True)


async def test_deadline_without_proof_is_not_called_not_run():
    """An admitted attempt may have run although nothing arrived."""
    error = await deadline_error(messages.AttemptState.ADMITTED)
    assert (error['code'], error['not_run']) == ('deadline', False)


async def test_caller_that_leaves_cancels_the_attempt():
    """An answer that nobody reads must not occupy the servers."""
    for stream in (True, False):
        async with harness.running() as entry:
            agent = await entry.add_agent('a')
            agent.script = fake_agent.stall_after(2)
            entry.update_view()
            request = asyncio.ensure_future(entry.complete(stream=stream))
            await agent.stalled.wait()
            request.cancel()
            await entry.client.close()
            await agent.close_seen.wait()
            assert agent.closed[0].attempt == 1
            drain = entry.daemon.drain
            await harness.until(lambda drain=drain: not drain.active)


async def wrong_layers(agent, peer, frame):
    for body in fake_agent.frames_of(frame):
        if isinstance(body, messages.TokenBatch):
            token = body.tokens[0]
            if token.token_index == 2:
                token = attrs.evolve(token, ranges=[messages.LayerRange(0, 7)])
            body = messages.TokenBatch([token])
        await peer.send(body)


async def test_token_with_missing_layers_is_never_passed_on():
    """A token that skipped a layer is not the model's answer."""
    async with harness.running() as entry:
        _, asked = await pair(entry, wrong_layers)
        events = await entry.stream()
        assert harness.text_of(events) == REFERENCE
        assert len(asked[1].opened[0].generated) == 2


async def test_finish_without_the_end_marker_is_not_complete():
    """An answer that lost its last token must be continued."""
    async with harness.running() as entry:
        lost = fake_agent.mangled(
            lambda frames: [f for f in frames if f is not frames[-2]]
        )
        _, asked = await pair(entry, lost)
        status, body = await entry.complete()
        assert body['choices'][0]['text'] == REFERENCE
        assert len(asked) == 2


async def crash(agent, peer, frame):
    """Fail an attempt as one that crashed the engine."""
    await peer.send(
        fake_agent.status(
            frame,
            messages.AttemptState.FAILED,
            'peer_lost',
            peer=agent.server_id,
            engine_crashed=True,
        )
    )


async def test_crash_makes_the_next_attempt_run_alone():
    """A request that crashes servers must not take others along."""
    async with harness.running() as entry:
        _, asked = await pair(entry, crash)
        status, _ = await entry.complete()
        assert status == 200
        assert [a.opened[0].isolate for a in asked] == [False, True]


async def test_caller_learns_of_crashes_after_they_are_counted():
    """A request sent again at once must meet its quarantine."""
    async with harness.running() as entry:
        _, asked = await pair(entry, crash, crash)
        request = asyncio.ensure_future(entry.complete())
        await harness.until(lambda: len(asked) == 2)
        fingerprint = asked[0].opened[0].fingerprint
        # One crash is known, so that another entry would still run it.
        entry.session.suspects.add(fingerprint)
        await asyncio.sleep(5 * model_call.CRASH_NEWS_POLL_S)
        assert not request.done()
        entry.session.quarantined.add(fingerprint)
        status, body = await request
        assert (status, body['error']['code']) == (502, 'outcome_unknown')


async def test_caller_does_not_wait_for_a_silent_control():
    """A request that crashed servers must be answered without a quorum."""
    async with harness.running() as entry:
        _, asked = await pair(entry, crash, crash)
        started_s = time.monotonic()
        status, _ = await entry.complete()
        assert (status, len(asked)) == (502, 2)
        waited_s = time.monotonic() - started_s
        assert waited_s >= model_call.CRASH_NEWS_WAIT_S


async def test_unreachable_head_is_proof_that_nothing_ran():
    """A refused connection cannot have carried an attempt."""
    async with harness.running() as entry:
        agent = await entry.add_agent('a')
        entry.update_view()
        await agent.server.stop()
        status, body = await entry.complete()
        assert status == 503
        assert body['error']['code'] == 'not_run'
        assert body['error']['not_run'] is True


async def test_failed_link_to_a_middle_stage_is_avoided():
    """The retry must go around the stage that was reported."""
    async with harness.running() as entry:
        head = await entry.add_agent('a', 0, 4)
        await entry.add_agent('b', 4, 8)
        await entry.add_agent('c', 4, 8)
        entry.update_view()

        async def run(agent, peer, frame):
            if len(agent.opened) > 1:
                return await fake_agent.answer(agent, peer, frame)
            state = messages.AttemptState.FAILED
            return await peer.send(
                fake_agent.status(
                    frame,
                    state,
                    'peer_lost',
                    step='link',
                    peer=frame.chain[1].server_id,
                )
            )

        head.script = run
        status, _ = await entry.complete()
        tails = [f.chain[1].server_id for f in head.opened]
        assert status == 200
        assert sorted(tails) == ['b', 'c']
        links = entry.context.routing.links
        assert links.penalty_s('a', tails[0]) > 0
        assert links.penalty_s('a', tails[1]) == 0


async def test_requests_of_two_callers_are_not_mixed_up():
    """Concurrent answers share connections but nothing else."""
    async with harness.running() as entry:
        await entry.add_agent('a')
        entry.update_view()
        prompts = [f'question {number}' for number in range(20)]
        results = await asyncio.gather(*(entry.complete(p) for p in prompts))
        texts = [body['choices'][0]['text'] for _, body in results]
        assert texts == [fake_agent.reference_text(p, 6) for p in prompts]
        assert entry.context.pool.open_count == 1
