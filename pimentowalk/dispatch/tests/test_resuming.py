"""Test started streams whose path fails."""

import asyncio
import types

import pytest

from pimentowalk.core import errors
from pimentowalk.dispatch import call_run
from pimentowalk.dispatch import calls
from pimentowalk.dispatch import stream
from pimentowalk.dispatch.tests import fakes


class ResumedStream(stream.StreamRun):
    """A stream whose first try failed and whose next tries are scripted."""

    def __init__(self, *arguments, failures, **others):
        super().__init__(*arguments, **others)
        self.failures = list(failures)
        self.try_count = 0

    def _choose(self):
        table = self._dispatcher.node.backends
        usable = [
            b for b in table.usable('svc') if b.server_id not in self._excluded
        ]
        return calls.Target(usable[0]) if usable else None

    async def _try_target(self):
        self.try_count += 1
        if self.failures:
            raise self.failures.pop(0)

    def _handle_failure(self, error):
        self._refusals += isinstance(error, calls.Refused)
        self._excluded.add('i-1')


class EmptySet(set):
    """A set that stays empty, so that no server is excluded."""

    def add(self, item):
        pass


def new_run(failures, *, started=True):
    """Return a run and its table, which has one server."""
    dispatcher = fakes.dispatcher(fakes.server(1))
    now_s = dispatcher.timers.now_s()
    run = ResumedStream(
        dispatcher,
        fakes.call(now_s),
        types.SimpleNamespace(name='svc'),
        fakes.responder(started=started),
        failures=failures,
    )
    run._last_event_s = now_s
    return run, dispatcher.node.backends


def refusals(count):
    """Return failures that prove that nothing was executed."""
    return [calls.Refused('refused with 503') for _ in range(count)]


async def test_started_stream_survives_refusals():
    """Full servers must not end a stream that its client still reads."""
    run, _ = new_run(refusals(5))
    await run.run()
    assert run.try_count == 6


async def test_started_stream_waits_for_a_path():
    """A missing layer range is loaded again within a second or two."""
    run, table = new_run([])
    table.suspect('i-1', 100, 'refused')
    timers = run._dispatcher.timers
    timers.after(0.2, lambda: table.apply(fakes.server(2)))
    await run.run()
    assert run.try_count == 1


async def test_stream_fails_before_its_client_gives_up(monkeypatch):
    """Clients give up after two seconds without an event."""
    monkeypatch.setattr(stream, 'RESUME_WAIT_S', 0.2)
    run, table = new_run([])
    table.suspect('i-1', 100, 'refused')
    with pytest.raises(errors.OutcomeUnknown):
        await run.run()
    assert run.try_count == 0


async def test_new_stream_is_refused_after_few_tries():
    """A client without an event can retry later."""
    run, _ = new_run(refusals(20), started=False)
    run._excluded = EmptySet()
    with pytest.raises(errors.PimentowalkError):
        await run.run()
    assert run.try_count == 4


def deny_retries(run, times):
    """Let the retry budget deny some retries."""
    answers = [False] * times
    run._dispatcher.budget.take = lambda *_, **__: (
        answers.pop() if answers else True
    )


async def test_started_stream_waits_for_the_retry_budget():
    """A briefly exhausted budget must not end a stream."""
    run, _ = new_run(refusals(1))
    deny_retries(run, 2)
    await run.run()
    assert run.try_count == 2


async def test_wait_for_the_budget_ends_before_the_client_gives_up(
    monkeypatch,
):
    """Clients give up after two seconds without an event."""
    monkeypatch.setattr(stream, 'RESUME_WAIT_S', 0.2)
    run, _ = new_run(refusals(1))
    deny_retries(run, 1000)
    since_s = run._dispatcher.timers.now_s()
    with pytest.raises(errors.OutcomeUnknown):
        await run.run()
    assert run.try_count == 1
    waited_s = run._dispatcher.timers.now_s() - since_s
    assert waited_s < stream.RESUME_WAIT_S + 3 * call_run.RETRY_POLL_S


async def test_new_stream_without_retry_budget_is_refused_at_once():
    """Its client can retry, while waiting would use up its time."""
    run, _ = new_run(refusals(1), started=False)
    run._excluded = EmptySet()
    deny_retries(run, 1)
    with pytest.raises(errors.PimentowalkError) as raised:
        await run.run()
    assert raised.value.code == 'not_run'
    assert run.try_count == 1


class PendingStream(stream.StreamRun):
    """A stream whose server never answers."""

    async def _pass_response(self):
        await asyncio.get_running_loop().create_future()


async def test_cancelled_stream_does_not_go_on_after_an_interruption():
    """A stop and a recovery in the same moment began another try."""
    dispatcher = fakes.dispatcher(fakes.server(1))
    dispatcher.in_flight = types.SimpleNamespace(
        begin=lambda *_: None, end=lambda *_: None
    )
    run = PendingStream(
        dispatcher,
        fakes.call(dispatcher.timers.now_s()),
        types.SimpleNamespace(name='svc'),
        fakes.responder(started=True),
    )
    run._target = calls.Target(fakes.server(1))
    task = asyncio.ensure_future(run._try_target())
    await asyncio.sleep(0.01)
    run._interrupt(calls.Stalled('the path has stalled'))
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
