"""Measure how long a drained backend server stays known after its end.

Control instances, agents and one plain service run as processes on loopback;
the sessions of two entries share this process. Run it with
`python -m bench.drains`; it prints JSON lines.
"""

import asyncio
import contextlib
import itertools
import os
import random
import sys
import tempfile
import time

import attrs
import defopt

from bench import common
from bench import control_nodes
from pimentowalk.cli import remote
from pimentowalk.control import client as control_client
from pimentowalk.control import commands
from pimentowalk.core import timers as core_timers
from pimentowalk.routing import index as routing_index
from pimentowalk.wire import messages
from tools import deployment as deployments

DRAINS = 200
# Drains that run at the same time; each starts a process.
PARALLEL = 3
SEED = 20261205
ENTRIES = 2
SERVICE = 'verkstad'
SAMPLE_S = 0.005
TIMEOUT_S = 30.0
# A server that left is watched for this time, since a late frame may restore
# its record; control pushes changes of views each 0.1 s.
WATCH_S = 0.5
ORDER_TIMEOUT_S = 5.0
MAX_ORDERS = 3
# Varies the phase of the heartbeats at which a drain begins.
MAX_PAUSE_S = 1.0
PERCENTILES = (50, 95, 99)
# Bounds of guarantee R5 and of issue 17.
MAX_CHOSEN_AFTER_ORDER_S = 2.0
MAX_LISTED_AFTER_END_S = 2.0


@attrs.frozen
class Drain:
    """How long one server stayed known; 0 if it was not known any more.

    `listed_after_end_s` is the longest time of all control instances,
    `chosen_after_order_s` and `chosen_after_end_s` that of all entries.
    """

    listed_after_end_s: float
    chosen_after_end_s: float
    chosen_after_order_s: float
    order_to_end_s: float
    acknowledged: bool


class Entry:
    """The view of one entry and the servers that it would choose from."""

    def __init__(self, node_id, addresses):
        timers = core_timers.TimerService()
        self.index = routing_index.ServerIndex(timers)
        self.session = control_client.NodeSession(
            messages.Hello(node_id, 'entry', 1, 'zone-0'),
            addresses,
            timers,
            services=[],
        )
        self.session.on_view(self._update)

    def _update(self, view):
        self.index.update(view.servers(), view.joined_s)

    def would_choose(self, server_id):
        """Return whether new work may go to a server."""
        return any(
            server.server_id == server_id
            for server in self.index.plain(SERVICE)
        )


class Site:
    """Control instances, a plain service, and entries that watch it."""

    def __init__(self, run, addresses, backend_port):
        self.run = run
        self.backend_port = backend_port
        self.clients = [
            control_client.ControlClient([a], token=control_nodes.TOKEN)
            for a in addresses
        ]
        self.operator = control_client.ControlClient(
            addresses, token=control_nodes.TOKEN
        )
        self.entries = [Entry(f'entry-{n}', addresses) for n in range(ENTRIES)]

    async def close(self):
        """Close the sessions and the clients."""
        for entry in self.entries:
            await entry.session.stop()
        for client in (*self.clients, self.operator):
            await client.close()

    async def listing(self, server_id):
        """Return for each control instance whether it lists a server."""
        results = await asyncio.gather(
            *[client.request(commands.ReadStatus()) for client in self.clients]
        )
        return [
            any(node.node_id == server_id for node in result.nodes)
            for result in results
        ]

    async def known_everywhere(self, server_id):
        """Return whether control and entries all know a server."""
        chosen = [entry.would_choose(server_id) for entry in self.entries]
        return all(chosen) and all(await self.listing(server_id))

    async def order_drain(self, server_id):
        """Order a drain as `pimentowalk drain` does.

        An agent that has just started may hear of the fencing number from
        control before it gets the order, and refuses it; then it is repeated.
        """
        server = await self.operator.request(commands.FindServer(server_id))
        for number in itertools.count(1):
            reply = await self._send_drain(server, f'{server_id}-{number}')
            if reply.done:
                return
            if reply.code != 'stale_fence' or number >= MAX_ORDERS:
                raise RuntimeError(f'the drain was refused: {reply}')

    async def _send_drain(self, server, change_id):
        issued = await self.operator.request(
            commands.IssueFence(
                change_id=change_id,
                author='bench',
                server_id=server.server_id,
                action='drain',
                arguments='{}',
            )
        )
        order = messages.Order(issued.fence, 'drain', b'{}')
        return await remote.send_order(server, order, ORDER_TIMEOUT_S)

    async def last_chosen_s(self, server_id, process):
        """Return (end of the process, last time that an entry chose it)."""
        begin_s = last_s = time.monotonic()
        ended_s = None
        while True:
            now_s = time.monotonic()
            if any(entry.would_choose(server_id) for entry in self.entries):
                last_s = now_s
            if ended_s is None and not process.running:
                ended_s = now_s
            if ended_s is not None and now_s - max(ended_s, last_s) > WATCH_S:
                return ended_s, last_s
            if now_s - begin_s > TIMEOUT_S:
                raise TimeoutError(f'{server_id} is still chosen')
            await asyncio.sleep(SAMPLE_S)

    async def listed_after_end_s(self, server_id, process):
        """Return how long after the end a control instance listed it."""
        await deployments.wait_until(
            lambda: not process.running, what=f'the end of {server_id}'
        )
        ended_s = last_s = time.monotonic()
        while time.monotonic() - last_s <= WATCH_S:
            if any(await self.listing(server_id)):
                last_s = time.monotonic()
            if last_s - ended_s > TIMEOUT_S:
                raise TimeoutError(f'{server_id} is still listed')
            await asyncio.sleep(SAMPLE_S)
        return last_s - ended_s

    async def drain(self, number, pause_s):
        """Start an agent, drain it and return what was measured."""
        server_id = f'agent-{number}'
        process = self.run.start_agent(
            server_id, 'zone-1', SERVICE, 'plain', self.backend_port
        )
        await deployments.wait_until(
            lambda: self.known_everywhere(server_id), what=server_id
        )
        await asyncio.sleep(pause_s)
        await self.order_drain(server_id)
        ordered_s = time.monotonic()
        (ended_s, chosen_s), listed_s = await asyncio.gather(
            self.last_chosen_s(server_id, process),
            self.listed_after_end_s(server_id, process),
        )
        log = process.log_path.read_text()
        return Drain(
            listed_s,
            max(0.0, chosen_s - ended_s),
            max(0.0, chosen_s - ordered_s),
            ended_s - ordered_s,
            'did not acknowledge' not in log,
        )


