"""The real roles of two agents on a network that repeats and reorders."""

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
# Turns of the loop that let every task reach its next wait.
SETTLE_TURNS = 6
CHAIN = [
    messages.StageAddress('agent-0', 1, '127.0.0.1', 1, 0, 2),
    messages.StageAddress('agent-1', 1, '127.0.0.1', 2, 2, 4),
]


class Engine:
    """An engine in memory that notes the steps it was given."""

    def __init__(self, world, place):
        self.world = world
        self.place = place
        layers = ((0, 2), (2, 4))[place]
        self.hello = engine_client.EngineHello(
            fake_engines.MODEL, fake_engines.VERSION, [], *layers, 4, 2, 100.0
        )
        self.last_hello = self.hello
        self.ready = True
        self.pending = []

    def open(self, sequence, **fields):
        pass

    def close(self, sequence):
        self.pending = [i for i in self.pending if i['sequence'] != sequence]

    def step(self, item):
        attempt = int(item['sequence'].rsplit('-')[-1])
        self.world.note_run(self.place, attempt, item['index'])
        self.pending.append(item)

    def compute(self):
        """Return the results of the pending steps."""
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
    """The head's end of its connection to the stage, and the other end."""

    def __init__(self, world):
        self.world = world
        self.closed = False
        self.answers = {}

    async def call(self, frame, timeout_s):
        answer = asyncio.get_running_loop().create_future()
        self.answers[frame.attempt] = answer
        self.world.send('stage', frame)
        body = await answer
        if isinstance(body, messages.Failure):
            raise errors.NotRun(body.text, code=body.code)

    async def reply(self, envelope, body):
        self.answer(envelope.body, body)

    def answer(self, frame, body):
        """Answer the call of a frame unless it was answered before."""
        answer = self.answers.get(frame.attempt)
        if answer is not None and not answer.done():
            answer.set_result(body)


class Peers:
    """Put every outgoing frame on the network of the world."""

    def __init__(self, world):
        self.world = world

    async def connection(self, stage):
        return self.world.link

    def to_stage(self, stage, item):
        self.world.send('stage', item)

    def to_peer(self, connection, item):
        target = 'entry' if connection is self.world.entry else 'head'
        self.world.send(target, item)


