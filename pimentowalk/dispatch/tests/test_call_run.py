"""Test when a call waits for servers and when it is refused at once."""

import asyncio
import time
import types

import pytest

from pimentowalk.core import activity as core_activity
from pimentowalk.core import errors
from pimentowalk.core import timers as core_timers
from pimentowalk.dispatch import call_run
from pimentowalk.dispatch import calls
from pimentowalk.membership import backends as membership
from pimentowalk.topology import backends

SERVER = backends.Backend('i-1', 100, 5, 'svc', '10.0.0.1', 80, 'z1')


class InstantRun(call_run.CallRun):
    """A run that succeeds as soon as there is a server."""

    def _choose(self):
        usable = self._dispatcher.node.backends.usable('svc')
        return calls.Target(usable[0]) if usable else None

    async def _try_target(self):
        pass

    def _handle_failure(self, error):
        raise AssertionError(error)

    def _final_error(self, failure):
        return errors.NotRun('no server', step='choose')


def new_run(period_s):
    """Return a run on a node that has just started, and its table."""
    timers = core_timers.TimerService()
    table = membership.BackendTable(timers.now_s, period_s)
    dispatcher = types.SimpleNamespace(
        timers=timers,
        node=types.SimpleNamespace(backends=table),
        reject_if_barred=lambda _: None,
        has_pauses=False,
    )
    now_s = timers.now_s()
    call = types.SimpleNamespace(
        received_s=now_s,
        expires_at_s=now_s + 10,
        activity=core_activity.Activity(),
    )
    return InstantRun(dispatcher, call, None, None), table


async def test_call_waits_for_servers_on_a_node_that_has_just_started():
    """After a restart of all nodes, a call must not be refused because
    announcements have not arrived yet.
    """
    run, table = new_run(period_s=1.0)
    running = asyncio.ensure_future(run.run())
    await asyncio.sleep(2 * call_run.VIEW_POLL_S)
    assert not running.done()
    table.apply(SERVER)
    await asyncio.wait_for(running, 1.0)


async def test_call_is_refused_at_once_by_a_node_that_knows_all_servers():
    """A client that cannot be served must be told without delay."""
    run, _ = new_run(period_s=0.0)
    started_s = time.monotonic()
    with pytest.raises(errors.NotRun):
        await run.run()
    assert time.monotonic() - started_s < call_run.VIEW_WAIT_S / 2


async def test_call_is_refused_when_the_view_is_complete(monkeypatch):
    """The wait must end once all servers had time to announce themselves."""
    run, _ = new_run(period_s=0.1)
    monkeypatch.setattr(call_run, 'VIEW_WAIT_S', 60.0)
    with pytest.raises(errors.NotRun):
        await asyncio.wait_for(run.run(), 2.0)
