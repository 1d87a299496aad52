"""Guard how often a silent stream asks its head."""

import asyncio
import types

from pimentowalk.core import timers as core_timers
from pimentowalk.dispatch import calls
from pimentowalk.dispatch import stream
from pimentowalk.dispatch import transport
from pimentowalk.dispatch import watched_run
from pimentowalk.topology import backends

HEAD = backends.Backend('i-1', 100, 5, 'svc', '10.0.0.1', 80, 'z1')


class Checks:
    """Note when the head is asked; nothing stands still."""

    def __init__(self, timers):
        self.timers = timers
        self.asked_s = []

    async def report(self, backend):
        self.asked_s.append(self.timers.now_s())
        return transport.ServerReport({})


async def test_stream_that_waits_asks_its_head_less_and_less_often():
    """At the crest all streams wait; a constant rate of questions loads the
    nodes and servers that they wait for.
    """
    timers = core_timers.TimerService()
    checks = Checks(timers)
    table = types.SimpleNamespace(
        has_failed=lambda server: False, get=lambda server_id: None
    )
    dispatcher = types.SimpleNamespace(
        timers=timers,
        checks=checks,
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
        run.watch(timers.now_s())
        await timers.sleep(0.01)
    run._try_task.cancel()
    run._asking.cancel()
    first_s = checks.asked_s[0] - run.progress_s
    assert first_s >= watched_run.FIRST_SILENCE_S
    gaps_s = [
        after - before
        for before, after in zip(
            checks.asked_s, checks.asked_s[1:], strict=False
        )
    ]
    assert gaps_s[0] < 2 * watched_run.ASK_AGAIN_S
    assert all(b > a for a, b in zip(gaps_s, gaps_s[1:], strict=False))
    assert len(checks.asked_s) <= 5
