"""Measure the replicated log with real processes and real syncs.

`python -m bench.control_log` prints JSON lines: the time without a leader
after SIGKILL and after SIGSTOP of the leader, proposals a second for several
numbers of concurrent proposers, and the time in which a replica that was
killed catches up, against the number of entries it is behind.
"""

import asyncio
import contextlib
import json
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

from pimentowalk.control import files as control_files
from pimentowalk.control import replica as control_replica
from pimentowalk.core import errors
from pimentowalk.core import timers
from pimentowalk.topology import instances
from pimentowalk.wire import connection
from pimentowalk.wire import messages

ROUNDS = 5
PROPOSERS = (1, 16, 64, 256)
PROPOSE_FOR_S = 3.0
COMMAND = b'x' * 200
BEHIND = (1_000, 4_000, 16_000)
TIMEOUT_S = 30.0


class Count:
    """A state machine that counts commands."""

    def __init__(self):
        self.count = 0

    def apply(self, index, command, time_s):
        """Count a command."""
        self.count += 1
        return self.count

    def snapshot(self):
        """Return the count."""
        return str(self.count).encode()

    def restore(self, state):
        """Take a count."""
        self.count = int(state)


def free_ports(count):
    """Return ports that were free a moment ago."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(('127.0.0.1', 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def describe(name, **figures):
    """Print one JSON line."""
    print(json.dumps({'measure': name, **figures}), flush=True)


class Server:
    """One replica and the server in front of it, in a process of its own."""

    def __init__(self, folder, instance, voters):
        hello = messages.Hello(instance.instance_id, 'control', 1)
        self.replica = control_replica.Replica(
            instance.instance_id,
            folder,
            voters,
            Count(),
            timers.TimerService(),
        )
        self.server = connection.PeerServer(
            instance.host, instance.port, hello, self._accept
        )
        self._tasks = set()

    def _accept(self, link):
        link.on_frame = self._on_frame

    async def _on_frame(self, link, envelope):
        if not isinstance(envelope.body, messages.ControlRequest):
            await self.replica.handle(link, envelope)
            return
        # Frames of one connection are handled in order, so that proposals
        # must not be awaited here if they are to share a sync.
        task = asyncio.ensure_future(self._propose(link, envelope))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _propose(self, link, envelope):
        try:
            await self.replica.propose(envelope.body.content, 2.0)
            code = ''
        except errors.PimentowalkError as error:
            code = error.code
        with contextlib.suppress(errors.PeerLost):
            await link.reply(envelope, messages.ControlReply(code, '', b''))

    async def run(self):
        """Serve until the process is killed."""
        await self.server.start()
        await self.replica.start()
        await asyncio.Event().wait()


class Cluster:
    """Three server processes and connections to them."""

    def __init__(self, folder):
        self.folder = folder
        self.voters = [
            instances.Instance(f'c{number}', '127.0.0.1', port)
            for number, port in enumerate(free_ports(3))
        ]
        self.processes = {}
        self.links = {}
        self.readers = set()

    def start(self, number):
        """Start one server process."""
        ports = ','.join(str(voter.port) for voter in self.voters)
        self.processes[number] = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'bench.control_log',
                str(number),
                ports,
                str(self.folder / f'c{number}'),
            ]
        )

    def kill(self, number):
        """Kill one server process."""
        process = self.processes.pop(number)
        process.kill()
        process.wait()

    async def call(self, number, body, timeout_s):
        """Call one server; raise PeerLost or TimeoutError."""
        link = self.links.get(number)
        if link is None or link.closed:
            voter = self.voters[number]
            link = await connection.dial(
                voter.host, voter.port, messages.Hello('bench', 'cli', 1)
            )
            self.links[number] = link
            reader = asyncio.ensure_future(link.run())
            self.readers.add(reader)
            reader.add_done_callback(self.readers.discard)
        return await link.call(body, timeout_s)

    async def propose(self, number, timeout_s=3.0):
        """Return whether a server committed a command."""
        request = messages.ControlRequest('', COMMAND)
        try:
            reply = await self.call(number, request, timeout_s)
        except (errors.PimentowalkError, TimeoutError):
            return False
        return not reply.code

    async def find_leader(self, numbers=(0, 1, 2)):
        """Return the server that commits; ask each every 5 ms."""
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                for number in numbers:
                    if await self.propose(number, 0.5):
                        return number
                await asyncio.sleep(0.005)

    async def last_index(self, number):
        """Return the last index of a server, 0 if it does not answer."""
        try:
            reply = await self.call(number, messages.IdentityRequest(), 1.0)
        except (errors.PimentowalkError, TimeoutError):
            return 0
        return reply.last_index

    async def reach(self, number, index):
        """Wait until a server has a record; ask every 5 ms."""
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                if await self.last_index(number) >= index:
                    return
                await asyncio.sleep(0.005)

    def stop(self):
        """End all server processes."""
        for number in list(self.processes):
            self.kill(number)


async def without_leader(cluster, name, stop, resume):
    """Measure how long no command commits after the leader is stopped."""
    waits_ms = []
    for _ in range(ROUNDS):
        leader = await cluster.find_leader()
        others = [number for number in range(3) if number != leader]
        start_s = time.monotonic()
        stop(leader)
        await cluster.find_leader(others)
        waits_ms.append(round((time.monotonic() - start_s) * 1000))
        resume(leader)
        await caught_up(cluster, leader)
    describe(name, waits_ms=sorted(waits_ms), rounds=ROUNDS)


async def caught_up(cluster, number):
    """Wait until a server has all records."""
    leader = await cluster.find_leader(
        [other for other in range(3) if other != number]
    )
    target = await cluster.last_index(leader)
    await cluster.reach(number, target)


async def throughput(cluster):
    """Measure proposals a second by the number of proposers."""
    leader = await cluster.find_leader()
    for proposers in PROPOSERS:
        until_s = time.monotonic() + PROPOSE_FOR_S
        counts = await asyncio.gather(
            *(
                propose_until(cluster, leader, until_s)
                for _ in range(proposers)
            )
        )
        describe(
            'proposals',
            proposers=proposers,
            command_bytes=len(COMMAND),
            per_s=round(sum(counts) / PROPOSE_FOR_S),
        )


async def propose_until(cluster, leader, until_s):
    """Propose one command after another; return how many committed."""
    count = 0
    while time.monotonic() < until_s:
        count += await cluster.propose(leader)
    return count


async def propose_count(cluster, leader, count):
    """Commit so many commands, 64 at a time."""
    for _ in range(0, count, 64):
        await asyncio.gather(*(cluster.propose(leader) for _ in range(64)))


async def catch_up(cluster):
    """Measure the time to catch up by the number of entries behind."""
    for entries in BEHIND:
        leader = await cluster.find_leader()
        behind = (leader + 1) % 3
        cluster.kill(behind)
        before = await cluster.last_index(leader)
        await propose_count(cluster, leader, entries)
        missed = await cluster.last_index(leader) - before
        start_s = time.monotonic()
        cluster.start(behind)
        await cluster.reach(behind, 1)
        serving_s = time.monotonic() - start_s
        await caught_up(cluster, behind)
        describe(
            'catch_up',
            entries_behind=missed,
            process_start_ms=round(serving_s * 1000),
            total_ms=round((time.monotonic() - start_s) * 1000),
        )


def measure_sync(folder):
    """Measure one write and sync of this disk."""
    file = control_files.File(folder / 'sync')
    start_s = time.monotonic()
    for number in range(100):
        file.write_at(number * 256, b'x' * 256)
        file.sync()
    file.close()
    each_us = (time.monotonic() - start_s) / 100 * 1e6
    describe('sync', each_us=round(each_us))


async def run(folder):
    """Run all measurements on one cluster."""
    measure_sync(folder)
    cluster = Cluster(folder)
    try:
        for number in range(3):
            cluster.start(number)
        await throughput(cluster)
        await without_leader(
            cluster, 'leader_killed', cluster.kill, cluster.start
        )
        await without_leader(
            cluster,
            'leader_frozen',
            lambda n: cluster.processes[n].send_signal(signal.SIGSTOP),
            lambda n: cluster.processes[n].send_signal(signal.SIGCONT),
        )
        await catch_up(cluster)
    finally:
        cluster.stop()


async def serve(number, ports, folder):
    """Serve one replica of the cluster."""
    voters = [
        instances.Instance(f'c{at}', '127.0.0.1', int(port))
        for at, port in enumerate(ports.split(','))
    ]
    await Server(folder, voters[int(number)], voters).run()


def main():
    """Measure, or serve one replica of a measurement."""
    if sys.argv[1:]:
        asyncio.run(serve(*sys.argv[1:]))
        return
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(run(pathlib.Path(folder)))


if __name__ == '__main__':
    main()
