"""A small deployment on loopback: gateways as processes, the rest stand-ins.

Each machine has a loopback address of its own. The gateways run with the
command of the deploy file and with its settings template.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
PORTS = {'front': 8227, 'ready': 8220, 'control': 8229, 'peer': 7340}
METRICS_PORT = 9464
SERVER_PORT = 8080
HEARTBEAT_S = 1.2
BOUNDS = {
    'revoke-ms': 5000,
    'budget-window-s': 10,
    'budget-ratio': 0.2,
    'budget-extra': 204,
    'grace-s': 8,
}
CONTACT_S = 3.0
DRAIN_S = 2.0
HOST = 'ficu95.example'
IS_TROUBLED = os.environ.get('TROUBLE', '1') != '0'


class CannotRun(Exception):
    """Report that the deployment did not come up."""


def now_s():
    """Return the time of this run on the steady clock."""
    return time.monotonic()


class Record:
    """The lines of `record.txt`, with seconds since the start of the run."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._start_s = now_s()

    def __call__(self, text):
        at_s = now_s() - self._start_s
        self._file.write(f'{at_s:9.3f} {text}\n')
        self._file.flush()

    def close(self):
        """Close the file."""
        self._file.close()


def _value(fields, path):
    for name in path.split('.'):
        if isinstance(fields, list):
            index = int(name)
            fields = fields[index] if index < len(fields) else None
        elif isinstance(fields, dict):
            fields = fields.get(name)
        else:
            return None
    return fields


def _text(value):
    if value is None:
        return ''
    if isinstance(value, bool):
        return 'true' if value else 'false'
    if isinstance(value, list):
        return ','.join(str(item) for item in value)
    return str(value)


def render(template, fields):
    """Fill in the settings template of the deploy file."""

    def section(match):
        value = _value(fields, match[1])
        is_present = value not in (None, False, '', [], {})
        return match[2] if is_present else ''

    text = re.sub(
        r'\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}', section, template, flags=re.S
    )
    return re.sub(
        r'\{\{([^}#/^]+)\}\}',
        lambda match: _text(_value(fields, match[1].strip())),
        text,
    )


def _free_prefix():
    """Return a loopback prefix on which the ports are free."""
    for _ in range(200):
        prefix = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
        try:
            for port in (*PORTS.values(), METRICS_PORT, SERVER_PORT):
                for host in (f'{prefix}.1', f'{prefix}.101'):
                    with socket.socket() as probe:
                        probe.bind((host, port))
        except OSError:
            continue
        return prefix
    raise RuntimeError('no free loopback addresses')


class Machine:
    """One machine of the system, on which one gateway runs."""

    def __init__(self, lab, number, zone, *, has_disk):
        self.name = f'edge-{zone}-{number}'
        self.ip = f'{lab.prefix}.{number}'
        self.zone = zone
        self.has_disk = has_disk
        self.process = None
        self._lab = lab
        self._folder = lab.folder / self.name
        self._folder.mkdir()
        self._starts = 0

    def address(self, kind):
        """Return (host, port) of a listening address."""
        return self.ip, PORTS[kind]

    def start(self, *, bootstrap=False):
        """Start the gateway as the platform does."""
        data = self._folder / 'data'
        if self.has_disk:
            data.mkdir(exist_ok=True)
        fields = {
            'ip': self.ip,
            'node-name': self.name,
            'zone': self.zone,
            'port-range': [PORTS['peer'], PORTS['peer'] + 15],
            'listen': {
                kind: f'{self.ip}:{PORTS[kind]}'
                for kind in ('front', 'ready', 'control')
            },
            'seeds': self._lab.seeds(),
            'bootstrap': bootstrap,
            'data-dir': str(data) if self.has_disk else '',
            'heartbeat-ms': int(HEARTBEAT_S * 1000),
            'fault-tolerance': {'machines': 1},
            'bounds': BOUNDS,
        }
        settings = self._folder / 'boot.ini'
        settings.write_text(render(self._lab.template, fields))
        self._starts += 1
        log = open(self._folder / f'log-{self._starts}.txt', 'wb')
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PIMENTOWALK_SETTINGS'] = str(settings)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        self.process = subprocess.Popen(
            self._lab.command,
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
        )
        log.close()
        self._lab.record(f'platform starts {self.name} bootstrap={bootstrap}')

    def signal(self, number):
        """Send a signal to the gateway."""
        self._lab.record(
            f'platform sends {signal.Signals(number).name} to {self.name}'
        )
        self.process.send_signal(number)

    def kill(self):
        """Kill the gateway and wait until it is gone."""
        self.signal(signal.SIGKILL)
        self.process.wait()

    def end(self):
        """End the gateway at the end of the run."""
        if self.process is not None and self.process.poll() is None:
            with contextlib.suppress(OSError):
                self.process.kill()
            self.process.wait()


