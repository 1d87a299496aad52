"""A small deployment on loopback: gateways as processes, and the platform.

The gateways are started with the command and the settings template of the
deploy file. Operator, replicas and clients are stand-ins that follow the
pages of the platform.
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

import aiohttp
from aiohttp import web

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.2
BOUNDS = {
    'revoke-ms': 5000,
    'budget-window-s': 10,
    'budget-ratio': 0.2,
    'budget-extra': 208,
    'grace-s': 8,
}
CONTACT_S = 3.0
DRAIN_S = 2.0
START_TIMEOUT_S = 30.0
KEY = 'n2ctnfzs989anu6wsjnb'
HOST = 'ficu95.example'


class CannotRun(Exception):
    """The case could not be set up, so that it shows nothing."""


class Record:
    """Write what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self._file = path.open('w')
        self._start_s = time.monotonic()

    def now_s(self):
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._start_s

    def say(self, text):
        """Write one line."""
        self._file.write(f'{self.now_s():8.3f} {text}\n')
        self._file.flush()


def render(template, fields):
    """Fill in a settings template as the page on deployment describes."""

    def value_of(name):
        value = fields
        for part in name.split('.'):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def text_of(name):
        value = value_of(name)
        if value is None:
            return ''
        if isinstance(value, bool):
            return 'true' if value else 'false'
        if isinstance(value, list):
            return ','.join(str(item) for item in value)
        return str(value)

    def section(found):
        return found[2] if value_of(found[1]) not in (None, False) else ''

    template = re.sub(
        r'\{\{#([\w.-]+)\}\}(.*?)\{\{/\1\}\}', section, template, flags=re.S
    )
    return re.sub(
        r'\{\{([\w.-]+)\}\}', lambda found: text_of(found[1]), template
    )


class Gateway:
    """One machine of the system that runs the role of the deploy file."""

    def __init__(self, world, name, host, zone, *, disk):
        self.world = world
        self.name = name
        self.host = host
        self.zone = zone
        self.disk = disk
        self.process = None
        self.has_started = False
        ports = world.ports
        self.peer_port = ports['peer']
        self.front = (host, ports['front'])
        self.control = f'http://{host}:{ports["control"]}'
        self.ready = f'http://{host}:{ports["ready"]}/v1/readiness'

    def start(self):
        """Start the process with its settings."""
        world = self.world
        folder = world.folder / self.name
        folder.mkdir(exist_ok=True)
        ports = world.ports
        fields = {
            'node-name': self.name,
            'ip': self.host,
            'zone': self.zone,
            'port-range': [self.peer_port, self.peer_port + 1],
            'listen': {
                'front': f'{self.host}:{ports["front"]}',
                'ready': f'{self.host}:{ports["ready"]}',
                'control': f'{self.host}:{ports["control"]}',
            },
            'seeds': world.seeds,
            'bootstrap': not self.has_started,
            'heartbeat-ms': int(HEARTBEAT_S * 1000),
            'fault-tolerance': {'machines': 1},
            'bounds': BOUNDS,
        }
        if self.disk:
            data = folder / 'data'
            data.mkdir(exist_ok=True)
            fields['data-dir'] = str(data)
        path = folder / 'boot'
        path.write_text(render(world.template, fields))
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment |= {
            'PIMENTOWALK_SETTINGS': str(path),
            'PYTHONPATH': str(REPOSITORY / 'target' / 'deps'),
        }
        log = (folder / 'log').open('ab')
        self.process = subprocess.Popen(
            world.command, cwd=REPOSITORY, env=environment, stdout=log
        )
        self.has_started = True

    def signal(self, number):
        """Send a signal to the process."""
        self.world.record.say(
            f'{self.name} gets {signal.Signals(number).name}'
        )
        self.process.send_signal(number)


