"""Tests of calls to plain services."""

import asyncio
import math

import attrs
import pytest

from pimentowalk.agent import service_calls
from pimentowalk.agent.tests import fakes
from pimentowalk.wire import messages


def send(plain_setup, frame):
    """Send a call; return the task that waits for its reply."""
    return asyncio.ensure_future(plain_setup.entry.call(frame))


def query(plain_setup, frame):
    """Query the agent about a call; return its AttemptStatus."""
    incarnation = plain_setup.agent.identity.incarnation
    return plain_setup.entry.call(
        messages.AttemptQuery(frame.request_id, 1, incarnation)
    )


@pytest.mark.parametrize('method', ['POST', 'GET', 'PUT', 'DELETE'])
async def test_aborted_call_is_unknown_and_not_retried(plain_setup, method):
    """A call whose connection broke may have run, whatever its method."""
    plain_setup.service.abort_replies = True
    reply = await plain_setup.entry.call(fakes.service_call(method=method))
    assert (reply.state, reply.code) == ('failed', 'outcome_unknown')
    assert not reply.engine_crashed
    assert len(plain_setup.service.calls) == 1


async def test_each_call_uses_a_new_connection(plain_setup):
    """A pooled connection that was closed makes the outcome unknown."""
    for count in (1, 2, 3):
        reply = await plain_setup.entry.call(
            fakes.service_call(method='DELETE')
        )
        assert reply.state == 'finished'
        assert len(plain_setup.service.calls) == count


async def test_service_receives_only_the_headers_of_its_caller(plain_setup):
    """An added Accept-Encoding could lead to a compressed reply."""
    headers = [messages.Header('X-Note', 'tyre')]
    for method in ('GET', 'POST'):
        call = fakes.service_call(method=method, headers=headers)
        assert (await plain_setup.entry.call(call)).state == 'finished'
        names = {name.lower() for name in plain_setup.service.received_headers}
        assert 'x-note' in names
        assert not names & {'accept', 'accept-encoding', 'user-agent'}


async def test_call_to_an_unreachable_service_is_refused(plain_setup):
    """Without a connection nothing was sent, so a retry is safe."""
    await plain_setup.service.stop()
    frame = fakes.service_call()
    reply = await plain_setup.entry.call(frame)
    assert (reply.state, reply.code) == ('refused', 'not_run')
    assert (await query(plain_setup, frame)).state == 'cancelled'


async def test_service_crash_during_calls_is_reported(plain_setup):
    """Each call in flight becomes a suspect and is reported once."""
    plain_setup.service.may_reply.clear()
    pending = [
        send(plain_setup, fakes.service_call(fingerprint=fingerprint))
        for fingerprint in (12, 13, 14)
    ]
    await fakes.wait_until(lambda: len(plain_setup.service.calls) == 3)
    plain_setup.service.abort_replies = True
    plain_setup.service.healthy = False
    plain_setup.service.may_reply.set()
    for reply in await asyncio.gather(*pending):
        assert (reply.state, reply.engine_crashed) == ('failed', True)
    crashes = plain_setup.agent.control.crash_reports
    await fakes.wait_until(lambda: len(crashes) >= 3)
    assert sorted(crash.fingerprint for crash in crashes) == [12, 13, 14]
    assert plain_setup.agent.suspect_table.crashes == {12: 1, 13: 1, 14: 1}


async def test_unhealthy_service_is_announced_and_refused(plain_setup):
    """New calls must go to another backend server."""
    plain_setup.service.healthy = False
    await plain_setup.timers.advance(1)
    await fakes.wait_until(lambda: not plain_setup.agent.ready)
    assert plain_setup.agent.announcement().draining
    reply = await plain_setup.entry.call(fakes.service_call())
    assert (reply.state, reply.code) == ('refused', 'not_run')
    plain_setup.service.healthy = True
    await plain_setup.timers.advance(1)
    await fakes.wait_until(lambda: plain_setup.agent.ready)
    assert plain_setup.agent.session.announcements >= 3


