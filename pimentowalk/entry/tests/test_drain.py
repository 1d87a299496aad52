"""Guard the graceful stop of an entry."""

import asyncio

import aiohttp
import pytest

from pimentowalk.core import timers as core_timers
from pimentowalk.entry import drain
from pimentowalk.entry.tests import fake_agent
from pimentowalk.entry.tests import harness


async def held_request(entry):
    """Start a request that its agent holds; returns task and release."""
    agent = await entry.add_agent('a')
    release = asyncio.Event()

    async def run(agent, peer, frame):
        frames = fake_agent.frames_of(frame)
        for body in frames[:4]:
            await peer.send(body)
        agent.stalled.set()
        await release.wait()
        for body in frames[4:]:
            await peer.send(body)

    agent.script = run
    entry.update_view()
    request = asyncio.ensure_future(entry.stream())
    await agent.stalled.wait()
    return request, release


async def fresh_get(entry, path):
    """GET over a connection of its own; returns the status."""
    host, port = entry.address
    connector = aiohttp.TCPConnector(force_close=True)
    async with aiohttp.ClientSession(connector=connector) as client:
        async with client.get(f'http://{host}:{port}{path}') as response:
            return response.status


async def test_stop_fails_readiness_then_refuses_then_finishes():
    """A stop that cut answers or callers would break a planned change."""
    timers = core_timers.ManualTimerService()
    async with harness.running(timers) as entry:
        entry.address = entry.daemon.address
        request, release = await held_request(entry)
        entry.daemon.request_stop()
        stopped = asyncio.ensure_future(entry.daemon.run())
        await harness.until(lambda: entry.daemon.drain.draining)
        assert await fresh_get(entry, '/readyz') == 503
        assert await fresh_get(entry, '/healthz') == 200
        await timers.advance(drain.SHUTDOWN_DELAY_S)
        with pytest.raises(aiohttp.ClientConnectorError):
            await fresh_get(entry, '/healthz')
        assert not stopped.done()
        release.set()
        events = await request
        assert harness.text_of(events) == fake_agent.reference_text('Hi', 6)
        await harness.until(lambda: not entry.daemon.drain.active)
        await timers.advance(drain.POLL_S)
        await stopped


async def test_second_signal_ends_the_drain_and_logs_what_was_cut(caplog):
    """An operator who insists must not wait for a slow answer."""
    timers = core_timers.ManualTimerService()
    async with harness.running(timers) as entry:
        request, _ = await held_request(entry)
        entry.daemon.request_stop()
        stopped = asyncio.ensure_future(entry.daemon.run())
        await harness.until(lambda: entry.daemon.drain.draining)
        entry.daemon.request_stop()
        await stopped
        assert 'request cut by the stop' in caplog.text
        request.cancel()


async def test_drain_timeout_returns_what_was_cut():
    """A request that never ends must not hold the process."""
    timers = core_timers.ManualTimerService()
    stop = drain.Drain(timers)
    refused = []

    async def refuse():
        refused.append(timers.now_s())

    with stop.track(b'id'):
        run = asyncio.ensure_future(stop.run(refuse, 5.0))
        for _ in range(120):
            await timers.advance(drain.POLL_S)
        assert await run == {b'id'}
    assert refused == [pytest.approx(drain.SHUTDOWN_DELAY_S)]


async def test_replies_while_draining_close_their_connections():
    """A kept connection would bring new requests to a stopping entry."""
    async with harness.running() as entry:
        await entry.add_agent('a')
        entry.update_view()
        entry.daemon.drain.draining = True
        async with entry.client.get(
            '/v1/models', headers=harness.AUTH
        ) as response:
            assert response.status == 200
            assert response.headers['Connection'] == 'close'
