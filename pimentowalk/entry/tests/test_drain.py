"""Tests of the graceful stop of an entry."""

import asyncio

import aiohttp
import pytest

from pimentowalk.core import timers as core_timers
from pimentowalk.entry import drain
from pimentowalk.entry.tests import fake_agent
from pimentowalk.entry.tests import harness


async def start_blocked_request(entry, send=harness.EntryHarness.stream):
    """Start a request that its agent blocks.

    Returns the task of the request and the event that unblocks the agent.
    """
    agent = await entry.add_agent('a')
    release = asyncio.Event()

    async def run(agent, peer, frame):
        frames = fake_agent.successful_frames(frame)
        for body in frames[:4]:
            await peer.send(body)
        agent.stalled.set()
        await release.wait()
        for body in frames[4:]:
            await peer.send(body)

    agent.script = run
    entry.update_view()
    request = asyncio.ensure_future(send(entry))
    await agent.stalled.wait()
    return request, release


async def get_on_new_connection(entry, path):
    """Send a GET request on a new connection; return the status."""
    host, port = entry.address
    connector = aiohttp.TCPConnector(force_close=True)
    async with aiohttp.ClientSession(connector=connector) as client:
        async with client.get(f'http://{host}:{port}{path}') as response:
            return response.status


async def test_stop_fails_readiness_then_closes_socket_then_drains():
    """A stop must not break running responses or refuse new callers early."""
    timers = core_timers.ManualTimerService()
    async with harness.running(timers) as entry:
        entry.address = entry.daemon.address
        request, release = await start_blocked_request(entry)
        entry.daemon.request_stop()
        stopped = asyncio.ensure_future(entry.daemon.run())
        await harness.wait_until(lambda: entry.daemon.drain.draining)
        assert await get_on_new_connection(entry, '/readyz') == 503
        assert await get_on_new_connection(entry, '/healthz') == 200
        await timers.advance(drain.SHUTDOWN_DELAY_S)
        with pytest.raises(aiohttp.ClientConnectorError):
            await get_on_new_connection(entry, '/healthz')
        assert not stopped.done()
        release.set()
        events = await request
        assert harness.joined_text(events) == fake_agent.reference_text(
            'Hi', 6
        )
        await harness.wait_until(lambda: not entry.daemon.drain.active_count)
        await timers.advance(drain.POLL_PERIOD_S)
        await stopped


async def test_second_signal_ends_the_drain_and_logs_cut_requests(caplog):
    """A second stop signal must not wait for a slow response."""
    timers = core_timers.ManualTimerService()
    async with harness.running(timers) as entry:
        request, _ = await start_blocked_request(entry)
        entry.daemon.request_stop()
        stopped = asyncio.ensure_future(entry.daemon.run())
        await harness.wait_until(lambda: entry.daemon.drain.draining)
        entry.daemon.request_stop()
        await stopped
        assert 'request cut by the stop' in caplog.text
        request.cancel()


async def stop_at_once(entry):
    """Stop an entry by two signals, without time for its requests."""
    entry.daemon.request_stop()
    entry.daemon.request_stop()
    await entry.daemon.run()
    await entry.daemon.close()


async def test_request_that_the_stop_cuts_gets_an_error():
    """Its connection was closed without an answer."""
    async with harness.running() as entry:
        request, release = await start_blocked_request(
            entry, harness.EntryHarness.complete
        )
        await stop_at_once(entry)
        status, body = await request
        assert (status, body['error']['not_run']) == (502, False)
        release.set()


async def test_stream_that_the_stop_cuts_does_not_look_complete():
    """A caller must not take the beginning of an answer for all of it."""
    async with harness.running() as entry:
        request, release = await start_blocked_request(entry)
        metrics = entry.context.metrics
        await harness.wait_until(lambda: 'first_token' in metrics.histograms)
        await stop_at_once(entry)
        with pytest.raises(aiohttp.ClientError):
            await request
        release.set()


async def test_drain_timeout_returns_unfinished_requests():
    """A request that never ends must not block the stop."""
    timers = core_timers.ManualTimerService()
    drain_tracker = drain.Drain(timers)
    stopped_at_s = []

    async def stop_accepting():
        stopped_at_s.append(timers.now_s())

    with drain_tracker.track(b'id'):
        run = asyncio.ensure_future(drain_tracker.run(stop_accepting, 5.0))
        for _ in range(120):
            await timers.advance(drain.POLL_PERIOD_S)
        assert await run == {b'id'}
    assert stopped_at_s == [pytest.approx(drain.SHUTDOWN_DELAY_S)]


async def test_replies_while_draining_close_their_connections():
    """A keep-alive connection would carry new requests to a stopping entry."""
    async with harness.running() as entry:
        await entry.add_agent('a')
        entry.update_view()
        entry.daemon.drain.draining = True
        async with entry.client.get(
            '/v1/models', headers=harness.AUTH_HEADERS
        ) as response:
            assert response.status == 200
            assert response.headers['Connection'] == 'close'
