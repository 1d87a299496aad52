"""Guard streams that have begun and lose their path."""

import types

import pytest

from pimentowalk.core import errors
from pimentowalk.dispatch import call_run
from pimentowalk.dispatch import calls
from pimentowalk.dispatch import stream
from pimentowalk.dispatch.tests import fakes


class Resumed(stream.StreamRun):
    """A stream whose first run broke and whose next tries are scripted."""

    def __init__(self, *arguments, failures, **others):
        super().__init__(*arguments, **others)
        self.failures = list(failures)
        self.tried = 0

    def _choose(self):
        table = self._dispatcher.node.backends
        usable = [
            b for b in table.usable('svc') if b.server_id not in self._avoid
        ]
        return calls.Target(usable[0]) if usable else None

    async def _try(self):
        self.tried += 1
        if self.failures:
            raise self.failures.pop(0)

    def _note_failure(self, error):
        self._refusals += isinstance(error, calls.Refused)
        self._avoid.add('i-1')


class NeverAvoid(set):
    """A set that stays empty, so that every try finds the server."""

    def add(self, item):
        pass


def begin(failures, *, started=True):
    """Return a run and its table, which knows one server."""
    dispatcher = fakes.dispatcher(fakes.server(1))
    now_s = dispatcher.timers.now_s()
    run = Resumed(
        dispatcher,
        fakes.call(now_s),
        types.SimpleNamespace(name='svc'),
        fakes.responder(started=started),
        failures=failures,
    )
    run._last_event_s = now_s
    return run, dispatcher.node.backends


def refusals(count):
    """Return proofs that nothing ran."""
    return [calls.Refused('refused with 503') for _ in range(count)]


async def test_stream_that_has_begun_outlasts_refusals():
    """Full servers must not cut a stream that its caller still reads."""
    run, _ = begin(refusals(5))
    await run.run()
    assert run.tried == 6


async def test_stream_that_has_begun_waits_for_a_path():
    """A range is loaded again within a second or two."""
    run, table = begin([])
    table.suspect('i-1', 100, 'refused')
    timers = run._dispatcher.timers
    timers.after(0.2, lambda: table.apply(fakes.server(2)))
    await run.run()
    assert run.tried == 1


async def test_stream_is_cut_before_its_caller_gives_up(monkeypatch):
    """Nobody waits for events after two seconds without one."""
    monkeypatch.setattr(stream, 'RESUME_WAIT_S', 0.2)
    run, table = begin([])
    table.suspect('i-1', 100, 'refused')
    with pytest.raises(errors.OutcomeUnknown):
        await run.run()
    assert run.tried == 0


async def test_stream_that_has_not_begun_is_refused_after_few_tries():
    """A caller without an event is better told to come back."""
    run, _ = begin(refusals(20), started=False)
    run._avoid = NeverAvoid()
    with pytest.raises(errors.PimentowalkError):
        await run.run()
    assert run.tried == 4


def deny(run, times):
    """Let the budget of repeats deny some tries."""
    answers = [False] * times
    run._dispatcher.budget.take = lambda *_, **__: (
        answers.pop() if answers else True
    )


async def test_stream_that_has_begun_waits_for_a_repeat():
    """A budget that is used up for a moment must not cut a stream."""
    run, _ = begin(refusals(1))
    deny(run, 2)
    await run.run()
    assert run.tried == 2


async def test_wait_for_a_repeat_ends_before_the_caller_gives_up(monkeypatch):
    """Nobody waits for events after two seconds without one."""
    monkeypatch.setattr(stream, 'RESUME_WAIT_S', 0.2)
    run, _ = begin(refusals(1))
    deny(run, 1000)
    since_s = run._dispatcher.timers.now_s()
    with pytest.raises(errors.OutcomeUnknown):
        await run.run()
    assert run.tried == 1
    waited_s = run._dispatcher.timers.now_s() - since_s
    assert waited_s < stream.RESUME_WAIT_S + 3 * call_run.REPEAT_POLL_S


async def test_denied_stream_that_has_not_begun_is_refused_at_once():
    """It can come back, while waiting would use up its time."""
    run, _ = begin(refusals(1), started=False)
    run._avoid = NeverAvoid()
    deny(run, 1)
    with pytest.raises(errors.PimentowalkError) as found:
        await run.run()
    assert found.value.code == 'not_run'
    assert run.tried == 1
