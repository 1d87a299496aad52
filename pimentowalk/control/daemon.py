"""Run a control instance from its settings."""

import asyncio
import logging
import signal
import sys

import defopt

from pimentowalk.control import operators
from pimentowalk.control import replica as replica_module
from pimentowalk.control import server as server_module
from pimentowalk.control import state as state_module
from pimentowalk.core import errors
from pimentowalk.core import identifiers
from pimentowalk.core import logs
from pimentowalk.core import timers as timers_module
from pimentowalk.settings import daemon as settings_module
from pimentowalk.wire import messages

LOG = logging.getLogger(__name__)


class ControlDaemon:
    """Own the replica, the state machine and the server of one instance."""

    def __init__(self, settings, timers=None):
        self.settings = settings
        process = settings.process
        timers = timers or timers_module.TimerService()
        instances_by_id = {one.instance_id: one for one in process.control}
        self.state = state_module.ControlState()
        self.replica = replica_module.Replica(
            process.node_id,
            settings.data_folder,
            [instances_by_id[voter] for voter in settings.voters],
            self.state,
            timers,
            zone=process.zone,
        )
        self.server = server_module.ControlServer(
            messages.Hello(
                process.node_id,
                server_module.CONTROL,
                identifiers.new_incarnation(),
                process.zone,
            ),
            process.host,
            process.port,
            self.replica,
            self.state,
            operators.load(settings.operators_file),
            timers,
            heartbeat_s=process.heartbeat_s,
        )

    async def start(self):
        """Start the replica, then accept connections."""
        await self.replica.start()
        await self.server.start()
        LOG.info('control listens on port %d', self.server.port)

    async def stop(self):
        """Finish running requests, transfer leadership, then disconnect."""
        await self.server.finish_requests()
        await self.replica.stop()
        await self.server.stop()


async def run(settings):
    """Run until a stop signal; a second one cuts the drain short.

    Returns the exit status.
    """
    stop = asyncio.Event()
    force_stop = asyncio.Event()
    loop = asyncio.get_running_loop()

    def on_signal():
        (force_stop if stop.is_set() else stop).set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal)
    daemon = ControlDaemon(settings)
    await daemon.start()
    await stop.wait()
    LOG.info('stopping')
    stopping = asyncio.ensure_future(daemon.stop())
    force_stopping = asyncio.ensure_future(force_stop.wait())
    async with timers_module.cancelling(stopping, force_stopping):
        await asyncio.wait(
            {stopping, force_stopping},
            timeout=settings.drain_timeout_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not stopping.done():
            unfinished = daemon.server.running_requests
            LOG.warning('stop cut short; %d requests were cut', unfinished)
            return 1
        stopping.result()
    return 0


def start(settings_path: str, /):
    """Run a control instance.

    :param settings_path: INI file with sections [process] and [control]
    """
    try:
        settings = settings_module.load_control(settings_path)
        logs.configure('control', settings.process.log_level)
        return asyncio.run(run(settings))
    except (errors.PimentowalkError, OSError) as error:
        print(error, file=sys.stderr)
        return 2


def main():
    """Run the command line."""
    sys.exit(defopt.run(start))


if __name__ == '__main__':
    main()