class World:
    """Two agents, one entry and one request.

    `sent` holds each frame that was ever sent; `deliver` may take any of
    them again.
    """

    def __init__(self):
        self.timers = timers.ManualTimerService()
        self.sent = []
        self.runs = []
        self.reports = []
        self.fresh = []
        self.wrong = []
        self.fenced = [-1, -1]
        self.entry = object()
        self.link = Connection(self)
        self.attempt = 0
        self.received = 0
        self.peers = Peers(self)
        self.engines = [Engine(self, place) for place in (0, 1)]
        self.records = [sequences.RequestRecords(self.timers) for _ in (0, 1)]
        self.stages = [self._stage(place) for place in (0, 1)]
        self.gate = self._gate()
        self.head = head.HeadRole(
            self._own(0),
            self.stages[0],
            self.peers,
            self.records[0],
            self.timers,
            self.gate,
        )
        self.preparation = preparation.Preparation(
            self._own(1),
            self.stages[1],
            self.peers,
            self.records[1],
            self.timers,
            self._gate(),
        )

    def _own(self, place):
        return node.Identity(f'agent-{place}', 1, 'brass')

    def _stage(self, place):
        events = types.SimpleNamespace(
            local_tokens=lambda tokens: self.head.on_tokens(tokens),
            stage_failed=lambda failure: self.head.on_failed(failure),
        )
        return stage.StageRole(
            self._own(place),
            self.engines[place],
            self.peers,
            self.records[place],
            self.timers,
            events,
        )

    def _gate(self):
        """Return a gate of an agent that is ready and has no suspects."""
        agent = types.SimpleNamespace(
            session=fakes.FakeSession(),
            suspicion=suspicion.SuspectTable(),
            ready=True,
        )
        return gate.Gate(agent, self.timers)

    def send(self, target, frame):
        """Put a frame on the network, where it stays."""
        self.sent.append((target, frame))
        self.fresh.append((target, frame))
        if target == 'entry' and isinstance(frame, messages.AttemptStatus):
            self.reports.append((frame.attempt, frame.state))

    def note_run(self, place, attempt, index):
        """Check a step at the moment in which an engine gets it.

        What is wrong is raised by `check`, outside the agents' own tasks.
        """
        earlier = [i for p, a, i in self.runs if (p, a) == (place, attempt)]
        first = place == 0 and not earlier
        if index in earlier:
            self.wrong.append('a step ran twice')
        elif earlier and index != earlier[-1] + 1:
            self.wrong.append('a step ran out of order')
        if attempt <= self.fenced[place]:
            self.wrong.append('a fenced attempt ran')
        if first and self.gate.draining:
            self.wrong.append('admitted while draining')
        self.runs.append((place, attempt, index))

    def check(self):
        """Raise AssertionError if anything went wrong so far."""
        assert not self.wrong, self.wrong
        ran = {attempt for _, attempt, _ in self.runs}
        for attempt, state in self.reports:
            never = state in messages.NEVER_ADMITTED
            assert not (never and attempt in ran), f'{state} but it ran'

    def progress(self):
        """Return what brings the request further."""
        found = [lambda t=t, f=f: self.deliver(t, f) for t, f in self.fresh]
        for place in (0, 1):
            if self.engines[place].pending:
                found.append(lambda place=place: self.compute(place))
        return found

    def disturbances(self):
        """Return what else can happen, at least one action."""
        found = [lambda t=t, f=f: self.deliver(t, f) for t, f in self.sent]
        if self.attempt < ATTEMPTS and self.received < TOKENS:
            found.append(self.next_attempt)
        if self.stages[1].sequences:
            found.append(self.crash)
        if not self.gate.draining and self.attempt > 1:
            found.append(self.drain)
        return found

    def compute(self, place):
        """Let an engine finish what it has."""
        self.stages[place].on_results(self.engines[place].compute())

    def next_attempt(self):
        """Close the present attempt and open the next one."""
        self.attempt += 1
        frame = fakes.open_attempt(
            CHAIN,
            request_id=REQUEST,
            attempt=self.attempt,
            generated=[1] * self.received,
            max_tokens=TOKENS,
        )
        if self.attempt > 1:
            close = messages.CloseAttempt(REQUEST, self.attempt - 1)
            self.send('head', close)
        self.send('head', frame)

    def crash(self):
        """Lose the engine of the later stage; it is back at once."""
        self.engines[1].pending.clear()
        self.stages[1].on_engine_lost()

    def drain(self):
        """Begin to drain the head."""
        self.gate.draining = True
        self.head.refuse_queued('draining')

    def deliver(self, target, frame):
        """Hand a frame to its receiver, perhaps not for the first time."""
        self.fresh = [one for one in self.fresh if one[1] is not frame]
        if target == 'entry':
            self._at_entry(frame)
        elif target == 'head':
            self._at_head(frame)
        else:
            self._at_stage(frame)

    def _at_entry(self, frame):
        if isinstance(frame, messages.Token):
            if (frame.attempt, frame.token_index) == (
                self.attempt,
                self.received,
            ):
                self.received += 1

    def _at_head(self, frame):
        if isinstance(frame, messages.OpenAttempt):
            self.head.open(self.entry, frame)
        elif isinstance(frame, messages.CloseAttempt):
            self.head.close(self.entry, frame)
            self.stages[0].close(frame.request_id, frame.attempt)
            self.fenced[0] = max(self.fenced[0], frame.attempt)
        elif isinstance(frame, messages.Token):
            self.head.on_tokens([frame])
        elif isinstance(frame, messages.StepFailed):
            self.head.on_failed(frame)

    def _at_stage(self, frame):
        if isinstance(frame, messages.PrepareAttempt):
            envelope = types.SimpleNamespace(body=frame, call_id=2)
            try:
                self.preparation.handle(self.link, envelope)
            except errors.NotRun as error:
                failure = messages.Failure(error.code, error.message)
                self.link.answer(frame, failure)
        elif isinstance(frame, messages.CloseAttempt):
            self.stages[1].close(frame.request_id, frame.attempt)
            self.fenced[1] = max(self.fenced[1], frame.attempt)
        elif isinstance(frame, messages.Step):
            self.stages[1].on_steps(messages.StepBatch([frame]))


async def walk(choices):
    """Let the choices pick what happens; return the world at the end.

    Two of three choices make progress; the others repeat any frame, crash,
    drain or open the next attempt. Two attempts are open from the start, so
    that a fence often overtakes the attempt that it concerns.
    """
    world = World()
    world.next_attempt()
    world.next_attempt()
    for choice in choices:
        actions = world.progress()
        if choice % 3 == 0 or not actions:
            actions = world.disturbances()
        actions[choice // 3 % len(actions)]()
        for _ in range(SETTLE_TURNS):
            await asyncio.sleep(0)
        world.check()
    await world.head.stop()
    await world.preparation.stop()
    return world
