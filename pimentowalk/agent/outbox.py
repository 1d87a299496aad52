"""Outgoing frames of one peer, batched while the previous send runs."""

import asyncio
import contextlib

from pimentowalk.core import errors
from pimentowalk.wire import messages

# A peer that leaves this many items unread is treated as lost. A chain has
# one step of each sequence under way, so only a stuck reader gets here.
MAX_PENDING = 20_000


class Outbox:
    """Send steps and tokens to one peer, in order and in batches.

    `connect` returns the connection. `on_lost(items, error)` gets the items
    that were not sent. `loads` returns the loads that batches carry.
    """

    def __init__(self, connect, on_lost, loads):
        self._connect = connect
        self._on_lost = on_lost
        self._loads = loads
        self._pending = []
        self._wake = asyncio.Event()
        self._sending = False
        self._task = asyncio.ensure_future(self._run())

    def put(self, item):
        """Queue a step, a token or a whole frame body."""
        self._pending.append(item)
        self._wake.set()

    @property
    def busy(self):
        """Return whether items are pending or being sent."""
        return bool(self._pending) or self._sending

    async def stop(self):
        """Drop what is pending and end the sending task."""
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task

    def cancel(self):
        """Drop what is pending without waiting for the task."""
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
        for group in batches(items):
            try:
                connection = await self._connect()
                await self._send_group(connection, group)
            except errors.PimentowalkError as error:
                self._on_lost(group, error)

    async def _send_group(self, connection, group):
        if len(self._pending) > MAX_PENDING:
            connection.abort()
        try:
            await connection.send(body_of(group, self._loads()))
        except errors.FrameError as error:
            if len(group) == 1:
                self._on_lost(group, error)
                return
            middle = len(group) // 2
            await self._send_group(connection, group[:middle])
            await self._send_group(connection, group[middle:])


def batches(items):
    """Split items into runs that fit into one frame each, in order.

    >>> batches(['a', 'b'])
    [['a'], ['b']]
    """
    groups = []
    for item in items:
        batched = isinstance(item, messages.Step | messages.Token)
        if groups and batched and type(groups[-1][0]) is type(item):
            groups[-1].append(item)
        else:
            groups.append([item])
    return groups


def body_of(group, loads):
    """Return the frame body for one group of items."""
    if isinstance(group[0], messages.Step):
        return messages.StepBatch(group, loads)
    if isinstance(group[0], messages.Token):
        return messages.TokenBatch(group, loads)
    return group[0]
