"""One gateway node: its links to control, its hub and what it knows."""

import asyncio
import logging

from pimentowalk.core import errors
from pimentowalk.core import identifiers
from pimentowalk.core import logs
from pimentowalk.core import registry
from pimentowalk.core import timers as core_timers
from pimentowalk.membership import backends as membership
from pimentowalk.mesh import hub as mesh_hub
from pimentowalk.mesh import links as mesh_links
from pimentowalk.wire import node_messages

LOG = logging.getLogger(__name__)

TAKERS = registry.Registry('frame for a node')


class MeshNode:
    """Keep in touch with every control instance.

    `seeds()` returns the addresses to try while no control instance is
    known. `decode(content)` returns the `Document` of stored content.
    """

    def __init__(
        self, hello, host, port, timers, *, seeds, decode, backend_table
    ):
        self.hello = hello
        self.node_id = hello.node_id
        self.host = host
        self.backends = backend_table
        self.document = None
        self.stored_document = (0, b'')
        self.draining = False
        self.has_view = False
        self.live_nodes = 1
        self.replica = None
        self._seeds = seeds
        self._decode = decode
        self._timers = timers
        self._links = {}
        self._tasks = {}
        self._callbacks = {}
        self._document_callbacks = []
        self.hub = mesh_hub.Hub(self, hello, host, port, timers)

    @property
    def document_version(self):
        """Return the version in force here, 0 before the first."""
        return self.document.version if self.document else 0

    @property
    def leads(self):
        """Return whether this node leads control now."""
        return self.replica is not None and self.replica.is_leader

    def subscribe(self, frame_class, callback):
        """Call `callback(body)` for each frame of a class."""
        self._callbacks.setdefault(frame_class, []).append(callback)

    def on_document(self, callback):
        """Call `callback(document)` after each new document."""
        self._document_callbacks.append(callback)

    async def start(self):
        """Listen, and connect to control in the background."""
        await self.hub.start()
        self._timers.every(mesh_links.STATUS_S, self.links_changed)
        self.links_changed()

    async def stop(self):
        """Close all connections."""
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
        """Return the leaders that the control instances name."""
        hints = [
            link.news.leader_id for link in self._links.values() if link.news
        ]
        return list(dict.fromkeys(hint for hint in hints if hint))

    def members(self):
        """Return the addresses of all control instances known."""
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
        # A seed may be a node without a disk; it names the instances with
        # one that report to it.
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
        """Return what this node tells others of control."""
        leader_id = self.replica.leader_id if self.replica else ''
        if self.replica is None:
            leader_id = next(iter(self.leader_hints()), '')
        return node_messages.ControlNews(
            self.members(),
            leader_id,
            self.document_version,
            len(self.hub.records()) + 1,
        )

    def status(self, link):
        """Return the status that a link reports."""
        homes = self.homes()
        return node_messages.NodeStatus(
            self.host,
            self.hub.port,
            self.replica.identity if self.replica else '',
            link.address.node_id in homes,
            self.document_version,
            self.draining,
            link.address.node_id in homes[1:],
        )

    def homes(self):
        """Return the control instances that push to this node.

        The first is in the node's own zone, if there is one, and repeats
        announcements and loads as well: most bytes between nodes are those.
        The second, in another zone, sends changes only, so that a slow or
        cut-off first one delays none.
        """
        own = self.hello.zone
        zones = {i: self._links[i].zone for i in self.open_links()}
        ranked = sorted(
            zones,
            key=lambda i: (
                zones[i] != own,
                identifiers.hash64(self.node_id, i),
            ),
        )
        if not ranked:
            return []
        others = [i for i in ranked[1:] if zones[i] != zones[ranked[0]]]
        return ranked[:1] + (others or ranked[1:])[:1]

    def links_changed(self):
        """Start and end links as control instances come and go."""
        wanted = {a.node_id: a for a in self.members()}
        # The seeds are dialled by all nodes, so that one that starts and
        # knows nobody else finds control through any of them.
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
            self._tasks[node_id] = asyncio.ensure_future(link.run())
        counts = [x.news.live_nodes for x in self._links.values() if x.news]
        self.live_nodes = max([len(self.hub.records()) + 1, *counts])

    def publish(self, body):
        """Tell all nodes, by way of the control instances."""
        for link in self._links.values():
            link.post(body)
        self.hub.relay(body)

    def pass_on_backends(self, body, origin=None):
        """Apply announcements; tell the subscribers at once of news."""
        for backend in body.backends:
            known = self.backends.get(backend.server_id)
            self.backends.apply(backend, backend.heard_ms / 1000)
            one = node_messages.BackendNews([backend])
            if membership.is_repeat(known, backend):
                self.hub.relay_later(one)
            else:
                self.hub.relay(one, origin=origin)

    def announce(self, backend):
        """Apply an announcement made here and tell all nodes."""
        body = node_messages.BackendNews([backend])
        for link in self._links.values():
            link.post(body)
        self.pass_on_backends(body)

    def publish_load(self, body):
        """Tell all nodes the work of this one."""
        for link in self._links.values():
            link.post(body)
        self.hub.relay_later(body)

    def take(self, body):
        """Apply a frame from another node."""
        TAKERS.get(body.FRAME_NAME)(self, body)
        for callback in self._callbacks.get(type(body), ()):
            callback(body)

    def apply_document(self, version, content):
        """Put a committed document in force if its version is higher."""
        if version <= self.document_version:
            return
        try:
            document = self._decode(content)
        except errors.PimentowalkError as error:
            # Only a program of another release can have accepted it.
            LOG.error(
                'committed document not understood: %s',
                error,
                extra=logs.fields(step='document', version=version),
            )
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
        self.hub.push_document()
        for callback in self._document_callbacks:
            callback(document)


@TAKERS.register('documentPush')
def take_document_push(node, body):
    """Apply a pushed document."""
    node.apply_document(body.version, body.content)


@TAKERS.register('backendNews')
def take_backends(node, body):
    """Apply announcements."""
    node.has_view = True
    for backend in body.backends:
        node.backends.apply(backend, backend.heard_ms / 1000)


@TAKERS.register('suspicion')
def take_suspicion(node, body):
    """Leave a server out that failed at another node."""
    node.backends.suspect(body.server_id, body.born_ms, body.reason)


def _leave_to_subscribers(node, body):
    """Do nothing here; `MeshNode.subscribe` names who acts."""


for _name in ('loadNews', 'crashNote', 'checkRequest'):
    TAKERS.register(_name)(_leave_to_subscribers)
