"""Test streams that are opened at a second server beside the first one."""

import asyncio
import json
import types

from aiohttp import web
import pytest

from pimentowalk.platform import announcements
from pimentowalk.platform import names
from pimentowalk.platform.tests import changing
from pimentowalk.platform.tests import test_silent_streams
from tools.tests import waiting

ANSWER = test_silent_streams.ANSWER


def _model_servers(scene):
    return [s for s in scene.servers if s.service == 'model']


def _blame(scene, culprit=None):
    """Let the servers that run the stream report that it has stalled."""
    for server in _model_servers(scene):
        if server.runs['r1']:
            address = (culprit or server).address
            server.stalled = [{'id': 'r1', 'address': address}]


async def _respond(request, headers):
    """Begin a response of events."""
    response = web.StreamResponse(
        headers=headers | {'Content-Type': 'text/event-stream'}
    )
    await response.prepare(request)
    return response


async def _send_rest(request, headers):
    """Answer with the events that the caller does not have."""
    response = await _respond(request, headers)
    last_id = int(request.headers.get(names.LAST_EVENT_ID, 0))
    for number in range(last_id + 1, changing.EVENTS + 1):
        await response.write(f'id: {number}\ndata: x\n\n'.encode())
    await response.write_eof()
    return response


async def _request_while_silent(scene, stream, silence_s=1.0, step='pause'):
    """Request a stream whose server falls silent for a while.

    The other servers answer by `stream(request, headers)`.
    """

    async def pause():
        _blame(scene)
        for server in _model_servers(scene):
            if not server.runs['r1']:
                server._stream = stream
        await asyncio.sleep(silence_s)

    scene.steps.actions[step] = pause
    return await scene.request('POST', '/draft/2f', 'r1')


async def test_call_barred_after_its_standby_try_was_sent_is_not_cut(scene):
    """LOST: a stream was cut although its second server had an event.

    Its first server was left for that event, and the call was rejected as if
    it were about to be sent.
    """

    async def bar(request, headers):
        await asyncio.sleep(0.2)
        scene.dispatcher.crashes.barred = lambda _: types.SimpleNamespace(
            trait=1, crashes=3
        )
        return await _send_rest(request, headers)

    assert await _request_while_silent(scene, bar) == ANSWER


async def test_stalled_standby_try_that_has_begun_is_not_reported_as_not_run(
    scene,
):
    """A caller was told "not run" of a stream that a server had begun."""
    scene.servers.append(
        changing.SteppedServer('model-3', 'model', scene.steps)
    )
    await scene.servers[-1].start()
    first, head, tail = _model_servers(scene)

    def announce(server, **changes):
        announcement = server.announcement() | changes
        scene.node.backends.apply(
            announcements.decode(
                server.server_id, json.dumps(announcement).encode()
            )
        )

    async def begin(request, headers):
        response = await _respond(request, headers)
        await response.write(b'id: 1\n')
        head.stalled = [{'id': 'r1', 'address': tail.address}]
        await asyncio.sleep(3.0)
        return response

    async def refuse(request, headers):
        return web.Response(
            status=503, headers=headers | {names.NOT_EXECUTED: '1'}
        )

    async def pause():
        head.layers, tail.layers = (0, 4), (4, 8)
        for server in (head, tail):
            announce(server, sequence=9)
        first.stalled = [{'id': 'r1', 'address': first.address}]
        await asyncio.sleep(1.0)

    for server in (head, tail):
        announce(server, state='draining', sequence=8)
    first._stream, head._stream = refuse, begin
    scene.steps.actions['run'] = pause
    answer = await scene.request('POST', '/draft/2f', 'r1')
    assert head.runs['r1'] == 1
    assert answer.status == 502


async def test_standby_try_with_an_event_is_not_closed_for_an_older_report(
    scene,
):
    """LOST: a stream waited for its silent server although another served it.

    A report that had been asked for before the event still named the server.
    """
    scene.configure(lambda data, _: data['routes'][0].update(attempts=3))
    report = scene.dispatcher.checks.report

    async def report_late(backend):
        answer = await report(backend)
        if not scene.metrics.counters['standby_tries']:
            return answer
        await asyncio.sleep(0.2)
        return types.SimpleNamespace(stalled={'r1': backend.address})

    async def begin_late(request, headers):
        await asyncio.sleep(0.35)
        return await _send_rest(request, headers)

    scene.dispatcher.checks.report = report_late
    since_s = scene.timers.now_s()
    assert await _request_while_silent(scene, begin_late, 3.0) == ANSWER
    assert scene.timers.now_s() - since_s < 2.0


async def test_standby_try_at_a_failed_server_without_engine_is_given_up(
    scene,
):
    """LOST: a stream waited for two failed servers beside a free one."""
    scene.servers.append(changing.SteppedServer('jobs-3', 'jobs', scene.steps))
    await scene.servers[-1].start()
    scene.announce()
    scene.configure(
        lambda data, _: data['routes'][0].update(service='jobs', attempts=3)
    )

    def suspect():
        for server in scene.servers:
            if server.runs['r1']:
                scene.dispatcher.suspect(
                    scene.node.backends.get(server.server_id), 'timeout'
                )

    async def pause_second():
        suspect()
        await asyncio.sleep(3.0)

    async def pause():
        scene.steps.actions['run'] = pause_second
        suspect()
        await asyncio.sleep(3.0)

    scene.steps.actions['pause'] = pause
    since_s = scene.timers.now_s()
    assert await scene.request('POST', '/draft/2f', 'r1') == ANSWER
    assert scene.timers.now_s() - since_s < 2.0


