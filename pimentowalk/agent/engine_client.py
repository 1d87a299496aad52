"""WebSocket client for the engine of a backend server."""

import asyncio
import contextlib
import json
import logging

import aiohttp
import attrs

from pimentowalk.core import logs
from pimentowalk.core import tasks
from pimentowalk.core import timers as timer_services

LOG = logging.getLogger(__name__)

RECONNECT_DELAY_S = 0.2
# A prefill step carries one hidden state for each token of the prompt.
MAX_MESSAGE_BYTES = 16 << 20


@attrs.frozen
class EngineHello:
    """Capabilities that an engine announces when the connection opens."""

    model: str
    version: str
    adapters: list[str]
    first_layer: int
    end_layer: int
    total_layers: int
    max_running: int
    capacity_tokens_per_s: float
    accelerator: str = ''
    checks_fencing: bool = False


def parse_hello(message):
    """Parse the hello of an engine; raise KeyError if a field is missing.

    Unknown fields are ignored for compatibility with newer engines.
    """
    names = [field.name for field in attrs.fields(EngineHello)]
    known = {name: message[name] for name in names if name in message}
    try:
        return EngineHello(**known)
    except TypeError as error:
        raise KeyError(str(error)) from None


class EngineClient:
    """Maintain one WebSocket to the engine and dispatch its messages.

    `listener` has the callbacks `engine_ready(hello)`, `engine_lost()`,
    `engine_done(items)` and `engine_failed(message)`. Load messages of the
    engine are ignored, because they lag behind what the agent has sent.
    """

    def __init__(self, backend_url, timers, listener):
        self._url = backend_url.rstrip('/')
        self._timers = timers
        self._listener = listener
        self._pending = []
        self._wake = asyncio.Event()
        self._task = None
        self._stopping = False
        self.session = None
        self.hello = None
        self.last_hello = None

    @property
    def ready(self):
        """Return whether the engine is connected."""
        return self.hello is not None

    async def start(self, *, connect=True):
        """Start connecting; `engine_ready` is called when that is done.

        A plain service has no stage interface, so only `session` is opened.
        """
        self.session = aiohttp.ClientSession()
        if not connect:
            return
        self._task = tasks.start(self._run, self._timers, 'engine')

    async def stop(self):
        """Close the WebSocket, which cancels all sequences."""
        self._stopping = True
        await timer_services.cancel_all([self._task] if self._task else [])
        if self.session is not None:
            await self.session.close()

    def open(self, sequence, **fields):
        """Open a sequence."""
        self._enqueue({'type': 'open', 'sequence': sequence, **fields})

    def step(self, item):
        """Run one step; steps queued together are sent in one message."""
        if self._pending and self._pending[-1]['type'] == 'steps':
            self._pending[-1]['items'].append(item)
        else:
            self._enqueue({'type': 'steps', 'items': [item]})

    def close(self, sequence):
        """Cancel a sequence."""
        self._enqueue({'type': 'close', 'sequence': sequence})

    async def post_order(self, order):
        """Send an order; return the HTTP status and the response body."""
        url = f'{self._url}/v1/orders'
        async with self.session.post(url, json=order) as response:
            return response.status, await response.text()

    def _enqueue(self, message):
        if self.ready:
            self._pending.append(message)
            self._wake.set()

    async def _run(self):
        while True:
            try:
                await self._connect()
            except (aiohttp.ClientError, OSError) as error:
                LOG.debug('connection to the engine failed: %s', error)
            except (ValueError, KeyError, TypeError) as error:
                LOG.warning(
                    'invalid message from the engine: %s',
                    error,
                    extra=logs.fields(step='engine'),
                )
            await self._timers.sleep(RECONNECT_DELAY_S)

    async def _connect(self):
        async with self.session.ws_connect(
            f'{self._url}/v1/stage', max_msg_size=MAX_MESSAGE_BYTES
        ) as socket:
            hello = parse_hello(await socket.receive_json())
            self._pending.clear()
            self.hello = self.last_hello = hello
            writer = asyncio.ensure_future(self._write(socket))
            try:
                await self._listener.engine_ready(hello)
                await self._read(socket)
            finally:
                self.hello = None
                writer.cancel()
                if not self._stopping:
                    self._listener.engine_lost()

    async def _write(self, socket):
        with contextlib.suppress(ConnectionError, aiohttp.ClientError):
            while True:
                await self._wake.wait()
                self._wake.clear()
                pending, self._pending = self._pending, []
                for message in pending:
                    await socket.send_str(json.dumps(message))

    async def _read(self, socket):
        async for frame in socket:
            if frame.type != aiohttp.WSMsgType.TEXT:
                return
            message = json.loads(frame.data)
            if message['type'] == 'hello':
                # Sent again after an order has loaded or unloaded something.
                self.hello = self.last_hello = parse_hello(message)
                await self._listener.engine_ready(self.hello)
            elif message['type'] == 'done':
                self._listener.engine_done(message['items'])
            elif message['type'] == 'failed':
                self._listener.engine_failed(message)
