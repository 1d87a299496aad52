"""Serve the connections of other nodes and relay their announcements."""

import asyncio
import logging

import attrs

from pimentowalk.control import receiver
from pimentowalk.core import errors
from pimentowalk.core import logs
from pimentowalk.core import registry
from pimentowalk.mesh import load_sums
from pimentowalk.wire import connection as wire
from pimentowalk.wire import messages
from pimentowalk.wire import node_messages

LOG = logging.getLogger(__name__)

FRAMES = registry.Registry('frame of a node')
# A node is not counted as live after two missed status reports; see
# `links.IDLE_STATUS_INTERVAL_S`.
NODE_TIMEOUT_S = 2.5
# A connection without status reports is closed after this time; its node
# connects again.
CONNECTION_TIMEOUT_S = 5.0
TIMEOUT_CHECK_INTERVAL_S = 0.5
# Interval at which repeated announcements and loads are relayed together;
# changes of the usable servers are relayed at once.
BATCH_INTERVAL_S = 0.25
# A node that asks whether departures are on disk waits little longer.
HOLD_TIMEOUT_S = 0.7
# An announcement takes 260 bytes of a frame.
MAX_BACKENDS_PER_FRAME = 1000


@attrs.define(eq=False)
class NodeRecord:
    """The last status of a connected node."""

    node_id: str
    status: node_messages.NodeStatus
    heard_s: float
    sent_version: int = 0
    sent_backends: bool = False