async def test_repeated_frame_does_not_repeat_the_call(plain_setup):
    """A duplicate frame must not run the call again."""
    frame = fakes.service_call()
    await plain_setup.entry.call(frame)
    await plain_setup.entry.connection.send(frame)
    await plain_setup.entry.connection.send(attrs.evolve(frame, attempt=0))
    await plain_setup.entry.call(fakes.service_call(path='/other'))
    paths = [path for _, path, _ in plain_setup.service.calls]
    assert paths == ['/jobs', '/other']


async def test_closed_queued_call_is_cancelled(plain_setup):
    """Only a call that was never sent may be reported as cancelled."""
    plain_setup.agent.service_calls.queue.limits = attrs.evolve(
        plain_setup.agent.service_calls.queue.limits, max_running=1
    )
    plain_setup.service.may_reply.clear()
    running, waiting = fakes.service_call(), fakes.service_call()
    first, second = send(plain_setup, running), send(plain_setup, waiting)
    await fakes.wait_until(
        lambda: plain_setup.agent.service_calls.queue.waiting
    )
    await fakes.wait_until(lambda: plain_setup.service.calls)
    for frame in (running, waiting):
        await plain_setup.entry.close_attempt(frame)
    assert (await second).state == 'cancelled'
    assert len(plain_setup.service.calls) == 1
    plain_setup.service.may_reply.set()
    assert (await first).state == 'finished'


async def test_running_call_fails_at_its_deadline(plain_setup):
    """A call that may still run must not be reported as not run."""
    plain_setup.service.may_reply.clear()
    reply = await plain_setup.entry.call(fakes.service_call(deadline_ms=1))
    assert (reply.state, reply.code) == ('failed', 'deadline')


async def test_reply_larger_than_a_frame_is_reported(plain_setup):
    """An oversized reply must not close the connection to the entry."""
    plain_setup.service.reply_body = b'x' * (1 << 20)
    reply = await plain_setup.entry.call(fakes.service_call())
    assert (reply.state, reply.code) == ('failed', 'too_large')
    plain_setup.service.reply_body = b'x' * 200_000
    reply = await plain_setup.entry.call(fakes.service_call())
    assert (reply.state, len(reply.body)) == ('finished', 200_000)


async def test_query_reports_a_running_call_as_admitted(plain_setup):
    """An entry that resends waits for a running call to end."""
    plain_setup.service.may_reply.clear()
    frame = fakes.service_call()
    pending = send(plain_setup, frame)
    await fakes.wait_until(lambda: plain_setup.service.calls)
    assert (await query(plain_setup, frame)).state == 'admitted'
    plain_setup.service.may_reply.set()
    assert (await pending).state == 'finished'
    assert (await query(plain_setup, frame)).state == 'failed'


class RepeatingService:
    """Send a second copy of each reply when the next request arrives."""

    def __init__(self):
        self.port = 0
        self._server = None
        self._count = 0

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        reply = b''
        try:
            while True:
                await reader.readuntil(b'\r\n\r\n')
                self._count += 1
                writer.write(reply)
                body = str(self._count).encode()
                reply = b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n' + body
                writer.write(reply)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    def stop(self):
        """Stop listening."""
        self._server.close()


async def test_late_copy_of_a_reply_reaches_no_other_caller():
    """On a kept connection it would answer the next call."""
    service = RepeatingService()
    await service.start()
    calls = service_calls.ServiceCalls(
        f'http://127.0.0.1:{service.port}', None, None, None, None
    )
    await calls.start()
    frame = fakes.service_call(method='GET', non_idempotent=False)
    replies = [await calls._send(frame, math.inf) for _ in range(3)]
    await calls.stop()
    service.stop()
    assert [reply['body'] for reply in replies] == [b'1', b'2', b'3']
