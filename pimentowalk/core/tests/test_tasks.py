"""Test the tasks that run for as long as their process."""

import asyncio

import pytest

from pimentowalk.core import errors
from pimentowalk.core import tasks
from pimentowalk.core import timers as core_timers


@pytest.mark.parametrize(
    'error',
    [
        TypeError('x'),
        OSError('x'),
        TimeoutError(),
        errors.PeerLost('x'),
        MemoryError(),
        None,
    ],
    ids=repr,
)
async def test_task_that_ends_is_logged_and_runs_again(caplog, error):
    """A link that ended for good cut its node off from control."""
    timers = core_timers.ManualTimerService()
    runs = []

    async def run():
        runs.append(timers.now_s())
        if len(runs) == 1 and error is not None:
            raise error
        if len(runs) == 2:
            await asyncio.Event().wait()

    task = tasks.start(run, timers, 'mesh', peer='n1')
    await timers.advance(tasks.RESTART_DELAY_S)
    assert runs == [0.0, tasks.RESTART_DELAY_S]
    (record,) = caplog.records
    assert record.levelname == 'ERROR'
    await core_timers.cancel_all([task])
    assert task.cancelled()
