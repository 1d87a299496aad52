"""Start an agent process from its settings and stop it gracefully."""

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

CONFIGURATION_TIMEOUT_S = 10.0
# The announcement waits at most this long for the fencing number: requests
# are routed to a server also while control has no leader.
FENCE_TIMEOUT_S = 2.0


class ControlRequests:
    """Send requests of an agent to control through its node session."""

    def __init__(self, identity):
        # Imported here so that the agent package does not depend on control.
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
    """Run one agent until it has drained, is stopped or times out.

    `session` is a `control.client.NodeSession`.
    """

    def __init__(self, agent, session, timers, drain_timeout_s):
        self.agent = agent
        self.session = session
        self._timers = timers
        self._drain_timeout_s = drain_timeout_s
        self._signals = 0
        self._drain_requested = asyncio.Event()
        self._stop_requested = asyncio.Event()

    def on_signal(self):
        """Start draining at the first signal, stop at the second."""
        self._signals += 1
        (
            self._drain_requested
            if self._signals == 1
            else self._stop_requested
        ).set()

    async def run(self):
        """Serve until stopped; return the ids of interrupted requests."""
        try:
            if await self._wait_for_first(
                self._start(), self._drain_requested.wait()
            ):
                loading = asyncio.ensure_future(self._load_control_state())
                async with timer_services.cancelling(loading):
                    await self._wait_for_first(
                        self._drain_requested.wait(),
                        self.agent.lifecycle.draining.wait(),
                    )
                await self._drain()
            interrupted = self.agent.interrupted_requests()
            if interrupted:
                LOG.warning('ended with work cut', extra={'cut': interrupted})
            return interrupted
        finally:
            await self.session.stop()
            await self.agent.stop()

    async def _wait_for_first(self, first, *others):
        """Wait until any ends; return whether the first one has ended."""
        tasks = [
            asyncio.ensure_future(awaitable) for awaitable in (first, *others)
        ]
        async with timer_services.cancelling(*tasks):
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            if tasks[0].done():
                tasks[0].result()
            return tasks[0].done()

    async def _start(self):
        await self.agent.start()
        await self.session.start()
        LOG.info('serving', extra={'port': self.agent.port})

    async def _load_control_state(self):
        # Peers send work as soon as they discover the server, so this must
        # not delay the handling of signals.
        loading = asyncio.ensure_future(self.agent.load_highest_fence())
        async with timer_services.cancelling(loading):
            # An operator finds the server by its announcement. An order that
            # is issued before the number is loaded is refused as stale.
            await asyncio.wait([loading], timeout=FENCE_TIMEOUT_S)
            await self.session.start_announcing(self.agent.announcement)
            await self._await_configuration()
            await loading

    async def _await_configuration(self):
        try:
            await self.session.ready(CONFIGURATION_TIMEOUT_S)
        except (TimeoutError, errors.PimentowalkError) as error:
            LOG.warning('no configuration from control yet: %r', error)

    async def _drain(self):
        await self._wait_for_first(
            self.agent.lifecycle.begin_drain(),
            self._timers.sleep(self._drain_timeout_s),
            self._stop_requested.wait(),
        )


def make_daemon(settings):
    """Return the daemon of an agent and its session with control."""
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
    control = ControlRequests(identity)
    agent = node.Agent(identity, None, timers, control)
    session = client.NodeSession(
        messages.Hello(
            process.node_id, 'agent', identity.incarnation, process.zone
        ),
        process.control,
        timers,
        heartbeat_s=process.heartbeat_s,
        draining=lambda: agent.gate.draining,
    )
    agent.session = control.session = session
    return Daemon(agent, session, timers, settings.drain_timeout_s)


async def serve(settings):
    """Run an agent until a signal stops it."""
    daemon = make_daemon(settings)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, daemon.on_signal)
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
    """Run the command line interface."""
    defopt.run(start)
