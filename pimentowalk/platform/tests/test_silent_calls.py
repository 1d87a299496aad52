"""Test plain calls whose server is silent for most of their time."""

import asyncio

import attrs
import pytest
import pytest_asyncio

from pimentowalk.platform.tests import changing
from pimentowalk.platform.tests import test_silent_streams
from pimentowalk.platform.tests import test_stops_beside_changes
from pimentowalk.routing import pace_state
from tools.tests import waiting

ANSWER = changing.Answer(200, 'r1', b'done')
# Another server is tried after 0.72 s.
TIMEOUT_MS = 1600
SILENCE_S = 1.0
ENDLESS_S = 5.0


@attrs.frozen
class Pause:
    """How long the server of a try is silent, and what it does then."""

    silence_s: float
    status: int = 200
    breaks: bool = False
    refuses: bool = False

    def __str__(self):
        end = 'breaks' if self.breaks else self.status
        return f'{self.silence_s} s {"refuses" if self.refuses else end}'


def _set_routes(data, kind):
    """Allow two attempts, also for bookings, which may run only once."""
    for route in data['routes'][1:]:
        route.update({'timeout-ms': TIMEOUT_MS, 'attempts': 2})


class Probes(pace_state.Unpaced):
    """Keep the requests that have begun and not ended."""

    def __init__(self):
        self.open = set()

    def begin(self, service, backends, model_s=1.0):
        """Return a probe."""
        self.open.add(probe := object())
        return probe

    def end(self, probe, outcome):
        """End a probe; harmless if repeated."""
        self.open.discard(probe)


@attrs.define(eq=False)
class Tries:
    """Let the servers of the tries of a call pause in turn."""

    scene: changing.Scene
    pauses: list = attrs.field(factory=list)
    servers: list = attrs.field(factory=list)
    closed: list = attrs.field(factory=list)
    probes: Probes = attrs.field(factory=Probes)

    def __attrs_post_init__(self):
        self.scene.dispatcher.pace = self.probes
        self.scene.configure(_set_routes)

    async def request(self, *pauses, path='/look/2f'):
        """Send a call whose first tries pause; return its answer."""
        self.pauses = list(pauses)
        self.scene.steps.actions['run'] = self._pause
        return await self.scene.request('POST', path, 'r1')

    async def _pause(self):
        pause = self.pauses.pop(0)
        if self.pauses:
            self.scene.steps.actions['run'] = self._pause
        (server,) = [
            server
            for server in self.scene.servers
            if server.runs['r1'] and server not in self.servers
        ]
        self.servers.append(server)
        server.stalled = [{'id': 'r1', 'address': server.address}]
        try:
            await asyncio.sleep(pause.silence_s)
        except asyncio.CancelledError:
            self.closed.append(server)
            raise
        server.status = pause.status
        server.steps.breaks = pause.breaks
        server.refuses = pause.refuses

    async def assert_nothing_held(self, *, closed):
        """Check that the tries have ended, and whose connections were cut."""
        expected = [self.servers[number] for number in closed]
        await waiting.until(lambda: len(self.closed) == len(expected))
        assert all(server in expected for server in self.closed)
        dispatcher = self.scene.dispatcher
        assert not any(
            dispatcher.in_flight.requests(server.server_id)
            for server in self.scene.servers
        )
        assert dispatcher.held_bytes.total_bytes == 0
        assert not self.probes.open
        assert not dispatcher.runs


@pytest.fixture
def tries(scene):
    """Return the tries of a call at two servers."""
    return Tries(scene)


@pytest_asyncio.fixture
async def three():
    """Return the tries of a call at three servers, chosen in their order."""
    scene = changing.Scene()
    scene.servers.append(changing.SteppedServer('jobs-3', 'jobs', scene.steps))
    await scene.start()
    scene.dispatcher.rng.random = lambda: 0.0
    yield Tries(scene)
    await scene.stop()


@pytest.mark.parametrize('obstacle', ['refusals', 'no retry', 'no server'])
async def test_silent_server_is_kept_if_no_other_one_answers(tries, obstacle):
    """LOST: a call got 502 although its server was about to answer it."""
    scene = tries.scene
    first, second = scene.servers[2:4]
    scene.dispatcher.rng.random = lambda: 0.0
    second.refuses = obstacle == 'refusals'
    if obstacle == 'no retry':
        test_silent_streams.deny_retries(scene)
    if obstacle == 'no server':
        test_silent_streams.drain(scene, second)
    answer = await tries.request(Pause(SILENCE_S))
    assert answer == ANSWER
    assert scene.runs('r1') == first.runs['r1'] == 1
    assert second.refusals == (obstacle == 'refusals')
    await tries.assert_nothing_held(closed=[])


async def test_other_server_that_answers_first_takes_over(tries):
    """A call would wait for its silent server although another serves it."""
    answer = await tries.request(Pause(ENDLESS_S), Pause(0.0))
    assert answer == ANSWER
    assert tries.scene.runs('r1') == 2
    assert tries.scene.metrics.counters['takeovers'] == 1
    await tries.assert_nothing_held(closed=[0])


