"""One agent: its roles, its peer server and what they share."""

import asyncio
import logging

import aiohttp
import attrs

from pimentowalk.admission import suspicion
from pimentowalk.agent import engine_client
from pimentowalk.agent import frames
from pimentowalk.agent import gate
from pimentowalk.agent import head
from pimentowalk.agent import lifecycle
from pimentowalk.agent import links
from pimentowalk.agent import loads
from pimentowalk.agent import orders
from pimentowalk.agent import peers
from pimentowalk.agent import preparation
from pimentowalk.agent import rules
from pimentowalk.agent import sequences
from pimentowalk.agent import service_calls
from pimentowalk.agent import stage
from pimentowalk.core import errors
from pimentowalk.core import logs
from pimentowalk.topology import instances
from pimentowalk.wire import connection as wire
from pimentowalk.wire import messages

LOG = logging.getLogger(__name__)

HEALTH_TIMEOUT_S = 2.0


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
    data_folder: str = ''


class Agent:
    """Serve peers on behalf of one backend server.

    `session` is a `control.client.NodeSession`, or set later, before
    `start`. `control` has `report_crash(in_flight)` and `highest_fence()`.
    """

    def __init__(self, identity, session, timers, control):
        self.identity = identity
        self.session = session
        self.timers = timers
        self.control = control
        self.records = sequences.RequestRecords(timers)
        self.suspicion = suspicion.SuspectTable()
        self.service_alive = False
        self._engine_ready = asyncio.Event()
        self._tasks = set()
        self._build_roles()
        self._connect_roles()

    def _build_roles(self):
        own = self.identity
        timers = self.timers
        hello = messages.Hello(
            own.server_id, 'agent', own.incarnation, own.zone
        )
        self.peers = peers.Peers(
            hello, self._current_loads, self.version, timers, self.in_use
        )
        self.links = links.LinkDelays(own, self.peers, timers)
        self.engine = engine_client.EngineClient(own.backend_url, timers, self)
        self.gate = gate.Gate(self, timers)
        self.stage = stage.StageRole(
            own, self.engine, self.peers, self.records, timers, self
        )
        self.load_table = loads.Loads(
            own, timers, self.own_load, self.links, self.stage.heads
        )
        self.preparation = preparation.Preparation(
            own, self.stage, self.peers, self.records, timers, self.gate
        )
        self.head = head.HeadRole(
            own, self.stage, self.peers, self.records, timers, self.gate
        )
        self.calls = service_calls.ServiceCalls(
            own.backend_url, self.records, timers, self.gate, self.check_alive
        )
        self.lifecycle = lifecycle.Lifecycle(self, timers)
        self.orders = orders.Orders(
            own,
            self.engine,
            own.data_folder,
            self.control.highest_fence,
            self.lifecycle.begin_drain,
        )
        self.frames = frames.FrameHandlers(self)
        self.server = wire.PeerServer(
            own.host, own.port, hello, self._accept, version=self.version
        )

    def _connect_roles(self):
        self.head.loads = self.calls.loads = self._current_loads
        self.head.on_finished = self.calls.on_finished = self._finished
        self.calls.on_crash = self._crashed
        self.peers.on_frame = self.frames.on_frame
        self.peers.on_unsent = self.stage.on_unsent
        self.peers.on_lost = self._link_lost

    def in_use(self):
        """Return whether answers of other stages may be outstanding."""
        return bool(self.stage.sequences or self.head.attempts)

    def _current_loads(self):
        return self.load_table.current()

    def version(self):
        """Return the configuration version in force."""
        return self.session.configuration.version

    @property
    def port(self):
        """Return the port of the peer server."""
        return self.server.port

    @property
    def is_plain(self):
        """Return whether the backend server is a plain service."""
        return self.identity.kind == instances.PLAIN

    @property
    def ready(self):
        """Return whether the engine or service can take work."""
        return self.service_alive if self.is_plain else self.engine.ready

    def is_busy(self):
        """Return whether any work or unsent frame is left."""
        return bool(
            self.stage.sequences
            or self.head.attempts
            or self.calls.calls
            or self.peers.has_unsent()
        )

    async def start(self):
        """Connect to the engine and then listen for peers.

        The new connection to the engine has no sequences, and those of an
        earlier life ended with the connection of that life.
        """
        await self.calls.start()
        await self.engine.start(connect=not self.is_plain)
        if self.is_plain:
            await self.check_service()
        else:
            await self._engine_ready.wait()
        self.session.on_configuration(self.configure)
        self.configure()
        await self.server.start()
        self.lifecycle.start()

    async def load_fence(self):
        """Learn the highest fencing number, now or before an order."""
        try:
            await self.orders.load()
        except errors.PimentowalkError as error:
            LOG.warning('fencing number unknown yet: %s', error)

    async def stop(self):
        """Close everything at once."""
        self.lifecycle.stop()
        await self.server.stop()
        await self.links.stop()
        await self.preparation.stop()
        await self.head.stop()
        await self.calls.stop()
        await self.peers.stop()
        await self.engine.stop()

    def cut(self):
        """Return the ids of the requests that a stop now would cut."""
        keys = [*self.stage.sequences, *self.head.attempts, *self.calls.calls]
        return sorted({request_id.hex() for request_id, _ in keys})

    def announcement(self):
        """Return the record of this backend server."""
        own = self.identity
        record = instances.BackendServer(
            own.server_id,
            own.incarnation,
            own.service,
            own.host,
            self.port,
            own.zone,
            own.kind,
            draining=self.gate.draining or not self.ready,
        )
        hello = self.engine.last_hello
        return (
            record if hello is None else attrs.evolve(record, **vars_of(hello))
        )

    def own_load(self):
        """Return the load of this backend server."""
        if self.is_plain:
            queue = self.calls.queue
            running = len(queue.running)
            return messages.StageLoad(
                self.identity.server_id,
                int(queue.waiting_cost) + running,
                running,
                0.0,
            )
        waiting = int(self.head.queue.waiting_cost)
        return messages.StageLoad(
            self.identity.server_id,
            waiting + self.stage.remaining_tokens,
            len(self.stage.sequences),
            self.stage.tokens_per_s,
        )

    def configure(self, *_):
        """Take over the configuration in force."""
        self.gate.on_configuration()
        service = self.session.configuration.services.get(
            self.identity.service
        )
        if service is not None:
            role = self.calls if self.is_plain else self.head
            role.configure(service)
            role.admit()

    def _accept(self, connection):
        connection.on_frame = self.frames.on_frame
        connection.on_close = self._peer_closed

    def _peer_closed(self, connection):
        self.peers.forget(connection)
        self.head.on_entry_lost(connection)
        self.calls.on_entry_lost(connection)
        self.stage.on_head_lost(connection)

    def _link_lost(self, address, connection):
        self.stage.on_link_lost(address)
        self.head.on_stage_lost(address)

    def drop_all(self, text):
        """Give up everything that is under way."""
        self.head.fail_all(text, 'lease')
        for sequence in list(self.stage.sequences.values()):
            self.stage.fail(sequence, 'outcome_unknown', text, 'lease')
        self.calls.refuse_queued('not_run')

    async def check_alive(self):
        """Return whether the plain service answers its health check."""
        url = f'{self.identity.backend_url.rstrip("/")}/healthz'
        timeout = aiohttp.ClientTimeout(total=HEALTH_TIMEOUT_S)
        try:
            async with self.engine.session.get(url, timeout=timeout) as answer:
                return answer.ok
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def check_service(self):
        """Announce a change in the health of a plain service."""
        if not self.is_plain:
            return
        alive = await self.check_alive()
        if alive != self.service_alive:
            LOG.warning(
                'the service answers again'
                if alive
                else 'the service fails its health check',
                extra=logs.fields(step='health'),
            )
            self.service_alive = alive
            await self.session.announce_now()

    async def engine_ready(self, hello):
        """Take work: the engine is connected or has loaded something."""
        self.head.queue.limits = attrs.evolve(
            self.head.queue.limits, max_running=rules.head_places(hello)
        )
        again = self._engine_ready.is_set()
        self._engine_ready.set()
        if again:
            LOG.info('the engine is ready', extra=logs.fields(step='engine'))
            await self.session.announce_now()

    def engine_lost(self):
        """Fail what ran on the engine and announce that it is away."""
        LOG.warning('the engine is lost', extra=logs.fields(step='engine'))
        self.head.refuse_queued('not_run')
        self._crashed(self.stage.on_engine_lost())
        self._spawn(self.session.announce_now())

    def engine_done(self, items):
        """Pass on what the engine has computed."""
        self.lifecycle.check_clock()
        self.stage.on_results(items)

    def engine_failed(self, message):
        """End the sequence that the engine gave up."""
        self.lifecycle.check_clock()
        self.stage.on_engine_failed(message)

    def local_tokens(self, tokens):
        """Handle tokens of chains that consist of this stage alone."""
        self.head.on_tokens(tokens)

    def stage_failed(self, failure):
        """Handle a failure of this agent's own stage as the head."""
        self.head.on_failed(failure)

    def _crashed(self, lost):
        in_flight = [
            suspicion.InFlightRequest(
                item.fingerprint, item.account, item.request_id, item.attempt
            )
            for item in lost
        ]
        self.suspicion.record_crash(in_flight)
        for item in in_flight:
            if item.fingerprint:
                self._spawn(self._report(item))

    async def _report(self, item):
        try:
            await self.control.report_crash(item)
        except errors.PimentowalkError as error:
            LOG.warning(
                'crash not reported: %s',
                error,
                extra=logs.fields(request_id=item.request_id),
            )

    def _finished(self, frame):
        self.suspicion.clear(frame.fingerprint)

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def vars_of(hello):
    """Return the fields of an engine's hello as a dictionary."""
    return attrs.asdict(hello, recurse=False)