class Replica:
    """A sound replica: it announces itself, takes orders and serves.

    `lives` is false from a crash to the next start. `events` is how many
    events a stream has, one each `event_s`.
    """

    def __init__(self, world, server_id, service, zone, *, is_model):
        self.world = world
        self.server_id = server_id
        self.service = service
        self.zone = zone
        self.is_model = is_model
        self.host = world.replica_host
        self.port = 0
        self.lives = False
        self.state = 'ready'
        self.layers = None
        self.orders = 0
        self.fence = 0
        self.sequence = 0
        self.events = 20
        self.event_s = 0.05
        self.running = 0
        self.arrivals = []
        self._runner = None
        self._site = None
        self._beats = None
        self._transports = set()

    @property
    def address(self):
        """Return `host:port`."""
        return f'{self.host}:{self.port}'

    async def start(self):
        """Start an incarnation, empty, and announce it."""
        self.born = int(time.time() * 1000)
        self.sequence = self.orders = self.fence = self.running = 0
        self.layers = None
        self.state = 'ready'
        app = web.Application(client_max_size=8 << 20)
        app.router.add_get('/v1/report', self._report)
        app.router.add_post('/v1/order', self._order)
        app.router.add_get('/health', self._health)
        app.router.add_route('*', '/{path:.*}', self._serve)
        self._runner = web.AppRunner(
            app,
            handler_cancellation=True,
            shutdown_timeout=0.05,
            access_log=None,
            # The bytes that arrive are compared with those that were sent.
            auto_decompress=False,
        )
        await self._runner.setup()
        self._site = web.TCPSite(self._runner, self.host, self.port)
        await self._site.start()
        self.port = self._runner.addresses[0][1]
        self.lives = True
        self._beats = asyncio.ensure_future(self._announce_always())
        self.world.record.say(f'{self.server_id} starts at {self.address}')

    async def crash(self):
        """End at once: connections are reset, the port is closed."""
        self.world.record.say(f'{self.server_id} crashes')
        self.lives = False
        self.stop_beats()
        await self._site.stop()
        for transport in list(self._transports):
            transport.abort()
        runner, self._runner = self._runner, None
        if runner is not None:
            await runner.cleanup()

    def stop_beats(self):
        """Send no heartbeats any more."""
        if self._beats is not None:
            self._beats.cancel()

    async def _announce_always(self):
        while True:
            with contextlib.suppress(CannotRun):
                await self.announce()
            await asyncio.sleep(HEARTBEAT_S)

    def _announcement(self):
        self.sequence += 1
        body = {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': 96 if self.is_model else 6,
            'state': self.state,
            'warmup-left-ms': 0,
            'sequence': self.sequence,
            'born': self.born,
        }
        if self.is_model:
            body |= {
                'stage': 'both',
                'kind': 'a100',
                'models': [{'name': 'm0', 'version': 1, 'adapters': []}],
            }
            if self.layers:
                first, end = self.layers
                body['layers'] = {'from': first, 'to': end, 'version': 1}
        return body

    async def announce(self, nodes=None):
        """Send one heartbeat; return the node that acknowledged it."""
        body = json.dumps(self._announcement())
        path = f'/v1/instances/{self.server_id}'
        return await self.world.call_control('PUT', path, body, nodes)

    async def leave(self, nodes):
        """Send DELETE first, as some replicas do; go on serving."""
        self.stop_beats()
        node = await self.world.call_control(
            'DELETE', f'/v1/instances/{self.server_id}', None, nodes
        )
        self.world.record.say(
            f'{self.server_id}: DELETE acknowledged by {node.name}'
        )
        return node

    def _wrong_instance(self, request):
        expected = request.headers.get('Pimentowalk-Expect-Instance')
        if expected not in (None, self.server_id):
            return web.Response(
                status=421, headers={'Pimentowalk-Not-Executed': '1'}
            )
        return None

    async def _report(self, request):
        if wrong := self._wrong_instance(request):
            return wrong
        first, end = self.layers or (0, 0)
        return web.json_response(
            {
                'stage': 'both',
                'models': [{'name': 'm0', 'version': 1, 'adapters': []}],
                'layers': {'from': first, 'to': end, 'version': 1},
                'busy': False,
                'sequence': self.orders,
                'waiting': 0,
                'running': self.running,
                'kv-used': 0,
                'kv-total': 90000,
                'handles': 0,
                'pace': 1,
                'stalled': [],
            }
        )

    async def _order(self, request):
        if wrong := self._wrong_instance(request):
            return wrong
        body = await request.json()
        if body.get('operation') != 'place':
            return web.json_response({}, status=404)
        if body.get('fence', 0) < self.fence:
            return web.json_response({}, status=412)
        self.fence = body.get('fence', 0)
        if body.get('precondition', self.orders) != self.orders:
            return web.json_response({}, status=409)
        wanted = body['from'], body['to']
        if wanted == self.layers:
            return web.json_response({})
        self.orders += 1
        self.world.record.say(f'{self.server_id} holds layers {wanted}')
        asyncio.get_running_loop().call_later(0.2, self._hold, wanted)
        return web.json_response({}, status=202)

    def _hold(self, layers):
        self.layers = layers

    async def _health(self, request):
        return web.Response(
            headers={'Pimentowalk-Instance-Id': self.server_id}
        )

    async def _serve(self, request):
        body = await request.read()
        request_id = request.headers.get('Pimentowalk-Request-Id', '')
        if wrong := self._wrong_instance(request):
            return wrong
        self.arrivals.append(
            (self.world.record.now_s(), request_id, request.headers, body)
        )
        last_id = request.headers.get('Last-Event-Id')
        self.world.record.say(
            f'{self.server_id} runs {request.method} {request.raw_path} '
            f'id {request_id} last-event-id {last_id} body {len(body)} B'
        )
        headers = {
            'Pimentowalk-Request-Id': request_id,
            'Pimentowalk-Response-Seal': f'seal.{self.server_id}',
            'Pimentowalk-Server-Load': f'{self.running},0,96',
        }
        self.running += 1
        try:
            return await self.answer(request, headers)
        finally:
            self.running -= 1

    async def answer(self, request, headers):
        """Run a request and return its answer."""
        if self.world.is_stream(request.raw_path):
            return await self._stream(request, headers)
        self._transports.add(request.transport)
        try:
            await asyncio.sleep(0.02)
            return web.json_response({'done': True}, headers=headers)
        finally:
            self._transports.discard(request.transport)

    async def _stream(self, request, headers):
        """Send the events after `Last-Event-Id`."""
        first = int(request.headers.get('Last-Event-Id', 0)) + 1
        response = web.StreamResponse(
            headers=headers | {'Content-Type': 'text/event-stream'}
        )
        self._transports.add(request.transport)
        try:
            await asyncio.sleep(0.05)
            await response.prepare(request)
            for number in range(first, self.events + 1):
                text = f'id: {number}\ndata: token {number} of a text\n\n'
                await response.write(text.encode())
                await asyncio.sleep(self.event_s)
            await response.write_eof()
            return response
        finally:
            self._transports.discard(request.transport)


