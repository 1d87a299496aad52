"""A fake node session that keeps claims in memory."""

import asyncio

import attrs

from pimentowalk.control import commands
from pimentowalk.core import errors
from pimentowalk.membership import view


class FakeView:
    """A view of the backend servers that is set by the test."""

    def __init__(self):
        self.records = []
        self.live_entries = 1

    def servers(self):
        return list(self.records)

    def joined_s(self, server_id):
        return view.JOINED_BEFORE_S


class FakeSession:
    """A fake of `control.client.NodeSession`."""

    def __init__(self, configuration):
        self.configuration = configuration
        self.view = FakeView()
        self.quarantined = set()
        self.suspects = set()
        self.has_quorum = True
        self.replies_to_lose = 0
        self.granted_share = 1.0
        self.claims = {}
        self.received_commands = []
        self.noted_versions = set()
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

    def observe_version(self, version):
        self.noted_versions.add(version)

    def update_view(self, *records):
        """Replace the view and notify the entry."""
        self.view.records = list(records)
        for callback in self._on_view:
            callback(self.view)

    async def request(self, command, timeout_s=5.0):
        if not self.has_quorum:
            raise errors.NoQuorum('no majority', step=type(command).__name__)
        self.received_commands.append(command)
        result = getattr(self, f'_{type(command).__name__}')(command)
        if self.replies_to_lose:
            self.replies_to_lose -= 1
            raise errors.OutcomeUnknown('the reply was lost')
        return result

    def _ReportUse(self, command):  # noqa: N802
        return commands.UseShares(
            dict.fromkeys(command.demands, self.granted_share)
        )

    def _OpenClaim(self, command):  # noqa: N802
        key = (command.account, command.key)
        claim = self.claims.get(key)
        if claim is None:
            self.claims[key] = commands.Claim(
                command.claim_id,
                command.body_hash,
                command.request_id,
                command.attempt,
                command.server,
                'open',
                0.0,
            )
            return commands.ClaimResult('new', self.claims[key])
        if claim.body_hash != command.body_hash:
            return commands.ClaimResult('key_reused', claim)
        return commands.ClaimResult(claim.state, claim)

    def _own_open_claim(self, command):
        claim = self.claims.get((command.account, command.key))
        if claim is None or claim.claim_id != command.claim_id:
            return None
        return claim if claim.state == 'open' else None

    def _SettleClaim(self, command):  # noqa: N802
        claim = self._own_open_claim(command)
        if claim is not None:
            self.claims[command.account, command.key] = attrs.evolve(
                claim,
                state='settled' if command.outcome == 'done' else 'unknown',
                status=command.status,
                headers=command.headers,
                body=command.body,
            )

    def _ReleaseClaim(self, command):  # noqa: N802
        if self._own_open_claim(command) is not None:
            del self.claims[command.account, command.key]
