"""Tests of plain service calls and their idempotency claims."""

import asyncio

import attrs

from pimentowalk.control import commands
from pimentowalk.core import timers as core_timers
from pimentowalk.entry import claims
from pimentowalk.entry.tests import fake_agent
from pimentowalk.entry.tests import harness
from pimentowalk.wire import messages

STATES = messages.AttemptState


def reply_with_state(state, code=''):
    """Return a service script that replies with this state."""

    async def run(agent, peer, frame):
        await peer.send(fake_agent.reply(frame, state, code=code))

    return run


async def hold_call(agent, peer, frame):
    """Accept the call and reply only after `close_seen` is set."""
    agent.stalled.set()
    await agent.close_seen.wait()
    await fake_agent.echo_call(agent, peer, frame)


async def start_service_pair(entry, script):
    """Start two agents of the service; the first call runs `script`."""
    agents = [
        await entry.add_agent(name, kind='plain') for name in ('s1', 's2')
    ]
    calls = []

    async def run(agent, peer, frame):
        calls.append(agent)
        current_script = script if len(calls) == 1 else fake_agent.echo_call
        await current_script(agent, peer, frame)

    for agent in agents:
        agent.service_script = run
    entry.update_view()
    return calls


async def test_lost_idempotent_call_is_retried():
    """An idempotent call may be resent after a lost connection."""
    async with harness.running() as entry:
        calls = await start_service_pair(entry, fake_agent.disconnect)
        async with entry.client.get(
            '/bookings/list', headers=harness.AUTH_HEADERS
        ) as response:
            assert response.status == 200
        assert len(set(calls)) == 2


async def test_lost_booking_without_key_is_never_retried():
    """A retry of a booking with unknown outcome could run it twice."""
    async with harness.running() as entry:
        calls = await start_service_pair(entry, fake_agent.disconnect)
        status, _, body = await entry.post_booking()
        error = harness.parse_error(body)
        assert (status, error['code']) == (502, 'outcome_unknown')
        assert error['not_run'] is False
        assert len(calls) == 1


async def test_refused_booking_is_retried_on_another_server():
    """A booking that was provably refused can be sent to another server."""
    for key in ('', 'k1'):
        async with harness.running() as entry:
            calls = await start_service_pair(
                entry, reply_with_state(STATES.REFUSED, 'overloaded')
            )
            status, _, _ = await entry.post_booking(key=key)
            assert status == 200
            assert len(set(calls)) == 2
            assert [len(agent.calls) for agent in entry.agents] == [1, 1]


async def test_claim_is_opened_before_the_call_is_sent():
    """Without a claim, a resend could run the call again."""
    async with harness.running() as entry:
        claims_seen = []

        async def record_claim(agent, peer, frame):
            claim = entry.session.claims['north', 'k1']
            claims_seen.append((claim.state, claim.server, claim.request_id))
            await fake_agent.echo_call(agent, peer, frame)

        agent = await entry.add_agent('s1', kind='plain')
        agent.service_script = record_claim
        entry.update_view()
        await entry.post_booking(key='k1')
        address = commands.ServerAddress(
            's1', agent.incarnation, '127.0.0.1', agent.server.port
        )
        assert claims_seen == [('open', address, agent.calls[0].request_id)]
        assert agent.calls[0].non_idempotent


async def test_resend_returns_the_recorded_response():
    """A resent booking must not run again."""
    async with harness.running() as entry:
        agent = await entry.add_agent('s1', kind='plain')
        entry.update_view()
        first = await entry.post_booking(key='k1')
        second = await entry.post_booking(key='k1')
        assert first[0] == second[0] == 200
        assert first[2] == second[2] == b'POST /bookings/new slot 3'
        assert second[1]['X-Served-By'] == 's1'
        assert second[1]['X-Idempotency-Record'] == 'replayed'
        assert len(agent.calls) == 1


async def test_key_with_another_body_is_an_error():
    """The response to one booking must not be returned for another."""
    async with harness.running() as entry:
        agent = await entry.add_agent('s1', kind='plain')
        entry.update_view()
        await entry.post_booking(key='k1')
        status, _, body = await entry.post_booking(b'slot 4', key='k1')
        error = harness.parse_error(body)
        assert (status, error['code']) == (409, 'key_reused')
        assert error['not_run'] is True
        assert len(agent.calls) == 1


async def test_same_key_of_another_account_is_another_booking():
    """One account must not see the responses of another."""
    async with harness.running() as entry:
        agent = await entry.add_agent('s1', kind='plain')
        entry.update_view()
        await entry.post_booking(key='k1')
        other = {'Authorization': f'Bearer {harness.OTHER_API_KEY}'}
        await entry.post_booking(b'slot 4', key='k1', headers=other)
        assert len(agent.calls) == 2


