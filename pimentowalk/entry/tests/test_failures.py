"""Tests of attempts, retries, budgets and deadlines of model requests."""

import asyncio
import time

import attrs

from pimentowalk.core import timers as core_timers
from pimentowalk.entry import model_call
from pimentowalk.entry.tests import fake_agent
from pimentowalk.entry.tests import harness
from pimentowalk.wire import messages

REFERENCE_TEXT = fake_agent.reference_text('Hi', 6)


async def start_pair(entry, script, later_script=fake_agent.answer):
    """Start two agents with all layers.

    The first attempt runs `script`, later ones `later_script`. Returns the
    agents and the list of those called so far.
    """
    agents = [await entry.add_agent('a'), await entry.add_agent('b')]
    called_agents = []

    async def run(agent, peer, frame):
        called_agents.append(agent)
        current_script = script if len(called_agents) == 1 else later_script
        await current_script(agent, peer, frame)

    for agent in agents:
        agent.script = run
    entry.update_view()
    return agents, called_agents


async def test_response_continues_on_another_chain_after_a_disconnect():
    """A lost stage must not lose or repeat tokens of the response."""
    async with harness.running() as entry:
        _, called_agents = await start_pair(
            entry, fake_agent.disconnect_after(3)
        )
        events = await entry.stream()
        assert harness.joined_text(events) == REFERENCE_TEXT
        assert events[-1] == ('', '[DONE]')
        first, second = called_agents
        assert first is not second
        frame = second.opened[0]
        assert frame.attempt == 2
        assert frame.request_id == first.opened[0].request_id
        assert frame.generated == [
            fake_agent.token_id('Hi', '', 1, index) for index in range(3)
        ]


async def test_stalled_attempt_is_closed_and_late_tokens_are_dropped():
    """Tokens of a stalled agent that resumes must not enter the response."""
    timers = core_timers.ManualTimerService()
    late_sent = asyncio.Event()
    async with harness.running(timers) as entry:

        async def send_late_tokens(agent, peer, frame):
            await fake_agent.stall_after(2)(agent, peer, frame)
            await agent.close_seen.wait()
            for body in fake_agent.successful_frames(frame)[4:]:
                await peer.send(body)
            late_sent.set()

        async def answer_after_late_tokens(agent, peer, frame):
            frames = fake_agent.successful_frames(frame)
            for body in frames[:3]:
                await peer.send(body)
            await late_sent.wait()
            for body in frames[3:]:
                await peer.send(body)

        _, called_agents = await start_pair(
            entry, send_late_tokens, answer_after_late_tokens
        )
        request = asyncio.ensure_future(entry.stream())
        await harness.wait_until(lambda: called_agents)
        await harness.advance_until(timers, called_agents[0].close_seen)
        events = await request
        assert harness.joined_text(events) == REFERENCE_TEXT
        assert len(called_agents) == 2
        assert called_agents[0].closed[0].attempt == 1


async def test_refused_by_all_is_reported_as_not_run():
    """A proven refusal must be distinguishable from an unknown outcome."""
    async with harness.running() as entry:
        script = fake_agent.refuse('overloaded', retry_after_ms=3000)
        await start_pair(entry, script, script)
        body = {'model': 'm1', 'prompt': 'Hi'}
        async with entry.client.post(
            '/v1/completions', json=body, headers=harness.AUTH_HEADERS
        ) as response:
            assert response.status == 503
            assert response.headers['Retry-After'] == '3'
            request_id = response.headers['X-Request-Id']
            error = (await response.json())['error']
        assert error['code'] == 'overloaded'
        assert error['not_run'] is True
        assert error['request_id'] == request_id
        assert error['peer'] in ('a', 'b')


async def test_failover_is_not_charged_to_the_retry_budget():
    """The loss of many servers must not exhaust the retry budget."""
    async with harness.running() as entry:
        _, called_agents = await start_pair(
            entry, fake_agent.disconnect_after(3)
        )
        harness.set_retry_budget(entry, 0)
        events = await entry.stream()
        assert len(called_agents) == 2
        assert events[-1] == ('', '[DONE]')


