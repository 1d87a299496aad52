"""One agent: its components, its peer server and their shared state."""

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
FENCE_RETRY_DELAY_S = 1.0


@attrs.frozen
class Identity:
    """Identity and addresses of one incarnation of an agent."""

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

    `session` is a `control.client.NodeSession`; it may be set after
    construction but before `start`. `control` has the coroutines
    `report_crash(in_flight)` and `highest_fence()`.
    """

    def __init__(self, identity, session, timers, control):
        self.identity = identity
        self.session = session
        self.timers = timers
        self.control = control
        self.records = sequences.RequestRecords(timers)
        self.suspect_table = suspicion.SuspectTable()
        self.service_healthy = False
        self._engine_ready = asyncio.Event()
        self._tasks = set()
        self._build_roles()
        self._connect_roles()

    def _build_roles(self):
        identity = self.identity
        timers = self.timers
        hello = messages.Hello(
            identity.server_id, 'agent', identity.incarnation, identity.zone
        )
        self.peers = peers.Peers(
            hello,
            self._current_loads,
            self.configuration_version,
            timers,
            self.in_use,
        )
        self.link_delays = links.LinkDelays(identity, self.peers, timers)
        self.engine = engine_client.EngineClient(
            identity.backend_url, timers, self
        )
        self.gate = gate.AdmissionGate(self, timers)
        self.stage = stage.StageRole(
            identity, self.engine, self.peers, self.records, timers, self
        )
        self.load_table = loads.LoadTable(
            identity,
            timers,
            self.own_load,
            self.link_delays,
            self.stage.head_connections,
        )
        self.preparation = preparation.PrepareHandler(
            identity, self.stage, self.peers, self.records, timers, self.gate
        )
        self.head = head.HeadRole(
            identity, self.stage, self.peers, self.records, timers, self.gate
        )
        self.service_calls = service_calls.ServiceCalls(
            identity.backend_url,
            self.records,
            timers,
            self.gate,
            self.check_health,
        )
        self.lifecycle = lifecycle.Lifecycle(self, timers)
        self.orders = orders.OrderHandler(
            identity,
            self.engine,
            identity.data_folder,
            self.control.highest_fence,
            self.lifecycle.begin_drain,
        )
        self.frames = frames.FrameHandlers(self)
        self.server = wire.PeerServer(
            identity.host,
            identity.port,
            hello,
            self._accept,
            version=self.configuration_version,
        )

    def _connect_roles(self):
        self.head.loads = self.service_calls.loads = self._current_loads
        self.head.on_finished = self.service_calls.on_finished = (
            self._on_finished
        )
        self.service_calls.on_crash = self._on_crash
        self.peers.on_frame = self.frames.on_frame
        self.peers.on_unsent = self.stage.on_unsent
        self.peers.on_lost = self._on_link_lost

    def in_use(self):
        """Return whether frames from other stages may be expected."""
        return bool(self.stage.sequences or self.head.attempts)

    def _current_loads(self):
        return self.load_table.current()

    def configuration_version(self):
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
        """Return whether the engine or service accepts work."""
        return self.service_healthy if self.is_plain else self.engine.ready

    def is_busy(self):
        """Return whether any work or unsent frame remains."""
        return bool(
            self.stage.sequences
            or self.head.attempts
            or self.service_calls.calls
            or self.peers.has_unsent()
        )

    async def start(self):
        """Connect to the engine, then listen for peers.

        The new connection to the engine starts without sequences; those of
        an earlier incarnation ended with its connection.
        """
        await self.service_calls.start()
        await self.engine.start(connect=not self.is_plain)
        if self.is_plain:
            await self.update_health()
        else:
            await self._engine_ready.wait()
        self.session.on_configuration(self.configure)
        self.configure()
        await self.server.start()
        self.lifecycle.start()

    async def load_highest_fence(self):
        """Load the highest fencing number; repeat until control answers."""
        while True:
            try:
                await self.orders.load()
                return
            except errors.DamagedData as error:
                LOG.error('orders are refused: %s', error)
                return
            except errors.PimentowalkError as error:
                LOG.warning('fencing number unknown yet: %s', error)
            await self.timers.sleep(FENCE_RETRY_DELAY_S)

    async def stop(self):
        """Stop without waiting for work in progress."""
        self.lifecycle.stop()
        await self.server.stop()
        await self.link_delays.stop()
        await self.preparation.stop()
        await self.head.stop()
        await self.service_calls.stop()
        await self.peers.stop()
        await self.engine.stop()

    def interrupted_requests(self):
        """Return the ids of the requests that a stop now would interrupt."""
        keys = [
            *self.stage.sequences,
            *self.head.attempts,
            *self.service_calls.calls,
        ]
        return sorted({request_id.hex() for request_id, _ in keys})

    def announcement(self):
        """Return the announced record of this backend server."""
        identity = self.identity
        record = instances.BackendServer(
            identity.server_id,
            identity.incarnation,
            identity.service,
            identity.host,
            self.port,
            identity.zone,
            identity.kind,
            draining=self.gate.draining or not self.ready,
        )
        hello = self.engine.last_hello
        return (
            record
            if hello is None
            else attrs.evolve(record, **hello_fields(hello))
        )

    def own_load(self):
        """Return the load of this backend server."""
        if self.is_plain:
            queue = self.service_calls.queue
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
        """Apply the configuration in force."""
        self.gate.on_configuration()
        service = self.session.configuration.services.get(
            self.identity.service
        )
        if service is not None:
            role = self.service_calls if self.is_plain else self.head
            role.configure(service)
            role.admit()

    def _accept(self, connection):
        connection.on_frame = self.frames.on_frame
        connection.on_close = self._on_peer_closed

    def _on_peer_closed(self, connection):
        self.peers.drop_outbox(connection)
        self.head.on_entry_lost(connection)
        self.service_calls.on_entry_lost(connection)
        self.stage.on_head_lost(connection)

    def _on_link_lost(self, address, connection):
        self.stage.on_link_lost(address)
        self.head.on_stage_lost(address)

    def fail_all(self, text):
        """Fail all attempts and sequences and refuse all queued calls."""
        self.head.fail_all(text, 'lease')
        for sequence in list(self.stage.sequences.values()):
            self.stage.fail(sequence, 'outcome_unknown', text, 'lease')
        self.service_calls.refuse_all_queued('not_run')

    async def check_health(self):
        """Return whether the plain service answers its health check."""
        url = f'{self.identity.backend_url.rstrip("/")}/healthz'
        timeout = aiohttp.ClientTimeout(total=HEALTH_TIMEOUT_S)
        try:
            async with self.engine.session.get(url, timeout=timeout) as answer:
                return answer.ok
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def update_health(self):
        """Check the health of a plain service and announce a change."""
        if not self.is_plain:
            return
        healthy = await self.check_health()
        if healthy != self.service_healthy:
            LOG.warning(
                'the service passes its health check'
                if healthy
                else 'the service fails its health check',
                extra=logs.fields(step='health'),
            )
            self.service_healthy = healthy
            await self.session.announce_now()

    async def engine_ready(self, hello):
        """Accept work: the engine is connected or has sent a new hello."""
        self.head.queue.limits = attrs.evolve(
            self.head.queue.limits, max_running=rules.max_head_attempts(hello)
        )
        is_repeated = self._engine_ready.is_set()
        self._engine_ready.set()
        if is_repeated:
            LOG.info('the engine is ready', extra=logs.fields(step='engine'))
            await self.session.announce_now()

    def engine_lost(self):
        """Fail the sequences of the engine and announce that it is lost."""
        LOG.warning('the engine is lost', extra=logs.fields(step='engine'))
        self.head.refuse_all_queued('not_run')
        self._on_crash(self.stage.on_engine_lost())
        self._spawn(self.session.announce_now())

    def engine_done(self, items):
        """Forward the results that the engine has computed."""
        self.lifecycle.check_clock()
        self.stage.on_results(items)

    def engine_failed(self, message):
        """Fail the sequence for which the engine reported an error."""
        self.lifecycle.check_clock()
        self.stage.on_engine_failed(message)

    def local_tokens(self, tokens):
        """Handle tokens of chains that consist of this stage alone."""
        self.head.on_tokens(tokens)

    def stage_failed(self, failure):
        """Handle a failure of the local stage as the head of the attempt."""
        self.head.on_failed(failure)

    def _on_crash(self, lost):
        in_flight = [
            suspicion.InFlightRequest(
                item.fingerprint, item.account, item.request_id, item.attempt
            )
            for item in lost
        ]
        self.suspect_table.record_crash(in_flight)
        for item in in_flight:
            if item.fingerprint:
                self._spawn(self._report_crash(item))

    async def _report_crash(self, item):
        try:
            await self.control.report_crash(item)
        except errors.PimentowalkError as error:
            LOG.warning(
                'crash not reported: %s',
                error,
                extra=logs.fields(request_id=item.request_id),
            )

    def _on_finished(self, frame):
        self.suspect_table.clear(frame.fingerprint)

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def hello_fields(hello):
    """Return the fields of an engine's hello as a dictionary."""
    return attrs.asdict(hello, recurse=False)
