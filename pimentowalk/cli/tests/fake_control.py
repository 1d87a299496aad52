"""A control client and commands with the fields of the design page."""

import asyncio

import attrs

from pimentowalk.core import errors
from pimentowalk.topology import contracts
from pimentowalk.topology import instances

CONTROL_1 = instances.Instance('c1', '127.0.0.1', 7101)
CONTROL_2 = instances.Instance('c2', '127.0.0.1', 7102)


def result(name, /, **fields):
    """Return a result with attributes, as control's attrs classes have."""
    cls = attrs.make_class(name, list(fields), frozen=True)
    return cls(**fields)


class Commands:
    """Stand in for `pimentowalk.control.commands`."""

    def __getattr__(self, name):
        fields = COMMAND_FIELDS[name]
        return attrs.make_class(
            name,
            {
                field: attrs.field(default=DEFAULTS.get(field, attrs.NOTHING))
                for field in fields.split()
            },
            frozen=True,
        )


DEFAULTS = {'dry_run': False}
COMMAND_FIELDS = {
    'Publish': 'change_id author expected_version sources dry_run',
    'Source': 'services routes accounts',
    'IssueFence': 'change_id author server_id action arguments',
    'ClearQuarantine': 'change_id author fingerprint',
    'ChangeMembers': 'change_id author action instance',
    'ListQuarantine': '',
    'ListMembers': '',
    'ReadConfiguration': '',
    'ReadStatus': '',
    'ReadAudit': 'after_index limit',
    'FindServer': 'server_id',
}


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
        return result(
            'ConfigurationResult',
            configuration=contracts.Configuration(
                self.version, accounts=self.accounts
            ),
            sources=self.sources,
        )

    def _on_Publish(self, command):  # noqa: N802
        return result('PublishResult', version=5, repeated=False)

    def _on_ReadStatus(self, command):  # noqa: N802
        rows = [
            ('entry-1', 'entry', 'Bergen', 5, False),
            ('agent-1', 'agent', 'Voss', 4, False),
            ('agent-2', 'agent', 'Førde', 5, True),
        ]
        nodes = [
            result(
                'NodeStatus',
                node_id=node_id,
                role=role,
                zone=zone,
                version_in_force=version,
                draining=draining,
            )
            for node_id, role, zone, version, draining in rows
        ]
        return result('Status', version=5, leader_id='c1', nodes=nodes)

    def _on_ReadAudit(self, command):  # noqa: N802
        record = result(
            'AuditRecord',
            index=command.after_index + 1,
            time_s=1_700_000_000.0,
            author='kari',
            name='Publish',
            change_id='abc',
            from_version=4,
            to_version=5,
            detail='service/skrivar',
        )
        return result('AuditResult', records=[record])

    def _on_FindServer(self, command):  # noqa: N802
        try:
            return self.servers[command.server_id]
        except KeyError:
            raise errors.PimentowalkError(
                'not announced', code='not_found'
            ) from None

    def _on_IssueFence(self, command):  # noqa: N802
        return result('FenceResult', fence=17)

    def _on_ListMembers(self, command):  # noqa: N802
        members = [
            result('Member', instance=CONTROL_1, voter=True),
            result('Member', instance=CONTROL_2, voter=False),
        ]
        return result('MembersResult', members=members, leader_id='c1')

    def _on_ChangeMembers(self, command):  # noqa: N802
        return result('Done', repeated=False)

    def _on_ListQuarantine(self, command):  # noqa: N802
        request = result(
            'QuarantinedRequest',
            fingerprint=0xAB,
            account='voss',
            servers=['agent-1', 'agent-2'],
        )
        return result('QuarantineResult', requests=[request])

    def _on_ClearQuarantine(self, command):  # noqa: N802
        return result('Done', repeated=False)