class Lab:
    """All machines, replicas and clients of one run."""

    def __init__(self, record, *, disks=3, others=0):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.prefix = _free_prefix()
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['gateway']
        self.command = role['run'].split()
        self.template = (ROOT / role['template']).read_text()
        zones = ('bergen', 'forde', 'voss')
        self.machines = [
            Machine(self, n + 1, zones[n % 3], has_disk=n < disks)
            for n in range(disks + others)
        ]
        self.replicas = []

    def seeds(self):
        """Return three machines of the core, as they are listed now."""
        return [f'{m.ip}:{PORTS["control"]}' for m in self.core[:3]]

    @property
    def core(self):
        """Return the machines with a disk."""
        return [m for m in self.machines if m.has_disk]

    async def close(self, keep=''):
        """End everything that was started."""
        for replica in self.replicas:
            await replica.stop()
        for machine in self.machines:
            machine.end()
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    async def put(self, path, body, timeout_s, *, machines=None):
        """Send a PUT until a machine acknowledges; return it, or None."""
        end_s = now_s() + timeout_s
        data = json.dumps(body).encode()
        while now_s() < end_s:
            for machine in machines or self.machines:
                answer = await exchange(
                    machine.address('control'),
                    'PUT',
                    path,
                    {'Content-Type': 'application/json'},
                    data,
                    timeout_s=1.0,
                )
                if answer.status == 200:
                    return machine
            await asyncio.sleep(0.2)
        return None

    async def configure(self, document, timeout_s=20.0):
        """Send a configuration until it is acknowledged."""
        machine = await self.put('/v1/configuration', document, timeout_s)
        version = document['version']
        if machine is None:
            self.record(f'operator: version {version} not acknowledged')
            return False
        self.record(
            f'operator: version {version} acknowledged by {machine.name}'
        )
        return True

    async def wait_ready(self, machines=None, timeout_s=20.0):
        """Wait until machines are ready; return whether all are."""
        end_s = now_s() + timeout_s
        waiting = list(machines or self.machines)
        while waiting and now_s() < end_s:
            for machine in list(waiting):
                answer = await exchange(
                    machine.address('ready'),
                    'GET',
                    '/v1/readiness',
                    timeout_s=1.0,
                )
                if answer.status == 200:
                    waiting.remove(machine)
            await asyncio.sleep(0.1)
        return not waiting


class Answer:
    """What came back on a connection; status 0 means no answer."""

    def __init__(self, status=0, headers=None, body=b'', *, whole=False):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.is_whole = whole


