"""Tests of the HTTP handlers with fake agents."""

import json

import attrs
import pytest

from pimentowalk.core import timers as core_timers
from pimentowalk.entry.tests import fake_agent
from pimentowalk.entry.tests import harness
from tools.tests import waiting


async def test_completion_returns_all_tokens():
    """A completion over two stages must not lose or repeat tokens."""
    async with harness.running() as entry:
        await entry.add_agent('a', 0, 4)
        await entry.add_agent('b', 4, 8)
        entry.update_view()
        status, body = await entry.complete('Hi')
        assert status == 200
        choice = body['choices'][0]
        assert choice['text'] == fake_agent.reference_text('Hi', 6)
        assert choice['finish_reason'] == 'length'
        assert body['usage']['completion_tokens'] == 6
        frame = entry.agents[0].opened[0]
        assert [stage.server_id for stage in frame.chain] == ['a', 'b']
        assert (frame.account, frame.scope_version) == ('north', 4)
        assert 0 < frame.deadline_ms <= 30_000


async def test_streamed_completion_ends_with_done():
    """A complete stream must be distinguishable from a broken one."""
    async with harness.running() as entry:
        await entry.add_agent('a')
        entry.update_view()
        events = await entry.stream('Hi')
        assert harness.joined_text(events) == fake_agent.reference_text(
            'Hi', 6
        )
        assert events[-1] == ('', '[DONE]')
        assert len(events) == 7


async def test_chat_uses_messages_and_adapter():
    """The adapter and the joined chat messages must reach the agent."""
    async with harness.running() as entry:
        agent = await entry.add_agent('a')
        entry.update_view()
        body = {
            'model': 'm1:formal',
            'messages': [{'role': 'user', 'content': 'Hi'}],
            'max_tokens': 2,
            'temperature': 0,
            'seed': 1,
        }
        async with entry.client.post(
            '/v1/chat/completions', json=body, headers=harness.AUTH_HEADERS
        ) as response:
            content = await response.json()
        frame = agent.opened[0]
        assert frame.prompt == 'user: Hi\nassistant: '
        assert (frame.adapter, frame.temperature) == ('formal', 0.0)
        expected = fake_agent.reference_text(frame.prompt, 2, adapter='formal')
        message = content['choices'][0]['message']
        assert message == {'role': 'assistant', 'content': expected}


async def test_service_call_passes_end_to_end_headers_only():
    """Hop-by-hop headers and API keys must not reach a service."""
    async with harness.running() as entry:
        agent = await entry.add_agent('s', kind='plain')
        entry.update_view()
        async with entry.client.get(
            '/bookings/list?day=3',
            headers={**harness.AUTH_HEADERS, 'X-Own': '1', 'TE': 'trailers'},
        ) as response:
            assert response.status == 200
            assert await response.text() == 'GET /bookings/list?day=3 '
            assert response.headers['X-Served-By'] == 's'
            request_id = response.headers['X-Request-Id']
        headers = {
            header.name.lower(): header.value
            for header in agent.calls[0].headers
        }
        assert headers['x-own'] == '1'
        assert headers['x-client-account'] == 'north'
        assert headers['x-request-id'] == request_id
        assert not {'authorization', 'te', 'host'} & set(headers)
        assert not agent.calls[0].non_idempotent


INVALID_BODIES = [
    {'prompt': 'Hi'},
    {'model': 'm1'},
    {'model': 'm1', 'prompt': ['Hi']},
    {'model': 'm1', 'prompt': 'Hi', 'max_tokens': 0},
    {'model': 'm1', 'prompt': 'Hi', 'max_tokens': True},
    {'model': 'm1', 'prompt': 'Hi', 'max_tokens': 10**9},
    {'model': 'm1', 'prompt': 'Hi', 'seed': -1},
    {'model': 'm1', 'prompt': 'Hi', 'temperature': 'warm'},
    {'model': 'm1', 'prompt': '\ud800'},
    ['Hi'],
]


async def test_malformed_requests_are_refused_with_a_code():
    """A malformed request must not reach an agent or fail as `internal`."""
    async with harness.running() as entry:
        agent = await entry.add_agent('a')
        entry.update_view()
        for content in INVALID_BODIES:
            async with entry.client.post(
                '/v1/completions', json=content, headers=harness.AUTH_HEADERS
            ) as response:
                error = (await response.json())['error']
                assert (response.status, error['code']) == (
                    400,
                    'bad_request',
                ), content
                assert error['not_run'] is True
        assert agent.opened == []


async def test_unknown_models_adapters_and_deadlines_are_refused():
    """A wrong name must be an error, not be answered by another model."""
    async with harness.running() as entry:
        await entry.add_agent('a')
        entry.update_view()
        for model in ('m2', 'm1:rude', ''):
            status, _ = await entry.complete(model=model)
            assert status == (404 if model else 400)
        headers = {**harness.AUTH_HEADERS, 'X-Deadline-Ms': 'soon'}
        status, body = await entry.complete(headers=headers)
        assert (status, body['error']['step']) == (400, 'deadline')


async def test_body_above_the_limit_is_refused():
    """A body that does not fit in a frame must be refused early."""
    async with harness.running() as entry:
        await entry.add_agent('s', kind='plain')
        entry.update_view()
        status, _, body = await entry.post_booking(b'x' * (600 * 1024))
        assert status == 413
        assert harness.parse_error(body)['code'] == 'too_large'


