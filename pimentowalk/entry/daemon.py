"""The entry process."""

import asyncio
import logging
import signal

from aiohttp import web
import defopt

from pimentowalk.core import identifiers
from pimentowalk.core import logs
from pimentowalk.core import timers as core_timers
from pimentowalk.entry import claims as entry_claims
from pimentowalk.entry import context as entry_context
from pimentowalk.entry import drain as entry_drain
from pimentowalk.entry import front
from pimentowalk.entry import use_reports
from pimentowalk.wire import messages

LOG = logging.getLogger(__name__)

# Requests left after the drain are aborted, so their handlers get little time.
CLOSE_TIMEOUT_S = 0.5
BACKGROUND_TIMEOUT_S = 5.0
# Time to wait for the first configuration and view before a warning. The wait
# is repeated, since the control plane may start later than the entry; until
# then /readyz fails.
READY_WAIT_S = 60.0


class EntryDaemon:
    """Run an entry until a stop is requested.

    `session` is a `control.client.NodeSession`, `commands` the module
    `control.commands`.
    """

    def __init__(self, settings, hello, session, commands, timers):
        self._settings = settings
        self._session = session
        self._stop_requested = asyncio.Event()
        self.drain = entry_drain.Drain(timers)
        self.context = entry_context.build_context(hello, session, timers)
        self.claims = entry_claims.ClaimClient(
            session, commands, self.context.pool, timers
        )
        self.usage_reporter = use_reports.UsageReporter(
            hello.node_id, self.context, commands
        )
        self.front = front.HttpFront(self.context, self.drain, self.claims)
        self._runner = None
        self._site = None
        self._ready_task = None

    async def start(self):
        """Listen; become ready after the first configuration and view."""
        self.context.pool.start()
        self.usage_reporter.start()
        await self._session.start()
        # Without cancellation, responses would be generated to the end for
        # callers that have disconnected.
        self._runner = web.AppRunner(
            self.front.application(),
            handler_cancellation=True,
            shutdown_timeout=CLOSE_TIMEOUT_S,
            access_log=None,
        )
        await self._runner.setup()
        self._site = web.TCPSite(
            self._runner,
            self._settings.http_host,
            self._settings.http_port,
            backlog=1024,
        )
        await self._site.start()
        self._ready_task = asyncio.ensure_future(self._wait_ready())
        host, port = self.address
        LOG.info(
            'listening', extra=logs.fields(step='start', host=host, port=port)
        )

    @property
    def address(self):
        """Return the host and port of the HTTP server."""
        return self._runner.addresses[0][:2]

    async def _wait_ready(self):
        while True:
            try:
                await self._session.ready(READY_WAIT_S)
            except TimeoutError:
                LOG.warning(
                    'no configuration or view yet',
                    extra=logs.fields(step='start'),
                )
                continue
            self.context.ready = True
            LOG.info('ready', extra=logs.fields(step='start'))
            return

    def request_stop(self):
        """Start a graceful stop; a second call ends the drain at once."""
        if self._stop_requested.is_set():
            self.drain.abort()
        self._stop_requested.set()

    async def run(self):
        """Serve until a stop is requested, then drain."""
        await self._stop_requested.wait()
        await self.drain.run(self._site.stop, self._settings.drain_timeout_s)
        await self.front.finish(BACKGROUND_TIMEOUT_S)
        await self.claims.finish(BACKGROUND_TIMEOUT_S)

    async def close(self):
        """Stop all timers and close all connections."""
        self.usage_reporter.stop()
        if self._ready_task is not None:
            await core_timers.cancel_all([self._ready_task])
        if self._runner is not None:
            await self._runner.cleanup()
        await self.context.pool.stop()
        await self._session.stop()
        LOG.info('stopped', extra=logs.fields(step='stop'))


async def serve(settings):
    """Run an entry with these settings until SIGTERM or SIGINT."""
    # Imported here, so that the entry package can be used as a library
    # without the control plane.
    from pimentowalk.control import client
    from pimentowalk.control import commands

    process = settings.process
    hello = messages.Hello(
        process.node_id,
        'entry',
        identifiers.new_incarnation(),
        process.zone,
    )
    timers = core_timers.TimerService()
    session = client.NodeSession(
        hello,
        process.control,
        timers,
        services=[],
        servers_per_range=settings.servers_per_range,
        heartbeat_s=process.heartbeat_s,
    )
    daemon = EntryDaemon(settings, hello, session, commands, timers)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, daemon.request_stop)
    try:
        await daemon.start()
        await daemon.run()
    finally:
        await daemon.close()


def run(settings_path: str):
    """Run an entry process.

    :param settings_path: INI file with sections [process] and [entry]
    """
    from pimentowalk.settings import daemon as settings_daemon

    settings = settings_daemon.load_entry(settings_path)
    logs.configure(settings.process.node_id, settings.process.log_level)
    asyncio.run(serve(settings))


def main():
    """Parse the command line and run an entry."""
    defopt.run(run)
