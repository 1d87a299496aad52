"""Guard calls of plain services and their claims."""

import asyncio

import attrs

from pimentowalk.control import commands
from pimentowalk.core import timers as core_timers
from pimentowalk.entry import claims
from pimentowalk.entry.tests import fake_agent
from pimentowalk.entry.tests import harness
from pimentowalk.wire import messages

STATES = messages.AttemptState


def ended(state, code=''):
    """Return a service script that reports this state."""

    async def run(agent, peer, frame):
        await peer.send(fake_agent.reply(frame, state, code=code))

    return run


async def hold(agent, peer, frame):
    """Take the call and answer only when released."""
    agent.stalled.set()
    await agent.close_seen.wait()
    await fake_agent.serve(agent, peer, frame)


async def service_pair(entry, script):
    """Start two agents of the service; the first call meets a script."""
    agents = [
        await entry.add_agent(name, kind='plain') for name in ('s1', 's2')
    ]
    calls = []

    async def run(agent, peer, frame):
        calls.append(agent)
        chosen = script if len(calls) == 1 else fake_agent.serve
        await chosen(agent, peer, frame)

    for agent in agents:
        agent.service_script = run
    entry.update_view()
    return calls


async def test_lost_idempotent_call_is_retried():
    """A read may be sent again after a lost connection."""
    async with harness.running() as entry:
        calls = await service_pair(entry, fake_agent.reply_lost)
        async with entry.client.get(
            '/bookings/list', headers=harness.AUTH
        ) as response:
            assert response.status == 200
        assert len(set(calls)) == 2


async def test_lost_booking_without_key_is_never_retried():
    """A booking whose outcome is unknown could run twice."""
    async with harness.running() as entry:
        calls = await service_pair(entry, fake_agent.reply_lost)
        status, _, body = await entry.book()
        error = harness.error_of(body)
        assert (status, error['code']) == (502, 'outcome_unknown')
        assert error['not_run'] is False
        assert len(calls) == 1


async def test_refused_booking_is_tried_elsewhere():
    """A proven refusal is no reason to fail a booking."""
    for key in ('', 'k1'):
        async with harness.running() as entry:
            calls = await service_pair(
                entry, ended(STATES.REFUSED, 'overloaded')
            )
            status, _, _ = await entry.book(key=key)
            assert status == 200
            assert len(set(calls)) == 2
            assert [len(a.calls) for a in entry.agents] == [1, 1]


async def test_claim_is_open_before_the_call_leaves():
    """A call without a claim could run again after a resend."""
    async with harness.running() as entry:
        seen = []

        async def look(agent, peer, frame):
            claim = entry.session.claims['north', 'k1']
            seen.append((claim.state, claim.server, claim.request_id))
            await fake_agent.serve(agent, peer, frame)

        agent = await entry.add_agent('s1', kind='plain')
        agent.service_script = look
        entry.update_view()
        await entry.book(key='k1')
        address = commands.ServerAddress(
            's1', agent.incarnation, '127.0.0.1', agent.server.port
        )
        assert seen == [('open', address, agent.calls[0].request_id)]
        assert agent.calls[0].non_idempotent


async def test_resend_gets_the_recorded_reply():
    """A resent booking must not run again."""
    async with harness.running() as entry:
        agent = await entry.add_agent('s1', kind='plain')
        entry.update_view()
        first = await entry.book(key='k1')
        second = await entry.book(key='k1')
        assert first[0] == second[0] == 200
        assert first[2] == second[2] == b'POST /bookings/new slot 3'
        assert second[1]['X-Served-By'] == 's1'
        assert second[1]['X-Idempotency-Record'] == 'replayed'
        assert len(agent.calls) == 1


async def test_key_with_another_body_is_an_error():
    """The reply to one booking must not answer another."""
    async with harness.running() as entry:
        agent = await entry.add_agent('s1', kind='plain')
        entry.update_view()
        await entry.book(key='k1')
        status, _, body = await entry.book(b'slot 4', key='k1')
        error = harness.error_of(body)
        assert (status, error['code']) == (409, 'key_reused')
        assert error['not_run'] is True
        assert len(agent.calls) == 1


