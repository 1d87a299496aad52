"""Test how often a stalled stream asks its head for a report."""

import asyncio
import types

from pimentowalk.core import timers as core_timers
from pimentowalk.dispatch import calls
from pimentowalk.dispatch import stream
from pimentowalk.dispatch import transport
from pimentowalk.dispatch import watched_run
from pimentowalk.topology import backends

HEAD = backends.Backend('i-1', 100, 5, 'svc', '10.0.0.1', 80, 'z1')


class FakeChecks:
    """Record when reports are requested; no call has stalled."""

    def __init__(self, timers):
        self.timers = timers
        self.requested_s = []

    async def report(self, backend):
        self.requested_s.append(self.timers.now_s())
        return transport.ServerReport({})


async def test_waiting_stream_asks_its_head_with_growing_delay():
    """At a load peak all streams wait; a constant rate of report requests
    would load the nodes and servers that they wait for.
    """
    timers = core_timers.TimerService()
    checks = FakeChecks(timers)
    table = types.SimpleNamespace(
        has_failed=lambda server: False, get=lambda server_id: None
    )
    dispatcher = types.SimpleNamespace(
        timers=timers,
        checks=checks,
        limits=transport.ResponseLimits(),
        node=types.SimpleNamespace(backends=table),
    )
    call = types.SimpleNamespace(
        request_id='r1',
        last_event_id=0,
        prompt_tokens=1,
        expected_answer_tokens=1,
    )
    run = stream.StreamRun(dispatcher, call, None, None)
    run._target = calls.Target(HEAD)
    run._try_task = asyncio.ensure_future(asyncio.sleep(60))
    run.progress_s = timers.now_s()
    end_s = timers.now_s() + 2.0
    while timers.now_s() < end_s:
        run.check_progress(timers.now_s())
        await timers.sleep(0.01)
    run._try_task.cancel()
    run._report_task.cancel()
    first_s = checks.requested_s[0] - run.progress_s
    assert first_s >= watched_run.FIRST_EVENT_TIMEOUT_S
    gaps_s = [
        after - before
        for before, after in zip(
            checks.requested_s, checks.requested_s[1:], strict=False
        )
    ]
    assert gaps_s[0] < 2 * watched_run.REPORT_DELAY_S
    assert all(b > a for a, b in zip(gaps_s, gaps_s[1:], strict=False))
    assert len(checks.requested_s) <= 5
