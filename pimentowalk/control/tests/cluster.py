"""Replicas on loopback for tests, with connections that can be cut."""

import asyncio
import json

from pimentowalk.control import replica as control_replica
from pimentowalk.core import errors
from pimentowalk.core import timers
from pimentowalk.topology import instances
from pimentowalk.wire import connection
from pimentowalk.wire import messages

# An election takes about a second, so a test that waits this long has failed.
TIMEOUT_S = 20.0


class CommandRecorder:
    """A state machine that records the applied commands."""

    def __init__(self):
        self.applied = []

    def apply(self, index, command, time_s):
        """Record a command; return the number of commands."""
        if command == b'refuse':
            raise errors.Conflict('refused')
        self.applied.append(command.decode())
        return len(self.applied)

    def snapshot(self):
        """Return the commands as JSON."""
        return json.dumps(self.applied).encode()

    def restore(self, state):
        """Load the commands of a snapshot."""
        self.applied = json.loads(state)


class Node:
    """One replica and the server that accepts its connections."""

    def __init__(self, cluster, instance, folder, **options):
        self.cluster = cluster
        self.instance = instance
        self.node_id = instance.instance_id
        self.recorder = CommandRecorder()
        self.links = set()
        hello = messages.Hello(self.node_id, 'control', 1)
        self.server = connection.PeerServer(
            instance.host, instance.port, hello, self._accept
        )
        self.replica = control_replica.Replica(
            self.node_id,
            folder,
            cluster.voters,
            self.recorder,
            timers.TimerService(),
            dial=self._dial,
            **options,
        )

    async def _dial(self, host, port):
        target = self.cluster.node_at(port)
        if (
            target in self.cluster.partitioned
            or self.node_id in self.cluster.partitioned
        ):
            raise errors.PeerLost('the node is partitioned', peer=target)
        hello = messages.Hello(self.node_id, 'control', 1)
        link = await connection.dial(host, port, hello)
        self.links.add(link)
        return link

    def _accept(self, link):
        link.on_frame = self.replica.handle
        self.links.add(link)

    async def start(self):
        """Accept connections and start the replica."""
        await self.replica.start()
        await self.server.start()

    async def abort(self):
        """Stop without a transfer of leadership."""
        await self.server.stop()
        await self.replica.abort()

    async def stop(self):
        """Stop with a transfer of leadership."""
        await self.replica.stop()
        await self.server.stop()


class Cluster:
    """A cluster of nodes in one process, by node id."""

    def __init__(self, folder, ports, **options):
        self.folder = folder
        self.voters = [
            instances.Instance(f'c{i}', '127.0.0.1', port)
            for i, port in enumerate(ports)
        ]
        self.options = options
        self.nodes = {}
        self.partitioned = set()

    def node_at(self, port):
        """Return the id of the node at a port."""
        return next(v.instance_id for v in self.voters if v.port == port)

    async def start(self, *node_ids):
        """Start the given nodes, or all of them."""
        for voter in self.voters:
            if not node_ids or voter.instance_id in node_ids:
                folder = self.folder / voter.instance_id
                node = Node(self, voter, folder, **self.options)
                self.nodes[node.node_id] = node
                await node.start()

    async def stop(self):
        """Stop all nodes."""
        for node_id in list(self.nodes):
            await self.kill(node_id)

    async def kill(self, node_id):
        """Stop one node without a transfer of leadership."""
        await self.nodes.pop(node_id).abort()

    def isolate(self, node_id):
        """Close all connections of a node and refuse new ones."""
        self.partitioned.add(node_id)
        for node in self.nodes.values():
            for link in list(node.links):
                if node_id in (node.node_id, link.peer):
                    link.abort()
                    node.links.discard(link)

    async def leader(self, *, without=()):
        """Return the node that leads with a valid lease."""
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                for node in self.nodes.values():
                    if node.replica.is_leader and node.node_id not in without:
                        return node
                await asyncio.sleep(0.01)

    async def propose(self, command, *, without=()):
        """Propose a command, retrying only if it was certainly not applied."""
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                node = await self.leader(without=without)
                try:
                    return await node.replica.propose(command, 5)
                except errors.PimentowalkError as error:
                    if error.code not in ('not_leader', 'no_quorum'):
                        raise

    async def wait_all_applied(self, expected):
        """Wait until every node has applied exactly these commands."""
        async with asyncio.timeout(TIMEOUT_S):
            for node in self.nodes.values():
                while node.recorder.applied != expected:
                    await node.replica.wait_applied_change()
