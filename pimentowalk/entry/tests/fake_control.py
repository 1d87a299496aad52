"""A node session without control, and its claims kept in memory."""

import asyncio
import sys

import attrs

from pimentowalk.core import errors


@attrs.frozen
class ServerAddress:
    server_id: str
    incarnation: int
    host: str
    port: int


@attrs.frozen
class Claim:
    claim_id: str
    body_hash: str
    request_id: bytes
    attempt: int
    server: ServerAddress
    state: str = 'open'
    status: int = 0
    headers: list = attrs.field(factory=list)
    body: bytes = b''


@attrs.frozen
class ClaimResult:
    state: str
    claim: Claim | None = None


@attrs.frozen
class OpenClaim:
    account: str
    key: str
    body_hash: str
    claim_id: str
    request_id: bytes
    server: ServerAddress
    attempt: int = 1


@attrs.frozen
class SettleClaim:
    account: str
    key: str
    claim_id: str
    outcome: str
    status: int = 0
    headers: list = attrs.field(factory=list)
    body: bytes = b''


@attrs.frozen
class ReleaseClaim:
    account: str
    key: str
    claim_id: str


@attrs.frozen
class ReportUse:
    entry_id: str
    demands: dict


@attrs.frozen
class UseShares:
    shares: dict


COMMANDS = sys.modules[__name__]


class FakeView:
    """A view that a test fills."""

    def __init__(self):
        self.records = []
        self.live_entries = 1

    def servers(self):
        return list(self.records)


class FakeSession:
    """Stand in for `control.client.NodeSession`."""

    def __init__(self, configuration):
        self.configuration = configuration
        self.view = FakeView()
        self.quarantined = set()
        self.has_quorum = True
        self.lose_replies = 0
        self.use_share = 1.0
        self.claims = {}
        self.commands = []
        self.noted = set()
        self.is_ready = asyncio.Event()
        self._on_view = []
        self._on_configuration = []

    async def start(self):
        pass

    async def stop(self):
        pass

    async def ready(self, timeout_s):
        await self.is_ready.wait()

    def on_view(self, callback):
        self._on_view.append(callback)

    def on_configuration(self, callback):
        self._on_configuration.append(callback)

    def note_version(self, version):
        self.noted.add(version)

    def show(self, *records):
        """Set the view and tell the entry."""
        self.view.records = list(records)
        for callback in self._on_view:
            callback(self.view)

    async def request(self, command, timeout_s=5.0):
        if not self.has_quorum:
            raise errors.NoQuorum('no majority', step=type(command).__name__)
        self.commands.append(command)
        result = getattr(self, f'_{type(command).__name__}')(command)
        if self.lose_replies:
            self.lose_replies -= 1
            raise errors.OutcomeUnknown('the reply was lost')
        return result

    def _ReportUse(self, command):  # noqa: N802
        return UseShares(dict.fromkeys(command.demands, self.use_share))

    def _OpenClaim(self, command):  # noqa: N802
        key = (command.account, command.key)
        known = self.claims.get(key)
        if known is None:
            self.claims[key] = Claim(
                command.claim_id,
                command.body_hash,
                command.request_id,
                command.attempt,
                command.server,
            )
            return ClaimResult('new', self.claims[key])
        if known.body_hash != command.body_hash:
            return ClaimResult('key_reused', known)
        return ClaimResult(known.state, known)

    def _held(self, command):
        known = self.claims.get((command.account, command.key))
        if known is None or known.claim_id != command.claim_id:
            return None
        return known if known.state == 'open' else None

    def _SettleClaim(self, command):  # noqa: N802
        known = self._held(command)
        if known is not None:
            self.claims[command.account, command.key] = attrs.evolve(
                known,
                state='settled' if command.outcome == 'done' else 'unknown',
                status=command.status,
                headers=command.headers,
                body=command.body,
            )

    def _ReleaseClaim(self, command):  # noqa: N802
        if self._held(command) is not None:
            del self.claims[command.account, command.key]
