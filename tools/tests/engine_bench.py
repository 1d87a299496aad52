"""Stand-in engines on loopback and the agent's side of a stage."""

import asyncio
import contextlib

import aiohttp

from tools import standin_engine
from tools import standin_model as model
from tools.tests import waiting

TOTAL_LAYERS = 8


class Client:
    """The agent's side of one stage connection."""

    def __init__(self, socket):
        self.socket = socket
        self.loads = []
        self.waiting = []

    async def send(self, kind, **fields):
        await self.socket.send_json({'type': kind, **fields})

    async def receive(self, kind):
        """Return the next message of a kind; keep reports of load."""
        while True:
            async with asyncio.timeout(waiting.TIMEOUT_S):
                message = await self.socket.receive_json()
            if message['type'] == kind:
                return message
            assert message['type'] == 'load', message
            self.loads.append(message)

    async def open(self, name, prompt=None, *, adapter='', **fields):
        await self.send(
            'open',
            sequence=name,
            model='standin',
            version='1',
            adapter=adapter,
            **({'prompt': prompt} if prompt is not None else {}),
            **fields,
        )

    async def step(self, name, index, **fields):
        item = {'sequence': name, 'index': index, **fields}
        await self.send('steps', items=[item])

    async def done(self):
        """Return the next finished step."""
        while not self.waiting:
            self.waiting = (await self.receive('done'))['items']
        return self.waiting.pop(0)

    async def run(self, name, prompt, **fields):
        """Open a sequence, run its first step and return the result."""
        await self.open(name, prompt, **fields)
        await self.step(name, 0)
        return await self.done()


class Bench:
    """Engines of one test, on loopback."""

    def __init__(self, stack, session):
        self._stack = stack
        self.session = session

    async def engine(self, first=0, end=TOTAL_LAYERS, *, crash=None, **more):
        options = standin_engine.Options(
            first_layer=first,
            end_layer=end,
            total_layers=TOTAL_LAYERS,
            **{'tokens_per_s': 0, 'base_s': 0, 'weights_bytes': 0, **more},
        )
        batcher_options = {'crash': crash} if crash else {}
        engine = standin_engine.Engine(options, **batcher_options)
        await engine.start()
        self._stack.push_async_callback(engine.stop)
        return engine

    async def client(self, engine):
        url = f'http://127.0.0.1:{engine.port}/v1/stage'
        socket = await self._stack.enter_async_context(
            self.session.ws_connect(url)
        )
        client = Client(socket)
        client.hello = await client.receive('hello')
        return client

    async def pair(self, *layers, **options):
        """Return an engine and a client that is connected to it."""
        engine = await self.engine(*layers, **options)
        return engine, await self.client(engine)

    async def order(self, engine, fence, action, **arguments):
        url = f'http://127.0.0.1:{engine.port}/v1/orders'
        order = {'fence': fence, 'action': action, 'arguments': arguments}
        async with self.session.post(url, json=order) as response:
            return response.status

    async def record(self, engine):
        url = f'http://127.0.0.1:{engine.port}/v1/record'
        async with self.session.get(url) as response:
            return await response.json()

    async def idle_record(self, engine):
        """Return the record once no sequence is open."""
        await waiting.until(lambda: not engine.batcher.sequences)
        return await self.record(engine)


@contextlib.asynccontextmanager
async def running():
    """Yield a bench whose engines and clients end with the block."""
    async with contextlib.AsyncExitStack() as stack:
        session = await stack.enter_async_context(aiohttp.ClientSession())
        yield Bench(stack, session)


async def answer(clients, name, prompt, *, generated=(), **parameters):
    """Drive one sequence through a chain and return its tokens."""
    first, *others = clients
    await first.open(name, prompt, generated=list(generated), **parameters)
    for client in others:
        await client.open(name, **parameters)
    tokens = []
    step = {}
    while True:
        index = len(generated) + len(tokens)
        for client in clients:
            await client.step(name, index, **step)
            item = await client.done()
            assert (item['sequence'], item['index']) == (name, index)
            step = {'hidden': item.get('hidden')}
        tokens.append(item['token'])
        assert item['text'] == model.token_text(item['token'])
        if item['end']:
            return tokens
        step = {'token': item['token']}
