"""Start a deployment of daemons and stand-ins as processes on loopback.

The demo, the benchmarks and the failure tests share it. The daemons start
no process; this launcher is a development tool.
"""

import asyncio
import contextlib
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time

import attrs

from pimentowalk.topology import instances

ROOT = pathlib.Path(__file__).resolve().parent.parent
LOOPBACK = '127.0.0.1'
STOP_TIMEOUT_S = 15.0
FIRST_PORT = 20_000
END_PORT = 32_000
_GIVEN_PORTS = set()


def free_port():
    """Return a TCP port on loopback that nobody listens on.

    Outgoing connections get their ports from the ephemeral range, so a
    port below it is not taken before the started process binds it.
    """
    while True:
        port = random.SystemRandom().randrange(FIRST_PORT, END_PORT)
        if port in _GIVEN_PORTS:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                continue
        _GIVEN_PORTS.add(port)
        return port


@attrs.define
class Process:
    """A started process, its arguments and its log file."""

    name: str
    arguments: list[str]
    log_path: pathlib.Path
    handle: subprocess.Popen | None = None

    def start(self):
        """Start the process with its log appended to a file."""
        with self.log_path.open('ab') as log:
            self.handle = subprocess.Popen(
                [sys.executable, '-m', *self.arguments],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        return self

    @property
    def pid(self):
        """Return the process id."""
        return self.handle.pid

    @property
    def running(self):
        """Return whether the process has not ended."""
        return self.handle is not None and self.handle.poll() is None

    def signal(self, number):
        """Send a signal to this process only."""
        if self.running:
            os.kill(self.pid, number)

    def kill(self):
        """End the process at once and collect its status."""
        self.signal(signal.SIGKILL)
        self.handle.wait()

    def stop(self, timeout_s=STOP_TIMEOUT_S):
        """Stop the process gracefully; kill it after the timeout."""
        self.signal(signal.SIGTERM)
        return self.wait_stopped(timeout_s)

    def wait_stopped(self, timeout_s=STOP_TIMEOUT_S):
        """Return the exit status, after a kill if the time is over."""
        try:
            return self.handle.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.signal(signal.SIGCONT)
            self.kill()
            return self.handle.returncode

    def resident_bytes(self):
        """Return the resident memory of the process."""
        for line in self._status_lines():
            if line.startswith('VmRSS:'):
                return int(line.split()[1]) * 1024
        return 0

    def _status_lines(self):
        path = pathlib.Path(f'/proc/{self.pid}/status')
        return path.read_text().splitlines()

    def processor_s(self):
        """Return the processor time that the process has used."""
        fields = pathlib.Path(f'/proc/{self.pid}/stat').read_text()
        user, system = fields.rsplit(')', 1)[1].split()[11:13]
        return (int(user) + int(system)) / os.sysconf('SC_CLK_TCK')


class Deployment:
    """Processes that share one folder; use it as a context manager."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.processes = {}
        self.control = []

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.stop_all()

    def run(self, name, module, *arguments):
        """Start a Python module as a process under a name."""
        process = Process(
            name,
            [module, *map(str, arguments)],
            self.folder / f'{name}.log',
        )
        self.processes[name] = process
        return process.start()

    def write_settings(self, name, sections):
        """Write an INI file and return its path."""
        lines = []
        for section, values in sections.items():
            lines.append(f'[{section}]')
            lines.extend(f'{key} = {value}' for key, value in values.items())
        path = self.folder / f'{name}.ini'
        path.write_text('\n'.join(lines) + '\n')
        return path

    @property
    def control_addresses(self):
        """Return the control instances as the settings write them."""
        return ', '.join(
            f'{node}@{LOOPBACK}:{port}' for node, port in self.control
        )

    @property
    def control_instances(self):
        """Return the control instances as clients take them."""
        return [
            instances.Instance(node, LOOPBACK, port)
            for node, port in self.control
        ]

    def process_section(self, node_id, port, zone):
        """Return the settings that every daemon needs."""
        return {
            'node_id': node_id,
            'host': LOOPBACK,
            'port': port,
            'zone': zone,
            'control': self.control_addresses,
        }

    def start_controls(self, zones, operators_file):
        """Start one control instance in each zone."""
        self.control = [
            (f'control-{number}', free_port())
            for number in range(1, len(zones) + 1)
        ]
        for (node, port), zone in zip(self.control, zones, strict=True):
            self.start_control(node, port, zone, operators_file)

    def start_control(self, node, port, zone, operators_file, voters=None):
        """Start a control instance with its own data folder.

        All control instances vote unless `voters` lists their ids.
        """
        if voters is None:
            voters = [name for name, _ in self.control]
        settings = self.write_settings(
            node,
            {
                'process': self.process_section(node, port, zone),
                'control': {
                    'data_folder': self.folder / f'{node}-data',
                    'voters': ', '.join(voters),
                    'operators_file': operators_file,
                },
            },
        )
        return self.run(node, 'pimentowalk.control', settings)

    def start_entry(self, node, zone, http_port=None):
        """Start an entry and return its HTTP port."""
        http_port = http_port or free_port()
        settings = self.write_settings(
            node,
            {
                'process': self.process_section(node, free_port(), zone),
                'entry': {'http_host': LOOPBACK, 'http_port': http_port},
            },
        )
        self.run(node, 'pimentowalk.entry', settings)
        return http_port

    def start_agent(self, node, zone, service, kind, backend_port):
        """Start an agent with a data folder beside a backend server."""
        settings = self.write_settings(
            node,
            {
                'process': self.process_section(node, free_port(), zone),
                'agent': {
                    'service': service,
                    'kind': kind,
                    'backend_url': f'http://{LOOPBACK}:{backend_port}',
                    'data_folder': self.folder / f'{node}-data',
                },
            },
        )
        return self.run(node, 'pimentowalk.agent', settings)

    def stop_all(self):
        """Stop all processes: entries first, then agents, then control."""
        for process in reversed(list(self.processes.values())):
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        for process in reversed(list(self.processes.values())):
            if process.handle is not None:
                process.wait_stopped()


async def wait_until(check, timeout_s=30.0, what='the condition'):
    """Poll a function until it returns something true."""
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        with contextlib.suppress(OSError):
            result = check()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return result
        await asyncio.sleep(0.05)
    raise TimeoutError(f'{what} did not come true within {timeout_s} s')
