"""Fake engines and plain services that agents connect to in tests."""

import asyncio
import contextlib
import json

from aiohttp import web

from pimentowalk.core import identifiers

MODEL = 'brass'
VERSION = '1'


def next_hash(state, value):
    """Return the next state of a hash chain as eight bytes."""
    return identifiers.hash64(state, value).to_bytes(8, 'big')


def reference_tokens(prompt, total_layers, count, seed=0):
    """Return the token ids of an answer, computed without stages."""
    caches = [b''] * total_layers
    tokens = []
    value = prompt.encode()
    for index in range(count):
        for layer in range(total_layers):
            caches[layer] = next_hash(caches[layer], value)
            value = caches[layer]
        tokens.append(int.from_bytes(value[:4], 'big') ^ seed)
        value = str(tokens[index]).encode()
    return tokens


class FakeServer:
    """An HTTP server on loopback; `port` is 0 until it listens."""

    def __init__(self):
        self.port = 0
        self._runner = None

    def _routes(self):
        raise NotImplementedError

    async def start(self):
        """Listen on loopback."""
        application = web.Application()
        for method, path, handler in self._routes():
            application.router.add_route(method, path, handler)
        self._runner = web.AppRunner(application, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, '127.0.0.1', 0)
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def stop(self):
        """Close the server."""
        await self._runner.cleanup()


class FakeEngine(FakeServer):
    """An engine on loopback whose layers keep a hash of all their inputs.

    The hash depends on the order, so that a lost, repeated or reordered step
    changes the tokens. With `hold_results` set, results are held back until
    `release_results`. `steps_run` lists the (sequence, index) pairs that ran.
    """

    def __init__(self, first=0, end=2, total_layers=2, max_running=4):
        super().__init__()
        self.hello = {
            'type': 'hello',
            'model': MODEL,
            'version': VERSION,
            'adapters': [],
            'first_layer': first,
            'end_layer': end,
            'total_layers': total_layers,
            'max_running': max_running,
            'capacity_tokens_per_s': 1000.0,
            'accelerator': 'fake',
            'checks_fencing': False,
        }
        self.layers = range(first, end)
        self.total_layers = total_layers
        self.sequences = {}
        self.steps_run = []
        self.messages = []
        self.orders = []
        self.order_status = 200
        self.hold_results = False
        self.held_steps = []
        self.sockets = set()

    def _routes(self):
        yield 'GET', '/v1/stage', self._stage
        yield 'POST', '/v1/orders', self._order
        yield 'GET', '/healthz', self._health

    async def stop(self):
        """Close all sockets and the server."""
        await self.crash()
        await super().stop()

    async def crash(self):
        """Abort all connections as if the engine had been killed."""
        for socket in list(self.sockets):
            socket._req.transport.abort()

    async def _health(self, request):
        return web.Response()

    async def _order(self, request):
        self.orders.append(await request.json())
        return web.json_response({}, status=self.order_status)

    async def _stage(self, request):
        socket = web.WebSocketResponse()
        await socket.prepare(request)
        await socket.send_json(self.hello)
        self.sockets.add(socket)
        with contextlib.suppress(ConnectionError):
            async for frame in socket:
                await self._handle(socket, json.loads(frame.data))
        self.sockets.discard(socket)
        self.sequences.clear()
        return socket

    async def _handle(self, socket, message):
        self.messages.append(message)
        if message['type'] == 'open':
            caches = dict.fromkeys(self.layers, b'')
            self.sequences[message['sequence']] = (message, caches)
        elif message['type'] == 'close':
            self.sequences.pop(message['sequence'], None)
        elif message['type'] == 'steps':
            self.held_steps.append((socket, message['items']))
            if not self.hold_results:
                await self.release_results()

    async def release_results(self):
        """Run the held steps and send their results."""
        held, self.held_steps = self.held_steps, []
        for socket, items in held:
            results = [self._run(item) for item in items]
            results = [item for item in results if item is not None]
            await socket.send_json({'type': 'done', 'items': results})

    def _run(self, item):
        if item['sequence'] not in self.sequences:
            return None
        opened, caches = self.sequences[item['sequence']]
        index = item['index']
        self.steps_run.append((item['sequence'], index))
        if self.layers.start > 0:
            values = [
                bytes.fromhex(item['hidden'])[offset : offset + 8]
                for offset in range(0, len(item['hidden']) // 2, 8)
            ]
        elif 'token' in item:
            values = [str(item['token']).encode()]
        else:
            values = [opened['prompt'].encode()]
            values += [str(token).encode() for token in opened['generated']]
        for layer in self.layers:
            values = [self._layer(caches, layer, v) for v in values]
        result = {'sequence': item['sequence'], 'index': index}
        if self.layers.stop < self.total_layers:
            return {**result, 'hidden': b''.join(values).hex()}
        token = int.from_bytes(values[-1][:4], 'big') ^ opened['seed']
        end = index + 1 >= opened['max_tokens']
        return {**result, 'token': token, 'text': f'{token} ', 'end': end}

    def _layer(self, caches, layer, value):
        caches[layer] = next_hash(caches[layer], value)
        return caches[layer]


class FakeService(FakeServer):
    """A plain service on loopback that records the calls it receives.

    Calls wait until `may_reply` is set; with `abort_replies` set, their
    connections are aborted instead of answered.
    """

    def __init__(self):
        super().__init__()
        self.calls = []
        self.may_reply = asyncio.Event()
        self.may_reply.set()
        self.abort_replies = False
        self.healthy = True
        self.reply_body = b'booked'

    def _routes(self):
        yield 'GET', '/healthz', self._health
        yield '*', '/{tail:.*}', self._serve

    async def stop(self):
        """Answer the waiting calls and close the server."""
        self.may_reply.set()
        await super().stop()

    async def _health(self, request):
        return web.Response(status=200 if self.healthy else 503)

    async def _serve(self, request):
        body = await request.read()
        self.calls.append((request.method, request.path_qs, body))
        self.received_headers = dict(request.headers)
        await self.may_reply.wait()
        if self.abort_replies:
            request.transport.abort()
        headers = {'X-Row': str(len(self.calls))}
        return web.Response(status=201, body=self.reply_body, headers=headers)
