"""Test how often a stream may be executed and when it fails as not run."""

import types

import pytest

from pimentowalk.core import errors
from pimentowalk.dispatch import calls
from pimentowalk.dispatch import stream
from pimentowalk.dispatch.tests import fakes

HEAD = '10.0.0.1:80'
OTHER = '10.0.0.9:80'


class ScriptedStream(stream.StreamRun):
    """A stream whose tries fail as scripted before their first event."""

    def __init__(self, *arguments, failures, **others):
        super().__init__(*arguments, **others)
        self.failures = list(failures)
        self.try_count = 0

    def _choose(self):
        usable = self._dispatcher.node.backends.usable('svc')
        return calls.Target(
            next(b for b in usable if b.server_id not in self._excluded)
        )

    async def _try_target(self):
        self.try_count += 1
        self._has_output = False
        if self.failures:
            raise self.failures.pop(0)


def new_run(failures, *, is_repeatable=True):
    """Return a run on six equal servers."""
    dispatcher = fakes.dispatcher(*map(fakes.server, range(1, 7)))
    return ScriptedStream(
        dispatcher,
        fakes.call(dispatcher.timers.now_s(), is_repeatable=is_repeatable),
        types.SimpleNamespace(name='svc'),
        fakes.responder(),
        failures=failures,
    )


def broken(count):
    """Return failures of connections that broke before the first event."""
    return [calls.Broken('connection reset') for _ in range(count)]


async def test_broken_connections_count_as_executions():
    """The first event may be lost with the connection, so a third try could
    be a third execution on a route with two attempts.
    """
    run = new_run(broken(5))
    with pytest.raises(errors.OutcomeUnknown):
        await run.run()
    assert run.try_count == 2


async def test_unresponsive_heads_count_as_executions():
    """If the links of two heads are slow, their reports arrive too late, but
    both execute the stream to its end, and a third head would as well.
    """
    failures = [calls.Stalled('no answer', culprit=HEAD)]
    failures.append(calls.Stalled('no answer', culprit='10.0.0.2:80'))
    run = new_run(failures)
    with pytest.raises(errors.OutcomeUnknown):
        await run.run()
    assert run.try_count == 2


async def test_stalls_behind_a_responsive_head_are_no_executions():
    """Nothing was executed, and the client still waits for an answer."""
    run = new_run([calls.Stalled('path stalled', culprit=OTHER)] * 3)
    await run.run()
    assert run.try_count == 4


@pytest.mark.parametrize(
    ('failures', 'is_repeatable', 'code'),
    [
        # The head answered without having sent an event: nothing ran.
        ([calls.Stalled('path stalled', culprit=OTHER)], True, 'not_run'),
        # On a route that is not repeatable, an execution that may still be
        # going on must not be reported as not run.
        ([calls.Stalled('path stalled', culprit=OTHER)], False, None),
        ([calls.Stalled('no answer', culprit=HEAD)], True, None),
        (broken(1), True, None),
    ],
)
async def test_not_run_is_said_only_with_proof(failures, is_repeatable, code):
    """Later refusals prove nothing about a try that may have executed."""
    refusals = [calls.Refused('refused with 503') for _ in range(9)]
    run = new_run(failures + refusals, is_repeatable=is_repeatable)
    with pytest.raises(errors.PimentowalkError) as raised:
        await run.run()
    assert raised.value.code == (code or errors.OutcomeUnknown.code)


async def test_denied_retry_is_logged():
    """Operators must see why a stream was not retried."""
    run = new_run(broken(1))
    denied = []
    run._dispatcher.budget.take = lambda *_, **__: False
    run._dispatcher.log_denied_retry = lambda *fields: denied.append(fields)
    with pytest.raises(errors.OutcomeUnknown):
        await run.run()
    assert run.try_count == 1
    ((call, service, share),) = denied
    assert (call.route.attempts, service.name) == (2, 'svc')
    assert share == stream.NEW_STREAM_BUDGET_SHARE
