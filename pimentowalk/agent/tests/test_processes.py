"""Tests of the agent as a process beside the stand-in engine and control."""

import asyncio
import signal

import pytest

from pimentowalk.agent.tests import fakes
from pimentowalk.control import client
from pimentowalk.control import commands
from pimentowalk.control.tests import fakes as control_fakes
from pimentowalk.core import errors
from pimentowalk.wire import messages
from tools import deployment

pytestmark = pytest.mark.processes
MARKER = 'crashes-engines'


class Cluster:
    """Processes of control, one engine and one agent."""

    def __init__(self, processes, folder):
        self.processes = processes
        self.folder = folder
        self.engine_port = deployment.free_port()
        self.control = None

    async def start(self):
        """Start all processes; return the announced backend server."""
        operators = control_fakes.write_operators(self.folder)
        self.processes.start_controls(['zone-1'], operators)
        self.start_engine()
        self.control = client.ControlClient(
            self.processes.control_instances, token=control_fakes.TOKEN
        )
        return await self.start_agent()

    def start_engine(self):
        """Start or restart the engine on its port."""
        self.processes.run(
            'engine',
            'tools.standin_engine',
            '--port',
            self.engine_port,
            '--crash-marker',
            MARKER,
        )

    async def start_agent(self):
        """Start the agent; return its backend server once announced."""
        self.processes.start_agent(
            'agent-1', 'zone-1', 'skrivar', 'stage', self.engine_port
        )
        return await self.wait_until_announced()

    async def wait_until_announced(self, draining=False):
        """Wait until the agent is announced with this drain state."""

        async def find():
            try:
                found = await self.control.request(
                    commands.FindServer('agent-1')
                )
            except errors.PimentowalkError:
                return None
            return found if found.draining == draining else None

        return await deployment.wait_until(find, what='the announcement')


@pytest.fixture
async def cluster(tmp_path):
    with deployment.Deployment(tmp_path) as processes:
        yield Cluster(processes, tmp_path)


async def connect(server):
    """Return an entry that is connected to a backend server."""
    entry = fakes.FakeEntry()
    await entry.connect(server)
    return entry


def attempt_frame(server, **fields):
    """Return an OpenAttempt for a chain of the single stage."""
    stage = messages.StageAddress(
        server.server_id, server.incarnation, server.host, server.port, 0, 8
    )
    values = {'model': 'standin', 'service': 'skrivar', **fields}
    return fakes.open_attempt([stage], **values)


async def wait_for_end(entry, frame):
    """Wait until an attempt has ended; return its last status."""
    await deployment.wait_until(
        lambda: any(
            status.state in messages.ENDED
            for status in entry.statuses(frame.request_id)
        ),
        what='the end of the attempt',
    )
    return entry.statuses(frame.request_id)[-1]


async def test_second_crash_quarantines_the_request(cluster):
    """A request must not crash one backend server after another."""
    server = await cluster.start()
    entry = await connect(server)
    for _ in range(2):
        frame = attempt_frame(server, prompt=MARKER, fingerprint=31)
        await entry.connection.send(frame)
        status = await wait_for_end(entry, frame)
        assert (status.state, status.engine_crashed) == ('failed', True)
        await cluster.wait_until_announced(draining=True)
        cluster.start_engine()
        await cluster.wait_until_announced()

    async def refused():
        frame = attempt_frame(server, prompt='harmless', fingerprint=31)
        await entry.connection.send(frame)
        return (await wait_for_end(entry, frame)).code == 'quarantined'

    await deployment.wait_until(refused, what='the quarantine')
    unsuspected = attempt_frame(server, fingerprint=32)
    await entry.connection.send(unsuspected)
    assert (await wait_for_end(entry, unsuspected)).state == 'finished'
    await entry.close()


async def test_restart_keeps_the_fence_and_changes_the_incarnation(cluster):
    """Orders must not run again after a restart of the agent."""
    server = await cluster.start()
    entry = await connect(server)
    refused = await entry.connection.call(messages.Order(0, 'drain', b''), 10)
    assert refused.code == 'stale_fence'
    fences = []
    for change in ('one', 'two'):
        issued = await cluster.control.request(
            commands.IssueFence(change, 'anna', 'agent-1', 'load_adapter')
        )
        fences.append(issued.fence)
    arguments = b'{"adapter": "nynorsk"}'
    orders = [messages.Order(f, 'load_adapter', arguments) for f in fences]
    reply = await entry.connection.call(orders[1], 10)
    assert reply.done, reply
    cluster.processes.processes['agent-1'].kill()
    await entry.task
    restarted = await cluster.start_agent()
    while restarted.incarnation == server.incarnation:
        await asyncio.sleep(0.05)
        restarted = await cluster.wait_until_announced()
    entry = await connect(restarted)
    for order in orders:
        reply = await entry.connection.call(order, 10)
        assert (reply.done, reply.code) == (False, 'stale_fence')
    await entry.close()


async def test_terminated_agent_finishes_its_answers_and_exits(cluster):
    """A graceful stop must not affect a caller."""
    server = await cluster.start()
    entry = await connect(server)
    frame = attempt_frame(server, max_tokens=200, prompt='a long answer')
    await entry.connection.send(frame)
    await deployment.wait_until(entry.tokens, what='the first token')
    process = cluster.processes.processes['agent-1']
    process.signal(signal.SIGTERM)
    assert (await wait_for_end(entry, frame)).state == 'finished'
    assert process.wait_stopped() == 0
    await entry.task