async def test_same_key_of_another_account_is_another_booking():
    """One account must not see the replies of another."""
    async with harness.running() as entry:
        agent = await entry.add_agent('s1', kind='plain')
        entry.update_view()
        await entry.book(key='k1')
        other = {'Authorization': f'Bearer {harness.OTHER_KEY}'}
        await entry.book(b'slot 4', key='k1', headers=other)
        assert len(agent.calls) == 2


async def test_without_quorum_a_keyed_booking_is_not_run():
    """A booking without a claim could run twice."""
    async with harness.running() as entry:
        agent = await entry.add_agent('s1', kind='plain')
        entry.update_view()
        entry.session.has_quorum = False
        status, _, body = await entry.book(key='k1')
        error = harness.error_of(body)
        assert (status, error['code']) == (503, 'no_quorum')
        assert error['not_run'] is True
        assert agent.calls == []


async def test_claim_with_a_lost_reply_is_released():
    """A claim that nobody uses must not block the resend."""
    async with harness.running() as entry:
        agent = await entry.add_agent('s1', kind='plain')
        entry.update_view()
        entry.session.lose_replies = 1
        status, _, body = await entry.book(key='k1')
        assert harness.error_of(body)['not_run'] is True
        assert agent.calls == []
        await harness.until(lambda: not entry.session.claims)
        assert (await entry.book(key='k1'))[0] == 200


async def test_lost_keyed_booking_stays_unknown_for_its_resend():
    """A resend after a lost connection must not run again."""
    async with harness.running() as entry:
        calls = await service_pair(entry, fake_agent.reply_lost)
        for _ in range(2):
            status, _, body = await entry.book(key='k1')
            error = harness.error_of(body)
            assert (status, error['code']) == (502, 'outcome_unknown')
            assert error['not_run'] is False
        assert len(calls) == 1


def leave_open_claim(entry, agent):
    """Put the claim of an entry that died into control."""
    body_hash = claims.body_hash('POST', '/bookings/new', b'slot 3')
    address = commands.ServerAddress(
        agent.server_id,
        agent.incarnation,
        '127.0.0.1',
        agent.server.port,
    )
    entry.session.claims['north', 'k1'] = commands.Claim(
        'other', body_hash, b'r' * 16, 1, address, 'open', 0.0
    )


async def test_open_claim_of_a_call_that_never_ran_is_taken_over():
    """A booking whose entry died before sending must still be possible."""
    async with harness.running() as entry:
        agent = await entry.add_agent('s1', kind='plain')
        entry.update_view()
        leave_open_claim(entry, agent)
        status, _, _ = await entry.book(key='k1')
        assert status == 200
        assert agent.queries[0].request_id == b'r' * 16
        assert len(agent.calls) == 1
        assert entry.session.claims['north', 'k1'].state == 'settled'


async def open_claim_error(state, *, stop_agent=False):
    """Resend a booking whose claim is open; returns the error."""
    timers = core_timers.ManualTimerService()
    async with harness.running(timers) as entry:
        agent = await entry.add_agent('s1', kind='plain')
        agent.query_state = state
        entry.update_view()
        leave_open_claim(entry, agent)
        if stop_agent:
            await agent.stop()
        answered = asyncio.Event()
        request = asyncio.ensure_future(entry.book(key='k1'))
        request.add_done_callback(lambda _: answered.set())
        await harness.advance_until(timers, answered)
        assert agent.calls == []
        assert entry.session.claims['north', 'k1'].claim_id == 'other'
        return harness.error_of((await request)[2])


async def test_open_claim_of_a_running_call_is_not_taken_over():
    """A call that still runs must not be sent again."""
    error = await open_claim_error(STATES.ADMITTED)
    assert (error['code'], error['not_run']) == ('key_in_progress', False)


async def test_open_claim_without_proof_is_an_unknown_outcome():
    """Without the agent's word nothing is proven."""
    error = await open_claim_error(STATES.FAILED)
    assert (error['code'], error['not_run']) == ('outcome_unknown', False)
    error = await open_claim_error(None, stop_agent=True)
    assert (error['code'], error['not_run']) == ('outcome_unknown', False)


