"""Leases, the check after a clock jump, and draining."""

import asyncio
import logging

from pimentowalk.agent import links
from pimentowalk.agent import loads
from pimentowalk.agent import rules

LOG = logging.getLogger(__name__)

TICK_S = 1.0
RENEW_S = 3.0
IDLE_CHECK_S = 0.05


class Lifecycle:
    """Watch the clock of an agent and lead it through its end.

    `agent` is a `node.Agent`.
    """

    def __init__(self, agent, timers):
        self._agent = agent
        self._timers = timers
        self._seen_s = timers.now_s()
        self._renewed_s = timers.now_s()
        self._subscriptions = []
        self._drain = None
        self.draining = asyncio.Event()

    def start(self):
        """Start the periodic work."""
        self._seen_s = self._timers.now_s()
        every = self._timers.every
        self._subscriptions = [
            every(TICK_S, self.tick),
            every(loads.REPORT_PERIOD_S, self._agent.load_table.report),
            every(links.MEASURE_PERIOD_S, self._agent.links.measure),
        ]

    def stop(self):
        """End the periodic work and an unfinished drain."""
        for subscription in self._subscriptions:
            subscription.cancel()
        if self._drain is not None:
            self._drain.cancel()

    def check_clock(self):
        """Drop all attempts if the process did not run for a lease.

        Called before any frame or engine message is handled, because the
        other sides may have given the attempts up meanwhile.
        """
        now_s = self._timers.now_s()
        last_s, self._seen_s = self._seen_s, now_s
        if rules.clock_jumped(last_s, now_s):
            LOG.warning('dropping attempts: %.1f s passed', now_s - last_s)
            self._agent.drop_all('the lease passed while the agent slept')

    async def tick(self):
        """Do what is due each second."""
        self.check_clock()
        agent = self._agent
        agent.stage.drop_expired()
        agent.head.expire()
        agent.calls.expire()
        if self._timers.now_s() - self._renewed_s >= RENEW_S:
            self._renewed_s = self._timers.now_s()
            agent.head.renew()
        await agent.check_service()

    def begin_drain(self):
        """Start to drain; return the task that ends when all is done."""
        if self._drain is None:
            self._agent.gate.draining = True
            self.draining.set()
            self._drain = asyncio.ensure_future(self._run_drain())
        return self._drain

    async def _run_drain(self):
        agent = self._agent
        LOG.info('draining')
        agent.head.refuse_queued('draining')
        agent.calls.refuse_queued('draining')
        await agent.session.announce_now()
        while agent.is_busy():
            await self._timers.sleep(IDLE_CHECK_S)
        LOG.info('drained')
