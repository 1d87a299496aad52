"""A control client that answers from a few tables."""

import asyncio

from pimentowalk.control import commands
from pimentowalk.core import errors
from pimentowalk.topology import contracts
from pimentowalk.topology import instances

CONTROL_1 = instances.Instance('c1', '127.0.0.1', 7101)
CONTROL_2 = instances.Instance('c2', '127.0.0.1', 7102)


class FakeControl:
    """Answer requests from a few tables; see `failures`, `silent`."""

    def __init__(self):
        self.requests = []
        self.failures = {}
        self.silent = set()
        self.servers = {}
        self.version = 4
        self.accounts = {}
        self.sources = {}
        self.operator = None

    def connect(self, operator):
        """Return a client for an operator."""
        self.operator = operator
        return self

    async def close(self):
        """Close nothing."""

    async def request(self, command, timeout_s=10.0):
        """Record a request and answer it."""
        name = type(command).__name__
        self.requests.append(command)
        if name in self.silent:
            await asyncio.Event().wait()
        if name in self.failures:
            raise self.failures[name]
        return getattr(self, f'_on_{name}')(command)

    def sent(self, name):
        """Return the recorded requests of a kind."""
        return [r for r in self.requests if type(r).__name__ == name]

    def _on_ReadConfiguration(self, command):  # noqa: N802
        configuration = contracts.Configuration(
            self.version, accounts=self.accounts
        )
        return commands.ConfigurationResult(configuration, self.sources)

    def _on_Publish(self, command):  # noqa: N802
        return commands.PublishResult(5)

    def _on_ReadStatus(self, command):  # noqa: N802
        nodes = [
            commands.NodeStatus(
                'entry-1', 'entry', 'Bergen', 1, 5, False, 0.1
            ),
            commands.NodeStatus('agent-1', 'agent', 'Voss', 1, 4, False, 0.1),
            commands.NodeStatus('agent-2', 'agent', 'Førde', 1, 5, True, 0.1),
        ]
        return commands.StatusResult(5, 'c2', 'c1', nodes)

    def _on_ReadAudit(self, command):  # noqa: N802
        record = commands.AuditRecord(
            command.after_index + 1,
            1_700_000_000.0,
            'kari',
            'Publish',
            'abc',
            4,
            5,
            'service/skrivar',
        )
        return commands.AuditResult([record])

    def _on_FindServer(self, command):  # noqa: N802
        try:
            return self.servers[command.server_id]
        except KeyError:
            raise errors.PimentowalkError(
                'not announced', code='not_found'
            ) from None

    def _on_IssueFence(self, command):  # noqa: N802
        return commands.FenceResult(17)

    def _on_ListMembers(self, command):  # noqa: N802
        members = [
            commands.Member(CONTROL_1, True),
            commands.Member(CONTROL_2, False),
        ]
        return commands.MembersResult(members, 'c1')

    def _on_ChangeMembers(self, command):  # noqa: N802
        return commands.Done()

    def _on_ListQuarantine(self, command):  # noqa: N802
        request = commands.QuarantinedRequest(
            0xAB, 'voss', 0.0, ['agent-1', 'agent-2']
        )
        return commands.QuarantineResult([request])

    def _on_ClearQuarantine(self, command):  # noqa: N802
        return commands.Done()