async def test_without_quorum_a_keyed_booking_is_not_run():
    """Without a claim the booking could run twice."""
    async with harness.running() as entry:
        agent = await entry.add_agent('s1', kind='plain')
        entry.update_view()
        entry.session.has_quorum = False
        status, _, body = await entry.post_booking(key='k1')
        error = harness.parse_error(body)
        assert (status, error['code']) == (503, 'no_quorum')
        assert error['not_run'] is True
        assert agent.calls == []


async def test_claim_with_a_lost_reply_is_released():
    """A claim whose call was not sent must not block the resend."""
    async with harness.running() as entry:
        agent = await entry.add_agent('s1', kind='plain')
        entry.update_view()
        entry.session.replies_to_lose = 1
        status, _, body = await entry.post_booking(key='k1')
        assert harness.parse_error(body)['not_run'] is True
        assert agent.calls == []
        await harness.wait_until(lambda: not entry.session.claims)
        assert (await entry.post_booking(key='k1'))[0] == 200


async def test_lost_keyed_booking_stays_unknown_for_its_resend():
    """A resend after a lost connection must not run the booking again."""
    async with harness.running() as entry:
        calls = await start_service_pair(entry, fake_agent.disconnect)
        for _ in range(2):
            status, _, body = await entry.post_booking(key='k1')
            error = harness.parse_error(body)
            assert (status, error['code']) == (502, 'outcome_unknown')
            assert error['not_run'] is False
        assert len(calls) == 1


def add_open_claim_of_another_entry(entry, agent):
    """Store an open claim as left behind by an entry that crashed."""
    request_hash = claims.request_hash('POST', '/bookings/new', b'slot 3')
    address = commands.ServerAddress(
        agent.server_id,
        agent.incarnation,
        '127.0.0.1',
        agent.server.port,
    )
    entry.session.claims['north', 'k1'] = commands.Claim(
        'other', request_hash, b'r' * 16, 1, address, 'open', 0.0
    )


async def test_open_claim_of_a_call_that_never_ran_is_taken_over():
    """A resend must work if the entry crashed before it sent the booking."""
    async with harness.running() as entry:
        agent = await entry.add_agent('s1', kind='plain')
        entry.update_view()
        add_open_claim_of_another_entry(entry, agent)
        status, _, _ = await entry.post_booking(key='k1')
        assert status == 200
        assert agent.queries[0].request_id == b'r' * 16
        assert len(agent.calls) == 1
        assert entry.session.claims['north', 'k1'].state == 'settled'


async def open_claim_error(state, *, stop_agent=False):
    """Resend a booking whose claim is open; return the error."""
    timers = core_timers.ManualTimerService()
    async with harness.running(timers) as entry:
        agent = await entry.add_agent('s1', kind='plain')
        agent.query_state = state
        entry.update_view()
        add_open_claim_of_another_entry(entry, agent)
        if stop_agent:
            await agent.stop()
        response_received = asyncio.Event()
        request = asyncio.ensure_future(entry.post_booking(key='k1'))
        request.add_done_callback(lambda _: response_received.set())
        await harness.advance_until(timers, response_received)
        assert agent.calls == []
        assert entry.session.claims['north', 'k1'].claim_id == 'other'
        return harness.parse_error((await request)[2])


async def test_open_claim_of_a_running_call_is_not_taken_over():
    """A call that is still running must not be sent again."""
    error = await open_claim_error(STATES.ADMITTED)
    assert (error['code'], error['not_run']) == ('key_in_progress', False)


async def test_open_claim_without_proof_is_an_unknown_outcome():
    """Without a reply of the agent the booking may have run."""
    error = await open_claim_error(STATES.FAILED)
    assert (error['code'], error['not_run']) == ('outcome_unknown', False)
    error = await open_claim_error(None, stop_agent=True)
    assert (error['code'], error['not_run']) == ('outcome_unknown', False)


async def test_large_reply_is_recorded_by_its_status():
    """A response too large for a claim must be marked as such."""
    async with harness.running() as entry:
        agent = await entry.add_agent('s1', kind='plain')
        entry.update_view()
        content = b'x' * (claims.MAX_RECORDED_BYTES + 1)
        status, headers, body = await entry.post_booking(content, key='k1')
        assert (status, body[-1:]) == (200, b'x')
        assert headers['X-Idempotency-Record'] == 'status-only'
        status, headers, body = await entry.post_booking(content, key='k1')
        assert (status, body) == (200, b'')
        assert headers['X-Idempotency-Record'] == 'status-only'
        assert len(agent.calls) == 1


