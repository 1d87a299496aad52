"""Test how often a stalled stream asks its head for a report."""

import asyncio
import types

from pimentowalk.core import timers as core_timers
from pimentowalk.dispatch import calls
from pimentowalk.dispatch import stream
from pimentowalk.dispatch import transport
from pimentowalk.dispatch import watched_run
from pimentowalk.dispatch.tests import fakes
from pimentowalk.routing import hops
from pimentowalk.topology import backends
from tools.tests import waiting

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


async def test_stream_whose_second_path_stalls_is_rerouted_again():
    """LOST: nothing watched a stream that had been rerouted once."""
    servers = [fakes.server(number) for number in (1, 2, 3, 4)]
    head, *others = servers
    paths = [(hops.Hop(head, 0, 4), hops.Hop(x, 4, 8)) for x in others]
    used = paths[:1]

    async def report(backend):
        return transport.ServerReport({'r1': used[-1][1].backend.address})

    async def reroute(backend, request_id, path):
        used.append(path)

    dispatcher = fakes.dispatcher(*servers)
    dispatcher.checks.report = report
    dispatcher.checks.check_blamed = lambda backend: None
    dispatcher.transport = types.SimpleNamespace(reroute=reroute)
    dispatcher.in_flight.begin = dispatcher.in_flight.end = lambda *_: None
    dispatcher.paths = types.SimpleNamespace(
        choose=lambda _, query: next(
            path
            for path in paths
            if path[1].backend.server_id not in query.avoid
        )
    )
    call = fakes.call(dispatcher.timers.now_s(), is_repeatable=False)
    call.request_id = 'r1'
    service = types.SimpleNamespace(
        name='svc', engine=types.SimpleNamespace(total_layers=8)
    )
    run = stream.StreamRun(dispatcher, call, service, fakes.responder())
    run._target = calls.Target(head, paths[0])
    run._try_task = asyncio.ensure_future(asyncio.sleep(60))
    run.progress_s = dispatcher.timers.now_s()
    progress_checks = dispatcher.timers.every(
        0.01, lambda: run.check_progress(dispatcher.timers.now_s())
    )
    await waiting.until(lambda: len(used) == len(paths))
    progress_checks.cancel()
    run._try_task.cancel()
    assert used == paths


async def test_kept_server_may_be_part_of_the_next_path():
    """A stream that stays at a silent server may be rerouted over it later.

    If the server stayed excluded, no path would be left when another one
    stalls.
    """
    head, kept, stalled, successor = servers = [
        fakes.server(number) for number in (1, 2, 3, 4)
    ]
    paths = [
        (hops.Hop(head, 0, 3), hops.Hop(kept, 3, 6), hops.Hop(last, 6, 8))
        for last in (stalled, successor)
    ]
    culprits = [kept]
    waits = []
    rerouted = []

    def choose(_, query):
        return next(
            (
                path
                for path in paths
                if not any(
                    hop.backend.server_id in query.avoid for hop in path
                )
            ),
            None,
        )

    async def report(backend):
        return transport.ServerReport({'r1': culprits[-1].address})

    async def reroute(backend, request_id, path):
        rerouted.append(path)

    dispatcher = fakes.dispatcher(*servers)
    dispatcher.checks.report = report
    dispatcher.checks.check_blamed = lambda backend: None
    dispatcher.transport = types.SimpleNamespace(reroute=reroute)
    dispatcher.in_flight.begin = dispatcher.in_flight.end = lambda *_: None
    dispatcher.paths = types.SimpleNamespace(choose=choose)
    dispatcher.log_kept_try = lambda *_: waits.append(kept)
    call = fakes.call(dispatcher.timers.now_s(), is_repeatable=False)
    call.request_id = 'r1'
    service = types.SimpleNamespace(
        name='svc', engine=types.SimpleNamespace(total_layers=8)
    )
    run = stream.StreamRun(dispatcher, call, service, fakes.responder())
    run._target = calls.Target(head, paths[0])
    run._try_task = asyncio.ensure_future(asyncio.sleep(60))
    run.progress_s = dispatcher.timers.now_s()
    progress_checks = dispatcher.timers.every(
        0.01, lambda: run.check_progress(dispatcher.timers.now_s())
    )
    try:
        await waiting.until(lambda: waits)
        assert rerouted == []
        culprits.append(stalled)
        await waiting.until(lambda: rerouted)
    finally:
        progress_checks.cancel()
        run._try_task.cancel()
    assert rerouted == paths[1:]