class World:
    """The deployment, its platform and its clients."""

    def __init__(self, case_file, *, disks=3, others=1):
        case_folder = pathlib.Path(case_file).resolve().parent
        self.record = Record(case_folder / 'record.txt')
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        deploy = tomllib.loads(
            (REPOSITORY / 'deploy' / 'system.toml').read_text()
        )
        role = deploy['roles']['gateway']
        self.command = role['run'].split()
        self.template = (REPOSITORY / role['template']).read_text()
        second = random.randrange(10, 250)
        third = random.randrange(1, 250)
        network = f'127.{second}.{third}'
        self.replica_host = f'{network}.200'
        self.client_host = f'{network}.201'
        self.ports = dict(
            zip(
                ('peer', 'spare', 'front', 'ready', 'control'),
                _free_ports(f'{network}.1', 5),
                strict=True,
            )
        )
        zones = ('limerick', 'galway', 'ennis')
        self.gateways = [
            Gateway(
                self,
                f'edge-{zones[i % 3]}-{1 + i // 3}',
                f'{network}.{i + 1}',
                zones[i % 3],
                disk=i < disks,
            )
            for i in range(disks + others)
        ]
        self.zones = zones
        control = self.ports['control']
        self.seeds = [f'{g.host}:{control}' for g in self.gateways[:3]]
        self.replicas = []
        self.session = None
        self.kept = None
        self._stream_prefixes = set()
        self._request_ids = 0

    def add_replicas(self, service, count, *, is_model):
        """Add replicas of a service, over the zones in turn."""
        added = [
            Replica(
                self,
                f'i-{service}-{number}',
                service,
                self.zones[number % 3],
                is_model=is_model,
            )
            for number in range(count)
        ]
        self.replicas += added
        return added

    def is_stream(self, path):
        """Return whether a path belongs to a streaming route."""
        return path.startswith(tuple(self._stream_prefixes))

    def configuration(self, version, routes, services):
        """Return a configuration; `routes` add to the defaults."""
        text_routes = []
        for route in routes:
            text_routes.append(
                {
                    'name': f'r{route["path-prefix"].replace("/", "")}',
                    'host': HOST,
                    'timeout-ms': 20000,
                    'latency-target-ms': 500,
                    'priority': 1,
                    'attempts': 2,
                    'public': False,
                }
                | route
            )
            if route['kind'] == 'streaming':
                self._stream_prefixes.add(route['path-prefix'])
        return {
            'version': version,
            'routes': text_routes,
            'services': services,
            'limits': {
                'max-header-bytes': 16384,
                'max-body-bytes': 4194304,
                'header-timeout-ms': 3000,
                'idle-timeout-ms': 15000,
            },
            'tenants': [{'name': 'hule930', 'api-keys': [KEY], 'priority': 1}],
        }

    async def start(self, configuration):
        """Start everything; return once all nodes serve."""
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True, limit=0)
        )
        # Clients that keep their connections open for many requests.
        self.kept = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=12)
        )
        for gateway in self.gateways:
            gateway.start()
        for replica in self.replicas:
            await replica.start()
        await self._until(
            lambda: self.put_configuration(configuration),
            'the configuration is acknowledged',
        )
        await self._until(self._are_ready, 'all nodes are ready')
        models = [r for r in self.replicas if r.is_model]
        await self._until(
            lambda: _value(all(r.layers for r in models)),
            'all model replicas hold layers',
        )
        # All nodes hear of the layers, and have been in touch for long.
        await asyncio.sleep(CONTACT_S + HEARTBEAT_S)
        self.record.say('traffic may begin')

    async def _until(self, check, text):
        end_s = self.record.now_s() + START_TIMEOUT_S
        while self.record.now_s() < end_s:
            with contextlib.suppress(CannotRun):
                if await check():
                    self.record.say(text)
                    return
            await asyncio.sleep(0.2)
        raise CannotRun(f'not within {START_TIMEOUT_S} s: {text}')

    async def _are_ready(self):
        for gateway in self.gateways:
            try:
                async with self.session.get(gateway.ready) as response:
                    if response.status != 200:
                        return False
            except aiohttp.ClientError:
                return False
        return True

    async def put_configuration(self, configuration):
        """Send a configuration to one node after another until one agrees."""
        await self.call_control(
            'PUT', '/v1/configuration', json.dumps(configuration)
        )
        return True

    async def call_control(self, method, path, body, nodes=None):
        """Call nodes in random order; return the one that says 2xx."""
        nodes = list(nodes or self.gateways)
        random.shuffle(nodes)
        timeout = aiohttp.ClientTimeout(total=1.0)
        for node in nodes:
            try:
                async with self.session.request(
                    method, node.control + path, data=body, timeout=timeout
                ) as response:
                    await response.read()
                    if 200 <= response.status < 300:
                        return node
            except (aiohttp.ClientError, TimeoutError, OSError):
                continue
        raise CannotRun(f'no node answers {method} {path}')

    def new_id(self):
        """Return a request id that was not used before."""
        self._request_ids += 1
        return f'9c41d07b{self._request_ids:08x}'

    def headers(self, request_id, **others):
        """Return the headers of a request, with those of the system."""
        return {
            'Host': HOST,
            'Pimentowalk-Request-Id': request_id,
            'Pimentowalk-Key': KEY,
            'Pimentowalk-Deadline-Remaining': '20000',
        } | others

    async def stop(self):
        """End all processes that were started, and remove the files."""
        for replica in self.replicas:
            if replica.lives:
                await replica.crash()
        for session in (self.session, self.kept):
            if session is not None:
                await session.close()
        for gateway in self.gateways:
            if gateway.process is not None:
                with contextlib.suppress(ProcessLookupError):
                    gateway.process.kill()
                gateway.process.wait()
        if os.environ.get('KEEP'):
            self.record.say(f'logs kept: {self.folder}')
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def _value(value):
    return value


