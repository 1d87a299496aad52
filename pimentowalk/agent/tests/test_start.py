"""Tests of the start of an agent beside control."""

import asyncio
import contextlib

import pytest

from pimentowalk.agent import daemon
from pimentowalk.agent.tests import fake_engines
from pimentowalk.cli import remote
from pimentowalk.control import commands
from pimentowalk.control.tests import harness
from pimentowalk.core import errors
from pimentowalk.core import timers
from pimentowalk.settings import daemon as daemon_settings
from pimentowalk.topology import instances as topology
from pimentowalk.wire import messages

POLL_PERIOD_S = 0.002
ORDER_TIMEOUT_S = 5.0


@pytest.fixture
async def service():
    """Run a plain service for an agent."""
    service = fake_engines.FakeService()
    await service.start()
    yield service
    await service.stop()


@contextlib.asynccontextmanager
async def running_daemon(instances, service):
    """Run the daemon of an agent without a data folder."""
    process = daemon_settings.ProcessSettings(
        'agent-1',
        'zone-1',
        'region-1',
        '127.0.0.1',
        0,
        'INFO',
        [instance.address for instance in instances],
        heartbeat_s=0.05,
    )
    settings = daemon_settings.AgentSettings(
        process, 'desk', topology.PLAIN, f'http://127.0.0.1:{service.port}'
    )
    running = daemon.make_daemon(settings)
    task = asyncio.ensure_future(running.run())
    async with timers.cancelling(task):
        yield running, task


async def find_server(operator):
    """Return the record of the agent as soon as it is announced."""
    async with asyncio.timeout(harness.WAIT_S):
        while True:
            try:
                return await operator.request(commands.FindServer('agent-1'))
            except errors.PimentowalkError as error:
                assert error.code == 'not_found'
            await asyncio.sleep(POLL_PERIOD_S)


async def issue_drain(operator, change_id):
    """Return a drain order with a new fencing number."""
    issued = await operator.request(
        commands.IssueFence(change_id, 'anna', 'agent-1', 'drain')
    )
    return messages.Order(issued.fence, 'drain', b'{}')


async def test_drain_right_after_the_announcement_is_accepted(service):
    """The agent refused the order as stale if control issued its number
    before it told the agent the highest number.
    """
    async with (
        harness.control_with_operator() as (instances, operator),
        running_daemon(instances, service) as (_, task),
    ):
        server = await find_server(operator)
        order = await issue_drain(operator, 'c1')
        reply = await remote.send_order(server, order, ORDER_TIMEOUT_S)
        assert reply.done, reply
        async with asyncio.timeout(harness.WAIT_S):
            assert await task == []


async def test_order_issued_before_the_start_is_refused(service):
    """An earlier process may have executed the order."""
    async with harness.control_with_operator() as (instances, operator):
        order = await issue_drain(operator, 'c1')
        async with running_daemon(instances, service):
            server = await find_server(operator)
            reply = await remote.send_order(server, order, ORDER_TIMEOUT_S)
            assert (reply.done, reply.code) == (False, 'stale_fence')


async def test_agent_is_announced_without_a_leader_of_control(
    service, monkeypatch
):
    """Requests are routed to servers also while control has no leader."""
    monkeypatch.setattr(daemon, 'FENCE_TIMEOUT_S', 0.2, raising=False)
    async with harness.control_with_operator() as (instances, operator):
        instances[0].replica.leader_id = None
        async with running_daemon(instances, service) as (running, _):
            server = await find_server(operator)
            assert running.agent.orders.highest_fence is None
            instances[0].replica.leader_id = instances[0].node_id
            await harness.wait_until(
                lambda: running.agent.orders.highest_fence is not None
            )
            order = await issue_drain(operator, 'c1')
            reply = await remote.send_order(server, order, ORDER_TIMEOUT_S)
            assert reply.done, reply


async def test_fencing_number_is_loaded_after_an_outage_of_control(
    service, monkeypatch
):
    """Without a second attempt, control is first asked when it has already
    issued the number of the first order, which is then refused.
    """
    monkeypatch.setattr(daemon, 'FENCE_TIMEOUT_S', 0.1, raising=False)
    async with harness.control_with_operator() as (instances, operator):
        async with running_daemon(instances, service) as (running, _):
            orders = running.agent.orders
            fetch = orders._fetch_highest_fence
            failures = [errors.NoQuorum('no leader')]

            async def fail_once():
                if failures:
                    raise failures.pop()
                return await fetch()

            orders._fetch_highest_fence = fail_once
            server = await find_server(operator)
            await harness.wait_until(lambda: orders.highest_fence is not None)
            order = await issue_drain(operator, 'c1')
            reply = await remote.send_order(server, order, ORDER_TIMEOUT_S)
            assert reply.done, reply
