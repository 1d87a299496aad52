"""Guard the calls to plain services."""

import asyncio

import attrs

from pimentowalk.agent.tests import fakes
from pimentowalk.wire import messages


def send(desk, frame):
    """Send a call; return the task that gets its reply."""
    return asyncio.ensure_future(desk.entry.ask(frame))


def query(desk, frame):
    """Ask the agent about a call."""
    own = desk.agent.identity.incarnation
    return desk.entry.ask(messages.AttemptQuery(frame.request_id, 1, own))


async def test_call_that_breaks_off_is_unknown_and_not_repeated(desk):
    """A booking whose connection broke may have run."""
    desk.service.cut = True
    reply = await desk.entry.ask(fakes.service_call())
    assert (reply.state, reply.code) == ('failed', 'outcome_unknown')
    assert not reply.engine_crashed
    assert len(desk.service.calls) == 1


async def test_each_call_leaves_on_a_connection_of_its_own(desk):
    """A kept connection that had ended would make the outcome unknown."""
    for count in (1, 2, 3):
        reply = await desk.entry.ask(fakes.service_call(method='DELETE'))
        assert reply.state == 'finished'
        assert len(desk.service.calls) == count


async def test_service_gets_only_the_headers_of_its_caller(desk):
    """An added Accept-Encoding could get the caller a compressed reply."""
    headers = [messages.Header('X-Note', 'tyre')]
    for method in ('GET', 'POST'):
        call = fakes.service_call(method=method, headers=headers)
        assert (await desk.entry.ask(call)).state == 'finished'
        names = {name.lower() for name in desk.service.received_headers}
        assert 'x-note' in names
        assert not names & {'accept', 'accept-encoding', 'user-agent'}


async def test_service_that_is_away_refuses_the_call(desk):
    """Without a connection nothing has left, so the call may be repeated."""
    await desk.service.stop()
    frame = fakes.service_call()
    reply = await desk.entry.ask(frame)
    assert (reply.state, reply.code) == ('refused', 'not_run')
    assert (await query(desk, frame)).state == 'cancelled'


async def test_crash_in_the_middle_is_reported(desk):
    """Each call in flight becomes a suspect and is reported once."""
    desk.service.gate.clear()
    pending = [
        send(desk, fakes.service_call(fingerprint=fingerprint))
        for fingerprint in (12, 13, 14)
    ]
    await fakes.reach(lambda: len(desk.service.calls) == 3)
    desk.service.cut = True
    desk.service.healthy = False
    desk.service.gate.set()
    for reply in await asyncio.gather(*pending):
        assert (reply.state, reply.engine_crashed) == ('failed', True)
    crashes = desk.agent.control.crashes
    await fakes.reach(lambda: len(crashes) >= 3)
    assert sorted(crash.fingerprint for crash in crashes) == [12, 13, 14]
    assert desk.agent.suspicion.crashes == {12: 1, 13: 1, 14: 1}


async def test_unhealthy_service_is_announced_and_refused(desk):
    """New calls must go to another backend server."""
    desk.service.healthy = False
    await desk.timers.advance(1)
    await fakes.reach(lambda: not desk.agent.ready)
    assert desk.agent.announcement().draining
    reply = await desk.entry.ask(fakes.service_call())
    assert (reply.state, reply.code) == ('refused', 'not_run')
    desk.service.healthy = True
    await desk.timers.advance(1)
    await fakes.reach(lambda: desk.agent.ready)
    assert desk.agent.session.announced >= 3


async def test_repeated_frame_does_not_repeat_the_call(desk):
    """A frame that was sent again must not book again."""
    frame = fakes.service_call()
    await desk.entry.ask(frame)
    await desk.entry.connection.send(frame)
    await desk.entry.connection.send(attrs.evolve(frame, attempt=0))
    await desk.entry.ask(fakes.service_call(path='/other'))
    paths = [path for _, path, _ in desk.service.calls]
    assert paths == ['/jobs', '/other']


async def test_closed_call_that_waits_is_cancelled(desk):
    """Only a call that never left may be reported as never admitted."""
    desk.agent.service_calls.queue.limits = attrs.evolve(
        desk.agent.service_calls.queue.limits, max_running=1
    )
    desk.service.gate.clear()
    running, waiting = fakes.service_call(), fakes.service_call()
    first, second = send(desk, running), send(desk, waiting)
    await fakes.reach(lambda: desk.agent.service_calls.queue.waiting)
    await fakes.reach(lambda: desk.service.calls)
    for frame in (running, waiting):
        await desk.entry.close_attempt(frame)
    assert (await second).state == 'cancelled'
    assert len(desk.service.calls) == 1
    desk.service.gate.set()
    assert (await first).state == 'finished'


async def test_deadline_of_a_running_call_leaves_it_unknown(desk):
    """A call that may still run must not be reported as not run."""
    desk.service.gate.clear()
    reply = await desk.entry.ask(fakes.service_call(deadline_ms=1))
    assert (reply.state, reply.code) == ('failed', 'deadline')


async def test_reply_beyond_a_frame_is_reported(desk):
    """An oversized reply must not end the connection of the entry."""
    desk.service.reply = b'x' * (1 << 20)
    reply = await desk.entry.ask(fakes.service_call())
    assert (reply.state, reply.code) == ('failed', 'too_large')
    desk.service.reply = b'x' * 200_000
    reply = await desk.entry.ask(fakes.service_call())
    assert (reply.state, len(reply.body)) == ('finished', 200_000)


async def test_query_about_a_running_call_says_so(desk):
    """A resend waits for a call that runs instead of giving it up."""
    desk.service.gate.clear()
    frame = fakes.service_call()
    pending = send(desk, frame)
    await fakes.reach(lambda: desk.service.calls)
    assert (await query(desk, frame)).state == 'admitted'
    desk.service.gate.set()
    assert (await pending).state == 'finished'
    assert (await query(desk, frame)).state == 'failed'
