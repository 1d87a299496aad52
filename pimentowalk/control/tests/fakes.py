"""A fake replica and a control instance that uses it."""

from pimentowalk.control import commands
from pimentowalk.control import members
from pimentowalk.control import operators
from pimentowalk.control import server
from pimentowalk.control import state
from pimentowalk.core import errors
from pimentowalk.core import timers
from pimentowalk.topology import instances
from pimentowalk.wire import messages

TOKEN = 'token-of-anna'


def make_member(instance, voter):
    """Return the member for an instance, as `Replica.members` lists it."""
    return members.Member(
        instance.instance_id,
        'identity',
        instance.host,
        instance.port,
        instance.zone,
        voter,
    )


def write_operators(folder, mode=0o600, value=None):
    """Write an operators file, by default for TOKEN; return its path."""
    path = folder / 'operators.ini'
    value = value or operators.hash_token(TOKEN)
    path.write_text(f'[operators]\nanna = {value}\n')
    path.chmod(mode)
    return path


class FakeReplica:
    """Apply each command at once; `failures` injects errors."""

    def __init__(self, node_id, state_machine):
        self.node_id = node_id
        self.state_machine = state_machine
        self.leader_id = node_id
        self.index = 0
        self.time_s = 1_000_000.0
        self.failures = []
        self.handled = []
        own_instance = instances.Instance(node_id, '127.0.0.1', 1)
        self._members = {node_id: make_member(own_instance, True)}
        self.actions = []

    @property
    def is_leader(self):
        return self.leader_id == self.node_id

    async def propose(self, command, timeout_s):
        """Apply a command; `failures` has pairs (error, applied) to raise."""
        if not self.is_leader:
            raise errors.NotLeader(f'{self.node_id} is not the leader')
        failure, applied = None, True
        if self.failures:
            failure, applied = self.failures.pop(0)
        result = self.apply(command) if applied else None
        if failure is not None:
            raise failure
        return result

    def apply(self, command):
        self.index += 1
        return self.state_machine.apply(self.index, command, self.time_s)

    async def read_barrier(self):
        if not self.is_leader:
            raise errors.NotLeader(f'{self.node_id} is not the leader')

    def members(self):
        return list(self._members.values())

    async def change_members(self, action, instance, timeout_s):
        self.actions.append(action)
        self._members.pop(instance.instance_id, None)
        if action != members.REMOVE:
            self._members[instance.instance_id] = make_member(
                instance, action == members.PROMOTE
            )
        return self.members()

    async def handle(self, connection, envelope):
        self.handled.append(envelope.body)


class ControlInstance:
    """A control server on loopback with a fake replica."""

    def __init__(self, node_id='control-1', port=0, heartbeat_s=0.05):
        self.node_id = node_id
        self.state = state.ControlState()
        self.replica = FakeReplica(node_id, self.state)
        hashes = {'anna': operators.hash_token(TOKEN)}
        self.server = server.ControlServer(
            messages.Hello(node_id, 'control', 1),
            '127.0.0.1',
            port,
            self.replica,
            self.state,
            operators.Operators(hashes),
            timers.TimerService(),
            heartbeat_s=heartbeat_s,
            clock=lambda: self.replica.time_s,
        )

    @property
    def address(self):
        return instances.Instance(self.node_id, '127.0.0.1', self.server.port)

    def apply(self, body):
        """Apply a command as if it had been committed."""
        return self.replica.apply(commands.to_log(body))