def _free_ports(host, count):
    """Return ports that are free on a host."""
    with contextlib.ExitStack() as stack:
        ports = []
        for _ in range(count):
            sock = stack.enter_context(socket.socket())
            sock.bind((host, 0))
            ports.append(sock.getsockname()[1])
        return ports


def engine(layers=8):
    """Return the engine of a model whose layers fit on each accelerator."""
    return {
        'slots': 96,
        'kv-capacity': 50000,
        'kv-token-bytes': 1180000,
        'link-mbps': 400000.0,
        'stride': 4,
        'models': [{'name': 'm0', 'pace': 1.0, 'load-s': 1.0, 'warm-s': 0.0}],
        'step_ms': 1.02,
        'per_seq_ms': 0.00918,
        'context_per_k': 0.0123,
        'read_per_s': 164000.0,
        'pairs_per_m': 0.199,
        'chunk': 512,
        'report_lag_ms': 200.0,
        'loads-per-s': 0.0,
        'loads_at_once': 6,
        'delays': [],
        'usual': {'prompt': 775, 'answer': 216},
        'layers': layers,
        'layer-mb': 1750.0,
        'activation-bytes': 59000,
        'pipe-mbps': 13000.0,
        'kinds': [
            {
                'name': 'a100',
                'size-mb': 72000.0,
                'pace': 2.4,
                'read-factor': 3.2,
            }
        ],
    }


def model_service(name):
    """Return a service of model replicas."""
    return {
        'name': name,
        'health-path': '/health',
        'max-connections': 998,
        'protocol': 'h1',
        'tls': False,
        'engine': engine(),
    }


def plain_service(name):
    """Return a service without an engine."""
    return {
        'name': name,
        'health-path': '/health',
        'max-connections': 56,
        'protocol': 'h1',
        'tls': False,
    }


def run_case(case, timeout_s=115.0):
    """Run `case()`, which returns whether the rule held; exit with a code."""
    if not (REPOSITORY / 'target' / 'deps' / 'aiohttp').is_dir():
        print('the build command of deploy/system.toml was not run')
        sys.exit(2)

    # The processes that the case started end also if it is told to end.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))

    async def bounded():
        async with asyncio.timeout(timeout_s):
            return await case()

    try:
        held = asyncio.run(bounded())
    except Exception as error:
        # Only a broken rule may end the case with 1.
        print(f'could not run: {error!r}')
        sys.exit(2)
    print('the rule held' if held else 'the rule was broken')
    sys.exit(0 if held else 1)
