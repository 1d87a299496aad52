"""Connection pool to the agents, shared by all requests."""

import asyncio
import logging

import attrs

from pimentowalk.core import errors
from pimentowalk.core import logs
from pimentowalk.core import timers as core_timers
from pimentowalk.wire import connection as wire_connection
from pimentowalk.wire import keepalive
from pimentowalk.wire import messages

LOG = logging.getLogger(__name__)

# A connection without requests is closed after this time.
IDLE_TIMEOUT_S = 60.0


@attrs.frozen
class ConnectionLost:
    """Event: the connection to the agent of a request has ended."""

    peer: str


class AgentConnection:
    """The connection to one agent and the requests that use it."""

    def __init__(self, peer, pool):
        self.peer = peer
        self._pool = pool
        self._inboxes = {}
        self._handlers = {
            messages.TokenBatch: self._on_tokens,
            messages.AttemptStatus: self._on_status,
            messages.ServiceReply: self._on_status,
            messages.LoadReport: self._on_loads,
        }
        self.last_used_s = pool.timers.now_s()
        self.last_frame_s = self.last_used_s
        peer.on_frame = self._on_frame
        peer.on_close = self._on_close

    @property
    def closed(self):
        """Return whether the connection has ended."""
        return self.peer.closed

    @property
    def idle(self):
        """Return whether no request uses the connection."""
        return not self._inboxes

    def attach(self, request_id, inbox):
        """Deliver the frames of a request to this queue."""
        self._inboxes[request_id] = inbox
        self.last_used_s = self._pool.timers.now_s()

    def detach(self, request_id, inbox):
        """Stop delivering the frames of a request to this queue."""
        if self._inboxes.get(request_id) is inbox:
            del self._inboxes[request_id]

    async def _on_frame(self, peer, envelope):
        handler = self._handlers.get(type(envelope.body))
        if handler is None:
            raise errors.FrameError(
                f'unexpected frame {envelope.body.FRAME_NAME}',
                step='receive',
                peer=peer.peer,
            )
        self.last_frame_s = self._pool.timers.now_s()
        self._pool.observe_version(envelope.config_version)
        handler(envelope.body)

    def _on_tokens(self, batch):
        self._pool.on_loads(batch.loads)
        for token in batch.tokens:
            self._deliver(token.request_id, token)

    def _on_status(self, status):
        self._pool.on_loads(status.loads)
        self._deliver(status.request_id, status)

    def _on_loads(self, report):
        self._pool.on_loads(report.loads)
        self._pool.on_links(report.links)

    def _deliver(self, request_id, body):
        inbox = self._inboxes.get(request_id)
        if inbox is not None:
            inbox.put_nowait(body)

    def _on_close(self, peer):
        for inbox in self._inboxes.values():
            inbox.put_nowait(ConnectionLost(peer.peer))


class AgentPool:
    """Connect to agents on first use and keep one connection to each.

    `version` returns the configuration version in force. The callbacks
    receive data of incoming frames: `observe_version` the configuration
    version, `on_loads` the load reports, `on_links` the measured round trips.
    """

    def __init__(
        self, hello, timers, *, version, observe_version, on_loads, on_links
    ):
        self.timers = timers
        self.observe_version = observe_version
        self.on_loads = on_loads
        self.on_links = on_links
        self._hello = hello
        self._version = version
        self._connections = {}
        self._dials = {}
        self._tasks = set()
        self._idle_timer = None

    def start(self):
        """Start the timer that closes idle connections."""
        self._idle_timer = self.timers.every(
            IDLE_TIMEOUT_S / 4, self.close_idle
        )

    async def connect(self, host, port):
        """Return an open connection to an address; raise PeerLost."""
        address = (host, port)
        connection = self._connections.get(address)
        if connection is not None and not connection.closed:
            return connection
        dial = self._dials.get(address)
        if dial is None:
            dial = asyncio.ensure_future(self._dial(address))
            self._dials[address] = dial
            dial.add_done_callback(lambda _: self._dials.pop(address, None))
        # Cancelling one request must not cancel the dial others wait for.
        return await asyncio.shield(dial)

    async def connect_to(self, server):
        """Return the connection to this incarnation of a server's agent.

        Raises PeerLost if another incarnation answers. A restarted agent has
        forgotten which attempts were fenced, so nothing that was meant for
        an earlier incarnation may be sent to it.
        """
        connection = await self.connect(server.host, server.port)
        hello = connection.peer.hello
        actual = (hello.node_id, hello.incarnation)
        if actual != (server.server_id, server.incarnation):
            raise errors.PeerLost(
                f'{actual[0]} answers with incarnation {actual[1]}, '
                f'expected incarnation {server.incarnation}',
                step='dial',
                peer=server.server_id,
            )
        return connection

    async def _dial(self, address):
        peer = await wire_connection.dial(
            *address, self._hello, version=self._version
        )
        connection = AgentConnection(peer, self)
        keepalive.Keepalive(peer, self.timers, lambda: not connection.idle)
        self._connections[address] = connection
        task = asyncio.ensure_future(peer.run())
        self._tasks.add(task)
        task.add_done_callback(
            lambda _: self._on_run_ended(address, connection, task)
        )
        LOG.debug('connected', extra=logs.fields(step='dial', peer=peer.peer))
        return connection

    def _on_run_ended(self, address, connection, task):
        self._tasks.discard(task)
        if self._connections.get(address) is connection:
            del self._connections[address]

    def close_idle(self):
        """Close the connections without requests for `IDLE_TIMEOUT_S`."""
        now_s = self.timers.now_s()
        for connection in list(self._connections.values()):
            if (
                connection.idle
                and now_s - connection.last_used_s >= IDLE_TIMEOUT_S
            ):
                connection.peer.close()

    @property
    def open_count(self):
        """Return the number of open connections."""
        return len(self._connections)

    async def stop(self):
        """Stop the idle timer and close all connections."""
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        for connection in list(self._connections.values()):
            connection.peer.close()
        await core_timers.cancel_all([*self._tasks, *self._dials.values()])
