"""A node session without control, and its claims kept in memory."""

import asyncio

import attrs

from pimentowalk.control import commands
from pimentowalk.core import errors


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
        self.suspects = set()
        self.has_quorum = True
        self.lose_replies = 0
        self.use_share = 1.0
        self.claims = {}
        self.requested = []
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

    def observe_version(self, version):
        self.noted.add(version)

    def update_view(self, *records):
        """Set the view and tell the entry."""
        self.view.records = list(records)
        for callback in self._on_view:
            callback(self.view)

    async def request(self, command, timeout_s=5.0):
        if not self.has_quorum:
            raise errors.NoQuorum('no majority', step=type(command).__name__)
        self.requested.append(command)
        result = getattr(self, f'_{type(command).__name__}')(command)
        if self.lose_replies:
            self.lose_replies -= 1
            raise errors.OutcomeUnknown('the reply was lost')
        return result

    def _ReportUse(self, command):  # noqa: N802
        return commands.UseShares(
            dict.fromkeys(command.demands, self.use_share)
        )

    def _OpenClaim(self, command):  # noqa: N802
        key = (command.account, command.key)
        known = self.claims.get(key)
        if known is None:
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
        if known.body_hash != command.body_hash:
            return commands.ClaimResult('key_reused', known)
        return commands.ClaimResult(known.state, known)

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
