"""A gateway node: its links to control, its hub and its view."""

import asyncio
import logging

from pimentowalk.core import errors
from pimentowalk.core import identifiers
from pimentowalk.core import logs
from pimentowalk.core import registry
from pimentowalk.core import tasks
from pimentowalk.core import timers as core_timers
from pimentowalk.mesh import hub as mesh_hub
from pimentowalk.mesh import links as mesh_links
from pimentowalk.topology import backends
from pimentowalk.wire import node_messages

LOG = logging.getLogger(__name__)

CLEANUP_INTERVAL_S = 10.0
HANDLERS = registry.Registry('frame for a node')
LOAD_FRAMES = (
    node_messages.LoadNews,
    node_messages.LoadIncluded,
    node_messages.LoadSummary,
)


class MeshNode:
    """Keep a link to every control instance and apply what they push.

    `seeds()` returns addresses to connect to in addition to the known control
    instances. `decode(content)` returns the `Document` of stored content.
    `tolerated_losses` is the number of instances with a disk that may be lost
    at once.
    """

    def __init__(
        self,
        hello,
        host,
        port,
        timers,
        *,
        seeds,
        decode,
        backend_table,
        tolerated_losses=0,
    ):
        self.hello = hello
        self.node_id = hello.node_id
        self.host = host
        self.backends = backend_table
        self.document = None
        self.stored_document = (0, b'')
        # No document up to this version is put in force.
        self._withdrawn_version = 0
        self.draining = False
        self.has_view = False
        self.live_nodes = 1
        self.replica = None
        # Only on an instance with a disk.
        self.departure_log = None
        self._seeds = seeds
        self._decode = decode
        self._tolerated_losses = tolerated_losses
        self._timers = timers
        self._links = {}
        # The control instances while a link to one of them was open.
        self._last_members = []
        self._relayed = {}
        # Ids of servers whose departures this node has acknowledged.
        self._acknowledged_departures = set()
        self._tasks = {}
        self._callbacks = {}
        self._document_callbacks = []
        self._subscriber_callbacks = []
        self.hub = mesh_hub.Hub(self, hello, host, port, timers)

    @property
    def document_version(self):
        """Return the version of the document in force, 0 if there is none."""
        return self.document.version if self.document else 0

    @property
    def has_withdrawn_document(self):
        """Return whether a document above a known version is awaited."""
        return self.document is None and self._withdrawn_version > 0

    @property
    def leads(self):
        """Return whether this node is the control leader."""
        return self.replica is not None and self.replica.is_leader

    def subscribe(self, frame_class, callback):
        """Call `callback(body)` for each frame of a class."""
        self._callbacks.setdefault(frame_class, []).append(callback)

    def on_document(self, callback):
        """Call `callback(document)` after each new document."""
        self._document_callbacks.append(callback)

    def on_subscriber(self, callback):
        """Send the frames that `callback()` returns to new subscribers."""
        self._subscriber_callbacks.append(callback)

    def subscriber_frames(self):
        """Return the frames that a node needs when it subscribes."""
        return [f for read in self._subscriber_callbacks for f in read()]

    async def start(self):
        """Start listening, and connect to control in the background."""
        await self.hub.start()
        self._timers.every(mesh_links.STATUS_INTERVAL_S, self.update_links)
        self._timers.every(CLEANUP_INTERVAL_S, self._forget_departed)
        self.update_links()

    async def stop(self):
        """Leave all control instances and close the connections."""
        await asyncio.gather(*[link.leave() for link in self._links.values()])
        await core_timers.cancel_all(list(self._tasks.values()))
        await self.hub.stop()

    def link(self, node_id):
        """Return the open link to a node, or None."""
        link = self._links.get(node_id)
        return link if link is not None and link.is_open else None

    def open_links(self):
        """Return the ids of the control instances that answer."""
        return [i for i, link in self._links.items() if link.is_open]

    def leader_hints(self):
        """Return the ids of the leaders that control instances name."""
        hints = [
            link.news.leader_id for link in self._links.values() if link.news
        ]
        return list(dict.fromkeys(hint for hint in hints if hint))

    def members(self):
        """Return the addresses of all known control instances."""
        found = {}
        if self.replica is not None:
            for member in self.replica.members():
                found[member.node_id] = node_messages.ControlAddress(
                    member.node_id, member.host, member.port
                )
        for link in self._links.values():
            if link.news is not None:
                for address in link.news.members:
                    found.setdefault(address.node_id, address)
        # A seed may be a node without a data folder; it names the control
        # instances that report to it.
        for record in self.hub.records():
            if record.status.identity:
                found.setdefault(
                    record.node_id,
                    node_messages.ControlAddress(
                        record.node_id, record.status.host, record.status.port
                    ),
                )
        return list(found.values())

    def control_news(self):
        """Return the state of control that this node reports to others."""
        leader_id = self.replica.leader_id if self.replica else ''
        if self.replica is None:
            leader_id = next(iter(self.leader_hints()), '')
        version, version_high = node_messages.version_words(
            self.document_version
        )
        return node_messages.ControlNews(
            self.members(),
            leader_id,
            version,
            len(self.hub.records()) + 1,
            version_high,
        )

    def status_for(self, link):
        """Return the status to report on a link."""
        sources = self.push_sources()
        version, version_high = node_messages.version_words(
            self.document_version
        )
        return node_messages.NodeStatus(
            self.host,
            self.hub.port,
            self.replica.identity if self.replica else '',
            link.address.node_id in sources,
            version,
            self.draining,
            link.address.node_id in sources[1:],
            True,
            version_high=version_high,
        )

    def push_sources(self):
        """Return the control instances that push to this node, at most two.

        The first is in the node's own zone, if possible, and also sends
        repeated announcements and loads, which are most of the traffic. The
        second is in another zone and sends changes only, so that no change
        is delayed if the first is slow or partitioned.
        """
        own_zone = self.hello.zone
        zones = {i: self._links[i].zone for i in self.open_links()}
        ranked = sorted(
            zones,
            key=lambda i: (
                zones[i] != own_zone,
                identifiers.hash64(self.node_id, i),
            ),
        )
        if not ranked:
            return []
        other_zones = [i for i in ranked[1:] if zones[i] != zones[ranked[0]]]
        return ranked[:1] + (other_zones or ranked[1:])[:1]

    def update_links(self):
        """Start and stop links to match the known control instances."""
        members = self.members()
        if self.open_links() or self.replica is not None:
            self._last_members = members
        # While control is out of reach, those that were its members may come
        # back although no seed is left that names them.
        wanted = {a.node_id: a for a in members + self._last_members}
        # All nodes connect to the seeds, so that a starting node finds
        # control through any of them.
        for address in self._seeds():
            wanted.setdefault(address.node_id, address)
        wanted.pop(self.node_id, None)
        for node_id in self._links.keys() - wanted.keys():
            if not self._links[node_id].is_open:
                del self._links[node_id]
                self._tasks.pop(node_id).cancel()
        for node_id in wanted.keys() - self._links.keys():
            link = mesh_links.ControlLink(wanted[node_id], self, self._timers)
            self._links[node_id] = link
            self._tasks[node_id] = tasks.start(
                link.run, self._timers, 'mesh', peer=node_id
            )
        if self.replica is not None and not self._links:
            # No other control instance pushes the backend servers.
            self.has_view = self.has_view or self.backends.is_complete
        counts = [x.news.live_nodes for x in self._links.values() if x.news]
        self.live_nodes = max([len(self.hub.records()) + 1, *counts])

    def publish(self, body):
        """Send a frame to all nodes through the control instances."""
        for link in self._links.values():
            link.post(body)
        self.hub.relay(body)

    def relay_backends(self, body, origin=None):
        """Apply announcements; relay changes at once, repeats in batches."""
        departures = []
        for announced in body.backends:
            is_new = self._apply(announced)
            if announced.state == backends.GONE:
                departures += [announced] * is_new
                continue
            backend = self.backends.with_mark(announced)
            # The table may know a change from another control instance, which
            # has not sent it to the subscribers of this one.
            relayed = self._relayed.get(backend.identity)
            self._relayed[backend.identity] = backend
            single = node_messages.BackendNews([backend])
            if backend.is_repeat(relayed):
                self.hub.relay_batched(single)
            else:
                self.hub.relay(single, origin=origin)
        self._relay_departures(departures, origin)

    def _apply(self, backend):
        """Apply an announcement; return whether it is new."""
        is_new = self.backends.apply(backend, backend.heard_ms / 1000)
        is_saved = is_new and not backend.is_inferred
        if is_saved and self.departure_log is not None:
            self.departure_log.add(backend)
        return is_new

    def _relay_departures(self, departures, origin=None):
        """Relay departures that are news to this node.

        All that it knew were relayed before, or sent to new subscribers.
        """
        if departures:
            self.hub.relay(
                node_messages.BackendNews(departures), origin=origin
            )

    def apply_backends(self, announcements):
        """Apply what a control instance pushes; relay new departures.

        That instance may have missed what this one tells its subscribers.
        """
        self._relay_departures(
            [
                backend
                for backend in announcements
                if self._apply(backend) and backend.state == backends.GONE
            ]
        )

    def departures(self):
        """Return the departures that a control instance may have missed.

        A control instance returns all, any other node those that it has
        acknowledged itself.
        """
        known = self.backends.all_departures()
        if self.replica is not None:
            return known
        acknowledged = self._acknowledged_departures
        return [b for b in known if b.server_id in acknowledged]

    def _forget_departed(self):
        """Drop what was relayed and acknowledged of servers long gone."""
        announced = self.backends.identities()
        for identity in self._relayed.keys() - announced:
            del self._relayed[identity]
        self._acknowledged_departures &= {
            server_id for server_id, _ in announced
        } | {backend.server_id for backend in self.backends.departures()}

    def announce(self, backend):
        """Apply an announcement that this node received and publish it."""
        if backend.state != backends.READY:
            self._acknowledged_departures.add(backend.server_id)
        body = node_messages.BackendNews([backend])
        for link in self._links.values():
            link.post(body)
        self.relay_backends(body)

    async def announce_departures(self, announcements, timeout_s):
        """Announce departures; return once enough disks hold them.

        Raises NotDurable. The departures are in force nevertheless.
        """
        body = node_messages.BackendNews(announcements)
        self._acknowledged_departures.update(
            backend.server_id for backend in announcements
        )
        self.relay_backends(body)
        waits = {}
        if self.departure_log is not None:
            waits[self.node_id] = self.hold_departures(
                announcements, timeout_s
            )
        for node_id, link in self._links.items():
            if link.is_open:
                waits[node_id] = link.call(body, timeout_s)
            else:
                link.post(body)
        await mesh_links.wait_for_disks(waits, self._departure_disk_count())

    def _departure_disk_count(self):
        """Return how many disks hold a departure that is acknowledged.

        One of them is left if as many are lost as the deployment tolerates.
        """
        return max(1, min(self._tolerated_losses + 1, len(self.members())))

    async def hold_departures(self, announcements, timeout_s):
        """Return once the disk of this instance holds departures."""
        if self.departure_log is None:
            raise errors.NotDurable('this node has no disk', step='leave')
        for backend in announcements:
            await self.departure_log.wait_durable(backend, timeout_s)

    def publish_load(self, body):
        """Publish the load of this node to all nodes."""
        for link in self._links.values():
            link.post(body)
        self.hub.relay_batched(body)

    def handle_frame(self, body):
        """Apply a frame from another node.

        Returns the keys of backend servers that it names and that are not
        known yet, or None.
        """
        if self.replica is not None and isinstance(body, LOAD_FRAMES):
            # A control instance sums up the reports by itself.
            return None
        return self.handle_own_frame(body)

    def handle_own_frame(self, body):
        """Apply a frame from another node or from the hub of this node."""
        unknown_keys = HANDLERS.get(body.FRAME_NAME)(self, body)
        for callback in self._callbacks.get(type(body), ()):
            callback(body)
        return unknown_keys

    def apply_document(self, version, content):
        """Put a committed document in force if its version is newer.

        One that cannot be decoded replaces the older one all the same: keys
        and routes of that one may have been removed.
        """
        if version <= max(self.document_version, self._withdrawn_version):
            return
        try:
            document = self._decode(content)
        except errors.PimentowalkError as error:
            # Only another release can accept a document that fails here.
            LOG.error(
                'committed document cannot be decoded: %s',
                error,
                extra=logs.fields(step='document', version=version),
            )
            self.withdraw_document(version)
            return
        LOG.info(
            'document in force',
            extra=logs.fields(
                step='document',
                version=version,
                replaces=self.document_version,
            ),
        )
        self.stored_document = (version, content)
        self.document = document
        self.backends.reconsider(version)
        self.hub.push_document()
        for callback in self._document_callbacks:
            callback(document)

    def withdraw_document(self, version):
        """Use no document until there is one above a version."""
        if version <= self._withdrawn_version:
            return
        LOG.error(
            'no document is in force',
            extra=logs.fields(
                step='document',
                version=version,
                replaces=self.document_version,
            ),
        )
        self._withdrawn_version = version
        self.document = None
        self.stored_document = (0, b'')
        self.backends.reconsider(0)


@HANDLERS.register('documentPush')
def on_document_push(node, body):
    """Apply a pushed document."""
    node.apply_document(body.document_version, body.content)


@HANDLERS.register('backendNews')
def on_backends(node, body):
    """Apply announcements."""
    node.has_view = True
    node.apply_backends(body.backends)


@HANDLERS.register('backendHeartbeats')
def on_heartbeats(node, body):
    """Apply repeated announcements; return the keys that are unknown."""
    return [
        key
        for key, sequence, age_ms in zip(
            body.keys, body.sequences, body.ages_ms, strict=True
        )
        if not node.backends.apply_heartbeat(key, sequence, age_ms / 1000)
    ]


@HANDLERS.register('suspicion')
def on_suspicion(node, body):
    """Exclude a server that failed at another node."""
    node.backends.suspect(
        body.server_id,
        body.born_ms,
        body.reason,
        is_down=body.is_down,
        is_reported=True,
    )


def _do_nothing(node, body):
    """Leave a frame to the callbacks of `MeshNode.subscribe`."""


for _name in (
    'loadNews',
    'loadIncluded',
    'loadSummary',
    'crashNote',
    'checkRequest',
):
    HANDLERS.register(_name)(_do_nothing)