async def test_large_reply_is_recorded_by_its_status():
    """A reply that no claim can hold must say so."""
    async with harness.running() as entry:
        agent = await entry.add_agent('s1', kind='plain')
        entry.update_view()
        content = b'x' * (claims.MAX_RECORDED_BYTES + 1)
        status, headers, body = await entry.book(content, key='k1')
        assert (status, body[-1:]) == (200, b'x')
        assert headers['X-Idempotency-Record'] == 'status-only'
        status, headers, body = await entry.book(content, key='k1')
        assert (status, body) == (200, b'')
        assert headers['X-Idempotency-Record'] == 'status-only'
        assert len(agent.calls) == 1


async def test_booking_is_settled_although_its_caller_has_left():
    """A claim left open would make the resend's outcome unknown."""
    async with harness.running() as entry:
        agent = await entry.add_agent('s1', kind='plain')
        agent.service_script = hold
        entry.update_view()
        request = asyncio.ensure_future(entry.book(key='k1'))
        await agent.stalled.wait()
        request.cancel()
        drain = entry.daemon.drain
        await harness.until(lambda: not drain.active)
        agent.close_seen.set()
        claims_of = entry.session.claims
        await harness.until(
            lambda: claims_of['north', 'k1'].state == 'settled'
        )
        status, _, body = await entry.book(key='k1')
        assert (status, body) == (200, b'POST /bookings/new slot 3')
        assert len(agent.calls) == 1


async def test_reply_of_an_earlier_attempt_is_not_taken():
    """A late frame of a refused attempt must not answer the next one."""
    async with harness.running() as entry:
        agent = await entry.add_agent('s1', kind='plain')
        entry.update_view()

        async def late(agent, peer, frame):
            if frame.attempt == 1:
                await ended(STATES.REFUSED, 'overloaded')(agent, peer, frame)
                return
            old = fake_agent.reply(agent.calls[0], status=500, body=b'old')
            await peer.send(old)
            await fake_agent.serve(agent, peer, frame)

        agent.service_script = late
        status, _, body = await entry.book()
        assert (status, body) == (200, b'POST /bookings/new slot 3')


async def test_booking_is_not_sent_to_a_later_life_of_its_server():
    """A restarted agent does not know which attempts were fenced."""
    async with harness.running() as entry:
        agent = await entry.add_agent('s1', kind='plain')
        entry.session.update_view(attrs.evolve(agent.record(), incarnation=6))
        status, _, body = await entry.book(key='k1')
        assert harness.error_of(body)['not_run'] is True
        assert agent.calls == []
        assert not entry.session.claims


async def raw_status(entry, target):
    """POST to a target that no client library would send; get the status."""
    reader, writer = await asyncio.open_connection(*entry.daemon.address)
    head = (
        f'POST {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n'
        f'Authorization: Bearer {harness.KEY}\r\nContent-Length: 0\r\n\r\n'
    )
    writer.write(head.encode())
    answer = await reader.read()
    writer.close()
    return int(answer.split()[1])


async def test_paths_that_a_service_would_resolve_are_refused():
    """A call under another route's rules could run more than once."""
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
            assert await raw_status(entry, target) in (400, 404), target
        for target in ('@127.0.0.1/open', 'http://127.0.0.1:1/open/new'):
            await raw_status(entry, target)
        assert [c.path for c in agent.calls if c.path[0] != '/'] == []
        assert await raw_status(entry, '/open/new..x') == 200
        assert not agent.calls[-1].non_idempotent


async def test_claim_that_took_until_the_deadline_is_given_back():
    """A call sent after its deadline would run for nobody."""
    timers = core_timers.ManualTimerService()
    async with harness.running(timers) as entry:
        agent = await entry.add_agent('s1', kind='plain')
        entry.update_view()
        request = entry.session.request

        async def slow(command, timeout_s=5.0):
            if isinstance(command, commands.OpenClaim):
                assert timeout_s <= 0.4
                await timers.advance(0.5)
            return await request(command)

        entry.session.request = slow
        headers = {'X-Deadline-Ms': '400'}
        status, _, body = await entry.book(key='k1', headers=headers)
        error = harness.error_of(body)
        assert (status, error['code']) == (504, 'deadline')
        assert error['not_run'] is True
        assert agent.calls == []
        assert not entry.session.claims
