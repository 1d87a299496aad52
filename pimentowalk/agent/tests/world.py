"""Simulation of two agents on a network that repeats and reorders frames.

The head, stage and preparation are the real code; engines, connections and
the entry are simulated.
"""

import asyncio
import types

from pimentowalk.admission import suspicion
from pimentowalk.agent import engine_client
from pimentowalk.agent import gate
from pimentowalk.agent import head
from pimentowalk.agent import node
from pimentowalk.agent import preparation
from pimentowalk.agent import sequences
from pimentowalk.agent import stage
from pimentowalk.agent.tests import fake_engines
from pimentowalk.agent.tests import fakes
from pimentowalk.core import errors
from pimentowalk.core import timers
from pimentowalk.wire import messages

REQUEST = b'r' * 16
TOKENS = 3
ATTEMPTS = 3
# Iterations of the event loop until every task has reached its next await.
SETTLE_TURNS = 6
CHAIN = [
    messages.StageAddress('agent-0', 1, '127.0.0.1', 1, 0, 2),
    messages.StageAddress('agent-1', 1, '127.0.0.1', 2, 2, 4),
]


class Engine:
    """A simulated engine that records the steps that it receives."""

    def __init__(self, simulation, position):
        self.simulation = simulation
        self.position = position
        layers = ((0, 2), (2, 4))[position]
        self.hello = engine_client.EngineHello(
            fake_engines.MODEL, fake_engines.VERSION, [], *layers, 4, 2, 100.0
        )
        self.last_hello = self.hello
        self.ready = True
        self.pending = []

    def open(self, sequence, **fields):
        pass

    def close(self, sequence):
        self.pending = [
            item for item in self.pending if item['sequence'] != sequence
        ]

    def step(self, item):
        attempt = int(item['sequence'].rsplit('-')[-1])
        self.simulation.record_step(self.position, attempt, item['index'])
        self.pending.append(item)

    def compute(self):
        """Return the results of the pending steps and clear them."""
        items, self.pending = self.pending, []
        return [
            {
                **item,
                'hidden': '00' * 8,
                'token': 1,
                'text': '',
                'end': item['index'] + 1 >= TOKENS,
            }
            for item in items
        ]


class Connection:
    """Both ends of the connection between the head and the stage."""

    def __init__(self, simulation):
        self.simulation = simulation
        self.closed = False
        self.replies = {}

    async def call(self, frame, timeout_s):
        future = asyncio.get_running_loop().create_future()
        self.replies[frame.attempt] = future
        self.simulation.send('stage', frame)
        body = await future
        if isinstance(body, messages.Failure):
            raise errors.NotRun(body.text, code=body.code)

    async def reply(self, envelope, body):
        self.reply_to(envelope.body, body)

    def reply_to(self, frame, body):
        """Reply to the call of a frame unless it has a reply already."""
        future = self.replies.get(frame.attempt)
        if future is not None and not future.done():
            future.set_result(body)


class Peers:
    """Send all outgoing frames over the simulated network."""

    def __init__(self, simulation):
        self.simulation = simulation

    async def connection(self, stage):
        return self.simulation.connection

    def to_stage(self, stage, item):
        self.simulation.send('stage', item)

    def to_peer(self, connection, item):
        target = 'entry' if connection is self.simulation.entry else 'head'
        self.simulation.send(target, item)


