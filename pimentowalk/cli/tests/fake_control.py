"""Fake control client with fixed answers."""

import asyncio

from pimentowalk.control import commands
from pimentowalk.core import errors
from pimentowalk.topology import contracts
from pimentowalk.topology import instances

CONTROL_1 = instances.Instance('c1', '127.0.0.1', 7101)
CONTROL_2 = instances.Instance('c2', '127.0.0.1', 7102)
NODES = [
    commands.NodeStatus('entry-1', 'entry', 'Bergen', 1, 5, False, 0.1),
    commands.NodeStatus('agent-1', 'agent', 'Voss', 1, 4, False, 0.1),
    commands.NodeStatus('agent-2', 'agent', 'Førde', 1, 5, True, 0.1),
]
MEMBERS = [commands.Member(CONTROL_1, True), commands.Member(CONTROL_2, False)]
CRASHED = commands.QuarantinedRequest(
    0xAB, 'voss', 0.0, ['agent-1', 'agent-2']
)
ANSWERS = {
    'Publish': commands.PublishResult(5),
    'ReadStatus': commands.StatusResult(5, 'c2', 'c1', NODES),
    'IssueFence': commands.FenceResult(17),
    'ListMembers': commands.MembersResult(MEMBERS, 'c1'),
    'ChangeMembers': commands.Done(),
    'ListQuarantine': commands.QuarantineResult([CRASHED]),
    'ClearQuarantine': commands.Done(),
}


class FakeControl:
    """Answer requests from tables.

    `failures` maps command names to errors; commands in `silent` are not
    answered.
    """

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
        """Return this fake as the client of an operator."""
        self.operator = operator
        return self

    async def close(self):
        """Do nothing; there is no connection to close."""

    async def request(self, command, timeout_s=10.0):
        """Record a request and answer it."""
        name = type(command).__name__
        self.requests.append(command)
        if name in self.silent:
            await asyncio.Event().wait()
        if name in self.failures:
            raise self.failures[name]
        if name in ANSWERS:
            return ANSWERS[name]
        return getattr(self, f'_on_{name}')(command)

    def announce(self, port, **fields):
        """Register agent-1 as announced at a port."""
        self.servers['agent-1'] = instances.BackendServer(
            'agent-1', 1, 'skrivar', '127.0.0.1', port, **fields
        )

    def sent(self, name):
        """Return the recorded requests with a command name."""
        return [
            command
            for command in self.requests
            if type(command).__name__ == name
        ]

    def _on_ReadConfiguration(self, command):  # noqa: N802
        configuration = contracts.Configuration(
            self.version, accounts=self.accounts
        )
        return commands.ConfigurationResult(configuration, self.sources)

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
        if command.server_id not in self.servers:
            raise errors.PimentowalkError('not announced', code='not_found')
        return self.servers[command.server_id]
