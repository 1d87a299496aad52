"""Classes of the frame bodies; frames.capnp is generated from them."""

import enum

import attrs

from pimentowalk.core import registry
from pimentowalk.topology import instances

FRAMES = registry.Registry('frame body')


def message(name):
    """Register an attrs class as a frame body with this schema name."""

    def decorate(cls):
        cls.FRAME_NAME = name
        return FRAMES.register(name)(cls)

    return decorate


class AttemptState(enum.StrEnum):
    """The state of an attempt, as the agent of its first stage reports it."""

    QUEUED = 'queued'
    ADMITTED = 'admitted'
    REFUSED = 'refused'
    CANCELLED = 'cancelled'
    FAILED = 'failed'
    FINISHED = 'finished'


# An attempt that ends in one of these states was never admitted.
NEVER_ADMITTED = frozenset({AttemptState.REFUSED, AttemptState.CANCELLED})
ENDED = NEVER_ADMITTED | {AttemptState.FAILED, AttemptState.FINISHED}


@attrs.frozen
class StageAddress:
    """The address of one stage of a chain and the layers that it runs."""

    server_id: str
    incarnation: int
    host: str
    port: int
    first_layer: int
    end_layer: int


@attrs.frozen
class StageLoad:
    """The load of one backend server.

    `queued_tokens` counts the tokens of waiting work and those that running
    work may still need.
    """

    server_id: str
    queued_tokens: int
    running: int
    tokens_per_s: float


@attrs.frozen
class LayerRange:
    """The layers [first_layer, end_layer) that a stage ran for one token."""

    first_layer: int
    end_layer: int


@attrs.frozen
class Step:
    """The input of one stage for one token of an attempt.

    `hidden` holds one hidden state for each input token. The last stage
    returns the generated token to the first one, `chain[0]`.
    """

    request_id: bytes
    attempt: int
    token_index: int
    hidden: bytes
    ranges: list[LayerRange]
    priority: int = 0


@attrs.frozen
class Token:
    """One generated token and the layer ranges that ran for it.

    If `last` is set, `token_count` is the number of tokens in the response.
    """

    request_id: bytes
    attempt: int
    token_index: int
    token_id: int
    text: str
    ranges: list[LayerRange]
    last: bool = False
    token_count: int = 0
    finish_reason: str = ''


@message('hello')
@attrs.frozen
class Hello:
    """Identify the sender; the first frame in each direction."""

    node_id: str
    role: str
    incarnation: int
    zone: str = ''


@message('failure')
@attrs.frozen
class Failure:
    """Answer a call with an error, or tell why a connection is closed."""

    code: str
    text: str
    step: str = ''
    peer: str = ''


@message('openAttempt')
@attrs.frozen
class OpenAttempt:
    """Ask the agent of the first stage to run an attempt of a model request.

    `generated` holds the tokens that earlier attempts delivered; the first
    new token has the index `len(generated)`, and `max_tokens` includes them.
    `deadline_ms` is the time left when the frame is sent; 0 means no limit.
    """

    request_id: bytes
    attempt: int
    account: str
    service: str
    model: str
    version: str
    adapter: str
    prompt: str
    generated: list[int]
    max_tokens: int
    seed: int
    temperature: float
    predicted_tokens: int
    deadline_ms: int
    weight: float
    fingerprint: int
    scope_version: int
    chain: list[StageAddress]
    isolate: bool = False


@message('prepareAttempt')
@attrs.frozen
class PrepareAttempt:
    """Prepare a later stage of the chain for an admitted attempt.

    `position` is the index of the receiver in the chain and `first_index`
    the token index of the first step. `account` and `fingerprint` identify
    the request in the record of those in flight at an engine crash. The
    receiver answers with `Empty`, or a `Failure` that proves that nothing
    ran.
    """

    request_id: bytes
    attempt: int
    model: str
    version: str
    adapter: str
    seed: int
    temperature: float
    position: int
    max_tokens: int
    chain: list[StageAddress]
    first_index: int = 0
    account: str = ''
    fingerprint: int = 0
    isolate: bool = False
    priority: int = 0