async def read_head(reader):
    """Return the first line and the headers, or None at the end."""
    try:
        data = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = data.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, found, value = line.partition(':')
        if found:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Return (body, whether it is whole)."""
    body = b''
    try:
        if 'chunked' in headers.get('transfer-encoding', ''):
            while True:
                size = int(
                    (await reader.readuntil(b'\r\n')).split(b';')[0], 16
                )
                chunk = await reader.readexactly(size + 2)
                if not size:
                    return body, True
                body += chunk[:-2]
        body = await reader.readexactly(int(headers.get('content-length', 0)))
    except (asyncio.IncompleteReadError, OSError, ValueError):
        return body, False
    return body, True


async def exchange(
    address, method, path, headers=None, body=b'', *, timeout_s=5.0
):
    """Send one request on a connection of its own; return the `Answer`."""
    lines = [f'{method} {path} HTTP/1.1']
    fields = {'Host': f'{address[0]}:{address[1]}'} | (headers or {})
    lines += [f'{name}: {value}' for name, value in fields.items()]
    if body or method in ('POST', 'PUT'):
        lines.append(f'Content-Length: {len(body)}')
    data = '\r\n'.join([*lines, '', '']).encode() + body
    writer = None
    answer = Answer()
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(data)
            await writer.drain()
            head = await read_head(reader)
            if head is not None:
                answer.status = int(head[0].split()[1])
                answer.headers = head[1]
                answer.body, answer.is_whole = await read_body(reader, head[1])
    except (OSError, TimeoutError, ValueError, IndexError):
        pass
    finally:
        if writer is not None:
            writer.transport.abort()
    return answer


class Request:
    """A request that has arrived at a replica."""

    def __init__(self, at_s, request_id, method, path, headers, body):
        self.at_s = at_s
        self.id = request_id
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        # Tells whether the connection has been closed by the caller.
        self.caller_has_left = lambda: False
        # A word for the body of the answer.
        self.answer = ''


class Replica:
    """A replica of a plain service.

    `serve(request)` is awaited for each request that arrives and returns a
    status, 'reject' for 503 with the word that it was not run, or 'reset'.
    """

    def __init__(self, lab, number, service, zone, *, serve, slots=6):
        self.lab = lab
        self.id = f'i-{number:08x}'
        self.ip = f'{lab.prefix}.{100 + number}'
        self.service = service
        self.zone = zone
        self.slots = slots
        self.serve = serve
        self.running = 0
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.state = 'ready'
        self.arrivals = []
        self._server = None
        self._beats = None
        self._writers = set()
        lab.replicas.append(self)

    @property
    def address(self):
        """Return `host:port`."""
        return f'{self.ip}:{SERVER_PORT}'

    async def start(self):
        """Listen, and register until stopped."""
        self._server = await asyncio.start_server(
            self._accept, self.ip, SERVER_PORT, backlog=256
        )
        self._beats = asyncio.ensure_future(self._beat())

    async def stop(self):
        """Exit: close all connections and say nothing."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    def _announcement(self):
        self.sequence += 1
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'warmup-left-ms': 0,
            'sequence': self.sequence,
            'born': self.born,
        }

    async def _beat(self):
        """Register at one machine after another."""
        while True:
            machines = list(self.lab.machines)
            random.shuffle(machines)
            for machine in machines:
                answer = await exchange(
                    machine.address('control'),
                    'PUT',
                    f'/v1/instances/{self.id}',
                    {'Content-Type': 'application/json'},
                    json.dumps(self._announcement()).encode(),
                    timeout_s=1.0,
                )
                if 200 <= answer.status < 300:
                    break
            await asyncio.sleep(HEARTBEAT_S)

    async def leave(self, machine):
        """Send DELETE to a machine; return the time of its answer or None."""
        self._beats.cancel()
        answer = await exchange(
            machine.address('control'),
            'DELETE',
            f'/v1/instances/{self.id}',
            timeout_s=1.0,
        )
        self.lab.record(
            f'replica {self.id} leaves: {machine.name} answers {answer.status}'
        )
        return now_s() if 200 <= answer.status < 300 else None

    async def _accept(self, reader, writer):
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.CancelledError):
            # The run ends: asyncio would log a cancelled task as a fault.
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _serve_one(self, reader, writer):
        head = await read_head(reader)
        if head is None:
            return False
        method, path, _ = head[0].split(' ', 2)
        headers = head[1]
        body, is_whole = await read_body(reader, headers)
        if not is_whole:
            return False
        expected = headers.get('pimentowalk-expect-instance', self.id)
        if expected != self.id:
            return await self._answer(
                writer, 421, '', {'Pimentowalk-Not-Executed': '1'}
            )
        if path == '/v1/report':
            report = {
                'stage': 'both',
                'models': [],
                'busy': False,
                'sequence': 0,
                'waiting': 0,
                'running': self.running,
                'kv-used': 0,
                'kv-total': 0,
                'handles': 0,
            }
            return await self._answer(
                writer, 200, json.dumps(report), {}, 'application/json'
            )
        request_id = headers.get('pimentowalk-request-id', '')
        request = Request(now_s(), request_id, method, path, headers, body)
        request.caller_has_left = reader.at_eof
        self.arrivals.append(request)
        self.running += 1
        try:
            outcome = await self.serve(request)
        finally:
            self.running -= 1
        if outcome == 'reset':
            return False
        fields = {
            'Pimentowalk-Request-Id': request_id,
            'Pimentowalk-Server-Load': f'{self.running},0,{self.slots}',
        }
        if outcome == 'reject':
            fields['Pimentowalk-Not-Executed'] = '1'
            return await self._answer(writer, 503, '', fields)
        fields['Pimentowalk-Response-Seal'] = f'{self.id}.{request_id}'
        return await self._answer(
            writer, outcome, f'{self.id} {request_id} {request.answer}', fields
        )

    async def _answer(
        self, writer, status, body, headers, content_type='text/plain'
    ):
        data = body.encode()
        lines = [
            f'HTTP/1.1 {status} OK',
            f'Content-Type: {content_type}',
            f'Content-Length: {len(data)}',
            *[f'{name}: {value}' for name, value in headers.items()],
        ]
        writer.write('\r\n'.join([*lines, '', '']).encode() + data)
        await writer.drain()
        return True


