"""Connections that an agent opens to other agents, and all outboxes."""

import asyncio

from pimentowalk.agent import outbox
from pimentowalk.core import errors
from pimentowalk.core import timers as core_timers
from pimentowalk.wire import connection as wire
from pimentowalk.wire import keepalive


class Peers:
    """Dial other agents once each and keep an outbox for every peer.

    `on_frame` handles frames of dialled connections, `on_unsent(items,
    error, address)` gets what could not be sent to a later stage, and
    `on_lost(address, connection)` is called when a dialled connection ends.
    While `in_use` holds, silent stages are probed.
    """

    def __init__(self, hello, loads, version, timers, in_use):
        self._hello = hello
        self._loads = loads
        self._version = version
        self._timers = timers
        self._in_use = in_use
        self._connections = {}
        self._dials = {}
        self._tasks = set()
        self._link_boxes = {}
        self._boxes = {}
        self.on_frame = None
        self.on_unsent = None
        self.on_lost = None

    async def connection(self, stage):
        """Return the connection to a stage; raise PeerLost."""
        address = (stage.host, stage.port)
        ready = self._connections.get(address)
        if ready is not None and not ready.closed:
            return ready
        dial = self._dials.get(address)
        if dial is None:
            dial = asyncio.ensure_future(self._dial(address))
            self._dials[address] = dial
            dial.add_done_callback(lambda _: self._dials.pop(address, None))
        try:
            return await asyncio.shield(dial)
        except errors.PeerLost as error:
            raise errors.PeerLost(
                error.message, step='dial', peer=stage.server_id
            ) from None

    async def _dial(self, address):
        peer = await wire.dial(*address, self._hello, version=self._version)
        peer.on_frame = self.on_frame
        peer.on_close = lambda ended: self._closed(address, ended)
        self._connections[address] = peer
        keepalive.Keepalive(peer, self._timers, self._in_use)
        task = asyncio.ensure_future(peer.run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return peer

    def _closed(self, address, ended):
        if self._connections.get(address) is ended:
            del self._connections[address]
            box = self._link_boxes.get(address)
            if box is not None and not box.busy:
                del self._link_boxes[address]
                box.cancel()
        self.forget(ended)
        self.on_lost(address, ended)

    def open_connections(self):
        """Return the dialled connections that are open."""
        return [one for one in self._connections.values() if not one.closed]

    def to_stage(self, stage, item):
        """Queue a step or frame for a later stage, dialling if needed."""
        address = (stage.host, stage.port)
        box = self._link_boxes.get(address)
        if box is None:
            box = outbox.Outbox(
                lambda: self.connection(stage),
                lambda items, error: self.on_unsent(items, error, stage),
                self._loads,
            )
            self._link_boxes[address] = box
        box.put(item)

    def to_peer(self, connection, item):
        """Queue a token or frame on an existing connection."""
        if connection.closed:
            return
        box = self._boxes.get(connection)
        if box is None:

            async def ready():
                return connection

            box = outbox.Outbox(ready, _drop, self._loads)
            self._boxes[connection] = box
        box.put(item)

    def forget(self, connection):
        """Drop the outbox of a connection that has ended."""
        box = self._boxes.pop(connection, None)
        if box is not None:
            box.cancel()

    def has_unsent(self):
        """Return whether any frame has not been handed to its socket."""
        boxes = [*self._boxes.values(), *self._link_boxes.values()]
        return any(box.busy for box in boxes)

    async def stop(self):
        """Close all dialled connections and outboxes."""
        boxes = [*self._boxes.values(), *self._link_boxes.values()]
        await asyncio.gather(*(box.stop() for box in boxes))
        await core_timers.cancel_all([*self._dials.values(), *self._tasks])


def _drop(items, error):
    """Drop frames for a peer that is gone; its end is handled elsewhere."""
