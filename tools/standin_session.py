"""One WebSocket between the stand-in engine and an agent."""

import asyncio
import json
import logging

from tools import standin_model as model
from tools import standin_sequences as sequences

LOG = logging.getLogger(__name__)


class Session:
    """One WebSocket of an agent; it owns the sequences opened on it."""

    def __init__(self, engine, socket):
        self.engine = engine
        self.socket = socket
        self.names = set()
        self._outgoing = asyncio.Queue()
        self._handlers = {
            'open': self._open,
            'steps': self._steps,
            'close': self._close,
            'pause': self._pause,
            'resume': self._resume,
            'export': self._export,
            'import': self._import,
        }

    def post(self, message):
        """Queue a message to the agent."""
        self._outgoing.put_nowait(message)

    async def write(self):
        """Send queued messages; steps done together share a message."""
        while True:
            message = await self._outgoing.get()
            while message['type'] == 'done' and not self._outgoing.empty():
                following = self._outgoing.get_nowait()
                if following['type'] != 'done':
                    await self.socket.send_json(message)
                    message = following
                    break
                message['items'].extend(following['items'])
            await self.socket.send_json(message)

    async def read(self):
        """Handle messages until the agent closes the connection."""
        async for received in self.socket:
            self._handle(received.data)

    def _handle(self, data):
        name = ''
        try:
            message = json.loads(data)
            name = message.get('sequence', '')
            self._handlers[message['type']](message)
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            LOG.warning('malformed message: %r', error)
            self.fail(name, 'bad_request', f'malformed message: {error!r}')

    def fail(self, name, code, text):
        """Report a failure of a sequence."""
        self.post(
            {'type': 'failed', 'sequence': name, 'code': code, 'text': text}
        )

    def cancel_all(self):
        """Cancel the sequences of this connection."""
        for name in self.names:
            self.engine.batcher.close(name)
        self.names.clear()

    def _open(self, message):
        name = message['sequence']
        if name in self.engine.batcher.sequences:
            self.fail(name, 'conflict', 'the sequence is already open')
            return
        sequence = self.engine.new_sequence(message)
        if sequence is None:
            self.fail(name, 'not_found', 'other weights are loaded')
            return
        sequence.session = self
        self.names.add(name)
        self.engine.batcher.open(sequence)

    def _steps(self, message):
        for item in message['items']:
            name = item['sequence']
            sequence = self.engine.batcher.sequences.get(name)
            if sequence is None:
                self.fail(name, 'not_found', 'the sequence is not open')
                continue
            work = sequences.Work(item['index'], _inputs(sequence, item))
            self.engine.batcher.submit(sequence, work)

    def _close(self, message):
        self.names.discard(message['sequence'])
        self.engine.batcher.close(message['sequence'])

    def _pause(self, message):
        self.engine.batcher.pause(message['sequence'], True)

    def _resume(self, message):
        self.engine.batcher.pause(message['sequence'], False)

    def _export(self, message):
        name = message['sequence']
        sequence = self.engine.batcher.sequences[name]
        if sequence.work:
            self.fail(name, 'conflict', 'a step of the sequence is running')
            return
        self.post(
            {'type': 'state', 'sequence': name, 'state': sequence.export()}
        )

    def _import(self, message):
        name = message['sequence']
        self.engine.batcher.sequences[name].import_state(message['state'])


def _inputs(sequence, item):
    if 'hidden' in item:
        data = bytes.fromhex(item['hidden'])
        size = model.HIDDEN_BYTES
        return [data[at : at + size] for at in range(0, len(data), size)]
    if 'token' in item:
        return [item['token']]
    return model.prompt_tokens(sequence.prompt) + list(sequence.generated)