def document(version, routes, services):
    """Return a configuration with one tenant, whose key is `k1`."""
    return {
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
        'tenants': [{'name': 't1', 'api-keys': ['k1'], 'priority': 1}],
    }


def route(name, prefix, service, *, kind='safe', public=False):
    """Return a route of the configuration."""
    return {
        'name': name,
        'host': HOST,
        'path-prefix': prefix,
        'kind': kind,
        'timeout-ms': 1500,
        'latency-target-ms': 200,
        'priority': 2,
        'service': service,
        'attempts': 2,
        'public': public,
        'affinity': False,
        'resumable': False,
    }


async def ask(machine, path, *, method='GET', key='k1', request_id=''):
    """Send the request of a client to a machine; return (id, `Answer`)."""
    request_id = request_id or f'{random.getrandbits(64):016x}'
    headers = {
        'Host': HOST,
        'Pimentowalk-Request-Id': request_id,
        'Pimentowalk-Deadline-Remaining': '1500',
    }
    if key:
        headers['Pimentowalk-Key'] = key
    answer = await exchange(
        machine.address('front'), method, path, headers, timeout_s=1.6
    )
    return request_id, answer


def run_case(folder, play):
    """Run `play(record)` and exit with its result, 2 if it cannot run.

    `play` returns True if the rule was broken.
    """
    record = Record(pathlib.Path(folder) / 'record.txt')
    # The processes are ended also if the run is stopped from outside.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    status = 2
    try:
        is_broken = asyncio.run(play(record))
        status = int(is_broken)
        record('the rule was broken' if is_broken else 'the rule held')
    except CannotRun as error:
        record(f'the case could not run: {error}')
    except Exception as error:
        # Not the verdict of the rule: Python would exit with 1.
        record(f'the case could not run: {error!r}')
        traceback.print_exc()
    finally:
        record.close()
    sys.exit(status)
