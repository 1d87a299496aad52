"""Test how requests end that get no whole answer of a server."""

import asyncio
import logging

import aiohttp
from aiohttp import web
import pytest

from pimentowalk.dispatch import calls
from pimentowalk.platform.tests import samples
from tools.tests import waiting


async def _raise():
    raise KeyError('a fault of the program')


def _lines(caplog, request_id):
    """Return the log lines about a request, by message."""
    return {
        record.getMessage(): record
        for record in caplog.records
        if getattr(record, 'request_id', '') == request_id
    }


@pytest.mark.parametrize(
    ('step', 'status', 'tries'), [('admit', 503, 0), ('send 1', 500, 1)]
)
async def test_unexpected_exception_gets_an_honest_answer(
    scene, caplog, step, status, tries
):
    """LOST: the caller got a bare 500 without an id, and no line told why.

    Only a request that was never sent may be reported as not run.
    """
    if step == 'admit':
        scene.dispatcher.crashes.barred = lambda traits: {}['missing']
    scene.steps.actions[step] = _raise
    answer = await scene.request('POST', '/book/2f', 'r1')
    assert (answer.status, answer.request_id) == (status, 'r1')
    assert scene.runs('r1') == 0
    lines = _lines(caplog, 'r1')
    (unexpected,) = [x for x in lines if x.startswith('unexpected error')]
    assert lines[unexpected].exc_info
    assert lines[unexpected].tries == tries


async def test_unexpected_exception_cuts_a_started_stream(scene, caplog):
    """MIXED: a stream that the program breaks off must not look complete."""
    caplog.set_level(logging.INFO)

    async def fail():
        (run,) = scene.dispatcher.runs
        await waiting.until(lambda: run._first_event_s is not None)
        run._events = None

    scene.steps.actions['pause'] = fail
    with pytest.raises(aiohttp.ClientPayloadError):
        await scene.request('POST', '/draft/2f', 'r1')
    assert _lines(caplog, 'r1')['request failed: unexpected error'].is_cut


@pytest.mark.parametrize('is_resumable', [True, False])
async def test_comments_alone_do_not_start_a_stream(scene, is_resumable):
    """LOST: a stream was cut whose servers broke off after a comment, so that
    its caller had neither an event nor an error.
    """

    async def send_comment(request, headers):
        response = web.StreamResponse(
            headers=headers | {'Content-Type': 'text/event-stream'}
        )
        await response.prepare(request)
        await response.write(b': x\n\n')
        await asyncio.sleep(0.05)
        request.transport.abort()
        return response

    for server in scene.servers:
        server._stream = send_comment
    scene.configure(
        lambda data, _: data['routes'][0].update(resumable=is_resumable)
    )
    answer = await scene.request('POST', '/draft/2f', 'r1')
    assert (answer.status, answer.request_id) == (502, 'r1')


@pytest.mark.parametrize('path', ['/book/2f', '/draft/2f'])
async def test_change_of_protocol_is_no_answer(scene, path):
    """LOST: a caller took status 101 for an interim one, and waited on."""
    for server in scene.servers:
        server.status = 101
        server.has_events = False
    answer = await scene.request('POST', path, 'r1')
    assert (answer.status, answer.request_id) == (502, 'r1')


async def test_caller_that_leaves_is_logged(scene, caplog):
    """Lost requests could not be told from those that callers gave up."""
    caplog.set_level(logging.INFO)
    scene.steps.actions['run'] = lambda: asyncio.sleep(0.2)
    request = asyncio.ensure_future(scene.request('POST', '/book/2f', 'r1'))
    await waiting.until(lambda: scene.runs('r1'))
    request.cancel()
    message = 'the caller closed the connection'
    await waiting.until(lambda: message in _lines(caplog, 'r1'))
    assert _lines(caplog, 'r1')[message].tries == 1


async def test_cut_stream_is_logged_with_its_cause(scene, caplog):
    """A server that broke off looked like one that was left."""
    caplog.set_level(logging.INFO)
    scene.configure(lambda data, _: data['routes'][0].update(attempts=1))

    async def crash():
        scene.steps.breaks = True

    scene.steps.actions['pause'] = crash
    with pytest.raises(aiohttp.ClientPayloadError):
        await scene.request('POST', '/draft/2f', 'r1')
    assert _lines(caplog, 'r1')['started stream cut'].cause == (
        calls.SERVER_BROKE_OFF
    )
    assert scene.metrics.counters['cut_streams_server_broke_off'] == 1


