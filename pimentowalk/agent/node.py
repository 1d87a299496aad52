"""One agent: its roles, its peer server and what they share."""

import asyncio
import logging

import attrs

from pimentowalk.agent import engine_client
from pimentowalk.agent import gate
from pimentowalk.agent import head
from pimentowalk.agent import peers
from pimentowalk.agent import sequences
from pimentowalk.agent import service_calls
from pimentowalk.agent import stage
from pimentowalk.core import errors
from pimentowalk.topology import instances
from pimentowalk.wire import connection as wire
from pimentowalk.wire import messages

LOG = logging.getLogger(__name__)


@attrs.frozen
class Identity:
    """What one life of an agent is called and where it listens."""

    server_id: str
    incarnation: int
    service: str
    kind: str = instances.STAGE
    zone: str = ''
    host: str = '127.0.0.1'
    port: int = 0
    backend_url: str = ''


class Agent:
    """Serve peers on behalf of one backend server.

    `session` is a `control.client.NodeSession`.
    """

    def __init__(self, identity, session, timers):
        self.identity = identity
        self.session = session
        self.timers = timers
        self.records = sequences.Records(timers)
        hello = messages.Hello(
            identity.server_id, 'agent', identity.incarnation, identity.zone
        )
        self.peers = peers.Peers(hello, self.loads, self._version)
        self.engine = engine_client.EngineClient(
            identity.backend_url, timers, self
        )
        self.gate = gate.Gate(identity, session, timers, self._is_ready)
        self.stage = stage.StageRole(
            identity, self.engine, self.peers, self.records, timers, self
        )
        self.head = head.HeadRole(
            identity, self.stage, self.peers, self.records, timers, self.gate
        )
        self.calls = service_calls.ServiceCalls(
            identity.backend_url, self.records, timers, self.gate, self._alive
        )
        self.head.loads = self.calls.loads = self.loads
        self.peers.on_frame = self.on_frame
        self.peers.on_unsent = self.stage.on_unsent
        self.peers.on_lost = self._link_lost
        self.server = wire.PeerServer(
            identity.host,
            identity.port,
            hello,
            self._accept,
            version=self._version,
        )
        self._engine_ready = asyncio.Event()
        self._tasks = set()
        self._handlers = {
            messages.OpenAttempt: self._open_attempt,
            messages.PrepareAttempt: self._prepare_attempt,
            messages.CloseAttempt: self._close_attempt,
            messages.StepBatch: self._step_batch,
            messages.TokenBatch: self._token_batch,
            messages.StepFailed: self._step_failed,
            messages.ServiceCall: self._service_call,
        }

    def _version(self):
        return self.session.configuration.version

    @property
    def port(self):
        """Return the port of the peer server."""
        return self.server.port

    def _is_ready(self):
        if self.identity.kind == instances.PLAIN:
            return True
        return self.engine.ready

    async def _alive(self):
        return True

    async def start(self):
        """Connect to the engine and listen for peers."""
        if self.identity.kind == instances.PLAIN:
            await self.calls.start()
        else:
            await self.engine.start()
            await self._engine_ready.wait()
        await self.server.start()

    async def stop(self):
        """Close everything at once."""
        await self.server.stop()
        await self.head.stop()
        await self.calls.stop()
        await self.peers.stop()
        await self.engine.stop()

    def loads(self):
        """Return the load of this backend server."""
        return []

    def _accept(self, connection):
        connection.on_frame = self.on_frame
        connection.on_close = self._peer_closed

    async def on_frame(self, connection, envelope):
        """Handle one frame of a peer."""
        self.session.note_version(envelope.config_version)
        handler = self._handlers.get(type(envelope.body))
        if handler is None:
            await wire.ignore_frame(connection, envelope)
        await handler(connection, envelope)

    async def _open_attempt(self, connection, envelope):
        self.head.open(connection, envelope.body)

    async def _prepare_attempt(self, connection, envelope):
        # The reply can wait for a dial, so later frames are not held up.
        await self._prepare(connection, envelope)

    async def _prepare(self, connection, envelope):
        frame = envelope.body
        record = self.records.of(frame.request_id)
        if frame.attempt <= record.closed or frame.attempt <= record.highest:
            raise errors.NotRun('the attempt is fenced', step='prepare')
        code = self.gate.refusal(frame)
        self.stage.check_prepare(frame, code)
        record.highest = frame.attempt
        self.stage.release_below(frame.request_id, frame.attempt)
        sequence = sequences.Sequence(
            frame.request_id,
            frame.attempt,
            frame.chain,
            frame.position,
            frame.first_index,
            frame.max_tokens,
            frame.account,
            frame.fingerprint,
            frame.isolate,
            connection,
        )
        self.stage.open(sequence, frame)
        await connection.reply(envelope, messages.Empty())

    async def _close_attempt(self, connection, envelope):
        frame = envelope.body
        if self.identity.kind == instances.PLAIN:
            self.calls.close(frame)
            return
        if connection.hello.role == 'entry':
            self.head.close(connection, frame)
        self.stage.close(frame.request_id, frame.attempt)

    async def _step_batch(self, connection, envelope):
        self.stage.on_steps(envelope.body)

    async def _token_batch(self, connection, envelope):
        self.head.on_tokens(envelope.body.tokens)

    async def _step_failed(self, connection, envelope):
        self.head.on_failed(envelope.body)

    async def _service_call(self, connection, envelope):
        def answer(reply):
            if envelope.call_id:
                connection.post(reply, call_id=envelope.call_id | 1)
            else:
                self.peers.to_peer(connection, reply)

        self.calls.open(connection, envelope.body, answer)

    def _peer_closed(self, connection):
        self.peers.forget(connection)
        self.head.on_entry_lost(connection)
        self.calls.on_entry_lost(connection)
        self.stage.on_head_lost(connection)

    def _link_lost(self, address, connection):
        self.stage.on_link_lost(address)
        self.head.on_stage_lost(address)

    async def engine_ready(self, hello):
        """Take work again: the engine is connected."""
        self.head.queue.limits = attrs.evolve(
            self.head.queue.limits, max_running=hello.max_running
        )
        self._engine_ready.set()

    def engine_lost(self):
        """Fail what ran on the engine."""
        self.stage.on_engine_lost()

    def engine_done(self, items):
        """Pass on what the engine has computed."""
        self.stage.on_done(items)

    def engine_failed(self, message):
        """End the sequence that the engine gave up."""
        self.stage.on_engine_failed(message)

    def engine_load(self, message):
        """Note the load that the engine reports."""

    def local_tokens(self, tokens):
        """Handle tokens of chains that consist of this stage alone."""
        self.head.on_tokens(tokens)

    def stage_failed(self, failure):
        """Handle a failure of this agent's own stage as the head."""
        self.head.on_failed(failure)
