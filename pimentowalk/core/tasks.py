"""Tasks that run for as long as their process."""

import asyncio
import logging

from pimentowalk.core import logs

LOG = logging.getLogger(__name__)

RESTART_DELAY_S = 0.5


def start(run, timers, step, **fields):
    """Return a task that runs `run()` again whenever it ends.

    A node whose link or planner has ended would go on with only a part of its
    functions. `step` and the fields tell in the log which task it is.
    """
    return asyncio.ensure_future(_keep_running(run, timers, step, fields))


async def _keep_running(run, timers, step, fields):
    while True:
        try:
            await run()
            LOG.error('task ended', extra=logs.fields(step=step, **fields))
        except Exception:
            LOG.exception(
                'task failed', extra=logs.fields(step=step, **fields)
            )
        await timers.sleep(RESTART_DELAY_S)
