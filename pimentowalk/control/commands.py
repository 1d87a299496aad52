"""Commands and queries of the control plane, and their JSON encoding."""

import attrs
import cattrs
from cattrs.preconf import json as json_converter

from pimentowalk.control import packing
from pimentowalk.core import errors
from pimentowalk.core import registry
from pimentowalk.topology import contracts
from pimentowalk.topology import instances
from pimentowalk.wire import messages

COMMANDS = registry.Registry('control command')
CONVERTER = json_converter.make_converter()


def command(name, result, *, logged=False, operator=False, local=False):
    """Register a command class.

    `logged` commands go through the replicated log, `operator` commands
    need a token and `local` ones are answered by any control instance.
    """

    def decorate(cls):
        cls.NAME = name
        cls.RESULT = result
        cls.LOGGED = logged
        cls.OPERATOR = operator
        cls.LOCAL = local
        return COMMANDS.register(name)(cls)

    return decorate


@attrs.frozen
class Refusal:
    """Error code and text of a command that was refused without effect."""

    code: str
    text: str


@attrs.frozen
class Done:
    """Result of a command that returns no data."""

    repeated: bool = False


@attrs.frozen
class Source:
    """All contracts of one folder of operator files."""

    services: list[contracts.Service] = attrs.field(factory=list)
    routes: list[contracts.Route] = attrs.field(factory=list)
    accounts: list[contracts.ClientAccount] = attrs.field(factory=list)


def to_sources(values):
    """Convert objects with the fields of `Source` to sources."""
    names = [field.name for field in attrs.fields(Source)]
    return {
        key: Source(*(list(getattr(value, name)) for name in names))
        for key, value in values.items()
    }


@attrs.frozen
class PublishResult:
    """The version that a publish created.

    `changes` lists the first of the `change_count` changed scopes.
    """

    version: int
    repeated: bool = False
    changes: list[str] = attrs.field(factory=list)
    change_count: int = 0


@command('Publish', PublishResult, logged=True, operator=True)
@attrs.frozen
class Publish:
    """Replace the contracts of sources if the accepted version matches."""

    change_id: str
    author: str
    expected_version: int
    sources: dict[str, Source] = attrs.field(converter=to_sources)
    dry_run: bool = False


@attrs.frozen
class ServerAddress:
    """The incarnation of a backend server and its peer address."""

    server_id: str
    incarnation: int
    host: str
    port: int


@attrs.frozen
class Claim:
    """The durable record of one non-idempotent call.

    `state` is `open`, `settled`, `unknown` or `released`.
    """

    claim_id: str
    body_hash: str
    request_id: bytes
    attempt: int
    server: ServerAddress
    state: str
    opened_s: float
    status: int = 0
    headers: list[messages.Header] = attrs.field(factory=list)
    body: bytes = b''


@attrs.frozen
class ClaimResult:
    """State of an idempotency key after `OpenClaim`, and its claim."""

    state: str
    claim: Claim | None = None


@command('OpenClaim', ClaimResult, logged=True)
@attrs.frozen
class OpenClaim:
    """Claim an idempotency key of an account before sending the call."""

    account: str
    key: str
    body_hash: str
    claim_id: str
    request_id: bytes
    server: ServerAddress
    attempt: int = 1


@command('SettleClaim', Done, logged=True)
@attrs.frozen
class SettleClaim:
    """Record the outcome of a claimed call, `done` or `unknown`."""

    account: str
    key: str
    claim_id: str
    outcome: str
    status: int = 0
    headers: list[messages.Header] = attrs.field(factory=list)
    body: bytes = b''


@command('ReleaseClaim', Done, logged=True)
@attrs.frozen
class ReleaseClaim:
    """Release a claim after proof that its call was never admitted."""

    account: str
    key: str
    claim_id: str


@attrs.frozen
class FenceResult:
    """The fencing number of an order, or the highest one issued."""

    fence: int
    repeated: bool = False


@command('IssueFence', FenceResult, logged=True, operator=True)
@attrs.frozen
class IssueFence:
    """Issue a fencing number for an order; `arguments` is JSON."""

    change_id: str
    author: str
    server_id: str
    action: str
    arguments: str = '{}'


@command('HighestFence', FenceResult)
@attrs.frozen
class HighestFence:
    """Query the highest fencing number issued for a server."""

    server_id: str


@attrs.frozen
class CrashResult:
    """Number of crashes counted for a fingerprint."""

    crashes: int
    quarantined: bool


@command('ReportCrash', CrashResult, logged=True)
@attrs.frozen
class ReportCrash:
    """Report that a request was running when its server crashed.

    `request_id` is hexadecimal.
    """

    fingerprint: int
    account: str
    server_id: str
    incarnation: int
    request_id: str
    attempt: int = 1