async def test_failovers_of_one_request_are_limited():
    """A request that loses every server must not be retried forever."""
    async with harness.running() as entry:
        agents = [await entry.add_agent(name) for name in 'abcd']
        for agent in agents:
            agent.script = fake_agent.disconnect_after(0)
        entry.update_view()
        harness.set_retry_budget(entry, 0)
        status, body = await entry.complete()
        assert status == 502
        assert body['error']['code'] == 'outcome_unknown'
        opened = sum(len(agent.opened) for agent in agents)
        assert opened == 1 + model_call.MAX_FAILOVERS


async def test_failed_stream_without_retry_ends_with_an_error_event():
    """A partial response must not look complete or be reported as not run."""
    async with harness.running() as entry:
        _, called_agents = await start_pair(entry, fake_agent.fail_after(3))
        harness.set_retry_budget(entry, 0)
        events = await entry.stream()
        assert len(called_agents) == 1
        name, value = events[-1]
        assert name == 'error'
        assert value['error']['code'] == 'outcome_unknown'
        assert value['error']['not_run'] is False
        assert len(events) == 4


async def test_planned_refusals_are_not_charged_to_the_retry_budget():
    """A draining agent must not fail requests."""
    async with harness.running() as entry:
        _, called_agents = await start_pair(
            entry, fake_agent.refuse('draining')
        )
        harness.set_retry_budget(entry, 0)
        status, _ = await entry.complete()
        assert (status, len(called_agents)) == (200, 2)


async def test_one_unproven_attempt_makes_the_outcome_unknown():
    """`not_run` needs proof for every attempt."""
    async with harness.running() as entry:
        refuse = fake_agent.refuse('overloaded')
        await start_pair(entry, fake_agent.disconnect_after(0), refuse)
        status, body = await entry.complete()
        assert status == 502
        assert body['error']['code'] == 'outcome_unknown'
        assert body['error']['not_run'] is False


async def deadline_error(query_state):
    """Let the deadline pass at a silent agent; return the error."""
    timers = core_timers.ManualTimerService()
    async with harness.running(timers) as entry:
        agent = await entry.add_agent('a')
        agent.script = fake_agent.send_nothing
        agent.query_state = query_state
        entry.update_view()
        harness.set_retry_budget(entry, 0)
        request = asyncio.ensure_future(
            entry.complete(
                headers={**harness.AUTH_HEADERS, 'X-Deadline-Ms': '200'}
            )
        )
        await harness.advance_until(timers, agent.close_seen, 0.05)
        status, body = await request
        assert agent.opened[0].deadline_ms == 200
        assert status == 504
        return body['error']


async def test_deadline_with_proof_is_reported_as_not_run():
    """An attempt that was fenced before its admission did not run."""
    error = await deadline_error(messages.AttemptState.CANCELLED)
    assert (error['code'], error['not_run']) == ('deadline', True)


async def test_deadline_without_proof_is_not_reported_as_not_run():
    """An admitted attempt may have run although no token arrived."""
    error = await deadline_error(messages.AttemptState.ADMITTED)
    assert (error['code'], error['not_run']) == ('deadline', False)


async def test_disconnect_of_the_caller_cancels_the_attempt():
    """A response without a reader must not occupy the servers."""
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
            await harness.wait_until(
                lambda drain=drain: not drain.active_count
            )


async def answer_with_missing_layers(agent, peer, frame):
    for body in fake_agent.successful_frames(frame):
        if isinstance(body, messages.TokenBatch):
            token = body.tokens[0]
            if token.token_index == 2:
                token = attrs.evolve(token, ranges=[messages.LayerRange(0, 7)])
            body = messages.TokenBatch([token])
        await peer.send(body)