class Hub:
    """Answer the nodes that connect and relay what they announce.

    `node` is the owning `node.MeshNode`; `replica` and `requests` are None
    on a node without a data folder.
    """

    def __init__(self, node, hello, host, port, timers):
        self.node = node
        self.replica = None
        self.requests = None
        self._timers = timers
        self._records = {}
        # Nodes that reported that they leave: (incarnation, time).
        self._departed = {}
        self._tasks = set()
        self._batched_backends = {}
        self._batched_loads = {}
        self._load_sums = load_sums.LoadSums()
        # Nodes read document versions from statuses and pushes, not from the
        # header of each frame, which is too narrow for them.
        self._peers = wire.PeerServer(host, port, hello, self._accept)

    async def start(self):
        """Listen for connections."""
        await self._peers.start()
        self._timers.every(TIMEOUT_CHECK_INTERVAL_S, self._close_silent)
        self._timers.every(BATCH_INTERVAL_S, self._send_batch)

    async def stop(self):
        """Close all connections."""
        await self._peers.stop()

    @property
    def port(self):
        """Return the port that the hub listens on."""
        return self._peers.port

    def records(self):
        """Return the newest record of each live node."""
        now_s = self._timers.now_s()
        newest = {}
        for record in self._records.values():
            known = newest.get(record.node_id)
            if known is None or known.heard_s < record.heard_s:
                newest[record.node_id] = record
        return [
            record
            for record in newest.values()
            if now_s - record.heard_s < NODE_TIMEOUT_S
        ]

    def _accept(self, peer):
        peer.on_frame = self._on_frame
        peer.on_close = lambda closed: self._records.pop(closed, None)

    def _close_silent(self):
        now_s = self._timers.now_s()
        for peer, record in list(self._records.items()):
            if now_s - record.heard_s > CONNECTION_TIMEOUT_S:
                LOG.info(
                    'node is silent',
                    extra=logs.fields(step='mesh', peer=record.node_id),
                )
                self._records.pop(peer, None)
                peer.abort()
        self._departed = {
            node_id: (incarnation, left_s)
            for node_id, (incarnation, left_s) in self._departed.items()
            if now_s - left_s <= CONNECTION_TIMEOUT_S
        }

    async def _on_frame(self, peer, envelope):
        if isinstance(envelope.body, receiver.FRAMES):
            if self.replica is None:
                raise errors.PimentowalkError(
                    'no replica runs here', code='not_leader', step='receive'
                )
            await self.replica.handle(peer, envelope)
            return
        await FRAMES.get(envelope.body.FRAME_NAME)(self, peer, envelope)

    def record_status(self, peer, status):
        """Record the status of a node and send what it subscribes to."""
        now_s = self._timers.now_s()
        if status.leaving:
            self._record_departure(peer.hello, now_s)
        incarnation, _ = self._departed.get(peer.hello.node_id, (None, 0.0))
        if incarnation == peer.hello.incarnation:
            # A status that arrives late must not restore the record.
            return
        record = self._records.get(peer)
        if record is None:
            record = NodeRecord(peer.hello.node_id, status, now_s)
            self._records[peer] = record
        record.status = status
        record.heard_s = now_s
        record.sent_version = max(record.sent_version, status.document_version)
        if status.subscribed:
            self._push_document(peer, record)
            if not record.sent_backends:
                record.sent_backends = True
                # Sent first: a node serves requests once it knows servers.
                for frame in self.node.subscriber_frames():
                    peer.post(frame)
                table = self.node.backends
                # A departure may have been announced while the node was away.
                _post_backends(
                    peer, table.announcements() + table.departures()
                )
        else:
            record.sent_backends = False

    def _record_departure(self, hello, now_s):
        """Remove the records of all connections of one incarnation."""
        key = hello.node_id, hello.incarnation
        self._departed[hello.node_id] = hello.incarnation, now_s
        for peer in list(self._records):
            if (peer.hello.node_id, peer.hello.incarnation) == key:
                del self._records[peer]
        LOG.info(
            'node leaves', extra=logs.fields(step='mesh', peer=hello.node_id)
        )

    def push_document(self):
        """Send the document in force to the nodes without it."""
        for peer, record in self._records.items():
            self._push_document(peer, record)

    def _push_document(self, peer, record):
        version, content = self.node.stored_document
        if version > record.sent_version:
            record.sent_version = version
            peer.post(node_messages.DocumentPush.of(version, content))

    def relay(self, body, origin=None):
        """Relay a frame to all subscribers except the sender."""
        self._post_all(
            body,
            [
                peer
                for peer, record in self._records.items()
                if peer is not origin and record.status.subscribed
            ],
        )

    def _repeat_peers(self):
        """Return the statuses of the subscribers that receive repeats."""
        return {
            peer: record.status
            for peer, record in self._records.items()
            if record.status.subscribed and not record.status.changes_only
        }

    def _post_all(self, body, peers):
        # Encoded once for all peers: encoding takes longer than sending.
        frame = peers[0].encoded(body) if peers else b''
        for peer in peers:
            peer.post_encoded(frame)

    def relay_batched(self, body):
        """Relay repeated announcements or a load with the next batch."""
        if isinstance(body, node_messages.LoadNews):
            self._batched_loads[body.node_id] = body
            self._load_sums.record(body, self._timers.now_s())
            return
        for backend in body.backends:
            self._batched_backends[backend.identity] = backend

    def _send_batch(self):
        loads, self._batched_loads = self._batched_loads, {}
        backends, self._batched_backends = self._batched_backends, {}
        peers = self._repeat_peers()
        summed = [p for p, s in peers.items() if s.accepts_summaries]
        single = [p for p, s in peers.items() if not s.accepts_summaries]
        if backends:
            self._post_all(
                node_messages.BackendNews(list(backends.values())), single
            )
            self._send_heartbeats(backends.values(), summed)
        for body in loads.values():
            self._post_all(body, single)
        self._send_summary(summed)

    def _send_heartbeats(self, backends, peers):
        """Send heartbeats of named services, and the other announcements.

        A key does not tell the service, so that a faulty writer could renew
        the server whose id it uses.
        """
        is_named = self.node.backends.is_named
        named = [b for b in backends if is_named(b.service)]
        others = [b for b in backends if not is_named(b.service)]
        if named:
            self._post_all(_heartbeats(named), peers)
        for frame in split_backends(others):
            self._post_all(frame, peers)

    def _send_summary(self, peers):
        """Send the sums of all loads, also to the node of this hub."""
        summary = self._load_sums.take_summary(self._timers.now_s())
        if summary is None:
            return
        for peer in peers:
            sequence = self._load_sums.sequence_of(peer.hello.node_id)
            peer.post(node_messages.LoadIncluded(sequence))
        self._post_all(summary, peers)
        if self.replica is not None:
            # Other control instances receive the same reports.
            own_sequence = self._load_sums.sequence_of(self.node.node_id)
            self.node.handle_own_frame(
                node_messages.LoadIncluded(own_sequence)
            )
            self.node.handle_own_frame(summary)

    def start_request(self, peer, envelope):
        """Answer a control request without blocking the connection."""
        answer = self.answer(envelope.body, peer.peer)
        self._start_reply(peer, envelope, answer, 'control request')

    def hold_departures(self, peer, envelope):
        """Answer once the departures in a frame are on disk."""
        answer = self._hold(envelope.body.backends)
        self._start_reply(peer, envelope, answer, 'leave')

    def _start_reply(self, peer, envelope, answer, step):
        task = asyncio.ensure_future(_reply(peer, envelope, answer, step))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _hold(self, backends):
        try:
            await self.node.hold_departures(backends, HOLD_TIMEOUT_S)
        except errors.NotDurable as error:
            return wire.failure(error)
        return messages.Empty()

    async def answer(self, request, peer):
        """Return the `ControlReply` to a request."""
        if self.requests is None:
            return messages.ControlReply(
                'not_leader', 'no replica runs here', b'', ''
            )
        return await self.requests.answer(request, peer)


