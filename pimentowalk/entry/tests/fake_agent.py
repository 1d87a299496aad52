"""A fake agent in the test process with scripted faults."""

import asyncio

from pimentowalk.core import identifiers
from pimentowalk.topology import instances
from pimentowalk.wire import connection
from pimentowalk.wire import messages

STATES = messages.AttemptState
LAYERS = 8


def token_id(prompt, adapter, seed, index):
    """Return the token of the fake model at an index."""
    return identifiers.hash64(prompt, adapter, f'{seed}/{index}') % 50_000


def reference_text(prompt, count, *, adapter='', seed=1):
    """Return the complete response text of the fake model."""
    return ''.join(
        f'{token_id(prompt, adapter, seed, index)} ' for index in range(count)
    )


def remaining_tokens(frame):
    """Return the tokens that an attempt still has to generate."""
    ranges = [
        messages.LayerRange(stage.first_layer, stage.end_layer)
        for stage in frame.chain
    ]
    tokens = []
    for index in range(len(frame.generated), frame.max_tokens):
        value = token_id(frame.prompt, frame.adapter, frame.seed, index)
        last = index == frame.max_tokens - 1
        tokens.append(
            messages.Token(
                frame.request_id,
                frame.attempt,
                index,
                value,
                f'{value} ',
                ranges,
                last,
                frame.max_tokens if last else 0,
                'length' if last else '',
            )
        )
    return tokens


def status(frame, state, code='', **fields):
    """Return the status of an attempt."""
    return messages.AttemptStatus(
        frame.request_id, frame.attempt, state, code, **fields
    )


def successful_frames(frame):
    """Return the frames of a successful attempt, one token per batch."""
    return [
        status(frame, STATES.QUEUED),
        status(frame, STATES.ADMITTED),
        *(messages.TokenBatch([token]) for token in remaining_tokens(frame)),
        status(frame, STATES.FINISHED),
    ]


async def answer(agent, peer, frame):
    """Run an attempt without a fault."""
    for body in successful_frames(frame):
        await peer.send(body)


def send_changed(change):
    """Return a script that sends the frames `change(frames)` returns."""

    async def run(agent, peer, frame):
        for body in change(successful_frames(frame)):
            await peer.send(body)

    return run


def disconnect_after(count):
    """Return a script that closes the connection after `count` tokens."""

    async def run(agent, peer, frame):
        for body in successful_frames(frame)[: count + 2]:
            await peer.send(body)
        peer.close()

    return run


def fail_after(count):
    """Return a script that fails the attempt after `count` tokens."""

    async def run(agent, peer, frame):
        for body in successful_frames(frame)[: count + 2]:
            await peer.send(body)
        await peer.send(status(frame, STATES.FAILED, 'internal'))

    return run


def stall_after(count):
    """Return a script that sends `count` tokens and then nothing."""

    async def run(agent, peer, frame):
        for body in successful_frames(frame)[: count + 2]:
            await peer.send(body)
        agent.stalled.set()

    return run


def refuse(code='overloaded', **fields):
    """Return a script that refuses the attempt."""

    async def run(agent, peer, frame):
        body = status(frame, STATES.REFUSED, code, **fields)
        await peer.send(body)

    return run


async def send_nothing(agent, peer, frame):
    """Send no frame at all."""
    agent.stalled.set()


async def disconnect(agent, peer, frame):
    """Accept a service call and close the connection without a reply."""
    peer.close()


def reply(frame, state=STATES.FINISHED, **fields):
    """Return the reply to a service call."""
    return messages.ServiceReply(
        frame.request_id, frame.attempt, state, **fields
    )


async def echo_call(agent, peer, frame):
    """Reply to a service call with its method, path and body."""
    body = f'{frame.method} {frame.path} '.encode() + frame.body
    headers = [
        messages.Header('Content-Type', 'text/plain'),
        messages.Header('Connection', 'close'),
        messages.Header('X-Served-By', agent.server_id),
    ]
    await peer.send(reply(frame, status=200, headers=headers, body=body))


class FakeAgent:
    """An agent that handles calls with scripts set by the test."""

    def __init__(self, server_id, first=0, end=LAYERS, *, kind='stage'):
        self.server_id = server_id
        self.incarnation = 7
        self.layers = (first, end)
        self.kind = kind
        self.script = answer
        self.service_script = echo_call
        self.query_state = None
        self.opened = []
        self.calls = []
        self.closed = []
        self.queries = []
        self.peers = []
        self.stalled = asyncio.Event()
        self.close_seen = asyncio.Event()
        self._tasks = set()
        self.server = connection.PeerServer(
            '127.0.0.1',
            0,
            messages.Hello(server_id, 'agent', self.incarnation),
            self._accept,
        )

    async def start(self):
        await self.server.start()

    async def stop(self):
        for task in list(self._tasks):
            task.cancel()
        await self.server.stop()

    def record(self, *, zone='z1', adapters=('formal',), **fields):
        """Return the record that this agent announces."""
        plain = self.kind == instances.PLAIN
        return instances.BackendServer(
            server_id=self.server_id,
            incarnation=self.incarnation,
            service='bookings' if plain else 'assist',
            host='127.0.0.1',
            port=self.server.port,
            zone=zone,
            kind=self.kind,
            model='' if plain else 'm1',
            version='' if plain else 'v1',
            adapters=list(adapters),
            first_layer=0 if plain else self.layers[0],
            end_layer=0 if plain else self.layers[1],
            total_layers=0 if plain else LAYERS,
            capacity_tokens_per_s=1000.0,
            **fields,
        )

    def _accept(self, peer):
        self.peers.append(peer)
        peer.on_frame = self._on_frame

    async def _on_frame(self, peer, envelope):
        body = envelope.body
        if isinstance(body, messages.OpenAttempt):
            self.opened.append(body)
            self._start(self.script(self, peer, body))
        elif isinstance(body, messages.ServiceCall):
            self.calls.append(body)
            self._start(self.service_script(self, peer, body))
        elif isinstance(body, messages.CloseAttempt):
            self.closed.append(body)
            self.close_seen.set()
        elif isinstance(body, messages.AttemptQuery):
            self.queries.append(body)
            state = self.query_state or self._attempt_state(body)
            await peer.reply(envelope, status(body, state))

    def _attempt_state(self, query):
        """Report an attempt that has arrived here as admitted."""
        received = [
            (frame.request_id, frame.attempt)
            for frame in self.opened + self.calls
        ]
        if query.incarnation != self.incarnation:
            return STATES.FAILED
        if (query.request_id, query.attempt) in received:
            return STATES.ADMITTED
        return STATES.CANCELLED

    def _start(self, script_run):
        task = asyncio.ensure_future(script_run)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
