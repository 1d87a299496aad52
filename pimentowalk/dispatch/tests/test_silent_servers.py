"""Test how servers that no longer announce themselves are handled."""

import asyncio
import types

import pytest

from pimentowalk.core import metrics
from pimentowalk.core import timers as core_timers
from pimentowalk.dispatch import calls
from pimentowalk.dispatch import checks
from pimentowalk.dispatch import dispatcher
from pimentowalk.dispatch import transport
from pimentowalk.membership import backends as membership
from pimentowalk.topology import backends

SERVER = backends.Backend('i-1', 100, 5, 'svc', '10.0.0.1', 80, 'z1')
OTHER = backends.Backend('i-2', 100, 5, 'svc', '10.0.0.2', 80, 'z1')
PERIOD_S = 0.01


class FakeLoads:
    """Ignore all reported loads."""

    record_report = set_engines = record_slowness = staticmethod(
        lambda *_: None
    )


class FakeTransport:
    """Answer report requests as scripted."""

    def __init__(self, answers):
        self.answers = list(answers)
        self.requested = []

    async def fetch_report(self, backend):
        self.requested.append(backend.server_id)
        answer = self.answers.pop(0) if self.answers else None
        if isinstance(answer, calls.NoAnswer):
            # A request without an answer ends at its timeout.
            await asyncio.sleep(1.5 * checks.REPORT_TTL_S)
        if answer is not None:
            raise answer
        return transport.ServerReport({})


def new_dispatcher(answers):
    """Return a dispatcher whose table has one silent server."""
    timers = core_timers.TimerService()
    table = membership.BackendTable(timers.now_s, PERIOD_S)
    fake_transport = FakeTransport(answers)
    node = types.SimpleNamespace(
        backends=table,
        subscribe=lambda *_: None,
        on_document=lambda *_: None,
        publish=lambda *_: None,
    )
    tested = dispatcher.Dispatcher(
        node,
        fake_transport,
        timers,
        in_flight=FakeLoads(),
        budget=None,
        crashes=None,
        metrics=metrics.Metrics('test'),
        zone='z1',
    )
    table.apply(SERVER, age_s=60.0)
    table.apply(OTHER)
    return tested, table, fake_transport


async def expire(tested):
    """Check silent servers and wait for the results."""
    tested._expire_silent()
    await asyncio.gather(*tested._verifying.values())


async def test_server_that_answers_is_kept():
    """A server whose announcements are lost must stay in use."""
    tested, table, fake_transport = new_dispatcher([None])
    await expire(tested)
    assert fake_transport.requested == ['i-1']
    assert {b.server_id for b in table.usable('svc')} == {'i-1', 'i-2'}


async def test_one_lost_answer_does_not_remove_a_server():
    """A packet may get lost; only a second timeout counts."""
    tested, table, _ = new_dispatcher([calls.NoAnswer('timeout'), None])
    await expire(tested)
    assert table.get('i-1') is not None


@pytest.mark.parametrize(
    'answers',
    [
        [calls.Unreachable('refused')],
        [calls.Broken('another server answers with 421')],
        [calls.NoAnswer('timeout'), calls.NoAnswer('timeout')],
    ],
)
async def test_server_that_does_not_answer_is_removed(answers):
    """The server is down, or its address belongs to another server."""
    tested, table, _ = new_dispatcher(answers)
    await expire(tested)
    assert [b.server_id for b in table.usable('svc')] == ['i-2']


def _logged_failures(caplog):
    """Return the logged exceptions with the server that they concern."""
    return [
        (record.server, record.peer, record.exc_info[0])
        for record in caplog.records
        if record.exc_info and hasattr(record, 'server')
    ]


async def test_failed_check_of_a_silent_server_is_logged(caplog):
    """The log had an exception, but not the server that was checked."""
    tested, table, _ = new_dispatcher([KeyError('a fault of the program')])
    await expire(tested)
    assert _logged_failures(caplog) == [('i-1', '10.0.0.1:80', KeyError)]
    assert table.get('i-1') is not None
    await expire(tested)
    assert {b.server_id for b in table.usable('svc')} == {'i-1', 'i-2'}


async def test_failed_background_check_is_logged(caplog):
    """The log had an exception, but not the server that was checked."""
    tested, _, _ = new_dispatcher([KeyError('a fault of the program')])
    tested.checks.check(SERVER)
    await asyncio.gather(*tested.checks._tasks)
    assert _logged_failures(caplog) == [('i-1', '10.0.0.1:80', KeyError)]
