"""Tests of the planned stop of a gateway with requests in progress."""

import asyncio
import logging

import pytest

from pimentowalk.platform import daemon
from tools.tests import waiting


@pytest.fixture
def short_delay(monkeypatch):
    """Let a gateway stop accepting connections soon after the signal."""
    monkeypatch.setattr(daemon, 'SHUTDOWN_DELAY_S', 0.1)


async def begin_call(cluster, method, path, *, request_id, **headers):
    """Send a request; return its task once a server has received it."""
    before = sum(len(s.requests_seen) for s in cluster.servers)
    task = asyncio.ensure_future(
        cluster.platform.call(
            cluster.gateways[0], method, path, request_id=request_id, **headers
        )
    )
    await waiting.until(
        lambda: sum(len(s.requests_seen) for s in cluster.servers) > before
    )
    return task


def begin_stop(cluster, grace_s):
    """Stop the first gateway within a time; return the task of its run."""
    gateway = cluster.gateways[0]
    gateway.bounds = daemon.gateway_settings.BoundSettings(
        stop_ms=grace_s * 1000
    )
    running = asyncio.ensure_future(gateway.run())
    gateway.request_stop()
    return running


async def test_log_tells_what_a_cut_request_was(cluster, short_delay, caplog):
    """LOST could not be traced: the line had neither kind, age nor tries."""
    caplog.set_level(logging.WARNING)
    for server in cluster.servers[2:]:
        server.hangs = True
    call = await begin_call(cluster, 'POST', '/book/2f', request_id='r1')
    await begin_stop(cluster, 1.0)
    line = next(
        r for r in caplog.records if r.message == 'request cut by the stop'
    )
    assert (line.request_id, line.kind) == ('r1', 'non_idempotent')
    assert (line.tries, line.may_have_run) == (1, True)
    assert line.age_ms >= 0
    call.cancel()
