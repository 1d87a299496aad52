"""Queue of outgoing frames to one peer, batched during the previous send."""

import asyncio
import contextlib

from pimentowalk.core import errors
from pimentowalk.wire import messages

# A peer with more pending items than this is treated as lost. Each sequence
# has one step in flight, so only a peer that stopped reading reaches this.
MAX_PENDING = 20_000


class Outbox:
    """Send steps and tokens to one peer, in order and in batches.

    `connect()` returns the connection. `on_unsent(items, error)` receives the
    items that were not sent. `loads()` returns the loads to put into batches.
    """

    def __init__(self, connect, on_unsent, loads):
        self._connect = connect
        self._on_unsent = on_unsent
        self._loads = loads
        self._pending = []
        self._wake = asyncio.Event()
        self._sending = False
        self._task = asyncio.ensure_future(self._run())

    def put(self, item):
        """Queue a step, a token or a complete frame body."""
        self._pending.append(item)
        self._wake.set()

    @property
    def busy(self):
        """Return whether items are pending or being sent."""
        return bool(self._pending) or self._sending

    async def stop(self):
        """Drop the pending items and wait for the sending task to end."""
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task

    def cancel(self):
        """Drop the pending items without waiting for the sending task."""
        self._task.cancel()

    async def _run(self):
        while True:
            await self._wake.wait()
            self._wake.clear()
            items, self._pending = self._pending, []
            self._sending = True
            await self._send_all(items)
            self._sending = False

    async def _send_all(self, items):
        for group in group_items(items):
            try:
                connection = await self._connect()
                await self._send_group(connection, group)
            except errors.PimentowalkError as error:
                self._on_unsent(group, error)

    async def _send_group(self, connection, group):
        if len(self._pending) > MAX_PENDING:
            connection.abort()
        try:
            await connection.send(frame_body(group, self._loads()))
        except errors.FrameError as error:
            if len(group) == 1:
                self._on_unsent(group, error)
                return
            middle = len(group) // 2
            await self._send_group(connection, group[:middle])
            await self._send_group(connection, group[middle:])


def group_items(items):
    """Group consecutive steps and consecutive tokens, keeping the order.

    >>> group_items(['a', 'b'])
    [['a'], ['b']]
    """
    groups = []
    for item in items:
        can_batch = isinstance(item, messages.Step | messages.Token)
        if groups and can_batch and type(groups[-1][0]) is type(item):
            groups[-1].append(item)
        else:
            groups.append([item])
    return groups


def frame_body(group, loads):
    """Return the frame body that carries one group of items."""
    if isinstance(group[0], messages.Step):
        return messages.StepBatch(group, loads)
    if isinstance(group[0], messages.Token):
        return messages.TokenBatch(group, loads)
    return group[0]
