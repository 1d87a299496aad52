"""Test requests that are in progress when a stop and a change begin."""

import asyncio
import logging

import aiohttp
import pytest

from pimentowalk.entry import drain
from pimentowalk.platform.tests import changing
from pimentowalk.platform.tests import test_document_changes as changes

STEPS = [
    (name, step) for name, kind in changes.KINDS.items() for step in kind.steps
]
# A stop that leaves enough time for each request, and one that does not.
LONG_S = 10.0
SHORT_S = 0.03
# Statuses that say that a request has not run.
NOT_RUN = {429, 503}


class Stop:
    """A stop that begins together with a change of the configuration."""

    def __init__(self, scene, timeout_s):
        self._scene = scene
        self._timeout_s = timeout_s
        self._task = None
        scene.front._drain = drain.Drain(scene.timers)

    async def begin(self, kind, change):
        """Change the configuration and begin the stop."""
        scene = self._scene
        scene.configure(changes.CHANGES[change], kind)
        self._task = asyncio.ensure_future(
            scene.front._drain.run(
                self._stop_accepting, self._timeout_s, shutdown_delay_s=0.0
            )
        )
        # What the request waited for comes now, while the drain goes on.
        scene.announce()
        scene.dispatcher.in_flight._full_until_s.clear()

    async def _stop_accepting(self):
        """Keep the connection of the request; there are no others."""

    async def end(self):
        """Wait until the stop has ended."""
        await self._task


async def _request(scene, kind, request_id):
    """Return the answer of a request, None if its connection was closed."""
    try:
        return await scene.request(kind.method, kind.path, request_id)
    except aiohttp.ClientError:
        return None


@pytest.mark.parametrize(('name', 'step'), STEPS)
async def test_stop_beside_a_change_lets_requests_finish(
    scene, caplog, name, step
):
    """LOST: a request that was read got no answer, with time enough."""
    caplog.set_level(logging.INFO)
    kind = changes.KINDS[name]
    for change in changes.CHANGES:
        scene.reset()
        changes._prepare(scene, kind, step)
        stop = Stop(scene, LONG_S)
        scene.steps.actions[step] = lambda s=stop, c=change: s.begin(kind, c)
        request_id = f'{name}/{step}/{change}'
        caplog.clear()
        answer = await _request(scene, kind, request_id)
        assert answer == changing.Answer(200, request_id, kind.body)
        assert len(changes._ends(caplog, request_id)) == 1
        async with asyncio.timeout(LONG_S / 2):
            await stop.end()


@pytest.mark.parametrize(('name', 'step'), STEPS)
async def test_stop_that_is_too_short_answers_beside_a_change(
    scene, caplog, name, step
):
    """LOST: a request that was cut got neither an answer nor a refusal."""
    caplog.set_level(logging.INFO)
    kind = changes.KINDS[name]
    for change in changes.CHANGES:
        scene.reset()
        changes._prepare(scene, kind, step)
        stop = Stop(scene, SHORT_S)

        async def cut(stop=stop, change=change):
            await stop.begin(kind, change)
            await stop.end()

        scene.steps.actions[step] = cut
        request_id = f'{name}/{step}/{change}'
        caplog.clear()
        answer = await _request(scene, kind, request_id)
        (end,) = changes._ends(caplog, request_id)
        if answer is None:
            # Only a stream that has begun ends without a status.
            assert kind.service == 'model'
            assert step in ('pause', 'send 2')
            continue
        assert answer.request_id == request_id
        assert answer.status in {200, 502, 503}
        if answer.status == 200:
            assert answer.body == kind.body
        if answer.status in NOT_RUN:
            assert not scene.runs(request_id)
