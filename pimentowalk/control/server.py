"""Peer connections of a control instance."""

import asyncio
import logging
import time

from pimentowalk.control import directory
from pimentowalk.control import pushes
from pimentowalk.control import receiver
from pimentowalk.control import requests
from pimentowalk.core import errors
from pimentowalk.core import logs
from pimentowalk.core import registry
from pimentowalk.wire import connection as wire
from pimentowalk.wire import messages

LOG = logging.getLogger(__name__)

CONTROL = 'control'
CLIENT = 'client'
# Limits the memory of a leader that cannot commit; further requests are
# refused before they reach the log.
MAX_REQUESTS = 1_000
# One heartbeat with an older version is normal right after a publish; a
# second one shows that the node missed the push.
MAX_HEARTBEATS_BEHIND = 2
FRAMES = registry.Registry('frame of a control connection')
NODE_FRAMES = ('announce', 'heartbeat')


class ControlServer:
    """Serve connections of nodes, clients and replicas."""

    def __init__(
        self,
        hello,
        host,
        port,
        replica,
        state,
        operators,
        timers,
        *,
        heartbeat_s=1.0,
        clock=time.time,
    ):
        self.replica = replica
        self.state = state
        self.timers = timers
        self.heartbeat_s = heartbeat_s
        self.directory = directory.Directory(heartbeat_s)
        self.pusher = pushes.Pusher(
            state,
            self.directory,
            timers,
            heartbeat_s=heartbeat_s,
            clock=clock,
        )
        self._requests = requests.RequestHandler(
            hello.node_id,
            replica,
            state,
            self.directory,
            operators,
            timers,
            clock,
        )
        self._tasks = set()
        self._draining = False
        self._subscriptions = []
        self.peers = wire.PeerServer(
            host, port, hello, self._accept, version=lambda: state.version
        )

    @property
    def port(self):
        """Return the port that the server listens on."""
        return self.peers.port

    async def start(self):
        """Listen for connections."""
        await self.peers.start()
        self._subscriptions = [
            self.timers.every(
                pushes.VIEW_PUSH_INTERVAL_S, self.pusher.push_views
            ),
            self.timers.every(
                pushes.STATE_PUSH_INTERVAL_S, self.pusher.push_state
            ),
            self.timers.every(self.heartbeat_s / 4, self._expire),
        ]

    @property
    def running_requests(self):
        """Return the number of requests in progress."""
        return len(self._tasks)

    async def finish_requests(self):
        """Refuse new connections and requests; wait for running requests."""
        self._draining = True
        await self.peers.stop_accepting()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=requests.PROPOSE_TIMEOUT_S)

    async def stop(self):
        """Finish running requests and close all connections."""
        await self.finish_requests()
        for subscription in self._subscriptions:
            subscription.cancel()
        await self.peers.stop()

    def _expire(self):
        # Pushes to a frozen node would accumulate in the send buffer. The
        # node reconnects when it resumes.
        for peer in self.directory.expire(self.timers.now_s()):
            peer.abort()

    def _accept(self, peer):
        peer.on_frame = self._on_frame
        peer.on_close = self._on_close
        if peer.hello.role not in (CONTROL, CLIENT):
            self.directory.record_connection(
                peer, peer.hello, self.timers.now_s()
            )

    def _on_close(self, peer):
        self.pusher.remove(peer)
        self.directory.record_disconnect(peer, self.timers.now_s())

    async def _on_frame(self, peer, envelope):
        if isinstance(envelope.body, receiver.FRAMES):
            if peer.hello.role != CONTROL:
                raise unexpected_frame(peer, envelope)
            await self.replica.handle(peer, envelope)
            return
        name = envelope.body.FRAME_NAME
        if name not in FRAMES.names():
            raise unexpected_frame(peer, envelope)
        if name in NODE_FRAMES and peer.hello.role in (CONTROL, CLIENT):
            raise unexpected_frame(peer, envelope)
        await FRAMES.get(name)(self, peer, envelope)

    def start_request(self, peer, envelope):
        """Answer a request in a separate task, without blocking the reader."""
        task = asyncio.ensure_future(self._answer(peer, envelope))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(self, peer, envelope):
        if self._draining:
            reply = messages.ControlReply('draining', 'stopping', b'')
        elif len(self._tasks) > MAX_REQUESTS:
            reply = messages.ControlReply(
                'overloaded',
                f'the limit of {MAX_REQUESTS} running requests is reached',
                b'',
            )
        else:
            reply = await self._requests.answer(envelope.body, peer.peer)
        try:
            await peer.reply(envelope, reply)
        except errors.PeerLost as error:
            LOG.info(
                'reply not sent: %s',
                error,
                extra=logs.fields(step='control request', peer=peer.peer),
            )
        except errors.FrameError as error:
            # The reply exceeds the frame limit; the command was executed.
            await peer.reply(envelope, wire.failure(error))


def unexpected_frame(peer, envelope):
    """Return the error for a frame that closes the connection."""
    return errors.FrameError(
        f'unexpected {envelope.body.FRAME_NAME}',
        step='receive',
        peer=peer.peer,
    )


@FRAMES.register('announce')
async def on_announce(server, peer, envelope):
    """Record an announced backend server."""
    now_s = server.timers.now_s()
    server.directory.record_announcement(peer, envelope.body.server, now_s)


@FRAMES.register('heartbeat')
async def on_heartbeat(server, peer, envelope):
    """Record a heartbeat; notify a node with an older configuration."""
    now_s = server.timers.now_s()
    server.directory.record_heartbeat(peer, envelope.body, now_s)
    if envelope.call_id:
        await peer.reply(envelope, messages.Empty())
    node = server.directory.node(peer.hello.node_id)
    if node is None:
        # The node is leaving, or belongs to an older incarnation.
        return
    if envelope.body.version_in_force >= server.state.version:
        node.heartbeats_behind = 0
        return
    node.heartbeats_behind += 1
    if node.heartbeats_behind >= MAX_HEARTBEATS_BEHIND:
        server.pusher.notify_newer_version(peer)


@FRAMES.register('watch')
async def on_watch(server, peer, envelope):
    """Start or change a watch."""
    await server.pusher.watch(peer, envelope.body)


@FRAMES.register('configurationPull')
async def on_configuration_pull(server, peer, envelope):
    """Send configuration changes."""
    await server.pusher.pull(peer, envelope.body)


@FRAMES.register('controlRequest')
async def on_control_request(server, peer, envelope):
    """Answer a command or query."""
    server.start_request(peer, envelope)
