"""Drive a chain of stand-in engines without pimentowalk."""

import asyncio
import json
import time

import aiohttp

from tools import load

MAX_MESSAGE_BYTES = 16 << 20


class DirectChain:
    """One WebSocket to each engine of a chain; the caller drives steps."""

    def __init__(self, urls, model, version):
        self._urls = urls
        self._names = {'model': model, 'version': version, 'adapter': ''}
        self._http = None
        self._sockets = []
        self._readers = []
        self._results = {}
        self._count = 0

    async def __aenter__(self):
        self._http = aiohttp.ClientSession()
        for url in self._urls:
            socket = await self._http.ws_connect(
                f'{url}/v1/stage', max_msg_size=MAX_MESSAGE_BYTES
            )
            await socket.receive_json()
            self._sockets.append(socket)
            self._readers.append(asyncio.ensure_future(self._read(socket)))
        return self

    async def __aexit__(self, *exc_info):
        for reader in self._readers:
            reader.cancel()
        await self._http.close()

    async def _read(self, socket):
        stage = self._sockets.index(socket) if self._sockets else 0
        async for message in socket:
            content = json.loads(message.data)
            for item in content.get('items', ()):
                key = (stage, item['sequence'], item['index'])
                waiter = self._results.pop(key, None)
                if waiter is not None:
                    waiter.set_result(item)

    async def _step(self, stage, sequence, index, **inputs):
        waiter = asyncio.get_running_loop().create_future()
        self._results[(stage, sequence, index)] = waiter
        item = {'sequence': sequence, 'index': index, **inputs}
        await self._sockets[stage].send_json(
            {'type': 'steps', 'items': [item]}
        )
        return await waiter

    async def complete(self, body):
        """Run one completion and return its outcome."""
        outcome = load.Outcome(begin_s=time.monotonic(), status=200)
        self._count += 1
        sequence = f'{self._count:032x}-1'
        for stage, socket in enumerate(self._sockets):
            first = {'prompt': body['prompt'], 'generated': []}
            await socket.send_json(
                {
                    'type': 'open',
                    'sequence': sequence,
                    'seed': body['seed'],
                    'temperature': body['temperature'],
                    'max_tokens': body['max_tokens'],
                    'priority': 0,
                    **self._names,
                    **({} if stage else first),
                }
            )
        inputs = {}
        for index in range(body['max_tokens']):
            item = await self._step(0, sequence, index, **inputs)
            for stage in range(1, len(self._sockets)):
                item = await self._step(
                    stage, sequence, index, hidden=item['hidden']
                )
            outcome.text += item['text']
            outcome.token_times_s.append(time.monotonic())
            if item['end']:
                break
            inputs = {'token': item['token']}
        for socket in self._sockets:
            await socket.send_json({'type': 'close', 'sequence': sequence})
        outcome.complete = True
        outcome.end_s = time.monotonic()
        return outcome