@attrs.frozen
class QuarantinedRequest:
    """A quarantined fingerprint and the servers that its request crashed."""

    fingerprint: int
    account: str
    until_s: float
    servers: list[str]


@attrs.frozen
class QuarantineResult:
    """All quarantined fingerprints."""

    requests: list[QuarantinedRequest]


@command('ListQuarantine', QuarantineResult, operator=True)
@attrs.frozen
class ListQuarantine:
    """Query the quarantined fingerprints."""


@command('ClearQuarantine', Done, logged=True, operator=True)
@attrs.frozen
class ClearQuarantine:
    """End the quarantine of a fingerprint and delete its crash counts."""

    change_id: str
    author: str
    fingerprint: int


@command('ChangeMembers', Done, logged=True, operator=True)
@attrs.frozen
class ChangeMembers:
    """Add a learner, promote it to a voter, or remove a member."""

    change_id: str
    author: str
    action: str
    instance: instances.Instance


@attrs.frozen
class Member:
    """One member of the replicated log."""

    instance: instances.Instance
    voter: bool


@attrs.frozen
class MembersResult:
    """The members of the replicated log and its leader."""

    members: list[Member]
    leader_id: str


@command('ListMembers', MembersResult, operator=True)
@attrs.frozen
class ListMembers:
    """Query the members of the replicated log."""


@attrs.frozen
class ConfigurationResult:
    """The published sources and the configuration built from them."""

    configuration: contracts.Configuration
    sources: dict[str, Source]


@command('ReadConfiguration', ConfigurationResult, operator=True)
@attrs.frozen
class ReadConfiguration:
    """Query the accepted configuration."""


@attrs.frozen
class NodeStatus:
    """State of one node as a control instance last heard it."""

    node_id: str
    role: str
    zone: str
    incarnation: int
    version_in_force: int
    draining: bool
    silent_s: float


@attrs.frozen
class StatusResult:
    """The nodes that send heartbeats to one control instance."""

    version: int
    answered_by: str
    leader_id: str
    nodes: list[NodeStatus]


@command('ReadStatus', StatusResult, local=True)
@attrs.frozen
class ReadStatus:
    """Query the configuration version in force at each node."""


@attrs.frozen
class AuditRecord:
    """One applied change."""

    index: int
    time_s: float
    author: str
    name: str
    change_id: str
    from_version: int
    to_version: int
    detail: str = ''


@attrs.frozen
class AuditResult:
    """Audit records in log order."""

    records: list[AuditRecord]


@command('ReadAudit', AuditResult, operator=True)
@attrs.frozen
class ReadAudit:
    """Query audit records after a log index."""

    after_index: int = 0
    limit: int = 100


@command('FindServer', instances.BackendServer, local=True)
@attrs.frozen
class FindServer:
    """Query the announced record of a backend server."""

    server_id: str


@attrs.frozen
class UseShares:
    """The fraction of each account rate that one entry enforces."""

    shares: dict[str, float]


@command('ReportUse', UseShares)
@attrs.frozen
class ReportUse:
    """Report an entry's recent demand, as fractions of account rates."""

    entry_id: str
    demands: dict[str, float]


def encode(value):
    """Encode an attrs value as packed JSON."""
    return packing.pack(CONVERTER.unstructure(value))


def _structure(value, cls):
    try:
        return CONVERTER.structure(value, cls)
    except (cattrs.BaseValidationError, ValueError, TypeError) as error:
        raise errors.PimentowalkError(
            f'malformed {cls.__name__}: {error}', code='bad_request'
        ) from None


def decode(content, cls):
    """Decode an attrs value from packed JSON; raise PimentowalkError."""
    return _structure(packing.unpack(content), cls)


def to_log(body):
    """Encode a command as the content of a log record."""
    return packing.pack(
        {'name': body.NAME, 'body': CONVERTER.unstructure(body)}
    )


def from_log(content):
    """Decode the command in a log record; raise PimentowalkError."""
    value = packing.unpack(content)
    if not isinstance(value, dict) or set(value) != {'name', 'body'}:
        raise errors.PimentowalkError(
            'the log record holds no command', code='bad_request'
        )
    return _structure(value['body'], COMMANDS.get(value['name']))


def name_in_log(content):
    """Return the name of the command in a log record, empty if unknown."""
    try:
        value = packing.unpack(content)
    except errors.PimentowalkError:
        return ''
    name = value.get('name') if isinstance(value, dict) else None
    return name if isinstance(name, str) else ''
