"""Frames between gateway nodes and control instances.

They follow those of `messages` in the schema; new ones go to the end.
"""

import attrs

from pimentowalk.topology import backends
from pimentowalk.wire import messages


@attrs.frozen
class ControlAddress:
    """The peer address of a control instance."""

    node_id: str
    host: str
    port: int


@messages.message('nodeStatus')
@attrs.frozen
class NodeStatus:
    """What a node tells a control instance; answered by `ControlNews`.

    `identity` is that of its data folder, empty without a disk.
    `subscribed` asks for pushes, `changes_only` for none of repeated
    announcements and loads; `version` is the document in force.
    """

    host: str
    port: int
    identity: str
    subscribed: bool
    version: int
    draining: bool
    changes_only: bool = False


@messages.message('controlNews')
@attrs.frozen
class ControlNews:
    """What a control instance tells a node: members, leader, version."""

    members: list[ControlAddress]
    leader_id: str
    version: int
    live_nodes: int


@messages.message('documentPush')
@attrs.frozen
class DocumentPush:
    """A committed document, as it is stored."""

    version: int
    content: bytes


@messages.message('backendNews')
@attrs.frozen
class BackendNews:
    """Announcements of backend servers, with their ages."""

    backends: list[backends.Backend]


@messages.message('suspicion')
@attrs.frozen
class Suspicion:
    """A backend server that failed a request at a node."""

    server_id: str
    born_ms: int
    reason: str


@attrs.frozen
class ServerLoad:
    """The work that one node has at a backend server."""

    server_id: str
    requests: int
    tokens: int


@attrs.frozen
class RepeatUse:
    """The requests and repeats for a service in the window of a node."""

    service: str
    requests: int
    repeats: int


@messages.message('loadNews')
@attrs.frozen
class LoadNews:
    """The work that a node has at backend servers; absent ones have none."""

    node_id: str
    loads: list[ServerLoad]
    repeats: list[RepeatUse] = attrs.field(factory=list)


@messages.message('crashNote')
@attrs.frozen
class CrashNote:
    """A request whose backend server crashed while it ran."""

    fingerprint: int
    server_id: str
    born_ms: int


@messages.message('checkRequest')
@attrs.frozen
class CheckRequest:
    """A backend server that does not answer a node in another zone.

    Nodes in the server's zone ask it: silence across zones may be the
    fault of the link.
    """

    server_id: str
    born_ms: int