async def test_booking_is_settled_after_its_caller_disconnects():
    """A claim left open would make the outcome of a resend unknown."""
    async with harness.running() as entry:
        agent = await entry.add_agent('s1', kind='plain')
        agent.service_script = hold_call
        entry.update_view()
        request = asyncio.ensure_future(entry.post_booking(key='k1'))
        await agent.stalled.wait()
        request.cancel()
        drain = entry.daemon.drain
        await harness.wait_until(lambda: not drain.active_count)
        agent.close_seen.set()
        stored_claims = entry.session.claims
        await harness.wait_until(
            lambda: stored_claims['north', 'k1'].state == 'settled'
        )
        status, _, body = await entry.post_booking(key='k1')
        assert (status, body) == (200, b'POST /bookings/new slot 3')
        assert len(agent.calls) == 1


async def test_reply_of_an_earlier_attempt_is_ignored():
    """A late reply to a refused attempt must not be used for the next one."""
    async with harness.running() as entry:
        agent = await entry.add_agent('s1', kind='plain')
        entry.update_view()

        async def reply_late(agent, peer, frame):
            if frame.attempt == 1:
                await reply_with_state(STATES.REFUSED, 'overloaded')(
                    agent, peer, frame
                )
                return
            old = fake_agent.reply(agent.calls[0], status=500, body=b'old')
            await peer.send(old)
            await fake_agent.echo_call(agent, peer, frame)

        agent.service_script = reply_late
        status, _, body = await entry.post_booking()
        assert (status, body) == (200, b'POST /bookings/new slot 3')


async def test_booking_is_not_sent_to_another_incarnation():
    """A restarted agent has forgotten which attempts were fenced."""
    async with harness.running() as entry:
        agent = await entry.add_agent('s1', kind='plain')
        entry.session.update_view(attrs.evolve(agent.record(), incarnation=6))
        status, _, body = await entry.post_booking(key='k1')
        assert harness.parse_error(body)['not_run'] is True
        assert agent.calls == []
        assert not entry.session.claims


async def post_raw_target(entry, target):
    """POST to a target that client libraries reject; return the status."""
    reader, writer = await asyncio.open_connection(*entry.daemon.address)
    head = (
        f'POST {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n'
        f'Authorization: Bearer {harness.API_KEY}\r\nContent-Length: 0\r\n\r\n'
    )
    writer.write(head.encode())
    response = await reader.read()
    writer.close()
    return int(response.split()[1])


async def test_paths_with_dot_segments_are_rejected():
    """A dot segment could bypass the rules of the route of a path."""
    async with harness.running() as entry:
        agent = await entry.add_agent('s1', kind='plain')
        entry.update_view()
        routes = entry.session.configuration.routes
        routes['open'] = attrs.evolve(
            routes['bookings'],
            name='open',
            path_prefix='/open',
            non_idempotent_methods=[],
        )
        for target in (
            '/open/../bookings/new',
            '/open/%2e%2e/bookings/new',
            '/open/%252e%252e/bookings/new',
            '/open/..%2fbookings/new',
            '/open/..\\bookings/new',
            '/open/./new',
        ):
            assert await post_raw_target(entry, target) in (400, 404), target
        for target in ('@127.0.0.1/open', 'http://127.0.0.1:1/open/new'):
            await post_raw_target(entry, target)
        assert [call.path for call in agent.calls if call.path[0] != '/'] == []
        assert await post_raw_target(entry, '/open/new..x') == 200
        assert not agent.calls[-1].non_idempotent


async def test_claim_opened_after_the_deadline_is_released():
    """A call must not be sent after its deadline, nor keep its claim."""
    timers = core_timers.ManualTimerService()
    async with harness.running(timers) as entry:
        agent = await entry.add_agent('s1', kind='plain')
        entry.update_view()
        request = entry.session.request

        async def request_slowly(command, timeout_s=5.0):
            if isinstance(command, commands.OpenClaim):
                assert timeout_s <= 0.4
                await timers.advance(0.5)
            return await request(command)

        entry.session.request = request_slowly
        headers = {'X-Deadline-Ms': '400'}
        status, _, body = await entry.post_booking(key='k1', headers=headers)
        error = harness.parse_error(body)
        assert (status, error['code']) == (504, 'deadline')
        assert error['not_run'] is True
        assert agent.calls == []
        assert not entry.session.claims
