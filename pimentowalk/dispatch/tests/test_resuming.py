"""Guard streams that have begun and lose their path."""

import types

import pytest

from pimentowalk.admission import room as admission_room
from pimentowalk.core import errors
from pimentowalk.core import timers as core_timers
from pimentowalk.dispatch import calls
from pimentowalk.dispatch import stream
from pimentowalk.membership import backends as membership
from pimentowalk.topology import backends

SERVER = backends.Backend(
    'i-1', 100, 5, 'svc', '10.0.0.1', 80, 'z1', first_layer=0, end_layer=8
)


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
    timers = core_timers.TimerService()
    table = membership.BackendTable(timers.now_s, 0.0)
    table.apply(SERVER)
    now_s = timers.now_s()
    dispatcher = types.SimpleNamespace(
        timers=timers,
        node=types.SimpleNamespace(backends=table, live_nodes=1),
        room=admission_room.RoomQueue(timers),
        budget=types.SimpleNamespace(take=lambda *_, **__: True),
    )
    call = types.SimpleNamespace(
        received_s=now_s,
        ends_s=now_s + 10,
        last_event_id=0,
        priority=1,
        prompt_tokens=1,
        expected_answer_tokens=1,
        route=types.SimpleNamespace(
            is_repeatable=True, attempts=2, objective_s=0.5
        ),
    )
    run = Resumed(
        dispatcher,
        call,
        types.SimpleNamespace(name='svc'),
        types.SimpleNamespace(started=started),
        failures=failures,
    )
    run._last_event_s = now_s
    return run, table


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
    timers.after(
        0.2, lambda: table.apply(backends.Backend(
            'i-2', 100, 1, 'svc', '10.0.0.2', 80, 'z1',
            first_layer=0, end_layer=8,
        ))
    )  # fmt: skip
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
