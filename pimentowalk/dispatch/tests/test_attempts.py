"""Guard how many runs a stream may take, and when it may say "not run"."""

import types

import pytest

from pimentowalk.core import errors
from pimentowalk.dispatch import calls
from pimentowalk.dispatch import stream
from pimentowalk.dispatch.tests import fakes

HEAD = '10.0.0.1:80'
OTHER = '10.0.0.9:80'


class Scripted(stream.StreamRun):
    """A stream whose tries fail as scripted before their first event."""

    def __init__(self, *arguments, failures, **others):
        super().__init__(*arguments, **others)
        self.failures = list(failures)
        self.tried = 0

    def _choose(self):
        usable = self._dispatcher.node.backends.usable('svc')
        return calls.Target(
            next(b for b in usable if b.server_id not in self._avoid)
        )

    async def _try(self):
        self.tried += 1
        self._has_begun = False
        if self.failures:
            raise self.failures.pop(0)


def begin(failures, *, is_repeatable=True):
    """Return a run on six equal servers."""
    dispatcher = fakes.dispatcher(*map(fakes.server, range(1, 7)))
    return Scripted(
        dispatcher,
        fakes.call(dispatcher.timers.now_s(), is_repeatable=is_repeatable),
        types.SimpleNamespace(name='svc'),
        fakes.responder(),
        failures=failures,
    )


def broken(count):
    """Return answers that broke off before their first event."""
    return [calls.Broken('connection reset') for _ in range(count)]


async def test_answers_that_break_off_at_once_count_as_runs():
    """The first event may be lost with the connection, so that a third try
    would be a third run of a route with two attempts.
    """
    run = begin(broken(5))
    with pytest.raises(errors.OutcomeUnknown):
        await run.run()
    assert run.tried == 2


async def test_silent_heads_take_attempts():
    """Pattern: the links of two heads are slow, so that their reports come
    too late; both run the stream to its end, and a third one would as well.
    """
    failures = [calls.Stalled('no answer', culprit=HEAD)]
    failures.append(calls.Stalled('no answer', culprit='10.0.0.2:80'))
    run = begin(failures)
    with pytest.raises(errors.OutcomeUnknown):
        await run.run()
    assert run.tried == 2


async def test_stalled_paths_of_a_head_that_answers_take_no_attempt():
    """Nothing ran there, and the callers still want an answer."""
    run = begin([calls.Stalled('stands still', culprit=OTHER)] * 3)
    await run.run()
    assert run.tried == 4


@pytest.mark.parametrize(
    ('failures', 'is_repeatable', 'code'),
    [
        # The head answered and had sent no event: nothing ran.
        ([calls.Stalled('stands still', culprit=OTHER)], True, 'not_run'),
        # The same, where a run that goes on unseen must not be denied.
        ([calls.Stalled('stands still', culprit=OTHER)], False, None),
        ([calls.Stalled('silent head', culprit=HEAD)], True, None),
        (broken(1), True, None),
    ],
)
async def test_not_run_is_said_only_with_proof(failures, is_repeatable, code):
    """Later refusals prove nothing of a try that may have begun."""
    refusals = [calls.Refused('refused with 503') for _ in range(9)]
    run = begin(failures + refusals, is_repeatable=is_repeatable)
    with pytest.raises(errors.PimentowalkError) as found:
        await run.run()
    assert found.value.code == (code or errors.OutcomeUnknown.code)


async def test_repeat_that_the_budget_denies_is_logged():
    """On-call engineers must see why a stream got no other try."""
    run = begin(broken(1))
    denied = []
    run._dispatcher.budget.take = lambda *_, **__: False
    run._dispatcher.log_denied_repeat = lambda *fields: denied.append(fields)
    with pytest.raises(errors.OutcomeUnknown):
        await run.run()
    assert run.tried == 1
    ((call, service, share),) = denied
    assert (call.route.attempts, service.name) == (2, 'svc')
    assert share == stream.NEW_STREAM_SHARE
