"""Frames between gateway nodes and control instances.

In the schema they come after those of `messages`; new ones must be appended
at the end.
"""

import attrs

from pimentowalk.topology import backends
from pimentowalk.wire import messages

WORD_BITS = 64


def version_words(version):
    """Return the low and the high word of a document version.

    >>> version_words(2**64 + 5)
    (5, 1)
    """
    high, low = divmod(version, 1 << WORD_BITS)
    return low, high


class HasVersion:
    """A frame with the version of a document in two words."""

    @property
    def document_version(self):
        """Return the version of the document."""
        return self.version_high << WORD_BITS | self.version


@attrs.frozen
class ControlAddress:
    """The peer address of a control instance."""

    node_id: str
    host: str
    port: int


@messages.message('nodeStatus')
@attrs.frozen
class NodeStatus(HasVersion):
    """The status of a node; the control instance answers with `ControlNews`.

    `identity` is that of the data directory of the node, empty if it has no
    disk. `subscribed` requests pushes; `changes_only` excludes repeated
    announcements and loads from them. `version` is that of the document in
    force. A node with `accepts_summaries` receives the loads of all nodes
    summed up instead of one by one, and heartbeats instead of announcements
    that repeat earlier ones. The last status of a node that stops has
    `leaving` set.
    """

    host: str
    port: int
    identity: str
    subscribed: bool
    version: int
    draining: bool
    changes_only: bool = False
    accepts_summaries: bool = False
    leaving: bool = False
    version_high: int = 0


@messages.message('controlNews')
@attrs.frozen
class ControlNews(HasVersion):
    """The answer to `NodeStatus`: control members, leader and version."""

    members: list[ControlAddress]
    leader_id: str
    version: int
    live_nodes: int
    version_high: int = 0


@messages.message('documentPush')
@attrs.frozen
class DocumentPush(HasVersion):
    """A committed configuration document in its stored form."""

    version: int
    content: bytes
    version_high: int = 0

    @classmethod
    def of(cls, version, content):
        """Return the push of a stored document."""
        low, high = version_words(version)
        return cls(low, content, high)


@messages.message('backendNews')
@attrs.frozen
class BackendNews:
    """Announcements of backend servers, with their ages."""

    backends: list[backends.Backend]


@messages.message('suspicion')
@attrs.frozen
class Suspicion:
    """A report that a backend server failed a request of a node.

    `is_down` tells that its host refuses connections; otherwise, the link may
    be at fault.
    """

    server_id: str
    born_ms: int
    reason: str
    is_down: bool = False


@attrs.frozen
class ServerLoad:
    """The outstanding work of one node at a backend server."""

    server_id: str
    requests: int
    tokens: int


@attrs.frozen
class RepeatUse:
    """The requests and retries for a service in the window of a node."""

    service: str
    requests: int
    repeats: int


@attrs.frozen
class TraitCount:
    """How many requests with a trait a node has seen run to completion."""

    trait: int
    completions: int


@attrs.frozen
class ServerAnswers:
    """The answers that a server being paced gave in the last second.

    `slowdown_percent` is the sum of their times relative to the predictions.
    """

    server_id: str
    answers: int
    slowdown_percent: int


@attrs.frozen
class AccountUse:
    """The use of a client account, in weighted tokens.

    `account` is the hash of its name, which is shorter than most names.
    """

    account: int
    tokens: int


@messages.message('loadNews')
@attrs.frozen
class LoadNews:
    """The outstanding work of a node; servers not listed have none.

    `sequence` increases with each report of the node. `completions` lists
    traits of requests that were present at several crashes. `accounts` are
    the client accounts with the most use, `other_accounts_tokens` is the use
    of all others. `waiting_streams` counts streams that wait for capacity,
    `waiting_within_share` those of accounts within their shares.
    """

    node_id: str
    loads: list[ServerLoad]
    repeats: list[RepeatUse] = attrs.field(factory=list)
    sequence: int = 0
    completions: list[TraitCount] = attrs.field(factory=list)
    answers: list[ServerAnswers] = attrs.field(factory=list)
    accounts: list[AccountUse] = attrs.field(factory=list)
    other_accounts_tokens: int = 0
    waiting_streams: int = 0
    waiting_within_share: int = 0


@messages.message('crashNote')
@attrs.frozen
class CrashNote:
    """A report of requests during which their backend server crashed.

    `silent_traits` are the traits of requests without any output, which the
    server may have just begun, `other_traits` those of the others.
    `fingerprint` is the only trait that older releases report, 0 in this one.
    A note that `is_past` goes to a node that missed the crash; `completions`
    tells it which of the traits have been completed since.
    """

    fingerprint: int
    server_id: str
    born_ms: int
    age_ms: int = 0
    silent_traits: list[int] = attrs.field(factory=list)
    other_traits: list[int] = attrs.field(factory=list)
    completions: list[TraitCount] = attrs.field(factory=list)
    is_past: bool = False


@messages.message('checkRequest')
@attrs.frozen
class CheckRequest:
    """A backend server that does not answer a node in another zone.

    Nodes in the server's own zone check it, since the failure may be in the
    link between the zones.
    """

    server_id: str
    born_ms: int


@messages.message('loadSummary')
@attrs.frozen
class LoadSummary:
    """The outstanding work of all nodes that report to a control instance.

    `nodes` is the number of nodes whose reports are summed up. The fields of
    client accounts are as in `LoadNews`.
    """

    nodes: int
    loads: list[ServerLoad]
    repeats: list[RepeatUse]
    completions: list[TraitCount] = attrs.field(factory=list)
    answers: list[ServerAnswers] = attrs.field(factory=list)
    accounts: list[AccountUse] = attrs.field(factory=list)
    other_accounts_tokens: int = 0
    waiting_streams: int = 0
    waiting_within_share: int = 0


@messages.message('loadIncluded')
@attrs.frozen
class LoadIncluded:
    """The report of the receiver that the next `LoadSummary` includes.

    `sequence` is that of the report, 0 if there is none.
    """

    sequence: int


@messages.message('backendHeartbeats')
@attrs.frozen
class BackendHeartbeats:
    """Announcements that change nothing but their times.

    `keys` are those of the incarnations (`Backend.key`), `sequences` and
    `ages_ms` the sequences and ages of their announcements, in that order.
    """

    keys: list[int]
    sequences: list[int]
    ages_ms: list[int]


@messages.message('backendRequest')
@attrs.frozen
class BackendRequest:
    """A request for the announcements of incarnations not known yet."""

    keys: list[int]