async def test_standby_try_of_a_new_stream_waits_for_its_turn(scene):
    """A second try went before streams that already waited for capacity."""
    queue = scene.dispatcher.admission.of_service('model')
    queue.must_wait = lambda priority: scene.runs('r1') > 0
    answer = await _request_while_silent(scene, _send_rest, step='run')
    assert answer == ANSWER
    assert scene.metrics.counters['standby_tries'] == 0


async def test_failed_report_of_a_standby_try_leaks_no_try(scene):
    """A server looked busy for ever after an exception in the recovery."""
    scene.configure(lambda data, _: data['routes'][0].update(attempts=4))
    report = scene.dispatcher.checks.report
    failures = iter([RuntimeError('the report is malformed')])

    async def fail_once(backend):
        if scene.metrics.counters['standby_tries']:
            for failure in failures:
                raise failure
        return await report(backend)

    async def wait(request, headers):
        await asyncio.sleep(1.5)
        return await _send_rest(request, headers)

    scene.dispatcher.checks.report = fail_once
    assert await _request_while_silent(scene, wait, 2.5) == ANSWER
    assert not any(
        scene.dispatcher.in_flight.requests(server.server_id)
        for server in scene.servers
    )


async def test_refused_standby_try_takes_no_attempt(scene):
    """LOST: a stream was cut for an attempt that its server had refused."""
    report = scene.dispatcher.checks.report
    send = _send_rest

    async def report_late(backend):
        answer = await report(backend)
        if scene.metrics.counters['standby_tries']:
            await asyncio.sleep(0.3)
        return answer

    async def refuse_once(request, headers):
        if scene.metrics.counters['dropped_standby_tries']:
            return await send(request, headers)
        await asyncio.sleep(0.35)
        return web.Response(
            status=503, headers=headers | {names.NOT_EXECUTED: '1'}
        )

    async def break_off():
        scene.steps.breaks = True
        await asyncio.sleep(0.8)

    scene.dispatcher.checks.report = report_late
    scene.steps.actions['after 2'] = break_off
    assert await _request_while_silent(scene, refuse_once, 0.6) == ANSWER


@pytest.mark.parametrize('step', ['pause', 'run'])
async def test_comment_does_not_take_a_stream_over(scene, step):
    """LOST: a sound server was left for one that sent a comment and broke."""

    async def break_off(request, headers):
        response = await _respond(request, headers)
        await response.write(b': comment\n\n')
        await asyncio.sleep(0.05)
        request.transport.abort()
        return response

    assert await _request_while_silent(scene, break_off, step=step) == ANSWER


@pytest.mark.parametrize('step', ['pause', 'run'])
async def test_response_without_events_does_not_take_a_stream_over(
    scene, step
):
    """LOST: an answer ended early, as if whole, at an empty response."""

    async def end_at_once(request, headers):
        response = await _respond(request, headers)
        await response.write_eof()
        return response

    assert await _request_while_silent(scene, end_at_once, step=step) == ANSWER


async def test_stream_runs_at_no_more_servers_than_attempts(scene):
    """BUDGET: three servers ran a stream with two attempts."""
    scene.servers.append(
        changing.SteppedServer('model-3', 'model', scene.steps)
    )
    await scene.servers[-1].start()
    scene.announce()
    foreign = scene.servers[2]

    async def pause_third():
        await asyncio.sleep(3.0)

    async def pause_second():
        _blame(scene, culprit=foreign)
        scene.steps.actions['run'] = pause_third
        await asyncio.sleep(0.8)

    async def break_off():
        scene.steps.breaks = True
        scene.steps.actions['run'] = pause_second

    scene.steps.actions['pause'] = break_off
    assert await scene.request('POST', '/draft/2f', 'r1') == ANSWER
    assert scene.runs('r1') <= 2


async def test_crashed_server_is_left_while_another_one_is_tried(scene):
    """The servers of its path kept memory for a stream that had ended."""
    first = None

    async def crash():
        nonlocal first
        (first,) = [s for s in _model_servers(scene) if s.runs['r1']]
        first.stalled = [{'id': 'r1', 'address': first.address}]
        scene.steps.actions['run'] = suspect
        await asyncio.sleep(5.0)

    async def suspect():
        scene.dispatcher.suspect(
            scene.node.backends.get(first.server_id), 'refused', is_down=True
        )
        requests = scene.dispatcher.in_flight.requests
        await waiting.until(lambda: not requests(first.server_id))

    scene.steps.actions['pause'] = crash
    since_s = scene.timers.now_s()
    assert await scene.request('POST', '/draft/2f', 'r1') == ANSWER
    assert scene.timers.now_s() - since_s < 4.0