async def test_request_of_a_cut_connection_is_logged(cluster, caplog):
    """The log named the caller, although the gateway cut the connection."""
    caplog.set_level(logging.INFO)
    gateway = cluster.gateways[0]
    for server in cluster.servers[2:]:
        server.hangs = True
    request = asyncio.ensure_future(
        cluster.platform.call(gateway, 'POST', '/book/x', request_id='r1')
    )
    await waiting.until(lambda: gateway.dispatcher.runs)
    for connection in list(gateway.intake._open):
        connection.cut('max_connections')
    with pytest.raises(aiohttp.ClientError):
        await request
    message = 'request cut with its connection'
    await waiting.until(lambda: message in _lines(caplog, 'r1'))
    assert _lines(caplog, 'r1')[message].cut_reason == 'max_connections'


async def test_paused_servers_receive_no_stream(scene):
    """BUDGET: streams were sent to heads that had asked for a pause."""
    for server in scene.dispatcher.usable('model'):
        scene.dispatcher.pauses.record(server, 30.0)
    answer = await scene.request('POST', '/draft/2f', 'r1')
    assert answer.status == 503
    assert scene.runs('r1') == 0


@pytest.mark.parametrize('rest', [b'', b'no chunk\r\n'])
async def test_incomplete_body_is_answered_at_the_timeout(scene, rest):
    """CONFIG: a request whose body did not end held its connection for ever.

    The library never ends the read of a body with an invalid chunk.
    """
    reader, writer = await asyncio.open_connection(*scene.address)
    writer.write(
        b'POST /book/2f HTTP/1.1\r\nHost: a.example\r\n'
        b'Pimentowalk-Key: k1\r\nPimentowalk-Request-Id: r1\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n'
    )
    await waiting.until(lambda: scene.metrics.counters['requests'])
    writer.write(rest)
    async with asyncio.timeout(2 * samples.BOOK_ROUTE['timeout-ms'] / 1000):
        assert await reader.readline() == b'HTTP/1.1 504 Gateway Timeout\r\n'
    writer.close()
    assert scene.runs('r1') == 0


async def _wait_for_start(scene, call, start_s):
    """Return the answer to a call that came `start_s` before the start."""
    scene.freshness.was_ever_valid = False
    answer = asyncio.ensure_future(call)
    await waiting.until(lambda: scene.metrics.counters['requests'])
    await asyncio.sleep(start_s)
    scene.freshness.was_ever_valid = True
    return await answer


async def test_call_that_expired_during_the_start_is_not_sent(scene):
    """A call was sent after the timeout of its route and might still run.

    It had waited for the configuration of a node that was starting.
    """
    timeout_s = samples.BOOK_ROUTE['timeout-ms'] / 1000
    call = scene.request('POST', '/book/2f', 'r1')
    answer = await _wait_for_start(scene, call, timeout_s + 0.1)
    assert answer.status == 504
    assert scene.client.sends == 0


async def test_start_is_not_awaited_beyond_the_deadline(scene):
    """A caller that has left by its deadline got no answer during a start."""
    call = scene.request('POST', '/book/2f', 'r1', deadline_ms=200)
    started_s = scene.timers.now_s()
    waiter = asyncio.ensure_future(_wait_for_start(scene, call, 1.0))
    scene.freshness.is_valid = False
    await waiting.until(lambda: scene.metrics.counters['errors_not_run'])
    assert scene.timers.now_s() - started_s < 0.4
    answer = await waiter
    assert answer.status == 503
    assert scene.client.sends == 0


async def test_caller_gets_the_answer_before_its_deadline(scene):
    """The answer of a node that starts was sent when its caller had left."""
    scene.freshness.was_ever_valid = scene.freshness.is_valid = False
    async with asyncio.timeout(0.2):
        answer = await scene.request('POST', '/book/2f', 'r1', deadline_ms=200)
    assert answer.status == 503
