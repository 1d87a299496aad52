"""Test streams whose head falls silent for a second and goes on."""

import asyncio

import attrs
import pytest

from pimentowalk.entry import model_run
from pimentowalk.entry.tests import fake_agent
from pimentowalk.entry.tests import harness
from pimentowalk.entry.tests import test_failures

SILENCE_S = 1.0
REQUEST_TIMEOUT_S = 5.0


async def _pause(agent, peer, frame, end=None):
    """Send two tokens, and those up to an end after a pause."""
    frames = fake_agent.successful_frames(frame)
    for body in frames[:4]:
        await peer.send(body)
    await asyncio.sleep(SILENCE_S)
    for body in frames[4:end]:
        await peer.send(body)


async def _disconnect_after_pause(agent, peer, frame):
    await _pause(agent, peer, frame, end=4)
    peer.close()


def _set_timeout(entry):
    routes = entry.session.configuration.routes
    routes['assist'] = attrs.evolve(
        routes['assist'], timeout_s=REQUEST_TIMEOUT_S
    )


@pytest.mark.parametrize('obstacle', ['refusal', 'no retry', 'no chain'])
async def test_silent_head_is_not_left_before_another_one_runs(obstacle):
    """LOST: a stream failed although its head went on after a second."""
    async with harness.running() as entry:
        _set_timeout(entry)
        if obstacle == 'no chain':
            agent = await entry.add_agent('a')
            agent.script = _pause
            entry.update_view()
        else:
            await test_failures.start_pair(
                entry, _pause, fake_agent.refuse('overloaded')
            )
        if obstacle == 'no retry':
            harness.set_retry_budget(entry, 0)
        events = await entry.stream()
        assert harness.joined_text(events) == test_failures.REFERENCE_TEXT


async def test_standby_attempt_goes_on_when_the_silent_head_is_lost():
    """LOST: a stream failed for want of a retry that it already had."""

    async def begin_late(agent, peer, frame):
        await asyncio.sleep(SILENCE_S)
        await fake_agent.answer(agent, peer, frame)

    async with harness.running() as entry:
        _set_timeout(entry)
        _, called_agents = await test_failures.start_pair(
            entry, _disconnect_after_pause, begin_late
        )
        events = await entry.stream()
        assert harness.joined_text(events) == test_failures.REFERENCE_TEXT
        assert len(called_agents) == 2


@pytest.mark.parametrize('obstacle', ['shared server', 'no retry'])
async def test_silent_attempt_is_not_fenced_by_one_on_a_shared_server(
    monkeypatch, obstacle
):
    """LOST: an attempt beside a silent one ended it at the server of both.

    Or it was ended although no retry was granted for another one.
    """
    async with harness.running() as entry:
        _set_timeout(entry)
        if obstacle == 'no retry':
            harness.set_retry_budget(entry, 0)
            monkeypatch.setattr(model_run, 'SHARED_CHAIN_SILENCE_S', 0.0)
        head = await entry.add_agent('a', 0, 4)
        head.script = _pause
        for name in ('b', 'c'):
            await entry.add_agent(name, 4, 8)
        entry.update_view()
        events = await entry.stream()
        assert harness.joined_text(events) == test_failures.REFERENCE_TEXT
        assert len(head.opened) == 1
