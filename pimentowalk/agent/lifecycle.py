"""Periodic tasks, clock jump detection and draining of an agent."""

import asyncio
import logging

from pimentowalk.agent import links
from pimentowalk.agent import loads
from pimentowalk.agent import rules

LOG = logging.getLogger(__name__)

TICK_PERIOD_S = 1.0
RENEWAL_PERIOD_S = 3.0
IDLE_POLL_PERIOD_S = 0.05


class Lifecycle:
    """Run the periodic tasks of an agent, check its clock and drain it.

    `agent` is a `node.Agent`.
    """

    def __init__(self, agent, timers):
        self._agent = agent
        self._timers = timers
        self._last_check_s = timers.now_s()
        self._renewed_s = timers.now_s()
        self._subscriptions = []
        self._drain_task = None
        self.draining = asyncio.Event()

    def start(self):
        """Start the periodic tasks."""
        self._last_check_s = self._timers.now_s()
        every = self._timers.every
        self._subscriptions = [
            every(TICK_PERIOD_S, self.tick),
            every(loads.REPORT_PERIOD_S, self._agent.load_table.report),
            every(links.MEASURE_PERIOD_S, self._agent.link_delays.measure),
        ]

    def stop(self):
        """Cancel the periodic tasks and an unfinished drain."""
        for subscription in self._subscriptions:
            subscription.cancel()
        if self._drain_task is not None:
            self._drain_task.cancel()

    def check_clock(self):
        """Fail all attempts if the process was suspended beyond a lease.

        Called before any frame or engine message is handled, because the
        peers may have abandoned the attempts in the meantime.
        """
        now_s = self._timers.now_s()
        last_s, self._last_check_s = self._last_check_s, now_s
        if rules.clock_jumped(last_s, now_s):
            LOG.warning('dropping attempts: %.1f s passed', now_s - last_s)
            self._agent.fail_all(
                'the lease expired while the agent was suspended'
            )

    async def tick(self):
        """Expire and renew leases, expire queued work, check the service."""
        self.check_clock()
        agent = self._agent
        agent.stage.expire_leases()
        agent.head.expire()
        agent.service_calls.expire()
        if self._timers.now_s() - self._renewed_s >= RENEWAL_PERIOD_S:
            self._renewed_s = self._timers.now_s()
            agent.head.renew()
        await agent.update_health()

    def begin_drain(self):
        """Start draining; return the task that ends when the agent is idle."""
        if self._drain_task is None:
            self._agent.gate.draining = True
            self.draining.set()
            self._drain_task = asyncio.ensure_future(self._run_drain())
        return self._drain_task

    async def _run_drain(self):
        agent = self._agent
        LOG.info('draining')
        agent.head.refuse_all_queued('draining')
        agent.service_calls.refuse_all_queued('draining')
        await agent.session.announce_now()
        while agent.is_busy():
            await self._timers.sleep(IDLE_POLL_PERIOD_S)
        LOG.info('drained')
