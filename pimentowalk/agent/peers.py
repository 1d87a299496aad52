"""Connections from an agent to other agents, and the outboxes of all peers."""

import asyncio

from pimentowalk.agent import outbox
from pimentowalk.core import errors
from pimentowalk.core import timers as timer_services
from pimentowalk.wire import connection as wire
from pimentowalk.wire import keepalive


class Peers:
    """Keep one connection to each other agent and an outbox for every peer.

    `on_frame` handles frames of dialled connections, `on_unsent(items,
    error, stage)` receives items that could not be sent to a later stage,
    and `on_lost(address, connection)` is called when a dialled connection
    ends. While `in_use()` returns true, silent stages are probed.
    """

    def __init__(self, hello, loads, version, timers, in_use):
        self._hello = hello
        self._loads = loads
        self._version = version
        self._timers = timers
        self._in_use = in_use
        self._connections = {}
        self._pending_dials = {}
        self._tasks = set()
        self._stage_outboxes = {}
        self._peer_outboxes = {}
        self.on_frame = None
        self.on_unsent = None
        self.on_lost = None

    async def connection(self, stage):
        """Return the connection to a stage; raise PeerLost if it fails."""
        address = (stage.host, stage.port)
        existing = self._connections.get(address)
        if existing is not None and not existing.closed:
            return existing
        dial = self._pending_dials.get(address)
        if dial is None:
            dial = asyncio.ensure_future(self._dial(address))
            self._pending_dials[address] = dial
            dial.add_done_callback(
                lambda _: self._pending_dials.pop(address, None)
            )
        try:
            return await asyncio.shield(dial)
        except errors.PeerLost as error:
            raise errors.PeerLost(
                error.message, step='dial', peer=stage.server_id
            ) from None

    async def _dial(self, address):
        peer = await wire.dial(*address, self._hello, version=self._version)
        peer.on_frame = self.on_frame
        peer.on_close = lambda connection: self._on_closed(address, connection)
        self._connections[address] = peer
        keepalive.Keepalive(peer, self._timers, self._in_use)
        task = asyncio.ensure_future(peer.run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return peer

    def _on_closed(self, address, connection):
        if self._connections.get(address) is connection:
            del self._connections[address]
            peer_outbox = self._stage_outboxes.get(address)
            if peer_outbox is not None and not peer_outbox.busy:
                del self._stage_outboxes[address]
                peer_outbox.cancel()
        self.drop_outbox(connection)
        self.on_lost(address, connection)

    def open_connections(self):
        """Return the open connections to other agents."""
        return [
            connection
            for connection in self._connections.values()
            if not connection.closed
        ]

    def to_stage(self, stage, item):
        """Queue a step or frame for a later stage; dial it if needed."""
        address = (stage.host, stage.port)
        peer_outbox = self._stage_outboxes.get(address)
        if peer_outbox is None:
            peer_outbox = outbox.Outbox(
                lambda: self.connection(stage),
                lambda items, error: self.on_unsent(items, error, stage),
                self._loads,
            )
            self._stage_outboxes[address] = peer_outbox
        peer_outbox.put(item)

    def to_peer(self, connection, item):
        """Queue a token or frame on an existing connection."""
        if connection.closed:
            return
        peer_outbox = self._peer_outboxes.get(connection)
        if peer_outbox is None:

            async def connect():
                return connection

            peer_outbox = outbox.Outbox(connect, _ignore_unsent, self._loads)
            self._peer_outboxes[connection] = peer_outbox
        peer_outbox.put(item)

    def drop_outbox(self, connection):
        """Drop the outbox of a connection that has ended."""
        peer_outbox = self._peer_outboxes.pop(connection, None)
        if peer_outbox is not None:
            peer_outbox.cancel()

    def has_unsent(self):
        """Return whether any frame has not yet been written to its socket."""
        outboxes = [
            *self._peer_outboxes.values(),
            *self._stage_outboxes.values(),
        ]
        return any(peer_outbox.busy for peer_outbox in outboxes)

    async def stop(self):
        """Close all dialled connections and outboxes."""
        outboxes = [
            *self._peer_outboxes.values(),
            *self._stage_outboxes.values(),
        ]
        await asyncio.gather(*(peer_outbox.stop() for peer_outbox in outboxes))
        await timer_services.cancel_all(
            [*self._pending_dials.values(), *self._tasks]
        )


def _ignore_unsent(items, error):
    """Ignore unsent frames; the end of the connection is handled elsewhere."""