class Simulation:
    """Two agents, an entry and one request.

    `sent` holds all frames that were ever sent, which may be delivered any
    number of times, and `undelivered` those not yet delivered.
    """

    def __init__(self):
        self.timers = timers.ManualTimerService()
        self.sent = []
        self.steps_run = []
        self.reported_states = []
        self.undelivered = []
        self.violations = []
        self.highest_fenced = [-1, -1]
        self.entry = object()
        self.connection = Connection(self)
        self.latest_attempt = 0
        self.received_tokens = 0
        self.peers = Peers(self)
        self.engines = [Engine(self, position) for position in (0, 1)]
        self.records = [sequences.RequestRecords(self.timers) for _ in (0, 1)]
        self.stages = [self._stage(position) for position in (0, 1)]
        self.gate = self._gate()
        self.head = head.HeadRole(
            self._identity(0),
            self.stages[0],
            self.peers,
            self.records[0],
            self.timers,
            self.gate,
        )
        self.preparation = preparation.PrepareHandler(
            self._identity(1),
            self.stages[1],
            self.peers,
            self.records[1],
            self.timers,
            self._gate(),
        )

    def _identity(self, position):
        return node.Identity(f'agent-{position}', 1, 'brass')

    def _stage(self, position):
        listener = types.SimpleNamespace(
            local_tokens=lambda tokens: self.head.on_tokens(tokens),
            stage_failed=lambda failure: self.head.on_failed(failure),
        )
        return stage.StageRole(
            self._identity(position),
            self.engines[position],
            self.peers,
            self.records[position],
            self.timers,
            listener,
        )

    def _gate(self):
        """Return the gate of an agent that is ready and has no suspects."""
        agent = types.SimpleNamespace(
            session=fakes.FakeSession(),
            suspect_table=suspicion.SuspectTable(),
            ready=True,
        )
        return gate.AdmissionGate(agent, self.timers)

    def send(self, target, frame):
        """Send a frame over the network, which keeps it for redelivery."""
        self.sent.append((target, frame))
        self.undelivered.append((target, frame))
        if target == 'entry' and isinstance(frame, messages.AttemptStatus):
            self.reported_states.append((frame.attempt, frame.state))

    def record_step(self, position, attempt, index):
        """Check a step when an engine receives it and record violations.

        They are raised later by `check`, outside the tasks of the agents.
        """
        earlier = [
            run_index
            for run_position, run_attempt, run_index in self.steps_run
            if (run_position, run_attempt) == (position, attempt)
        ]
        starts_attempt = position == 0 and not earlier
        if index in earlier:
            self.violations.append('a step ran twice')
        elif earlier and index != earlier[-1] + 1:
            self.violations.append('a step ran out of order')
        if attempt <= self.highest_fenced[position]:
            self.violations.append('a fenced attempt ran')
        if starts_attempt and self.gate.draining:
            self.violations.append('admitted while draining')
        self.steps_run.append((position, attempt, index))

    def check(self):
        """Raise AssertionError if any invariant was violated so far."""
        assert not self.violations, self.violations
        ran = {attempt for _, attempt, _ in self.steps_run}
        for attempt, state in self.reported_states:
            never_admitted = state in messages.NEVER_ADMITTED
            assert not (never_admitted and attempt in ran), (
                f'{state} but it ran'
            )

    def progress_actions(self):
        """Return the actions that make progress on the request."""
        actions = [
            lambda target=target, frame=frame: self.deliver(target, frame)
            for target, frame in self.undelivered
        ]
        for position in (0, 1):
            if self.engines[position].pending:
                actions.append(
                    lambda position=position: self.compute(position)
                )
        return actions

    def fault_actions(self):
        """Return redeliveries, faults and new attempts; never empty."""
        actions = [
            lambda target=target, frame=frame: self.deliver(target, frame)
            for target, frame in self.sent
        ]
        if self.latest_attempt < ATTEMPTS and self.received_tokens < TOKENS:
            actions.append(self.next_attempt)
        if self.stages[1].sequences:
            actions.append(self.crash)
        if not self.gate.draining and self.latest_attempt > 1:
            actions.append(self.drain)
        return actions

    def compute(self, position):
        """Let an engine complete its pending steps."""
        self.stages[position].on_results(self.engines[position].compute())

    def next_attempt(self):
        """Close the current attempt and open the next one."""
        self.latest_attempt += 1
        frame = fakes.open_attempt(
            CHAIN,
            request_id=REQUEST,
            attempt=self.latest_attempt,
            generated=[1] * self.received_tokens,
            max_tokens=TOKENS,
        )
        if self.latest_attempt > 1:
            close = messages.CloseAttempt(REQUEST, self.latest_attempt - 1)
            self.send('head', close)
        self.send('head', frame)

    def crash(self):
        """Crash the engine of the later stage, which restarts at once."""
        self.engines[1].pending.clear()
        self.stages[1].on_engine_lost()

    def drain(self):
        """Start draining the head."""
        self.gate.draining = True
        self.head.refuse_all_queued('draining')

    def deliver(self, target, frame):
        """Deliver a frame to its receiver, possibly once more."""
        self.undelivered = [
            sent for sent in self.undelivered if sent[1] is not frame
        ]
        if target == 'entry':
            self._at_entry(frame)
        elif target == 'head':
            self._at_head(frame)
        else:
            self._at_stage(frame)

    def _at_entry(self, frame):
        if isinstance(frame, messages.Token):
            if (frame.attempt, frame.token_index) == (
                self.latest_attempt,
                self.received_tokens,
            ):
                self.received_tokens += 1

    def _at_head(self, frame):
        if isinstance(frame, messages.OpenAttempt):
            self.head.open(self.entry, frame)
        elif isinstance(frame, messages.CloseAttempt):
            self.head.close(self.entry, frame)
            self.stages[0].close(frame.request_id, frame.attempt)
            self.highest_fenced[0] = max(self.highest_fenced[0], frame.attempt)
        elif isinstance(frame, messages.Token):
            self.head.on_tokens([frame])
        elif isinstance(frame, messages.StepFailed):
            self.head.on_failed(frame)

    def _at_stage(self, frame):
        if isinstance(frame, messages.PrepareAttempt):
            envelope = types.SimpleNamespace(body=frame, call_id=2)
            try:
                self.preparation.handle(self.connection, envelope)
            except errors.NotRun as error:
                failure = messages.Failure(error.code, error.message)
                self.connection.reply_to(frame, failure)
        elif isinstance(frame, messages.CloseAttempt):
            self.stages[1].close(frame.request_id, frame.attempt)
            self.highest_fenced[1] = max(self.highest_fenced[1], frame.attempt)
        elif isinstance(frame, messages.Step):
            self.stages[1].on_steps(messages.StepBatch([frame]))


async def run_schedule(choices):
    """Run the actions that the choices select; return the simulation.

    Two thirds of the choices make progress; the others redeliver a frame,
    crash the engine, drain or open the next attempt. Two attempts are open
    from the start, so that a fence often arrives before its attempt.
    """
    simulation = Simulation()
    simulation.next_attempt()
    simulation.next_attempt()
    for choice in choices:
        actions = simulation.progress_actions()
        if choice % 3 == 0 or not actions:
            actions = simulation.fault_actions()
        actions[choice // 3 % len(actions)]()
        for _ in range(SETTLE_TURNS):
            await asyncio.sleep(0)
        simulation.check()
    await simulation.head.stop()
    await simulation.preparation.stop()
    return simulation
