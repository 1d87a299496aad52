"""A stand-in model engine that follows "Engine interface" of the design.

Messages on the WebSocket are JSON objects whose key `type` names them.
"""

import asyncio
import collections

from aiohttp import web
import attrs
import defopt

from pimentowalk.core import logs
from pimentowalk.core import timers
from tools import programs
from tools import standin_batcher as batcher
from tools import standin_model as model
from tools import standin_sequences as sequences
from tools import standin_session

MAX_MESSAGE_BYTES = 8 << 20
ORDER_FIELDS = {
    'load_model': ('model', 'version'),
    'load_version': ('version',),
    'load_adapter': ('adapter',),
    'unload_adapter': ('adapter',),
    'change_role': ('first_layer', 'end_layer'),
}
# Adapters can change while sequences run; the base weights cannot.
NEEDS_IDLE = ('load_model', 'load_version', 'change_role')


@attrs.define
class Options:
    """Run a stand-in model engine on loopback until it is stopped.

    :param host: numeric IP address to listen on
    :param port: port to listen on; 0 lets the system choose
    :param model: name of the model
    :param version: version of the model
    :param adapters: names of the loaded adapters
    :param first_layer: first layer that this engine runs
    :param end_layer: layer after the last one that it runs
    :param total_layers: number of layers of the whole model
    :param tokens_per_s: input tokens a second; 0 is unlimited
    :param base_s: time of an iteration beside its tokens
    :param max_running: sequences in one iteration
    :param cache_tokens: size of the prefix cache; 0 turns it off
    :param accelerator: kind of the accelerator
    :param checks_fencing: refuse orders with an old fencing number
    :param load_period_s: time between load reports
    :param load_lag_s: age of a load report when it is sent
    :param weights_bytes: size of what an order loads
    :param store_bytes_per_s: rate of the weight store; 0 is unlimited
    :param crash_marker: exit at once on a prompt that contains this
    :param record_file: append what ran to this file as JSON lines
    """

    host: str = '127.0.0.1'
    port: int = 0
    model: str = 'standin'
    version: str = '1'
    adapters: list[str] = attrs.field(factory=list)
    first_layer: int = 0
    end_layer: int = 8
    total_layers: int = 8
    tokens_per_s: float = 2000.0
    base_s: float = 0.002
    max_running: int = 64
    cache_tokens: int = 65536
    accelerator: str = 'standin'
    checks_fencing: bool = False
    load_period_s: float = 0.25
    load_lag_s: float = 0.5
    weights_bytes: int = 1_000_000
    store_bytes_per_s: float = 1_000_000.0
    crash_marker: str = ''
    record_file: str = ''