async def _reply(peer, envelope, answer, step):
    try:
        await peer.reply(envelope, await answer)
    except errors.PeerLost as error:
        LOG.info(
            'reply not sent: %s',
            error,
            extra=logs.fields(step=step, peer=peer.peer),
        )


def split_backends(backends):
    """Return announcements in frames that stay below the limit of a frame."""
    return [
        node_messages.BackendNews(
            backends[first : first + MAX_BACKENDS_PER_FRAME]
        )
        for first in range(0, len(backends), MAX_BACKENDS_PER_FRAME)
    ]


def _post_backends(peer, backends):
    """Send announcements, and an empty frame if there are none."""
    for frame in split_backends(backends) or [node_messages.BackendNews([])]:
        peer.post(frame)


def _heartbeats(backends):
    return node_messages.BackendHeartbeats(
        [backend.key for backend in backends],
        [backend.sequence for backend in backends],
        [backend.heard_ms for backend in backends],
    )


@FRAMES.register('backendRequest')
async def on_backend_request(hub, peer, envelope):
    """Send announcements that a node has only had heartbeats of."""
    found = hub.node.backends.with_keys(envelope.body.keys)
    if found:
        _post_backends(peer, found)


@FRAMES.register('nodeStatus')
async def on_status(hub, peer, envelope):
    """Record the status of a node; answer with `ControlNews`."""
    hub.record_status(peer, envelope.body)
    if envelope.call_id:
        await peer.reply(envelope, hub.node.control_news())


@FRAMES.register('controlRequest')
async def on_request(hub, peer, envelope):
    """Answer a command or query."""
    hub.start_request(peer, envelope)


@FRAMES.register('backendNews')
async def on_backends(hub, peer, envelope):
    """Apply announcements and relay changes at once.

    A call asks that the departures are on disk before the answer.
    """
    hub.node.relay_backends(envelope.body, origin=peer)
    if envelope.call_id:
        hub.hold_departures(peer, envelope)


@FRAMES.register('loadNews')
async def on_load(hub, peer, envelope):
    """Sum up the load of a node for the next batch."""
    hub.relay_batched(envelope.body)


async def _handle_and_relay(hub, peer, envelope):
    hub.node.handle_frame(envelope.body)
    hub.relay(envelope.body, origin=peer)


for _name in ('suspicion', 'crashNote', 'checkRequest'):
    FRAMES.register(_name)(_handle_and_relay)
