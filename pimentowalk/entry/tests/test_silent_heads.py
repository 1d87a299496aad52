"""Test streams whose head falls silent for a second and goes on."""

import asyncio

import attrs
import pytest

from pimentowalk.entry.tests import fake_agent
from pimentowalk.entry.tests import harness
from pimentowalk.entry.tests import test_failures

SILENCE_S = 1.0
REQUEST_TIMEOUT_S = 5.0


async def _pause(agent, peer, frame):
    """Send two tokens, and the rest after a pause."""
    frames = fake_agent.successful_frames(frame)
    for body in frames[:4]:
        await peer.send(body)
    await asyncio.sleep(SILENCE_S)
    for body in frames[4:]:
        await peer.send(body)


@pytest.mark.parametrize('obstacle', ['refusal', 'no retry', 'no chain'])
async def test_silent_head_is_not_left_before_another_one_runs(obstacle):
    """LOST: a stream failed although its head went on after a second."""
    async with harness.running() as entry:
        routes = entry.session.configuration.routes
        routes['assist'] = attrs.evolve(
            routes['assist'], timeout_s=REQUEST_TIMEOUT_S
        )
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
