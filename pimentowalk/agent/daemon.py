"""Start an agent from its settings and stop it gracefully."""

import asyncio
import contextlib
import logging
import signal

import defopt

from pimentowalk.agent import node
from pimentowalk.core import errors
from pimentowalk.core import identifiers
from pimentowalk.core import logs
from pimentowalk.core import timers as timer_services
from pimentowalk.wire import messages

LOG = logging.getLogger(__name__)

READY_TIMEOUT_S = 10.0


class ControlCalls:
    """Requests of an agent to control, through its node session."""

    def __init__(self, identity):
        # Imported here, so that the library part works without control.
        from pimentowalk.control import commands

        self._commands = commands
        self._identity = identity
        self.session = None

    async def report_crash(self, item):
        """Report one request that was in flight at an engine crash."""
        await self.session.request(
            self._commands.ReportCrash(
                item.fingerprint,
                item.account,
                self._identity.server_id,
                self._identity.incarnation,
                item.request_id.hex(),
                item.attempt,
            )
        )

    async def highest_fence(self):
        """Return the highest fencing number issued for this server."""
        result = await self.session.request(
            self._commands.HighestFence(self._identity.server_id)
        )
        return result.fence


class Daemon:
    """Run one agent until it has drained, is cut or runs out of time.

    `session` is a `control.client.NodeSession`.
    """

    def __init__(self, agent, session, timers, drain_timeout_s):
        self.agent = agent
        self.session = session
        self._timers = timers
        self._drain_timeout_s = drain_timeout_s
        self._signals = 0
        self._first = asyncio.Event()
        self._second = asyncio.Event()

    def on_signal(self):
        """Drain at the first signal, end at the second."""
        self._signals += 1
        (self._first if self._signals == 1 else self._second).set()

    async def run(self):
        """Serve until stopped; return the ids of requests cut."""
        try:
            if await self._until(self._start(), self._first.wait()):
                learning = asyncio.ensure_future(self._learn())
                async with timer_services.cancelling(learning):
                    await self._until(
                        self._first.wait(),
                        self.agent.lifecycle.draining.wait(),
                    )
                await self._drain()
            cut = self.agent.cut()
            if cut:
                LOG.warning('ended with work cut', extra={'cut': cut})
            return cut
        finally:
            await self.session.stop()
            await self.agent.stop()

    async def _until(self, first, *others):
        """Wait for any; return whether the first has ended."""
        tasks = [asyncio.ensure_future(one) for one in (first, *others)]
        async with timer_services.cancelling(*tasks):
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            if tasks[0].done():
                tasks[0].result()
            return tasks[0].done()

    async def _start(self):
        await self.agent.start()
        await self.session.start()
        LOG.info('serving', extra={'port': self.agent.port})

    async def _learn(self):
        # Peers send work as soon as they know the server, so this must not
        # hold up the reaction to a signal. The fencing number is asked for
        # first: an order issued before the answer is refused.
        await self.agent.load_fence()
        try:
            await self.session.ready(READY_TIMEOUT_S)
        except (TimeoutError, errors.PimentowalkError) as error:
            LOG.warning('no configuration from control yet: %r', error)

    async def _drain(self):
        await self._until(
            self.agent.lifecycle.begin_drain(),
            self._timers.sleep(self._drain_timeout_s),
            self._second.wait(),
        )


async def serve(settings):
    """Run an agent with real connections until a signal ends it."""
    from pimentowalk.control import client

    process = settings.process
    identity = node.Identity(
        process.node_id,
        identifiers.new_incarnation(),
        settings.service,
        settings.kind,
        process.zone,
        process.host,
        process.port,
        settings.backend_url,
        str(settings.data_folder or ''),
    )
    timers = timer_services.TimerService()
    control = ControlCalls(identity)
    agent = node.Agent(identity, None, timers, control)
    session = client.NodeSession(
        messages.Hello(
            process.node_id, 'agent', identity.incarnation, process.zone
        ),
        process.control,
        timers,
        announcement=agent.announcement,
        heartbeat_s=process.heartbeat_s,
        draining=lambda: agent.gate.draining,
    )
    agent.session = control.session = session
    daemon = Daemon(agent, session, timers, settings.drain_timeout_s)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, daemon.on_signal)
    await daemon.run()


def start(settings_path: str):
    """Run the agent of one backend server.

    :param settings_path: INI file with the sections [process] and [agent]
    """
    from pimentowalk.settings import daemon as daemon_settings

    settings = daemon_settings.load_agent(settings_path)
    logs.configure('agent', settings.process.log_level)
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(serve(settings))


def main():
    """Start from the command line."""
    defopt.run(start)
