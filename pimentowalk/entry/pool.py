"""Connections to the agents in use, shared by all requests."""

import asyncio
import logging

import attrs

from pimentowalk.core import errors
from pimentowalk.core import logs
from pimentowalk.core import timers as core_timers
from pimentowalk.wire import connection
from pimentowalk.wire import keepalive
from pimentowalk.wire import messages

LOG = logging.getLogger(__name__)

# A connection without requests is closed after this time.
IDLE_S = 60.0


@attrs.frozen
class Lost:
    """Tell a request that the connection to its agent has ended."""

    peer: str


class AgentLink:
    """The connection to one agent, and the requests that use it."""

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
        self.used_s = pool.timers.now_s()
        self.heard_s = self.used_s
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
        """Deliver the frames of a request to a queue."""
        self._inboxes[request_id] = inbox
        self.used_s = self._pool.timers.now_s()

    def detach(self, request_id, inbox):
        """Stop delivering to a queue."""
        if self._inboxes.get(request_id) is inbox:
            del self._inboxes[request_id]

    async def _on_frame(self, peer, envelope):
        handler = self._handlers.get(type(envelope.body))
        if handler is None:
            raise errors.FrameError(
                f'unexpected {envelope.body.FRAME_NAME}',
                step='receive',
                peer=peer.peer,
            )
        self.heard_s = self._pool.timers.now_s()
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
            inbox.put_nowait(Lost(peer.peer))


class AgentPool:
    """Dial agents on first use and keep one connection to each.

    `version` returns the configuration version in force, `observe_version`
    gets the versions of received frames, `on_loads` their load reports and
    `on_links` their measured round trips.
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
        self._links = {}
        self._dials = {}
        self._tasks = set()
        self._sweep = None

    def start(self):
        """Close idle connections from time to time."""
        self._sweep = self.timers.every(IDLE_S / 4, self.close_idle)

    async def link(self, host, port):
        """Return the connection to an address; raise PeerLost."""
        key = (host, port)
        link = self._links.get(key)
        if link is not None and not link.closed:
            return link
        dial = self._dials.get(key)
        if dial is None:
            dial = asyncio.ensure_future(self._dial(key))
            self._dials[key] = dial
            dial.add_done_callback(lambda _: self._dials.pop(key, None))
        # A caller that leaves must not cancel the dial of the others.
        return await asyncio.shield(dial)

    async def connect_to(self, server):
        """Return the connection to this life of a server's agent.

        Raises PeerLost. A restarted agent has forgotten which attempts were
        fenced, so nothing is sent to it on behalf of its earlier life.
        """
        link = await self.link(server.host, server.port)
        hello = link.peer.hello
        found = (hello.node_id, hello.incarnation)
        if found != (server.server_id, server.incarnation):
            raise errors.PeerLost(
                f'{found[0]} answers with another incarnation',
                step='dial',
                peer=server.server_id,
            )
        return link

    async def _dial(self, key):
        peer = await connection.dial(*key, self._hello, version=self._version)
        link = AgentLink(peer, self)
        keepalive.Keepalive(peer, self.timers, lambda: not link.idle)
        self._links[key] = link
        task = asyncio.ensure_future(peer.run())
        self._tasks.add(task)
        task.add_done_callback(lambda _: self._ended(key, link, task))
        LOG.debug('connected', extra=logs.fields(step='dial', peer=peer.peer))
        return link

    def _ended(self, key, link, task):
        self._tasks.discard(task)
        if self._links.get(key) is link:
            del self._links[key]

    def close_idle(self):
        """Close connections that no request used for a while."""
        now_s = self.timers.now_s()
        for link in list(self._links.values()):
            if link.idle and now_s - link.used_s >= IDLE_S:
                link.peer.close()

    @property
    def open_count(self):
        """Return the number of open connections."""
        return len(self._links)

    async def stop(self):
        """Close all connections."""
        if self._sweep is not None:
            self._sweep.cancel()
        for link in list(self._links.values()):
            link.peer.close()
        await core_timers.cancel_all([*self._tasks, *self._dials.values()])
