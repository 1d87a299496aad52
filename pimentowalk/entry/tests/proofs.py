"""Checks of guarantees that `test_faults` runs with and without faults.

Each check is a function or coroutine function without arguments that raises
AssertionError if the guarantee does not hold.
"""

import attrs
import hypothesis
from hypothesis import strategies

from pimentowalk.core import errors
from pimentowalk.entry import assembly
from pimentowalk.entry.tests import fake_agent
from pimentowalk.entry.tests import harness
from pimentowalk.wire import messages

LAYERS = 4
MAX_TOKENS = 7
# Ids of the request under test and of a foreign request.
OWN = b'own-request-0000'
OTHER = b'other-request-00'
# derandomize derives the examples from the source of the test function, names
# and docstring included: an edit there draws other examples, which may miss a
# fault of `test_faults`.
SETTINGS = hypothesis.settings(
    max_examples=400,
    derandomize=True,
    deadline=None,
    database=None,
    report_multiple_bugs=False,
    suppress_health_check=list(hypothesis.HealthCheck),
    phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
)
VALID_RANGES = [[(0, 4)], [(0, 1), (1, 4)], [(0, 2), (2, 3), (3, 4)]]
INVALID_RANGES = [
    [],
    [(0, 3)],
    [(1, 4)],
    [(0, 2), (3, 4)],
    [(0, 3), (2, 4)],
    [(2, 4), (0, 2)],
    [(0, 2), (2, 2), (2, 4)],
    [(0, 4), (0, 4)],
    [(0, 5)],
]


@attrs.frozen
class Delivery:
    """A token frame as received by the entry, or the start of an attempt."""

    begins: bool = False
    request_id: bytes = OWN
    attempt_age: int = 0
    index: int = 0
    ranges: tuple = ((0, 4),)
    last: bool = False
    count_offset: int = 0

    def token(self, attempt):
        """Return the token; `attempt` is the number of the current attempt."""
        return messages.Token(
            self.request_id,
            max(attempt - self.attempt_age, 0),
            self.index,
            # The same request has the same token at an index in every
            # attempt, since seed and position determine it.
            1000 * (self.request_id == OTHER) + self.index,
            f'{self.index} ',
            [messages.LayerRange(*layers) for layers in self.ranges],
            self.last,
            self.index + 1 + self.count_offset if self.last else 0,
        )


def _weighted(common_value, *others):
    return strategies.one_of(
        *[strategies.just(common_value)] * 6, *map(strategies.just, others)
    )


DELIVERIES = strategies.builds(
    Delivery,
    begins=_weighted(False, True),
    request_id=_weighted(OWN, OTHER),
    attempt_age=_weighted(0, 1, 2),
    index=strategies.integers(0, MAX_TOKENS),
    ranges=strategies.one_of(
        *[strategies.sampled_from(VALID_RANGES)] * 6,
        strategies.sampled_from(INVALID_RANGES),
    ),
    last=_weighted(False, True, True),
    count_offset=_weighted(0, 1, -1),
)


@strategies.composite
def _delivery_sequences(draw):
    """Draw frames in order, then drop, repeat, move and insert some."""
    frames = []
    for _ in range(draw(strategies.integers(1, 3))):
        length = draw(strategies.integers(1, MAX_TOKENS))
        frames.extend(
            Delivery(index=index, last=index == length - 1)
            for index in range(length)
        )
        frames.append(Delivery(begins=True))
    for _ in range(draw(strategies.integers(0, 6))):
        position = draw(strategies.integers(0, len(frames) - 1))
        kind = draw(strategies.sampled_from(['lose', 'double', 'move', 'add']))
        if kind == 'add':
            frames.insert(position, draw(DELIVERIES))
        elif kind == 'double':
            frames.insert(position, frames[position])
        else:
            frame = frames.pop(position)
            if kind == 'move' or not frames:
                target = draw(strategies.integers(0, len(frames)))
                frames.insert(target, frame)
    return frames


