"""Test that a server that asks for a pause gets it from this node."""

import asyncio
import doctest
import types

import attrs
import pytest

from pimentowalk.dispatch import calls
from pimentowalk.dispatch import checks
from pimentowalk.dispatch import pauses
from pimentowalk.dispatch import stream
from pimentowalk.dispatch.tests import fakes
from pimentowalk.routing import hops

SERVER, OTHER = fakes.server(1), fakes.server(2)


class World:
    """Pauses on a clock that a test sets."""

    def __init__(self):
        self.now_s = 100.0
        self.pauses = pauses.ServerPauses(lambda: self.now_s, 60.0)


@pytest.fixture
def world():
    return World()


def test_doctests():
    assert doctest.testmod(pauses).failed == 0


def test_pause_ends_by_itself(world):
    """BUDGET: it may be asked again when the time is over, not before."""
    world.pauses.record(SERVER, 1.5)
    world.now_s += 1.4
    assert world.pauses.is_paused(SERVER)
    assert not world.pauses.is_paused(OTHER)
    world.now_s += 0.2
    assert not world.pauses.is_paused(SERVER)


def test_shorter_pause_does_not_end_a_longer_one(world):
    """Answers on several connections overtake each other."""
    world.pauses.record(SERVER, 5.0)
    world.pauses.record(SERVER, 0.5)
    world.now_s += 1.0
    assert world.pauses.is_paused(SERVER)


def test_pause_of_an_earlier_incarnation_is_over(world):
    """A restarted server has asked for nothing."""
    world.pauses.record(SERVER, 5.0)
    assert not world.pauses.is_paused(attrs.evolve(SERVER, born_ms=200))


def test_pause_is_bounded(world):
    """A server that asks for days would never be used again."""
    assert world.pauses.record(SERVER, 1e9) == 60.0
    world.now_s += 61.0
    assert not world.pauses.is_paused(SERVER)


def test_earliest_return_is_named_only_if_all_pause(world):
    """A caller that is refused comes back when the first pause ends."""
    world.pauses.record(SERVER, 5.0)
    assert world.pauses.remaining_s([SERVER, OTHER]) == 0.0
    world.pauses.record(OTHER, 2.0)
    assert world.pauses.remaining_s([SERVER, OTHER]) == pytest.approx(2.0)
    assert world.pauses.remaining_s([]) == 0.0


def test_past_pauses_are_forgotten(world):
    """The memory must not grow with each server that ever paused."""
    world.pauses.record(SERVER, 1.0)
    world.pauses.record(OTHER, 9.0)
    world.now_s += 2.0
    world.pauses.remove_past()
    assert len(world.pauses) == 1
    world.now_s += 8.0
    world.pauses.remove_past()
    assert not world.pauses


async def test_paused_server_is_not_asked_for_a_report(world):
    """Reports are requests too; the server still counts as working."""
    asked = []

    async def fetch_report(backend):
        asked.append(backend)

    dispatcher = fakes.dispatcher(SERVER)
    server_checks = checks.ServerChecks(
        types.SimpleNamespace(fetch_report=fetch_report),
        dispatcher.timers,
        'z1',
        lambda *_, **__: asked.append('suspected'),
        lambda *_: None,
        lambda *_: None,
        world.pauses.is_paused,
    )
    world.pauses.record(SERVER, 5.0)
    assert await server_checks.answers(SERVER)
    server_checks.check(SERVER)
    await asyncio.sleep(0.01)
    with pytest.raises(calls.Paused):
        await server_checks.report(SERVER)
    assert asked == []


def _refused_stream(dispatcher):
    """Return a stream whose try the head of its path has refused."""
    run = stream.StreamRun(
        dispatcher,
        fakes.call(dispatcher.timers.now_s()),
        types.SimpleNamespace(name='svc'),
        fakes.responder(),
    )
    run._target = calls.Target(SERVER, (hops.Hop(SERVER, 0, 8),))
    run._handle_failure(
        calls.Refused('no', peer=SERVER.address, culprit=SERVER.address)
    )
    return run


@pytest.mark.parametrize('pause_s', [0.0, 3.0])
async def test_refusal_with_a_pause_does_not_count_as_full(pause_s):
    """Streams waited 1 s for room, since one server of the path paused.

    The server turned away a request of its own; it still runs layers for
    other heads.
    """
    dispatcher = fakes.dispatcher(SERVER)
    full = []
    dispatcher.in_flight.record_full = full.append
    if pause_s:
        dispatcher.pauses.record(SERVER, pause_s)
    run = _refused_stream(dispatcher)
    assert full == ([] if pause_s else ['i-1'])
    assert run._excluded == (set() if pause_s else {'i-1'})


@pytest.mark.parametrize(
    ('paused', 'expected_s'), [((1,), 0.0), ((1, 2), 2.0), ((1, 2, 3), 2.0)]
)
async def test_caller_waits_for_a_pause_only_if_no_head_is_left(
    paused, expected_s
):
    """One long pause sent callers away although other servers were free."""
    servers = [SERVER, OTHER, attrs.evolve(fakes.server(3), first_layer=4)]
    dispatcher = fakes.dispatcher(*servers)
    for number in paused:
        dispatcher.pauses.record(servers[number - 1], 1.0 + number)
    run = stream.StreamRun(
        dispatcher,
        fakes.call(dispatcher.timers.now_s()),
        types.SimpleNamespace(name='svc'),
        fakes.responder(),
    )
    error = run._final_error(None)
    assert error.retry_after_s == pytest.approx(expected_s, abs=0.1)
