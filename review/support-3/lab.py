"""Start gateways as separate processes, with stand-ins on loopback.

The gateways run with the command of the deploy file and with settings as its
template gives them. The replicas, the clients and the operator are stand-ins
in the process of the case.
"""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'case.example'
HEARTBEAT_S = 1.2
# A case may take 120 s with the end of its processes.
LIMIT_S = 110.0
ZONES = ('bergen', 'forde', 'voss')
# The bounds of the sheet of the site hjulverk-drift.
BOUNDS = {
    'grace-s': 8,
    'revoke-ms': 5000,
    'budget-ratio': 0.2,
    'budget-window-s': 10,
    'budget-extra': 204,
}


class CannotRun(Exception):
    """Report that the case could not run."""


def _free_ports(count):
    """Return ports that are free on all loopback addresses now."""
    ports = []
    while len(ports) < count:
        port = random.SystemRandom().randrange(20_000, 31_000)
        with socket.socket() as probe:
            try:
                probe.bind(('0.0.0.0', port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


def _look_up(fields, name):
    """Return the value of a placeholder, or None."""
    value = fields
    for part in name.split('.'):
        if isinstance(value, list):
            value = value[int(part)]
        else:
            value = value.get(part)
        if value is None:
            return None
    return value


def _render(value):
    if isinstance(value, list):
        return ','.join(_render(item) for item in value)
    if isinstance(value, bool):
        return 'true' if value else 'false'
    return '' if value is None else str(value)


def fill(text, fields):
    """Fill in placeholders and sections of a settings template."""
    section = re.compile(r'{{#([^}]+)}}(.*?){{/\1}}', re.DOTALL)
    text = section.sub(
        lambda found: (
            '' if _look_up(fields, found[1]) in (None, False) else found[2]
        ),
        text,
    )
    return re.sub(
        r'{{([^}]+)}}',
        lambda found: _render(_look_up(fields, found[1])),
        text,
    )


class Gateway:
    """One gateway: its settings, its process and its log."""

    def __init__(self, lab, number, *, has_disk):
        self.lab = lab
        self.has_disk = has_disk
        self.ip = f'127.{lab.net}.{number % 3 + 1}.{number + 10}'
        self.zone = ZONES[number % 3]
        self.name = f'edge-{self.zone}-{number // 3 + 1}'
        self.folder = lab.folder / self.name
        self.folder.mkdir()
        self.process = None

    def address(self, kind):
        """Return (host, port) of one of the addresses."""
        return self.ip, self.lab.ports[kind]

    def write_settings(self, *, first_start):
        """Fill in the template of the settings file, as DEPLOY.md tells."""
        lab = self.lab
        listen = {
            kind: f'{self.ip}:{lab.ports[kind]}'
            for kind in ('front', 'ready', 'control')
        }
        seeds = [f'{g.ip}:{lab.ports["control"]}' for g in lab.core[:3]]
        fields = {
            'node-name': self.name,
            'ip': self.ip,
            'zone': self.zone,
            'port-range': [lab.ports['peer'], lab.ports['peer'] + 15],
            'listen': listen,
            'seeds': seeds,
            'bootstrap': first_start,
            'data-dir': str(self.folder / 'data') if self.has_disk else '',
            'heartbeat-ms': int(HEARTBEAT_S * 1000),
            'fault-tolerance': {'machines': 1, 'zones': 0, 'regions': 0},
            'bounds': lab.bounds,
        }
        text = (ROOT / 'deploy' / 'settings.ini').read_text()
        text = fill(text, fields)
        # All machines of the case share one network stack.
        text = text.replace(
            'metrics_port = 9464', f'metrics_port = {lab.ports["metrics"]}'
        )
        (self.folder / 'boot.ini').write_text(text)

    def start(self, *, first_start=False):
        """Start the process with the command of the deploy file."""
        self.write_settings(first_start=first_start)
        (self.folder / 'data').mkdir(exist_ok=True)
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['PIMENTOWALK_SETTINGS'] = str(self.folder / 'boot.ini')
        with (self.folder / 'log').open('ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'pimentowalk.platform'],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def send(self, number):
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def kill(self):
        """Kill the process and wait for its end."""
        self.send(signal.SIGKILL)
        if self.process is not None:
            await asyncio.to_thread(self.process.wait)

    async def is_ready(self):
        """Return whether the readiness check answers 200."""
        try:
            answer = await request(
                self.address('ready'), 'GET', '/v1/readiness', timeout_s=1.0
            )
        except (OSError, TimeoutError):
            return False
        return answer.status == 200


class Answer:
    """The answer to a request, as the client has seen it."""

    def __init__(self, status=0, headers=None, body=b'', *, is_whole=False):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.is_whole = is_whole


async def read_head(reader):
    """Return the first line and the headers, or None at the end."""
    data = await reader.readuntil(b'\r\n\r\n')
    first, *lines = data.decode('latin-1').split('\r\n')[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    """Return the body; raise IncompleteReadError if it ends early."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get('content-length', '0')))


async def request(
    address, method, path, *, headers=(), body=b'', timeout_s=10.0
):
    """Send a request on a new connection; return its `Answer`."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(*address)
        try:
            lines = [f'{method} {path} HTTP/1.1']
            names = {name.lower() for name, _ in headers}
            if 'host' not in names:
                lines.append(f'Host: {address[0]}')
            lines += [f'{name}: {value}' for name, value in headers]
            if body or method in ('POST', 'PUT'):
                lines.append(f'Content-Length: {len(body)}')
            lines.append('Connection: close')
            head = '\r\n'.join(lines) + '\r\n\r\n'
            writer.write(head.encode('latin-1') + body)
            try:
                first, found = await read_head(reader)
            except (asyncio.IncompleteReadError, ConnectionError):
                return Answer()
            status = int(first.split(' ')[1])
            try:
                text = await read_body(reader, found)
            except (asyncio.IncompleteReadError, ConnectionError):
                return Answer(status, found)
            return Answer(status, found, text, is_whole=True)
        finally:
            writer.close()


def reset(writer):
    """Reset a connection; a close alone may look like the end of a body."""
    # The gateway may have closed it already.
    with contextlib.suppress(OSError):
        writer.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
    writer.transport.abort()


class Replica:
    """A stand-in for a replica of a plain service.

    The coroutine function `handle(replica, request)` returns (status, headers,
    body); a status of 0 resets the connection without an answer.
    """

    def __init__(self, lab, number, service, handle, *, zone='bergen'):
        self.lab = lab
        self.ip = f'127.{lab.net}.64.{number + 1}'
        self.port = lab.ports['replica']
        self.service = service
        self.zone = zone
        self.handle = handle
        self.slots = 6
        self.state = 'ready'
        self.server_id = f'i-{random.randrange(1 << 32):08x}'
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self._server = None
        self._beats = None
        self._writers = set()

    async def start(self):
        """Listen and announce the replica."""
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.port, backlog=512
        )
        self._beats = asyncio.ensure_future(self.announce())

    async def stop(self):
        """Crash: close all connections and the listening socket."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            reset(writer)

    async def announce_once(self, gateways=None):
        """Send one heartbeat; return the gateway that acknowledged it."""
        self.sequence += 1
        body = json.dumps(
            {
                'service': self.service,
                'address': f'{self.ip}:{self.port}',
                'zone': self.zone,
                'version': 'v1',
                'slots': self.slots,
                'state': self.state,
                'warmup-left-ms': 0,
                'sequence': self.sequence,
                'born': self.born_ms,
            }
        ).encode()
        targets = gateways or random.sample(
            self.lab.gateways, len(self.lab.gateways)
        )
        for gateway in targets:
            with contextlib.suppress(OSError, TimeoutError):
                answer = await request(
                    gateway.address('control'),
                    'PUT',
                    f'/v1/instances/{self.server_id}',
                    headers=[('Content-Type', 'application/json')],
                    body=body,
                    timeout_s=1.0,
                )
                if 200 <= answer.status < 300:
                    return gateway
        return None

    async def announce(self):
        """Send heartbeats until cancelled."""
        while True:
            await self.announce_once()
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.9, 1.1))

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(' ')
                body = await read_body(reader, headers)
                found = {
                    'method': method,
                    'target': target,
                    'headers': headers,
                    'body': body,
                    'reader': reader,
                    'writer': writer,
                    'at_s': time.monotonic(),
                }
                status, fields, text = await self._answer(found)
                if not status:
                    reset(writer)
                    return
                lines = [f'HTTP/1.1 {status} Answer', *fields]
                lines.append(f'Content-Length: {len(text)}')
                head = '\r\n'.join(lines) + '\r\n\r\n'
                writer.write(head.encode('latin-1') + text)
                await writer.drain()
        except (
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            OSError,
        ):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, found):
        headers = found['headers']
        if found['target'] == '/v1/report':
            text = json.dumps({'waiting': 0, 'running': 0}).encode()
            return 200, ['Content-Type: application/json'], text
        expected = headers.get('pimentowalk-expect-instance')
        if expected not in (None, self.server_id):
            return 421, ['Pimentowalk-Not-Executed: 1'], b''
        return await self.handle(self, found)


def success(found, body=b'done'):
    """Return a success of a replica for a request."""
    request_id = found['headers'].get('pimentowalk-request-id', '')
    fields = [
        f'Pimentowalk-Request-Id: {request_id}',
        f'Pimentowalk-Response-Seal: seal.{request_id}',
    ]
    return 200, fields, body


def full(found):
    """Return the refusal of a replica that is full."""
    request_id = found['headers'].get('pimentowalk-request-id', '')
    return (
        503,
        [
            f'Pimentowalk-Request-Id: {request_id}',
            'Pimentowalk-Not-Executed: 1',
        ],
        b'',
    )


class Lab:
    """Gateways, replicas and the record of a case."""

    def __init__(self, record_path, *, core=3, others=4, bounds=None):
        self.net = random.SystemRandom().randrange(20, 250)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='case-'))
        kinds = ('front', 'ready', 'control', 'peer', 'metrics', 'replica')
        self.ports = dict(zip(kinds, _free_ports(len(kinds)), strict=True))
        self.bounds = BOUNDS | (bounds or {})
        self.gateways = []
        self.core = []
        for number in range(core + others):
            gateway = Gateway(self, number, has_disk=number < core)
            self.gateways.append(gateway)
            if gateway.has_disk:
                self.core.append(gateway)
        self.replicas = []
        self._record = open(record_path, 'w')  # noqa: SIM115
        self._began_s = time.monotonic()
        self._ids = itertools.count(1)

    def now_s(self):
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._began_s

    def write(self, text):
        """Write a line to the record."""
        self._record.write(f'{self.now_s():8.3f} {text}\n')
        self._record.flush()

    def new_id(self):
        """Return the id of a new client attempt."""
        return f'{next(self._ids):016x}'

    async def start(self):
        """Start all gateways and wait until they listen."""
        for gateway in self.gateways:
            gateway.start(first_start=True)

    async def configure(self, document, timeout_s=15.0, gateways=None):
        """Send a configuration until it is acknowledged; return the time."""
        body = json.dumps(document).encode()
        end_s = self.now_s() + timeout_s
        turn = itertools.cycle(gateways or self.gateways)
        while self.now_s() < end_s:
            gateway = next(turn)
            with contextlib.suppress(OSError, TimeoutError):
                answer = await request(
                    gateway.address('control'),
                    'PUT',
                    '/v1/configuration',
                    headers=[('Content-Type', 'application/json')],
                    body=body,
                    timeout_s=1.0,
                )
                if answer.status == 200:
                    self.write(
                        f'configuration {document["version"]} acknowledged '
                        f'by {gateway.name}'
                    )
                    return self.now_s()
                if 400 <= answer.status < 500:
                    raise CannotRun(f'refused: {answer.body!r}')
            await asyncio.sleep(0.1)
        raise CannotRun('no configuration was acknowledged')

    async def wait_ready(self, timeout_s=20.0):
        """Wait until all gateways are ready."""
        end_s = self.now_s() + timeout_s
        waiting = list(self.gateways)
        while waiting:
            if self.now_s() > end_s:
                raise CannotRun(f'{waiting[0].name} is not ready')
            waiting = [g for g in waiting if not await g.is_ready()]
            await asyncio.sleep(0.1)

    async def close(self):
        """End all processes and remove the temporary folder."""
        # The processes first: nothing may keep them from being ended.
        for gateway in self.gateways:
            gateway.send(signal.SIGKILL)
        for gateway in self.gateways:
            await gateway.kill()
        for replica in self.replicas:
            await replica.stop()
        self._record.close()
        if os.environ.get('KEEP') != '1':
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)


def route(name, prefix, service, kind, **fields):
    """Return a route of a configuration."""
    return {
        'name': name,
        'host': HOST,
        'path-prefix': prefix,
        'kind': kind,
        'timeout-ms': 800,
        'latency-target-ms': 150,
        'priority': 2,
        'service': service,
        'attempts': 2,
        'public': False,
    } | fields


def document(version, routes, services, tenants=None):
    """Return a configuration."""
    result = {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': name,
                'health-path': '/health',
                'max-connections': 120,
                'protocol': 'h1',
                'tls': False,
            }
            for name in services
        ],
        'limits': {
            'max-header-bytes': 16384,
            'max-body-bytes': 4194304,
            'header-timeout-ms': 3000,
            'idle-timeout-ms': 15000,
        },
    }
    if tenants is not None:
        result['tenants'] = tenants
    return result


def run(case, record_path, trouble):
    """Run `case(record_path, trouble)`; exit with 1 if a rule was broken."""

    async def run_case():
        async with asyncio.timeout(LIMIT_S):
            return await case(record_path, trouble)

    try:
        broken = asyncio.run(run_case())
    except Exception:
        traceback.print_exc()
        print('the case could not run')
        sys.exit(2)
    print('broken' if broken else 'held')
    sys.exit(1 if broken else 0)
