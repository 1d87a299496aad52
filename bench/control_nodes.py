"""Measure what nodes cost themselves and the control instances.

The sessions of all nodes share this process; the control instances are
processes of their own. One node in ten is an entry that watches all
services, the others are agents.
"""

import asyncio
import contextlib
import hashlib
import pathlib
import tempfile
import time

import defopt

from bench import common
from pimentowalk.control import client
from pimentowalk.control import commands
from pimentowalk.core import timers
from pimentowalk.topology import contracts
from pimentowalk.topology import instances
from pimentowalk.wire import codec
from pimentowalk.wire import messages
from tools import deployment

NODE_COUNTS = (10, 20, 40, 80)
CONTROL_COUNTS = (1, 3)
# More frequent heartbeats of 80 nodes load a control instance like more
# nodes do; a line over node counts this small says little about 5,290.
RATE_NODES = 80
HEARTBEATS_S = (1.0, 0.2, 0.05, 0.025)
ENTRY_EVERY = 10
PUBLISHES = 10
READY_S = 60.0
# The directory of a control instance is complete after three heartbeats;
# what follows is the idle state.
SETTLE_S = 5.0
TOKEN = 'bench-token'
TARGET_NODES = 5_290
TARGET_CONTROLS = 8


def node_session(number, addresses, heartbeat_s=1.0):
    """Return the session of an entry or of an agent."""
    is_entry = number % ENTRY_EVERY == 0
    role = 'entry' if is_entry else 'agent'
    node_id = f'{role}-{number}'
    server = instances.BackendServer(
        node_id,
        1,
        'svc-1',
        '127.0.0.1',
        9000 + number,
        f'zone-{number % 3}',
        model='model-1',
        version='1',
        first_layer=number % 4 * 8,
        end_layer=number % 4 * 8 + 8,
        total_layers=32,
        capacity_tokens_per_s=900.0,
        max_running=16,
        accelerator='kind-a',
    )
    return client.NodeSession(
        messages.Hello(node_id, role, 1, server.zone),
        addresses,
        timers.TimerService(),
        announcement=None if is_entry else lambda: server,
        services=[] if is_entry else None,
        heartbeat_s=heartbeat_s,
    )


def publish(version):
    """Return a publish that changes one account."""
    account = contracts.ClientAccount(
        'account-1', 'ab' * 32, weight=version + 1
    )
    source = commands.Source([contracts.Service('svc-1')], [], [account])
    return commands.Publish(
        f'change-{version}', 'bench', version, {'bench': source}
    )


@contextlib.contextmanager
def controls(folder, count):
    """Run control instances and yield them with their addresses."""
    operators_file = pathlib.Path(folder) / 'operators.ini'
    digest = hashlib.sha256(TOKEN.encode()).hexdigest()
    operators_file.write_text(f'[operators]\nbench = {digest}\n')
    operators_file.chmod(0o600)
    zones = [f'zone-{number}' for number in range(count)]
    with deployment.Deployment(folder) as run:
        run.start_controls(zones, operators_file)
        addresses = run.control_instances
        yield [run.processes[a.instance_id] for a in addresses], addresses


def traffic_bytes(sessions):
    """Return the bytes that the open connections have carried."""
    return sum(
        link.peer.sent_bytes + link.peer.received_bytes
        for session in sessions
        for link in session.links()
        if link.is_open
    )


async def measure_idle(sessions, processes, window_s):
    """Return the cost of one idle second for a node and for control."""
    processor_s = time.process_time()
    control_s = [process.processor_s() for process in processes]
    carried = traffic_bytes(sessions)
    begin_s = time.perf_counter()
    await asyncio.sleep(window_s)
    elapsed_s = time.perf_counter() - begin_s
    spent = [
        (process.processor_s() - before) / elapsed_s
        for process, before in zip(processes, control_s, strict=True)
    ]
    node_s = (time.process_time() - processor_s) / elapsed_s
    return {
        'node_processor_share': node_s / len(sessions),
        'node_bytes_per_s': (traffic_bytes(sessions) - carried)
        / elapsed_s
        / len(sessions),
        'control_processor_share': sum(spent) / len(spent),
        'control_resident_bytes': max(p.resident_bytes() for p in processes),
    }


async def measure_publishes(sessions, caller, first_version):
    """Return seconds to in force at all nodes, from accepted and sent."""
    from_accepted_s = []
    from_sent_s = []
    for version in range(first_version, first_version + PUBLISHES):
        in_force = asyncio.ensure_future(wait_version(sessions, version + 1))
        sent_s = time.perf_counter()
        await caller.request(publish(version))
        accepted_s = time.perf_counter()
        in_force_s = await in_force
        # The last node may apply it before the operator gets the answer.
        from_accepted_s.append(max(0.0, in_force_s - accepted_s))
        from_sent_s.append(in_force_s - sent_s)
    return from_accepted_s, from_sent_s


