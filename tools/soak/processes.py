"""Gateways as processes that are started, signalled and ended."""

import asyncio
import contextlib
import os
import shutil
import signal
import socket
import sys
import time

import attrs

from pimentowalk.platform.tests import peers

SETTINGS = """\
[gateway]
node_id = {host}
name = edge-{name}
zone = z1
host = {host}
peer_port = {ports[0]}
front = {host}:{ports[1]}
ready = {host}:{ports[2]}
control = {host}:{ports[3]}
seeds = {seeds}
first_start = {first_start}
data_folder = {data_folder}
announcement_period_ms = 500
[bounds]
revocation_ms = 5000
stop_s = 8
"""
# A stop lasts `stop_s` at most; the rest is for a busy machine. The time in
# which the process is frozen does not count.
STOP_LIMIT_S = 10.0
STOP_POLL_S = 0.1
PROGRAM = ('-m', 'pimentowalk.platform')


def free_ports(count):
    """Return ports that are free on the loopback addresses."""
    with contextlib.ExitStack() as stack:
        found = []
        for _ in range(count):
            one = stack.enter_context(socket.socket())
            one.bind(('127.0.0.1', 0))
            found.append(one.getsockname()[1])
        return found


@attrs.define(eq=False)
class GatewayProcess:
    """One gateway; `ended` tells how it ended when nobody had ended it."""

    host: str
    name: str
    ports: list
    folder: object
    has_disk: bool
    seeds: list
    process: object = None
    watcher: object = None
    is_paused: bool = False
    paused_since_s: float = 0.0
    paused_s: float = 0.0
    starts: int = 0
    kills: int = 0
    started_s: float = 0.0
    ended: list = attrs.field(factory=list)
    _told_to_end: set = attrs.field(factory=set)
    _start_lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    @property
    def runs(self):
        """Return whether the process exists."""
        return self.process is not None and self.process.returncode is None

    @property
    def age_s(self):
        """Return how long ago the process was started."""
        return time.monotonic() - self.started_s

    @property
    def is_up(self):
        """Return whether callers may be sent here."""
        return self.runs and not self.is_paused

    def url(self, port, path):
        """Return the URL of a path on one of the ports."""
        return f'http://{self.host}:{port}{path}'

    def front(self, path):
        """Return a URL for callers."""
        return self.url(self.ports[1], path)

    def ready(self):
        """Return the URL of the readiness check."""
        return self.url(self.ports[2], peers.READINESS_PATH)

    def control(self, path):
        """Return a URL for operators and backend servers."""
        return self.url(self.ports[3], path)

    def write_settings(self):
        """Write the settings as the platform does at each start."""
        data_folder = self.folder / f'data-{self.name}'
        if self.has_disk:
            data_folder.mkdir(exist_ok=True)
        path = self.folder / f'{self.name}.ini'
        temporary = path.with_suffix('.new')
        temporary.write_text(
            SETTINGS.format(
                host=self.host,
                name=self.name,
                ports=self.ports,
                seeds=','.join(f'{s}:{self.ports[3]}' for s in self.seeds),
                first_start='true' if self.starts == 0 else 'false',
                data_folder=data_folder if self.has_disk else '',
            )
        )
        os.replace(temporary, path)
        return path

    async def start(self):
        """Start the process; do nothing if it runs."""
        async with self._start_lock:
            if not self.runs:
                await self._start()

    async def _start(self):
        path = self.write_settings()
        self.starts += 1
        self.started_s = time.monotonic()
        output = os.open(
            self.folder / f'{self.name}.log',
            os.O_WRONLY | os.O_CREAT | os.O_APPEND,
        )
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *PROGRAM,
            str(path),
            stdout=output,
            stderr=output,
        )
        os.close(output)
        self.watcher = asyncio.ensure_future(self._watch(self.process))

    async def _watch(self, process):
        code = await process.wait()
        # The gateway may have a new process before this task goes on.
        if process not in self._told_to_end:
            self.ended.append(code)
        self._told_to_end.discard(process)

    def send(self, number):
        """Send a signal to the process that this object started."""
        if self.runs:
            self.process.send_signal(number)

    async def kill(self):
        """End the process at once, also one that is being started."""
        self.kills += 1
        self.is_paused = False
        async with self._start_lock:
            process = self._tell_to_end(signal.SIGKILL)
        if process is not None:
            await process.wait()

    async def stop(self):
        """Stop gracefully; return the exit code, None if it took too long."""
        self.resume()
        process = self._tell_to_end(signal.SIGTERM)
        end_s = self.running_s + STOP_LIMIT_S
        while self.running_s < end_s:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(STOP_POLL_S):
                    return await process.wait()
        if process.returncode is None:
            process.kill()
        await process.wait()
        return None

    def _tell_to_end(self, number):
        if self.runs:
            self._told_to_end.add(self.process)
            self.send(number)
        return self.process

    @property
    def running_s(self):
        """Return a clock that stands while the process is frozen."""
        now_s = self.paused_since_s if self.is_paused else time.monotonic()
        return now_s - self.paused_s

    def pause(self):
        """Freeze the process."""
        if not self.is_paused:
            self.paused_since_s = time.monotonic()
        self.is_paused = True
        self.send(signal.SIGSTOP)

    def resume(self):
        """Let a frozen process go on."""
        if self.is_paused:
            self.send(signal.SIGCONT)
            self.is_paused = False
            self.paused_s += time.monotonic() - self.paused_since_s

    def lose_disk(self):
        """Remove the files of a process that does not run."""
        shutil.rmtree(self.folder / f'data-{self.name}', ignore_errors=True)


def build(folder, count, disks):
    """Return gateways on loopback addresses of their own."""
    ports = free_ports(4)
    hosts = [f'127.0.0.{number}' for number in range(1, count + 1)]
    return [
        GatewayProcess(
            host, str(number), ports, folder, number < disks, hosts[:disks]
        )
        for number, host in enumerate(hosts)
    ]