@message('attemptStatus')
@attrs.frozen
class AttemptStatus:
    """Report the state of an attempt to the entry that opened it."""

    request_id: bytes
    attempt: int
    state: str
    code: str = ''
    text: str = ''
    step: str = ''
    peer: str = ''
    retry_after_ms: int = 0
    engine_crashed: bool = False
    loads: list[StageLoad] = attrs.field(factory=list)


@message('closeAttempt')
@attrs.frozen
class CloseAttempt:
    """Fence an attempt and all lower-numbered attempts of its request."""

    request_id: bytes
    attempt: int
    reason: str = ''


@message('stepBatch')
@attrs.frozen
class StepBatch:
    """Send the steps of several attempts to the next stage."""

    steps: list[Step]
    loads: list[StageLoad] = attrs.field(factory=list)


@message('tokenBatch')
@attrs.frozen
class TokenBatch:
    """Send tokens from the last stage to the first, and on to the entry."""

    tokens: list[Token]
    loads: list[StageLoad] = attrs.field(factory=list)


@message('stepFailed')
@attrs.frozen
class StepFailed:
    """Report to the first stage that a stage cannot continue an attempt."""

    request_id: bytes
    attempt: int
    code: str
    text: str
    step: str
    peer: str
    engine_crashed: bool = False


@attrs.frozen
class LinkDelay:
    """The measured round-trip time from one agent to another."""

    source_id: str
    target_id: str
    round_trip_s: float


@message('loadReport')
@attrs.frozen
class LoadReport:
    """Report loads to the entries that recently sent work.

    `links` holds the round-trip times that the sender measured to the agents
    of next stages, or that later stages reported to it.
    """

    loads: list[StageLoad]
    links: list[LinkDelay] = attrs.field(factory=list)


@attrs.frozen
class Header:
    """One HTTP header."""

    name: str
    value: str


@message('serviceCall')
@attrs.frozen
class ServiceCall:
    """Ask an agent to forward one HTTP call to its plain service."""

    request_id: bytes
    attempt: int
    account: str
    service: str
    method: str
    path: str
    headers: list[Header]
    body: bytes
    deadline_ms: int
    weight: float
    scope_version: int
    non_idempotent: bool = False
    fingerprint: int = 0


@message('serviceReply')
@attrs.frozen
class ServiceReply:
    """Report the result of a service call.

    `state` is an `AttemptState`; the HTTP fields are valid only if it is
    `finished`.
    """

    request_id: bytes
    attempt: int
    state: str
    code: str = ''
    text: str = ''
    status: int = 0
    headers: list[Header] = attrs.field(factory=list)
    body: bytes = b''
    engine_crashed: bool = False
    loads: list[StageLoad] = attrs.field(factory=list)


@message('attemptQuery')
@attrs.frozen
class AttemptQuery:
    """Fence an attempt and ask whether it was ever admitted.

    The receiver answers with an `AttemptStatus`; `cancelled` means that the
    attempt was never admitted and never will be, `admitted` that a service
    call still runs, `failed` that it may have run.
    """

    request_id: bytes
    attempt: int
    incarnation: int


@message('announce')
@attrs.frozen
class Announce:
    """Announce a backend server to a control instance."""

    server: instances.BackendServer


@message('heartbeat')
@attrs.frozen
class Heartbeat:
    """Report that a node is alive and which version it has in force.

    The last heartbeat of a node that stops has `leaving` set.
    """

    node_id: str
    incarnation: int
    version_in_force: int
    draining: bool = False
    leaving: bool = False


@message('watch')
@attrs.frozen
class Watch:
    """Subscribe to the backend servers of these services at control.

    An empty list means all services. At most `servers_per_range` servers of
    each layer range are sent, selected for this node; 0 cancels the watch.
    """

    services: list[str]
    servers_per_range: int


@message('viewUpdate')
@attrs.frozen
class ViewUpdate:
    """Update a watched view, or replace it if `whole` is set.

    A whole view may be split into several frames; all but the last one set
    `more`.
    """

    whole: bool
    changed: list[instances.BackendServer]
    removed: list[str]
    live_entries: int
    more: bool = False


@message('configurationPull')
@attrs.frozen
class ConfigurationPull:
    """Ask for the changes after a version.

    `subscription` is `start` to receive pushes of later changes, `stop` to
    end them, or empty to leave the subscription unchanged.
    """

    after_version: int
    subscription: str = ''