async def test_token_with_missing_layers_is_never_delivered():
    """A token that skipped a layer must not enter the response."""
    async with harness.running() as entry:
        _, called_agents = await start_pair(entry, answer_with_missing_layers)
        events = await entry.stream()
        assert harness.joined_text(events) == REFERENCE_TEXT
        assert len(called_agents[1].opened[0].generated) == 2


async def test_finish_without_the_end_marker_is_not_complete():
    """A response that lost its last token must be continued."""
    async with harness.running() as entry:
        script_without_last_token = fake_agent.send_changed(
            lambda frames: [
                frame for frame in frames if frame is not frames[-2]
            ]
        )
        _, called_agents = await start_pair(entry, script_without_last_token)
        status, body = await entry.complete()
        assert body['choices'][0]['text'] == REFERENCE_TEXT
        assert len(called_agents) == 2


async def crash_engine(agent, peer, frame):
    """Fail an attempt and report that it crashed the engine."""
    await peer.send(
        fake_agent.status(
            frame,
            messages.AttemptState.FAILED,
            'peer_lost',
            peer=agent.server_id,
            engine_crashed=True,
        )
    )


async def test_attempt_after_a_crash_is_isolated():
    """A request that crashes engines must not run beside other requests."""
    async with harness.running() as entry:
        _, called_agents = await start_pair(entry, crash_engine)
        status, _ = await entry.complete()
        assert status == 200
        assert [agent.opened[0].isolate for agent in called_agents] == [
            False,
            True,
        ]


async def test_error_is_held_back_until_crashes_are_confirmed():
    """A request that is resent at once must already be quarantined."""
    async with harness.running() as entry:
        _, called_agents = await start_pair(entry, crash_engine, crash_engine)
        request = asyncio.ensure_future(entry.complete())
        await harness.wait_until(lambda: len(called_agents) == 2)
        fingerprint = called_agents[0].opened[0].fingerprint
        # After one crash another entry would still run the request.
        entry.session.suspects.add(fingerprint)
        await asyncio.sleep(5 * model_call.CRASH_CONFIRMATION_POLL_S)
        assert not request.done()
        entry.session.quarantined.add(fingerprint)
        status, body = await request
        assert (status, body['error']['code']) == (502, 'outcome_unknown')


async def test_wait_for_crash_confirmation_is_bounded():
    """Without confirmation of the crashes the caller still gets an error."""
    async with harness.running() as entry:
        _, called_agents = await start_pair(entry, crash_engine, crash_engine)
        started_s = time.monotonic()
        status, _ = await entry.complete()
        assert (status, len(called_agents)) == (502, 2)
        waited_s = time.monotonic() - started_s
        assert waited_s >= model_call.CRASH_CONFIRMATION_TIMEOUT_S


async def test_unreachable_head_is_proof_of_not_run():
    """An attempt cannot have run if the connection was refused."""
    async with harness.running() as entry:
        agent = await entry.add_agent('a')
        entry.update_view()
        await agent.server.stop()
        status, body = await entry.complete()
        assert status == 503
        assert body['error']['code'] == 'not_run'
        assert body['error']['not_run'] is True


async def test_failed_link_to_a_middle_stage_is_avoided():
    """The retry must avoid the stage that was reported as failed."""
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
        second_stage_ids = [frame.chain[1].server_id for frame in head.opened]
        assert status == 200
        assert sorted(second_stage_ids) == ['b', 'c']
        links = entry.context.routing.links
        assert links.penalty_s('a', second_stage_ids[0]) > 0
        assert links.penalty_s('a', second_stage_ids[1]) == 0


async def test_concurrent_requests_are_not_mixed_up():
    """Concurrent responses share a connection but no tokens."""
    async with harness.running() as entry:
        await entry.add_agent('a')
        entry.update_view()
        prompts = [f'question {number}' for number in range(20)]
        results = await asyncio.gather(
            *(entry.complete(prompt) for prompt in prompts)
        )
        texts = [body['choices'][0]['text'] for _, body in results]
        assert texts == [
            fake_agent.reference_text(prompt, 6) for prompt in prompts
        ]
        assert entry.context.pool.open_count == 1
