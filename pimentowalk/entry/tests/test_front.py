"""Guard the HTTP front against the fake agent."""

from pimentowalk.entry.tests import fake_agent
from pimentowalk.entry.tests import harness


async def test_plain_completion_is_the_whole_answer():
    """An entry that loses or repeats tokens would corrupt answers."""
    async with harness.running() as entry:
        await entry.agent('a', 0, 4)
        await entry.agent('b', 4, 8)
        entry.show()
        status, body = await entry.complete('Hi')
        assert status == 200
        choice = body['choices'][0]
        assert choice['text'] == fake_agent.reference_text('Hi', 6)
        assert choice['finish_reason'] == 'length'
        assert body['usage']['completion_tokens'] == 6
        frame = entry.agents[0].opened[0]
        assert [s.server_id for s in frame.chain] == ['a', 'b']
        assert (frame.account, frame.scope_version) == ('north', 4)
        assert 0 < frame.deadline_ms <= 30_000


async def test_streamed_completion_ends_with_done():
    """A stream without its end marker looks complete when it is not."""
    async with harness.running() as entry:
        await entry.agent('a')
        entry.show()
        events = await entry.stream('Hi')
        assert harness.text_of(events) == fake_agent.reference_text('Hi', 6)
        assert events[-1] == ('', '[DONE]')
        assert len(events) == 7


async def test_chat_uses_messages_and_adapter():
    """A wrong adapter or prompt would answer another question."""
    async with harness.running() as entry:
        agent = await entry.agent('a')
        entry.show()
        body = {
            'model': 'm1:formal',
            'messages': [{'role': 'user', 'content': 'Hi'}],
            'max_tokens': 2,
            'temperature': 0,
            'seed': 1,
        }
        async with entry.client.post(
            '/v1/chat/completions', json=body, headers=harness.AUTH
        ) as response:
            content = await response.json()
        frame = agent.opened[0]
        assert frame.prompt == 'user: Hi\nassistant: '
        assert (frame.adapter, frame.temperature) == ('formal', 0.0)
        expected = fake_agent.reference_text(frame.prompt, 2, adapter='formal')
        message = content['choices'][0]['message']
        assert message == {'role': 'assistant', 'content': expected}


async def test_service_call_passes_end_to_end_headers_only():
    """Hop-by-hop headers or caller keys must not reach a service."""
    async with harness.running() as entry:
        agent = await entry.agent('s', kind='plain')
        entry.show()
        async with entry.client.get(
            '/bookings/list?day=3',
            headers={**harness.AUTH, 'X-Own': '1', 'TE': 'trailers'},
        ) as response:
            assert response.status == 200
            assert await response.text() == 'GET /bookings/list?day=3 '
            assert response.headers['X-Served-By'] == 's'
            request_id = response.headers['X-Request-Id']
        headers = {h.name.lower(): h.value for h in agent.calls[0].headers}
        assert headers['x-own'] == '1'
        assert headers['x-client-account'] == 'north'
        assert headers['x-request-id'] == request_id
        assert not {'authorization', 'te', 'host'} & set(headers)
        assert not agent.calls[0].non_idempotent