async def test_wrong_key_is_refused_and_no_key_is_logged(caplog):
    """API keys must not leak to readers of the log."""
    caplog.set_level('DEBUG')
    async with harness.running() as entry:
        await entry.add_agent('a')
        entry.update_view()
        for headers in ({}, {'Authorization': 'Bearer wrong-key-9'}):
            status, body = await entry.complete(headers=headers)
            assert (status, body['error']['code']) == (401, 'unauthorized')
        status, _ = await entry.complete()
        assert status == 200
    for record in caplog.records:
        text = f'{record.getMessage()} {record.__dict__}'
        assert harness.API_KEY not in text
        assert 'wrong-key-9' not in text


async def test_account_sees_only_its_services():
    """An account limited to some services must not use others."""
    async with harness.running() as entry:
        await entry.add_agent('a')
        entry.update_view()
        entry.session.configuration = harness.configuration(
            services=['bookings']
        )
        status, _ = await entry.complete()
        assert status == 404
        async with entry.client.get(
            '/v1/models', headers=harness.AUTH_HEADERS
        ) as response:
            assert (await response.json())['data'] == []


async def test_models_lists_adapters():
    """The list of models must contain each adapter as `model:adapter`."""
    async with harness.running() as entry:
        async with entry.client.get(
            '/v1/models', headers=harness.AUTH_HEADERS
        ) as response:
            data = (await response.json())['data']
        assert [model['id'] for model in data] == ['m1', 'm1:formal']


async def test_not_ready_without_a_configuration():
    """The load balancer must not use an entry without a configuration."""
    async with harness.running() as entry:
        assert await get_status(entry, '/readyz') == 200
        entry.context.ready = False
        assert await get_status(entry, '/readyz') == 503
        assert await get_status(entry, '/healthz') == 200
        status, body = await entry.complete()
        assert (status, body['error']['not_run']) == (503, True)


async def get_status(entry, path):
    """Return the status of a GET request."""
    async with entry.client.get(path) as response:
        return response.status


async def test_no_chain_without_all_layers():
    """A model with a missing layer range must not be served."""
    async with harness.running() as entry:
        await entry.add_agent('a', 0, 4)
        entry.update_view()
        status, body = await entry.complete()
        assert (status, body['error']['code']) == (503, 'no_chain')
        assert body['error']['not_run'] is True


async def test_quarantined_request_is_refused():
    """A quarantined request must not run again, but a different one may."""
    async with harness.running() as entry:
        agent = await entry.add_agent('a')
        entry.update_view()
        await entry.complete('Crash')
        entry.session.quarantined.add(agent.opened[0].fingerprint)
        status, body = await entry.complete('Crash')
        assert (status, body['error']['code']) == (422, 'quarantined')
        status, _ = await entry.complete('Crash', max_tokens=5)
        assert status == 200


async def test_rate_limited_account_gets_retry_after():
    """Without `Retry-After`, callers would retry at once."""
    timers = core_timers.ManualTimerService()
    async with harness.running(timers) as entry:
        await entry.add_agent('a')
        entry.update_view()
        entry.session.configuration = harness.configuration(requests_per_s=0.2)
        assert (await entry.complete())[0] == 200
        # The entry reports its demand and is granted the whole rate.
        await timers.advance(0.25)
        assert entry.context.account_limits.share('north') == 1.0
        async with entry.client.post(
            '/v1/completions',
            json={'model': 'm1', 'prompt': 'Hi'},
            headers=harness.AUTH_HEADERS,
        ) as response:
            assert response.status == 429
            assert response.headers['Retry-After'] == '5'
        await timers.advance(5)
        assert (await entry.complete())[0] == 200


async def test_metrics_are_rendered():
    """The counters of requests and attempts must be exported."""
    async with harness.running() as entry:
        await entry.add_agent('a')
        entry.update_view()
        await entry.stream()
        async with entry.client.get('/metrics') as response:
            text = await response.text()
        assert 'pimentowalk_entry_requests_total 1' in text
        assert 'pimentowalk_entry_attempts_total 1' in text
        assert 'pimentowalk_entry_first_token_seconds_count 1' in text


async def test_entry_serves_without_the_control_plane():
    """A partition from the control plane must not stop all requests."""
    timers = core_timers.ManualTimerService()
    async with harness.running(timers) as entry:
        await entry.add_agent('a')
        entry.update_view()
        await timers.advance(1)
        entry.session.has_quorum = False
        assert not entry.context.account_limits.is_cut_off
        await timers.advance(20)
        assert entry.context.account_limits.is_cut_off
        assert (await entry.complete())[0] == 200


@pytest.mark.parametrize('path', ['/v1/completions', '/bookings/new'])
async def test_request_keeps_the_configuration_that_admitted_it(path):
    """An agent ran a request of an account that a change had removed.

    The request carried the version of the change that came during its body.
    """
    async with harness.running() as entry:
        model = await entry.add_agent('a')
        service = await entry.add_agent('s', kind='plain')
        called = []

        async def record_call(agent, peer, frame):
            called.append(frame)
            await fake_agent.echo_call(agent, peer, frame)

        service.service_script = record_call
        entry.update_view()
        metrics = entry.context.metrics

        async def body():
            yield json.dumps({'model': 'm1', 'prompt': 'Hi'}).encode()
            await waiting.until(lambda: metrics.counters['requests'])
            old = entry.session.configuration
            entry.session.configuration = attrs.evolve(
                old,
                version=6,
                accounts={},
                scope_versions={**old.scope_versions, 'account/north': 6},
            )
            yield b' '

        async with entry.client.post(
            path, data=body(), headers=harness.AUTH_HEADERS
        ) as response:
            assert response.status == 200
        (frame,) = [*model.opened, *called]
        assert frame.scope_version == 4
