"""Guard which servers are left out after they were asked."""

import pytest

from pimentowalk.core import timers
from pimentowalk.dispatch import calls
from pimentowalk.dispatch import checks
from pimentowalk.dispatch import transport
from pimentowalk.topology import backends


class FakeTransport:
    """Answer by server id, an exception class or a report."""

    def __init__(self):
        self.answers = {}
        self.asked = []

    async def fetch_report(self, backend):
        """Return or raise what was set for a server."""
        self.asked.append(backend.server_id)
        answer = self.answers.get(backend.server_id, calls.NoAnswer)
        if isinstance(answer, type):
            raise answer('failed', peer=backend.address)
        return answer


class World:
    """Checks with a clock that moves by hand."""

    def __init__(self):
        self.timers = timers.ManualTimerService()
        self.transport = FakeTransport()
        self.suspects = []
        self.delegated = []
        self.checks = checks.ServerChecks(
            self.transport,
            self.timers,
            'z1',
            lambda backend, reason: self.suspects.append(backend.server_id),
            lambda backend, report: None,
            lambda backend: self.delegated.append(backend.server_id),
        )

    async def ask(self, name, zone='z1'):
        """Ask a server once, after any earlier answer went stale."""
        await self.timers.advance(checks.FRESH_S * 2)
        server = backends.Backend(name, 1, 1, 'svc', '10.0.0.1', 80, zone)
        try:
            await self.checks.report(server)
        except calls.TryFailed as error:
            return type(error)
        return None


@pytest.fixture
def world():
    return World()


async def test_refused_connection_is_proof(world):
    """A server that crashed refuses at once."""
    world.transport.answers['a'] = calls.Unreachable
    await world.ask('a')
    assert world.suspects == ['a']


async def test_one_silence_is_no_proof(world):
    """A lost packet delays an answer by more than the time for one."""
    await world.ask('a')
    assert world.suspects == []


async def test_second_silence_makes_a_server_suspect(world):
    """A dark server never answers."""
    await world.ask('a')
    await world.ask('a')
    assert world.suspects == ['a']


async def test_silence_of_many_servers_is_the_fault_of_this_node(world):
    """Pattern: a zone loses packets, and its nodes blame all servers."""
    for _ in range(3):
        for name in 'abcde':
            await world.ask(name)
    assert world.suspects == []


async def test_silence_across_zones_is_left_to_nodes_of_that_zone(world):
    """Pattern: the links of one zone lose packets, its servers work."""
    await world.ask('a', zone='z2')
    await world.ask('a', zone='z2')
    assert world.suspects == []
    assert set(world.delegated) == {'a'}


async def test_answer_clears_an_earlier_silence(world):
    """Two silences with an answer between them are two accidents."""
    await world.ask('a')
    world.transport.answers['a'] = transport.ServerReport({})
    await world.ask('a')
    del world.transport.answers['a']
    await world.ask('a')
    assert world.suspects == []


async def test_servers_that_left_are_forgotten(world):
    """Each start of a server brings a new id."""
    await world.ask('a')
    world.checks.keep_only({'b'})
    await world.ask('a')
    assert world.suspects == []


async def test_runs_that_ask_together_share_an_answer(world):
    """Each question costs the server work."""
    world.transport.answers['a'] = transport.ServerReport({})
    server = backends.Backend('a', 1, 1, 'svc', '10.0.0.1', 80)
    for _ in range(5):
        await world.checks.report(server)
    assert world.transport.asked == ['a']


async def test_accused_server_that_answers_is_not_suspect(world):
    """Pattern: a server gives up layers, and the planner moves others.

    Each move made its server a suspect, so that four servers moved for one
    gap.
    """
    world.transport.answers['a'] = transport.ServerReport({})
    world.checks.accuse(backends.Backend('a', 1, 1, 'svc', '10.0.0.1', 80))
    await world.timers.advance(1.0)
    assert world.transport.asked == ['a']
    assert world.suspects == []


async def test_accused_server_that_is_silent_is_suspect(world):
    """Two signs of failure are enough, also across zones."""
    server = backends.Backend('a', 1, 1, 'svc', '10.0.0.1', 80, 'z2')
    await world.timers.advance(checks.CHECK_AGAIN_S)
    world.checks.accuse(server)
    await world.timers.advance(0.1)
    assert world.suspects == ['a']