@contextlib.asynccontextmanager
async def running(folder):
    """Run a site with three control instances."""
    with control_nodes.controls(folder, 3) as (_, addresses):
        run = deployments.Deployment(folder)
        run.control = [(a.instance_id, a.port) for a in addresses]
        port = deployments.free_port()
        with run:
            run.run(SERVICE, 'tools.standin_service', '--port', port)
            site = Site(run, addresses, port)
            try:
                for entry in site.entries:
                    await entry.session.start()
                yield site
            finally:
                await site.close()


async def measure(folder, drains, parallel=PARALLEL, seed=SEED):
    """Return the `Drain` of each of this many drains."""
    rng = random.Random(seed)
    pauses_s = [rng.uniform(0, MAX_PAUSE_S) for _ in range(drains)]
    numbers = itertools.count(1)
    found = []

    async def drain_in_turn():
        while pauses_s:
            pause_s = pauses_s.pop()
            found.append(await site.drain(next(numbers), pause_s))

    async with running(folder) as site:
        async with asyncio.TaskGroup() as group:
            for _ in range(parallel):
                group.create_task(drain_in_turn())
    return found


def summarize(found):
    """Return the distribution of each measured time in seconds."""
    result = {}
    for field in attrs.fields(Drain):
        if field.type is not float:
            continue
        values = [getattr(drain, field.name) for drain in found]
        result[field.name] = {
            f'p{percent}': round(common.percentile(values, percent), 4)
            for percent in PERCENTILES
        }
        result[field.name]['max'] = round(max(values), 4)
        result[field.name]['above_zero'] = sum(value > 0 for value in values)
    return result


def is_within_bounds(drain):
    """Return whether a drain kept guarantee R5 and was listed in bounds."""
    limit_s = 0.0 if drain.acknowledged else MAX_LISTED_AFTER_END_S
    return (
        drain.listed_after_end_s <= limit_s
        and drain.chosen_after_order_s <= MAX_CHOSEN_AFTER_ORDER_S
    )


def main(*, drains: int = DRAINS, seed: int = SEED):
    """Measure drains beside whatever else runs on the machine.

    :param drains: number of servers to drain
    :param seed: seed of the pauses before the drains
    """
    before = os.getloadavg()[0]
    with tempfile.TemporaryDirectory() as folder:
        found = asyncio.run(measure(folder, drains, seed=seed))
    outside = [drain for drain in found if not is_within_bounds(drain)]
    common.emit(
        'drains',
        drains=len(found),
        seed=seed,
        acknowledged=sum(drain.acknowledged for drain in found),
        outside_bounds=len(outside),
        load_average=[round(before, 1), round(os.getloadavg()[0], 1)],
        **summarize(found),
    )
    for drain in outside:
        common.note(str(drain))
    return 1 if outside else 0


if __name__ == '__main__':
    sys.exit(defopt.run(main))
