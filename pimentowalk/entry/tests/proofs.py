"""Proofs that must fail with each seeded fault and pass without.

Each is a function without arguments, or a coroutine function, that raises
AssertionError if a guarantee is broken.
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
OWN = b'own-request-0000'
OTHER = b'other-request-00'
SETTINGS = hypothesis.settings(
    max_examples=400,
    derandomize=True,
    deadline=None,
    database=None,
    report_multiple_bugs=False,
    suppress_health_check=list(hypothesis.HealthCheck),
    phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
)
GOOD_RANGES = [[(0, 4)], [(0, 1), (1, 4)], [(0, 2), (2, 3), (3, 4)]]
BAD_RANGES = [
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
    """One frame as it reaches the entry, or the start of an attempt."""

    begins: bool = False
    request_id: bytes = OWN
    attempt_back: int = 0
    index: int = 0
    ranges: tuple = ((0, 4),)
    last: bool = False
    count_error: int = 0

    def token(self, attempt):
        """Return the token; `attempt` is the current one."""
        return messages.Token(
            self.request_id,
            max(attempt - self.attempt_back, 0),
            self.index,
            # The token depends on its request and index only, since the
            # seed and the position determine it.
            1000 * (self.request_id == OTHER) + self.index,
            f'{self.index} ',
            [messages.LayerRange(*layers) for layers in self.ranges],
            self.last,
            self.index + 1 + self.count_error if self.last else 0,
        )


def _mostly(usual, *others):
    return strategies.one_of(
        *[strategies.just(usual)] * 6, *map(strategies.just, others)
    )


DELIVERIES = strategies.builds(
    Delivery,
    begins=_mostly(False, True),
    request_id=_mostly(OWN, OTHER),
    attempt_back=_mostly(0, 1, 2),
    index=strategies.integers(0, MAX_TOKENS),
    ranges=strategies.one_of(
        *[strategies.sampled_from(GOOD_RANGES)] * 6,
        strategies.sampled_from(BAD_RANGES),
    ),
    last=_mostly(False, True, True),
    count_error=_mostly(0, 1, -1),
)


@strategies.composite
def _histories(draw):
    """Draw frames in order, then lose, double, delay and add some."""
    frames = []
    for _ in range(draw(strategies.integers(1, 3))):
        length = draw(strategies.integers(1, MAX_TOKENS))
        frames.extend(
            Delivery(index=index, last=index == length - 1)
            for index in range(length)
        )
        frames.append(Delivery(begins=True))
    for _ in range(draw(strategies.integers(0, 6))):
        place = draw(strategies.integers(0, len(frames) - 1))
        kind = draw(strategies.sampled_from(['lose', 'double', 'move', 'add']))
        if kind == 'add':
            frames.insert(place, draw(DELIVERIES))
        elif kind == 'double':
            frames.insert(place, frames[place])
        else:
            frame = frames.pop(place)
            if kind == 'move' or not frames:
                where = draw(strategies.integers(0, len(frames)))
                frames.insert(where, frame)
    return frames


class NaiveAnswer:
    """Keep all that arrived and look through it again each time."""

    def __init__(self):
        self.attempt = 1
        self.arrived = []
        self.passed_on = []
        self.complete = False

    def begin(self):
        self.attempt += 1
        self.arrived = []

    def offer(self, token):
        """Return the new tokens, or None for a contradiction."""
        own = (token.request_id, token.attempt) == (OWN, self.attempt)
        if self.complete or not own:
            return []
        if token.token_index < len(self.passed_on):
            return []
        if self._contradicts(token):
            return None
        self.arrived.append(token)
        start = len(self.passed_on)
        while True:
            index = len(self.passed_on)
            found = [t for t in self.arrived if t.token_index == index]
            if not found or self.complete:
                return self.passed_on[start:]
            self.passed_on.append(found[0])
            self.complete = found[0].last

    def _contradicts(self, token):
        layers = [n for pair in token.ranges for n in _layers(pair)]
        first = {}
        for known in self.arrived:
            first.setdefault(known.token_index, known)
        waiting = [
            known
            for known in first.values()
            if known.token_index >= len(self.passed_on)
        ]
        return (
            layers != list(range(LAYERS))
            or any(not _layers(pair) for pair in token.ranges)
            or token.token_index >= MAX_TOKENS
            or (token.last and token.token_count != token.token_index + 1)
            or (
                token.last
                and any(k.token_index > token.token_index for k in waiting)
            )
            or any(
                k.last and k.token_index < token.token_index for k in waiting
            )
        )


def _layers(pair):
    return list(range(pair.first_layer, pair.end_layer))


@SETTINGS
@hypothesis.given(_histories())
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
    """Count the runs of a booking whose first reply is lost."""
    for key in ('', 'k1'):
        async with harness.running() as entry:
            agents = [
                await entry.add_agent(name, kind='plain')
                for name in ('s1', 's2')
            ]
            for agent in agents:
                agent.service_script = fake_agent.reply_lost
            entry.update_view()
            for _ in range(2 if key else 1):
                await entry.book(key=key)
            assert sum(len(agent.calls) for agent in agents) == 1


async def not_run_is_only_reported_with_proof():
    """Lose one attempt after it was sent, and refuse the others."""
    async with harness.running() as entry:
        agents = [await entry.add_agent('a'), await entry.add_agent('b')]
        asked = []

        async def run(agent, peer, frame):
            asked.append(agent)
            if len(asked) == 1:
                await fake_agent.cut_after(0)(agent, peer, frame)
            else:
                await fake_agent.refuse()(agent, peer, frame)

        for agent in agents:
            agent.script = run
        entry.update_view()
        _, body = await entry.complete()
        assert body['error']['not_run'] is False


async def cut_streams_do_not_look_complete():
    """Cut a stream whose route allows no retry."""
    async with harness.running() as entry:
        agent = await entry.add_agent('a')
        agent.script = fake_agent.fail_after(3)
        entry.update_view()
        harness.set_budget(entry, 0)
        events = await entry.stream()
        assert events[-1][0] == 'error'
        assert ('', '[DONE]') not in events