@message('configurationPush')
@attrs.frozen
class ConfigurationPush:
    """Send the changes from one version to another as JSON.

    If `from_version` is 0, the content is the whole configuration. Long
    content is split into `pieces` frames. Empty content only reports that
    `to_version` is accepted.
    """

    from_version: int
    to_version: int
    content: bytes
    piece: int = 0
    pieces: int = 1


@message('quarantineUpdate')
@attrs.frozen
class QuarantineUpdate:
    """Replace the lists of quarantined and suspected fingerprints.

    `applied_index` is the log index at which the lists were read.
    """

    fingerprints: list[int]
    applied_index: int = 0
    suspects: list[int] = attrs.field(factory=list)


@message('order')
@attrs.frozen
class Order:
    """Order a backend server to perform an action.

    `arguments` is a JSON object.
    """

    fence: int
    action: str
    arguments: bytes


@message('orderReply')
@attrs.frozen
class OrderReply:
    """Report the result of an order."""

    done: bool
    code: str = ''
    text: str = ''
    highest_fence: int = 0


@message('controlRequest')
@attrs.frozen
class ControlRequest:
    """Send a command or query to control as JSON of an attrs class."""

    name: str
    content: bytes
    token: str = attrs.field(default='', repr=False)


@message('controlReply')
@attrs.frozen
class ControlReply:
    """Return the result of a control request, or an error code."""

    code: str
    text: str
    content: bytes
    leader_id: str = ''


@attrs.frozen
class LogRecord:
    """One entry of the replicated log."""

    index: int
    term: int
    kind: str
    content: bytes


@message('voteRequest')
@attrs.frozen
class VoteRequest:
    """Ask for a vote, or with `pre_vote` whether it would be granted.

    `voter_identity` is the identity under which the vote will be counted.
    """

    term: int
    candidate_id: str
    last_index: int
    last_term: int
    pre_vote: bool = False
    transfer: bool = False
    cluster_id: str = ''
    voter_identity: str = ''


@message('voteReply')
@attrs.frozen
class VoteReply:
    """Answer a vote request."""

    term: int
    granted: bool


@message('appendRequest')
@attrs.frozen
class AppendRequest:
    """Replicate log records; without records, renew the leader's lease."""

    term: int
    leader_id: str
    previous_index: int
    previous_term: int
    commit_index: int
    records: list[LogRecord]
    cluster_id: str = ''
    receiver_identity: str = ''


@message('appendReply')
@attrs.frozen
class AppendReply:
    """Answer an append request.

    `match_index` is the last index known to match the leader's log; on a
    rejection it is the index from which the leader continues.
    """

    term: int
    accepted: bool
    match_index: int


@message('snapshotRequest')
@attrs.frozen
class SnapshotRequest:
    """Send one chunk of a snapshot."""

    term: int
    leader_id: str
    last_index: int
    last_term: int
    offset_bytes: int
    content: bytes
    done: bool
    cluster_id: str = ''
    receiver_identity: str = ''


@message('snapshotReply')
@attrs.frozen
class SnapshotReply:
    """Answer one chunk of a snapshot."""

    term: int
    accepted: bool


@message('timeoutNow')
@attrs.frozen
class TimeoutNow:
    """Ask a follower to start an election at once."""

    term: int
    cluster_id: str = ''
    receiver_identity: str = ''


@message('empty')
@attrs.frozen
class Empty:
    """Answer a call that has no other result."""


@message('renewAttempts')
@attrs.frozen
class RenewAttempts:
    """Renew the leases of running attempts at a later stage.

    Both lists have one element for each attempt.
    """

    request_ids: list[bytes]
    attempts: list[int]


@message('identityRequest')
@attrs.frozen
class IdentityRequest:
    """Ask a control replica for its identity and whether it has data."""

    cluster_id: str = ''


@message('identityReply')
@attrs.frozen
class IdentityReply:
    """Report the identity of a control replica.

    `empty` is set if the replica has neither log records nor a vote.
    `voters_digest` is a hash of the voters in its settings.
    """

    node_id: str
    identity: str
    cluster_id: str
    empty: bool
    voters_digest: int
    last_index: int


@message('probe')
@attrs.frozen
class Probe:
    """Check that a silent peer is alive; `answer` marks the reply."""

    answer: bool = False
