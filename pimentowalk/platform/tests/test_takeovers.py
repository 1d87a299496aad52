"""Test streams that try another server while their own one is silent."""

import asyncio

import aiohttp
import pytest

from pimentowalk.platform.tests import changing
from pimentowalk.platform.tests import test_silent_streams
from tools.tests import waiting

ANSWER = test_silent_streams.ANSWER


async def _serve_while_silent(scene, first_s, second_s, *, breaks=False):
    """Request a stream; return its answer and the time that it took.

    Its server falls silent for `first_s` after its first event, and the next
    one for `second_s` before its first event. Then the former may break off.
    """

    def stall():
        for server in scene.servers:
            if server.runs['r1']:
                server.stalled = [{'id': 'r1', 'address': server.address}]

    async def pause_second():
        stall()
        await asyncio.sleep(second_s)

    async def pause():
        stall()
        scene.steps.actions['run'] = pause_second
        await asyncio.sleep(first_s)
        scene.steps.breaks = breaks

    scene.steps.actions['pause'] = pause
    since_s = scene.timers.now_s()
    answer = await scene.request('POST', '/draft/2f', 'r1')
    return answer, scene.timers.now_s() - since_s


def _assert_nothing_held(scene):
    in_flight = scene.dispatcher.in_flight
    assert not any(
        in_flight.requests(server.server_id) for server in scene.servers
    )
    assert scene.dispatcher.held_bytes.total_bytes == 0


async def test_server_that_goes_on_first_is_kept(scene):
    """A stream would wait for another server although its own goes on."""
    answer, took_s = await _serve_while_silent(scene, 0.6, 3.0)
    assert answer == ANSWER
    assert took_s < 2.0
    assert scene.runs('r1') == 2
    assert scene.metrics.counters['dropped_standby_tries'] == 1
    _assert_nothing_held(scene)


async def test_server_that_is_first_takes_over(scene):
    """A stream would wait for its silent server although another serves it."""
    answer, took_s = await _serve_while_silent(scene, 3.0, 0.2)
    assert answer == ANSWER
    assert took_s < 2.0
    assert scene.runs('r1') == 2
    assert scene.metrics.counters['takeovers'] == 1
    _assert_nothing_held(scene)


async def test_server_that_was_tried_before_the_other_breaks_takes_over(scene):
    """A stream would be cut, since its second attempt was used already."""
    answer, _ = await _serve_while_silent(scene, 0.6, 1.0, breaks=True)
    assert answer == ANSWER
    assert scene.runs('r1') == 2
    _assert_nothing_held(scene)


async def test_caller_that_leaves_ends_both_tries(scene):
    """GONE: the second server would work on for a caller that has left."""
    request = asyncio.ensure_future(_serve_while_silent(scene, 5.0, 5.0))
    await waiting.until(lambda: scene.runs('r1') == 2)
    request.cancel()
    await waiting.until(lambda: not scene.dispatcher.runs)
    _assert_nothing_held(scene)


async def test_third_server_is_tried_if_two_are_silent():
    """A route with three attempts would wait for its second server."""
    scene = changing.Scene()
    scene.servers.append(
        changing.SteppedServer('model-3', 'model', scene.steps)
    )
    await scene.start()
    scene.configure(lambda data, _: data['routes'][0].update(attempts=3))
    try:
        answer, took_s = await _serve_while_silent(scene, 4.0, 4.0)
        assert answer == ANSWER
        assert took_s < 3.0
        assert scene.runs('r1') == 3
        _assert_nothing_held(scene)
    finally:
        await scene.stop()


async def test_dropped_try_counts_as_an_attempt(scene):
    """BUDGET: a server that was tried and left may have run the stream."""

    async def break_off():
        assert scene.metrics.counters['dropped_standby_tries'] == 1
        scene.steps.breaks = True

    scene.steps.actions['after 2'] = break_off
    with pytest.raises(aiohttp.ClientPayloadError):
        await _serve_while_silent(scene, 0.6, 3.0)
    assert scene.runs('r1') == 2
    _assert_nothing_held(scene)


async def test_route_with_one_attempt_opens_no_second_try(scene):
    """BUDGET: both servers would run a stream that may run at one."""
    scene.configure(lambda data, _: data['routes'][0].update(attempts=1))

    async def pause():
        (running,) = [server for server in scene.servers if server.runs['r1']]
        running.stalled = [{'id': 'r1', 'address': scene.servers[1].address}]
        await asyncio.sleep(1.0)

    scene.steps.actions['run'] = pause
    assert await scene.request('POST', '/draft/2f', 'r1') == ANSWER
    assert scene.runs('r1') == 1