async def test_silent_server_that_answers_first_is_kept(tries):
    """LOST: its answer was lost, since another server had been tried."""
    answer = await tries.request(Pause(SILENCE_S), Pause(ENDLESS_S))
    assert answer == ANSWER
    assert tries.scene.metrics.counters['dropped_standby_tries'] == 1
    await tries.assert_nothing_held(closed=[1])


@pytest.mark.parametrize(
    'pauses',
    [
        (Pause(0.9, breaks=True), Pause(0.25)),
        (Pause(0.9, status=500), Pause(0.25)),
        (Pause(0.9, refuses=True), Pause(0.25)),
        (Pause(SILENCE_S), Pause(0.05, breaks=True)),
        (Pause(SILENCE_S), Pause(0.05, status=500)),
    ],
    ids=lambda pauses: ', '.join(map(str, pauses)),
)
async def test_failure_of_one_server_leaves_the_other_try_alone(tries, pauses):
    """LOST: a call failed with one of two tries, or had only one left."""
    answer = await tries.request(*pauses)
    assert answer == ANSWER
    await tries.assert_nothing_held(closed=[])


async def test_caller_that_leaves_ends_both_tries(tries):
    """GONE: a server would work on for a caller that has left."""
    request = asyncio.ensure_future(
        tries.request(Pause(ENDLESS_S), Pause(ENDLESS_S))
    )
    await waiting.until(lambda: len(tries.servers) == 2)
    request.cancel()
    await waiting.until(lambda: not tries.scene.dispatcher.runs)
    await tries.assert_nothing_held(closed=[0, 1])


async def test_refused_try_is_no_attempt(three):
    """A third server could serve a call that the second one refused."""
    three.scene.servers[3].refuses = True
    answer = await three.request(Pause(ENDLESS_S))
    assert answer == ANSWER
    assert [server.runs['r1'] for server in three.scene.servers[2:4]] == [1, 0]
    assert three.scene.servers[-1].runs['r1'] == 1
    await three.assert_nothing_held(closed=[0])


@pytest.mark.parametrize('second', [Pause(ENDLESS_S), Pause(0, breaks=True)])
async def test_each_try_that_may_have_run_is_an_attempt(three, second):
    """BUDGET: a call ran on more servers than its route allows."""
    answer = await three.request(Pause(ENDLESS_S), second)
    assert answer.status == 504
    assert three.scene.runs('r1') == 2


async def test_call_that_may_run_once_has_one_try(tries):
    """TWICE: the route of a booking may allow two attempts."""
    answer = await tries.request(Pause(SILENCE_S), path='/book/2f')
    assert answer == ANSWER
    assert tries.scene.client.sends == 1


def _set_resumable(data, kind):
    _set_routes(data, kind)
    for route in data['routes']:
        route.update({'kind': 'non_idempotent', 'resumable': True})


@pytest.mark.parametrize(
    ('path', 'pause', 'status'),
    [
        ('/book/2f', Pause(SILENCE_S), 200),
        ('/book/2f', Pause(0.05, breaks=True), 502),
        ('/book/2f', Pause(0.05, status=500), 500),
        # The service of this route has an engine.
        ('/draft/2f', Pause(SILENCE_S), 200),
        ('/draft/2f', Pause(0.05, breaks=True), 502),
    ],
    ids=str,
)
async def test_resumable_booking_runs_once(tries, path, pause, status):
    """TWICE: a booking ran again because its route had `resumable`."""
    tries.scene.configure(_set_resumable)
    answer = await tries.request(pause, path=path)
    assert (answer.status, tries.scene.runs('r1')) == (status, 1)
    assert tries.scene.client.sends == 1


@pytest.mark.parametrize(
    ('first', 'second', 'status'),
    [
        # The last server's own failure is passed on.
        (Pause(0.9, breaks=True), Pause(0.05, status=500), 500),
        (Pause(0.9, status=500), Pause(0.25, status=500), 500),
        (Pause(ENDLESS_S), Pause(0.05, status=500), 500),
        (Pause(0.9, breaks=True), Pause(0.25, refuses=True), 502),
        (Pause(0.9, refuses=True), Pause(0.25, breaks=True), 502),
        (Pause(0.9, refuses=True), Pause(0.05, breaks=True), 502),
        (Pause(0.9, refuses=True), Pause(0.25, refuses=True), 503),
        (Pause(0.9, refuses=True), Pause(ENDLESS_S), 504),
    ],
    ids=str,
)
async def test_error_promises_no_more_than_both_servers(
    tries, first, second, status
):
    """REFUSED: 503 promises that no server has run the call."""
    answer = await tries.request(first, second)
    assert answer.status == status
    assert (tries.scene.runs('r1') == 0) == (status == 503)


@pytest.mark.parametrize('path', ['/look/2f', '/draft/2f'])
async def test_stop_after_a_late_refusal_promises_nothing(tries, path):
    """REFUSED: a stop told "not run" of a request that the other one ran."""
    stop = test_stops_beside_changes.Stop(
        tries.scene, test_stops_beside_changes.SHORT_S
    )
    request = asyncio.ensure_future(
        tries.request(Pause(0.9, refuses=True), Pause(ENDLESS_S), path=path)
    )
    await waiting.until(lambda: tries.servers and tries.servers[0].refusals)
    assert len(tries.servers) == 2
    await stop.begin(None, 'nothing')
    assert (await request).status == 502
    await stop.end()
