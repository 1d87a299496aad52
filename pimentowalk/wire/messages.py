"""Frame bodies; the schema frames.capnp mirrors these classes."""

import enum

import attrs

from pimentowalk.core import registry
from pimentowalk.topology import instances

FRAMES = registry.Registry('frame body')


def message(name):
    """Register an attrs class as the body called `name` in the schema."""

    def decorate(cls):
        cls.FRAME_NAME = name
        return FRAMES.register(name)(cls)

    return decorate


class AttemptState(enum.StrEnum):
    """The state of an attempt, as its head agent reports it."""

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
    """One stage of a chain."""

    server_id: str
    incarnation: int
    host: str
    port: int
    first_layer: int
    end_layer: int


@attrs.frozen
class StageLoad:
    """The load of one backend server.

    `queued_tokens` counts what waits and what running work may still need.
    """

    server_id: str
    queued_tokens: int
    running: int
    tokens_per_s: float


@attrs.frozen
class LayerRange:
    """Layers [first_layer, end_layer) that one stage ran for one token."""

    first_layer: int
    end_layer: int


@attrs.frozen
class Step:
    """The input of one stage for one token of an attempt.

    `hidden` holds one hidden state for each input token. The last stage
    returns the token to `chain[0]`.
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

    With `last` set, `token_count` is the number of tokens in the answer.
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
    """Introduce the sender of a connection."""

    node_id: str
    role: str
    incarnation: int
    zone: str = ''


@message('failure')
@attrs.frozen
class Failure:
    """Answer a call with an error, or announce why a connection closes."""

    code: str
    text: str
    step: str = ''
    peer: str = ''


@message('openAttempt')
@attrs.frozen
class OpenAttempt:
    """Ask a head agent to run an attempt of a model request.

    `generated` are the tokens already passed on; the first new token has
    the index `len(generated)`, and `max_tokens` counts them too.
    `deadline_ms` is the time left when the frame is sent, 0 without limit.
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
    """Tell a later stage of an admitted attempt about its chain.

    `position` is the place of the receiver in the chain and `first_index`
    the token index of the first step. `account` and `fingerprint` serve
    the record of requests in flight at an engine crash. The receiver
    answers with `Empty`, or a `Failure` that proves that nothing ran.
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
    """Fence an attempt and all lower attempts of its request."""

    request_id: bytes
    attempt: int
    reason: str = ''


@message('stepBatch')
@attrs.frozen
class StepBatch:
    """Carry the steps of several attempts to the next stage."""

    steps: list[Step]
    loads: list[StageLoad] = attrs.field(factory=list)


@message('tokenBatch')
@attrs.frozen
class TokenBatch:
    """Carry tokens from the last stage to the head, and on to the entry."""

    tokens: list[Token]
    loads: list[StageLoad] = attrs.field(factory=list)


@message('stepFailed')
@attrs.frozen
class StepFailed:
    """Report to the head that a stage cannot go on with an attempt."""

    request_id: bytes
    attempt: int
    code: str
    text: str
    step: str
    peer: str
    engine_crashed: bool = False


@attrs.frozen
class LinkDelay:
    """A measured round trip from one agent to another."""

    source_id: str
    target_id: str
    round_trip_s: float


@message('loadReport')
@attrs.frozen
class LoadReport:
    """Report loads to the entries that recently sent work.

    `links` holds the round trips that the sender measured to the agents of
    next stages, or that reached it from later stages.
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
    """Ask an agent to pass one HTTP call on to its plain service."""

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
    """Report how a service call ended.

    `state` is an `AttemptState`; the HTTP fields count only if finished.
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
    """Report that a node lives and which version it has in force."""

    node_id: str
    incarnation: int
    version_in_force: int
    draining: bool = False


@message('watch')
@attrs.frozen
class Watch:
    """Ask a control instance for a view of these services.

    An empty list means all services. At most `servers_per_range` servers
    of each layer range are sent, chosen for this node; 0 ends the watch.
    """

    services: list[str]
    servers_per_range: int


@message('viewUpdate')
@attrs.frozen
class ViewUpdate:
    """Change a watched view; with `whole` set, replace it.

    A whole view may come in pieces, of which all but the last set `more`.
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

    `subscription` is `start` to get later changes pushed, `stop` to end
    that, or empty to leave it as it is.
    """

    after_version: int
    subscription: str = ''


@message('configurationPush')
@attrs.frozen
class ConfigurationPush:
    """Carry changes from one version to another as JSON.

    `from_version` 0 carries the whole configuration. Long content comes in
    `pieces` frames; no content only tells that `to_version` is accepted.
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
    """Order a backend server to load or change something.

    `arguments` is a JSON object.
    """

    fence: int
    action: str
    arguments: bytes


@message('orderReply')
@attrs.frozen
class OrderReply:
    """Report how an order ended."""

    done: bool
    code: str = ''
    text: str = ''
    highest_fence: int = 0


@message('controlRequest')
@attrs.frozen
class ControlRequest:
    """Carry a command or query for control as JSON of an attrs class."""

    name: str
    content: bytes
    token: str = attrs.field(default='', repr=False)


@message('controlReply')
@attrs.frozen
class ControlReply:
    """Carry the result of a control request, or an error code."""

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
    """Ask for a vote; with `pre_vote` set, only whether it would be given.

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
    """Replicate log records, or renew the leader's lease without any."""

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

    `match_index` is the last index known to agree; on a refusal it is the
    index from which the leader goes on.
    """

    term: int
    accepted: bool
    match_index: int


@message('snapshotRequest')
@attrs.frozen
class SnapshotRequest:
    """Carry one piece of a snapshot."""

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
    """Answer one piece of a snapshot."""

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
    """Renew the lease of running attempts at a later stage.

    Both lists have one element for each attempt.
    """

    request_ids: list[bytes]
    attempts: list[int]


@message('identityRequest')
@attrs.frozen
class IdentityRequest:
    """Ask a control replica who it is and whether its folder is empty."""

    cluster_id: str = ''


@message('identityReply')
@attrs.frozen
class IdentityReply:
    """Tell who a control replica is.

    `empty` is set where the replica has neither records nor a vote.
    `voters_digest` is a hash over the voters of its settings.
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
    """Ask a silent peer for a sign of life; `answer` marks the reply."""

    answer: bool = False