async def wait_version(sessions, version):
    """Return when the last node has a version in force."""
    waiting = {session.hello.node_id for session in sessions}
    done = asyncio.get_running_loop().create_future()

    def applied(session, configuration):
        if configuration.version >= version:
            waiting.discard(session.hello.node_id)
        if not waiting and not done.done():
            done.set_result(time.perf_counter())

    for session in sessions:
        session.on_configuration(lambda c, s=session: applied(s, c))
    return await done


async def measure(count, processes, addresses, version, window_s):
    """Print one line for a number of nodes."""
    sessions = [node_session(number, addresses) for number in range(count)]
    caller = client.ControlClient(addresses, token=TOKEN)
    if version == 0:
        await caller.request(publish(0), READY_S)
        version = 1
    for session in sessions:
        await session.start()
    await asyncio.gather(*(s.ready(READY_S) for s in sessions))
    await asyncio.sleep(SETTLE_S)
    result = await measure_idle(sessions, processes, window_s)
    accepted_s, sent_s = await measure_publishes(sessions, caller, version)
    for session in sessions:
        await session.stop()
    await caller.close()
    common.emit(
        'control_nodes',
        nodes=count,
        controls=len(processes),
        accepted_to_in_force_median_s=common.percentile(accepted_s, 50),
        accepted_to_in_force_worst_s=max(accepted_s),
        sent_to_in_force_median_s=common.percentile(sent_s, 50),
        **result,
    )
    return version + PUBLISHES, result


def run_controls(control_count, window_s):
    """Measure all numbers of nodes and return the results."""
    results = []
    with tempfile.TemporaryDirectory() as folder:
        with controls(folder, control_count) as (processes, addresses):
            version = 0
            for count in NODE_COUNTS:
                common.note(f'{count} nodes, {control_count} controls')
                version, result = asyncio.run(
                    measure(count, processes, addresses, version, window_s)
                )
                results.append(result)
    return results


async def measure_rate(processes, addresses, heartbeat_s, window_s):
    """Return the cost of control at a rate of heartbeats."""
    sessions = [
        node_session(number, addresses, heartbeat_s)
        for number in range(RATE_NODES)
    ]
    for session in sessions:
        await session.start()
        # Nodes that start together would heartbeat together and share the
        # wake-ups of control.
        await asyncio.sleep(heartbeat_s / RATE_NODES)
    await asyncio.sleep(SETTLE_S)
    carried = received_bytes(sessions)
    result = await measure_idle(sessions, processes, window_s)
    answers_bytes = received_bytes(sessions) - carried
    for session in sessions:
        await session.stop()
    empty_bytes = len(codec.encode(messages.Empty()))
    rate = answers_bytes / empty_bytes / window_s
    share = result['control_processor_share']
    common.emit(
        'control_nodes.rate',
        heartbeat_s=heartbeat_s,
        heartbeats_per_s=rate,
        control_processor_share=share,
    )
    return rate, share


def received_bytes(sessions):
    """Return the bytes that came from control."""
    return sum(
        link.peer.received_bytes
        for session in sessions
        for link in session.links()
        if link.is_open
    )


def run_rates(window_s):
    """Measure one control instance that answers every heartbeat."""
    with tempfile.TemporaryDirectory() as folder:
        with controls(folder, 1) as (processes, addresses):
            pairs = [
                asyncio.run(
                    measure_rate(processes, addresses, heartbeat_s, window_s)
                )
                for heartbeat_s in HEARTBEATS_S
            ]
    rates, shares = zip(*pairs, strict=True)
    return common.fit(rates, shares)


def emit_estimate(one, three, line):
    """Print the estimate for the target scale.

    Of control, it is an upper bound: a quarter of the heartbeats is
    answered there. A node subscribes at two of eight control instances;
    with one instance each connection is subscribed, with three two are.
    """
    estimate = {}
    for name in ('node_processor_share', 'node_bytes_per_s'):
        subscribed = one[-1][name]
        other = max(0.0, three[-1][name] - 2 * subscribed)
        estimate[name] = 2 * subscribed + (TARGET_CONTROLS - 2) * other
    common.emit(
        'control_nodes.estimate',
        nodes=TARGET_NODES,
        controls=TARGET_CONTROLS,
        control_processor_share=line.at(TARGET_NODES),
        heartbeat_us=line.slope * 1e6,
        correlation=line.correlation,
        **estimate,
    )


def main(*, window_s: float = 10.0):
    """Measure idle nodes and publishes.

    :param window_s: seconds over which idle cost is taken
    """
    one, three = (run_controls(count, window_s) for count in CONTROL_COUNTS)
    emit_estimate(one, three, run_rates(window_s))


if __name__ == '__main__':
    defopt.run(main)