class Engine:
    """The HTTP side of the engine around its batcher."""

    def __init__(self, options, **batcher_options):
        self.options = options
        self.sessions = set()
        self.orders = []
        self.highest_fence = 0
        self.port = options.port
        self.cache = sequences.PrefixCache(options.cache_tokens)
        self.record = batcher.Record(options.record_file)
        self.batcher = batcher.Batcher(
            self.cache,
            self.record,
            self._on_done,
            tokens_per_s=options.tokens_per_s,
            base_s=options.base_s,
            max_running=options.max_running,
            crash_marker=options.crash_marker,
            **batcher_options,
        )
        self._order_lock = asyncio.Lock()
        self._runner = None
        self._tasks = []

    async def start(self):
        """Listen; with port 0 the system chooses one, see `port`."""
        app = web.Application()
        app.router.add_get('/v1/stage', self._stage)
        app.router.add_post('/v1/orders', self._order)
        app.router.add_get('/v1/record', self._read_record)
        app.router.add_get('/healthz', self._health)
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=1.0
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, self.options.host, self.options.port)
        await site.start()
        self.port = self._runner.addresses[0][1]
        self._tasks = [
            asyncio.ensure_future(self.batcher.run()),
            asyncio.ensure_future(self._report_load()),
        ]

    async def stop(self):
        """Close all connections and stop."""
        for session in list(self.sessions):
            await session.socket.close()
        await timers.cancel_all(self._tasks)
        await self._runner.cleanup()

    def new_sequence(self, message):
        """Return a sequence, or None if other weights are loaded."""
        held = self.options
        wanted = model.Weights(
            message['model'], message['version'], message.get('adapter', '')
        )
        if (wanted.model, wanted.version) != (held.model, held.version):
            return None
        if wanted.adapter and wanted.adapter not in held.adapters:
            return None
        layers = (held.first_layer, held.end_layer)
        return sequences.Sequence(
            message['sequence'],
            wanted,
            *layers,
            wanted.layer_seeds(*layers),
            model.empty_states(held.end_layer - held.first_layer),
            seed=message.get('seed', 0),
            temperature=message.get('temperature', 0.0),
            priority=message.get('priority', 0),
            max_tokens=message.get('max_tokens', 16),
            prompt=message.get('prompt') or '',
            generated=list(message.get('generated') or []),
        )

    def hello(self):
        """Return the message that describes this engine."""
        return {
            'type': 'hello',
            'capacity_tokens_per_s': self.options.tokens_per_s,
            **{
                name: getattr(self.options, name)
                for name in (
                    'model',
                    'version',
                    'adapters',
                    'first_layer',
                    'end_layer',
                    'total_layers',
                    'max_running',
                    'accelerator',
                    'checks_fencing',
                )
            },
        }

    def _on_done(self, sequence, work):
        item = {'sequence': sequence.name, 'index': work.index}
        if sequence.end_layer == self.options.total_layers:
            token = model.sample(
                work.outputs[-1],
                work.index,
                sequence.seed,
                sequence.temperature,
            )
            reason = model.finish_reason(
                token, work.index, sequence.max_tokens
            )
            item['token'] = token
            item['text'] = model.token_text(token)
            item['end'] = bool(reason)
            item['finish_reason'] = reason
        else:
            item['hidden'] = b''.join(work.outputs).hex()
        sequence.session.post({'type': 'done', 'items': [item]})

    async def _stage(self, request):
        socket = web.WebSocketResponse(
            max_msg_size=MAX_MESSAGE_BYTES, heartbeat=30, compress=False
        )
        await socket.prepare(request)
        session = standin_session.Session(self, socket)
        session.post(self.hello())
        self.sessions.add(session)
        writer = asyncio.ensure_future(session.write())
        try:
            await session.read()
        finally:
            self.sessions.discard(session)
            session.cancel_all()
            await timers.cancel_all([writer])
        return socket

    async def _report_load(self):
        samples = collections.deque()
        lag = round(self.options.load_lag_s / self.options.load_period_s)
        while True:
            samples.append(
                {
                    'type': 'load',
                    'queued': self.batcher.queued_tokens(),
                    'running': self.batcher.running(),
                }
            )
            if len(samples) > lag:
                message = samples.popleft()
                for session in self.sessions:
                    session.post(message)
            await asyncio.sleep(self.options.load_period_s)

    async def _order(self, request):
        try:
            order = await request.json()
            fence = int(order['fence'])
            action = order['action']
            arguments = dict(order.get('arguments') or {})
            chosen = {name: arguments[name] for name in ORDER_FIELDS[action]}
            if action == 'load_model':
                chosen.update(_layers(arguments))
        except (KeyError, TypeError, ValueError) as error:
            return _answer(400, 'bad_request', f'malformed order: {error!r}')
        async with self._order_lock:
            status, code, text = await self._follow(fence, action, chosen)
        self.orders.append({'fence': fence, 'action': action, 'code': code})
        return _answer(status, code, text)

    async def _follow(self, fence, action, arguments):
        if self.options.checks_fencing and fence <= self.highest_fence:
            text = f'the highest fencing number is {self.highest_fence}'
            return 409, 'stale_fence', text
        if action in NEEDS_IDLE and self.batcher.sequences:
            return 503, 'overloaded', 'sequences are open'
        self.highest_fence = max(self.highest_fence, fence)
        if action != 'unload_adapter':
            await self._load_weights()
        _CHANGES.get(action, _set_fields)(self.options, arguments)
        if action in NEEDS_IDLE:
            self.cache.clear()
        for session in self.sessions:
            session.post(self.hello())
        return 200, '', 'done'

    async def _load_weights(self):
        rate = self.options.store_bytes_per_s
        if rate:
            await asyncio.sleep(self.options.weights_bytes / rate)

    async def _read_record(self, request):
        return web.json_response(
            {
                'ran': [ran.as_row() for ran in self.record.rows],
                'orders': self.orders,
                'iterations': self.batcher.iterations,
                'largest_batch': self.batcher.largest_batch,
                'cache_hit_tokens': self.cache.hit_tokens,
                'open': sorted(self.batcher.sequences),
            }
        )

    async def _health(self, request):
        return web.json_response({'status': 'ok'})


def _layers(arguments):
    names = ('first_layer', 'end_layer', 'total_layers')
    return {name: int(arguments[name]) for name in names if name in arguments}


def _set_fields(options, arguments):
    for name, value in arguments.items():
        setattr(options, name, value)


def _load_adapter(options, arguments):
    if arguments['adapter'] not in options.adapters:
        options.adapters = [*options.adapters, arguments['adapter']]


def _unload_adapter(options, arguments):
    options.adapters = [
        one for one in options.adapters if one != arguments['adapter']
    ]


_CHANGES = {'load_adapter': _load_adapter, 'unload_adapter': _unload_adapter}


def _answer(status, code, text):
    content = {'done': status == 200, 'code': code, 'text': text}
    return web.json_response(content, status=status)


def main():
    """Run a stand-in engine with the options of the command line."""
    options = defopt.run(Options, cli_options='has_default', short={})
    logs.configure('standin-engine')
    asyncio.run(_run(options))


async def _run(options):
    engine = Engine(options)
    await programs.run_until_stopped(
        engine, lambda: f'http://{options.host}:{engine.port}'
    )


if __name__ == '__main__':
    main()
