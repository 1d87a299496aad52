"""Test which failed runs are reported as causes of a crash."""

import asyncio
import types

import attrs
import pytest

from pimentowalk.admission import crashes
from pimentowalk.core import errors
from pimentowalk.core import metrics as core_metrics
from pimentowalk.core import timers as core_timers
from pimentowalk.dispatch import calls
from pimentowalk.dispatch import crash_reports
from pimentowalk.dispatch import stream
from pimentowalk.dispatch.tests import fakes
from pimentowalk.membership import backends as membership

SERVER = fakes.server(1)
DEADLY, SHARED = 1, 2


class Harness:
    """Crash reports of a node with one server, on a manual clock."""

    def __init__(self):
        self.timers = core_timers.ManualTimerService()
        self.table = membership.BackendTable(self.timers.now_s, 1e6)
        self.table.apply(SERVER)
        self.published = []
        node = types.SimpleNamespace(
            backends=self.table, publish=self.published.append
        )
        self.reports = crash_reports.CrashReports(
            node,
            crashes.CrashTracker(self.timers.now_s),
            self.timers,
            core_metrics.Metrics('test'),
        )

    def fail(self, *traits, has_output=False):
        """Let a run with some traits fail at the server."""
        call = types.SimpleNamespace(traits=traits)
        self.reports.add(call, SERVER, has_output=has_output)


@pytest.fixture
def harness():
    return Harness()


async def test_runs_at_a_crashed_server_are_reported_together(harness):
    """All streams of a server break at once."""
    harness.fail(DEADLY, SHARED)
    harness.fail(SHARED, 3)
    harness.fail(4, has_output=True)
    harness.table.suspect('i-1', 100, 'refused', is_down=True)
    await harness.timers.advance(crash_reports.CRASH_CHECK_DELAY_S)
    (note,) = harness.published
    assert note.silent_traits == [DEADLY, SHARED, 3]
    assert note.other_traits == []


async def test_runs_at_a_server_that_is_cut_off_are_not_reported(harness):
    """Sound requests would be rejected after a partition."""
    harness.fail(DEADLY)
    harness.table.suspect('i-1', 100, 'no answer')
    await harness.timers.advance(60.0)
    assert harness.published == []
    assert not harness.reports._failed_runs


async def test_server_that_fell_silent_and_restarted_has_crashed(harness):
    """Its host did not refuse connections while it was down."""
    harness.fail(DEADLY)
    harness.table.suspect('i-1', 100, 'no answer')
    await harness.timers.advance(2.0)
    harness.table.apply(
        attrs.evolve(SERVER, server_id='i-2', born_ms=200, sequence=0)
    )
    await harness.timers.advance(1.0)
    (note,) = harness.published
    assert note.silent_traits == [DEADLY]
    assert note.age_ms >= 2000


async def test_failed_run_at_a_working_server_is_not_reported(harness):
    """A connection may break without a crash."""
    harness.fail(DEADLY)
    await harness.timers.advance(60.0)
    assert harness.published == []


class CrashingResponse:
    """A response that breaks after some events."""

    def __init__(self, events):
        self.status = 200
        self.headers = {}
        self._chunks = [b'id: 1\ndata: x\n\n'] * events

    async def read(self):
        if self._chunks:
            return self._chunks.pop()
        raise calls.Broken('the answer broke off', peer=SERVER.address)

    def close(self):
        pass


@pytest.mark.parametrize('events', [0, 1])
async def test_stream_that_broke_before_its_first_event_is_suspected(events):
    """BUDGET: a server crashed as soon as it began to write the answer.

    Only streams with output were suspected, all of them sound.
    """
    dispatcher = fakes.dispatcher(SERVER)
    reported = []
    dispatcher.report_failed_run = lambda call, server, *, has_output: (
        reported.append(has_output)
    )
    dispatcher.in_flight.begin = dispatcher.in_flight.end = lambda *_: None

    async def send(*_):
        return CrashingResponse(events)

    dispatcher.transport = types.SimpleNamespace(send=send)

    async def ignore(*_):
        pass

    responder = fakes.responder()
    responder.start = responder.write = ignore
    call = fakes.call(dispatcher.timers.now_s())
    call.deadline_s = call.expires_at_s
    run = stream.StreamRun(dispatcher, call, None, responder)
    run._target = calls.Target(SERVER)
    with pytest.raises(calls.Broken) as raised:
        await run._try_target()
    run._handle_failure(raised.value)
    assert reported == [bool(events)]


async def test_call_that_waits_is_rejected_once_it_is_barred():
    """It was admitted before the crash that barred it."""
    dispatcher = fakes.dispatcher(SERVER)
    tried = []

    class WaitingRun(stream.StreamRun):
        async def _select_target(self):
            await asyncio.sleep(0.01)
            self._target = calls.Target(SERVER)

        async def _try_target(self):
            tried.append(self)

    def reject(_):
        raise errors.PimentowalkError('barred', code='quarantined')

    run = WaitingRun(
        dispatcher,
        fakes.call(dispatcher.timers.now_s()),
        None,
        fakes.responder(),
    )
    running = asyncio.ensure_future(run.run())
    await asyncio.sleep(0)
    dispatcher.reject_if_barred = reject
    with pytest.raises(errors.PimentowalkError):
        await running
    assert tried == []