class NaiveAnswer:
    """Reference model: keep all tokens and search them on each arrival."""

    def __init__(self):
        self.attempt = 1
        self.received = []
        self.passed_on = []
        self.complete = False

    def begin(self):
        self.attempt += 1
        self.received = []

    def offer(self, token):
        """Return the tokens now in order, or None for a contradiction."""
        own = (token.request_id, token.attempt) == (OWN, self.attempt)
        if self.complete or not own:
            return []
        if token.token_index < len(self.passed_on):
            return []
        if self._contradicts(token):
            return None
        self.received.append(token)
        start = len(self.passed_on)
        while True:
            index = len(self.passed_on)
            found = [t for t in self.received if t.token_index == index]
            if not found or self.complete:
                return self.passed_on[start:]
            self.passed_on.append(found[0])
            self.complete = found[0].last

    def _contradicts(self, token):
        layers = [
            layer
            for layer_range in token.ranges
            for layer in _layers(layer_range)
        ]
        first = {}
        for buffered in self.received:
            first.setdefault(buffered.token_index, buffered)
        waiting = [
            buffered
            for buffered in first.values()
            if buffered.token_index >= len(self.passed_on)
        ]
        return (
            layers != list(range(LAYERS))
            or any(not _layers(layer_range) for layer_range in token.ranges)
            or token.token_index >= MAX_TOKENS
            or (token.last and token.token_count != token.token_index + 1)
            or (
                token.last
                and any(
                    buffered.token_index > token.token_index
                    for buffered in waiting
                )
            )
            or any(
                buffered.last and buffered.token_index < token.token_index
                for buffered in waiting
            )
        )


def _layers(layer_range):
    return list(range(layer_range.first_layer, layer_range.end_layer))


@SETTINGS
@hypothesis.given(_delivery_sequences())
def answers_match_the_naive_version(history):
    """Compare the assembly with the naive one after every frame."""
    answer = assembly.AnswerAssembly(OWN, LAYERS, MAX_TOKENS)
    naive = NaiveAnswer()
    answer.begin(1)
    for frame in history:
        if frame.begins:
            naive.begin()
            answer.begin(naive.attempt)
            continue
        token = frame.token(naive.attempt)
        expected = naive.offer(token)
        try:
            got = answer.offer(token)
        except errors.FrameError:
            got = None
        assert got == expected
        if expected is None:
            naive.begin()
            answer.begin(naive.attempt)
        passed_on = [t.token_id for t in naive.passed_on]
        assert answer.token_ids == passed_on == list(range(len(passed_on)))
        assert answer.complete == naive.complete


async def bookings_run_at_most_once():
    """Run a booking at most once although its first reply is lost."""
    for key in ('', 'k1'):
        async with harness.running() as entry:
            agents = [
                await entry.add_agent(name, kind='plain')
                for name in ('s1', 's2')
            ]
            for agent in agents:
                agent.service_script = fake_agent.disconnect
            entry.update_view()
            for _ in range(2 if key else 1):
                await entry.post_booking(key=key)
            assert sum(len(agent.calls) for agent in agents) == 1


async def not_run_is_only_reported_with_proof():
    """Lose the connection of one attempt and refuse the others."""
    async with harness.running() as entry:
        agents = [await entry.add_agent('a'), await entry.add_agent('b')]
        called_agents = []

        async def run(agent, peer, frame):
            called_agents.append(agent)
            if len(called_agents) == 1:
                await fake_agent.disconnect_after(0)(agent, peer, frame)
            else:
                await fake_agent.refuse()(agent, peer, frame)

        for agent in agents:
            agent.script = run
        entry.update_view()
        _, body = await entry.complete()
        assert body['error']['not_run'] is False


async def interrupted_streams_do_not_look_complete():
    """Fail a stream whose route allows no retry."""
    async with harness.running() as entry:
        agent = await entry.add_agent('a')
        agent.script = fake_agent.fail_after(3)
        entry.update_view()
        harness.set_retry_budget(entry, 0)
        events = await entry.stream()
        assert events[-1][0] == 'error'
        assert ('', '[DONE]') not in events
