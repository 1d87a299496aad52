"""Test streams whose pauses are predicted and bounded."""

import asyncio
import collections
import types

import pytest

from pimentowalk.core import metrics
from pimentowalk.core import timers as core_timers
from pimentowalk.dispatch import calls
from pimentowalk.dispatch import pause_watch
from pimentowalk.dispatch import silence
from pimentowalk.dispatch import stream
from pimentowalk.dispatch.tests import fakes
from pimentowalk.routing import hops
from pimentowalk.routing import predictions
from pimentowalk.topology import documents

ENGINE = documents.Engine(
    'm',
    8,
    1.0,
    1.0,
    1.0,
    step_ms=20.0,
    steps_per_pass=4,
    accelerators={'k': documents.Accelerator('k', 1000.0)},
)
ROUTE = types.SimpleNamespace(
    kind=documents.STREAMING,
    is_resumable=False,
    attempts=1,
    longest_pause_s=0.25,
    backends=(),
)
PAUSE_S = 0.08


class Scene:
    """Streams of one gateway over a head and one of two other servers."""

    def __init__(self):
        self.servers = [fakes.server(n, accelerator='k') for n in range(4)]
        dispatcher = self.dispatcher = fakes.dispatcher(*self.servers)
        self.timers = core_timers.ManualTimerService()
        table = dispatcher.node.backends
        table.now_s = self.timers.now_s
        dispatcher.timers = self.timers
        dispatcher.node.node_id = 'g1'
        table.on_change(lambda: self.watch.check_changes(self.runs))
        self.probed = []
        dispatcher.checks = types.SimpleNamespace(
            answered_s=lambda _: float('-inf'),
            may_probe=lambda b: b.server_id not in self.probed,
            probe=lambda b: self.probed.append(b.server_id),
        )
        in_flight = dispatcher.in_flight
        in_flight.begin = in_flight.end = lambda *_: None
        in_flight.hop_load = lambda _: predictions.HopLoad()
        self.watch = pause_watch.StreamWatch(
            dispatcher.node,
            dispatcher.checks,
            self.timers,
            in_flight,
            metrics.Metrics('test'),
        )
        self.runs = []
        self.left = []

    def start(self, *numbers):
        """Start a stream over servers, which has just had an event."""
        call = fakes.call(0.0)
        call.route = ROUTE
        run = stream.StreamRun(self.dispatcher, call, None, None)
        run.pauses = self.watch.of_call(
            call, types.SimpleNamespace(engine=ENGINE)
        )
        path = tuple(
            hops.Hop(
                self.servers[n],
                8 * i // len(numbers),
                8 * (i + 1) // len(numbers),
            )
            for i, n in enumerate(numbers)
        )
        run._target = calls.Target(path[0].backend, path)
        run._watch_path()
        run._try_task = asyncio.ensure_future(asyncio.sleep(60))
        run._has_output = True
        run._recover = lambda address, _: self.left.append((run, address))
        run._query_head = lambda: asyncio.sleep(0)
        run.progress_s = self.timers.now_s()
        self.runs.append(run)
        return run

    async def check_at(self, now_s):
        """Check all streams at a time."""
        await self.timers.advance(now_s - self.timers.now_s())
        self.watch.check(self.runs)

    def suspect(self, number):
        """Learn from another gateway that a server does not answer."""
        server = self.servers[number]
        self.dispatcher.node.backends.suspect(server.server_id, 100, 'test')


@pytest.fixture
async def scene():
    tested = Scene()
    yield tested
    for run in tested.runs:
        run._try_task.cancel()


async def test_streams_leave_a_suspect_server_at_once(scene):
    """Each waited for 60 ms of silence of its own, of the 250 ms it had."""
    late, early = scene.start(0, 1), scene.start(0, 2)
    await scene.check_at(0.02)
    scene.suspect(1)
    assert scene.left == [(late, scene.servers[1].address)]
    assert early._recovery_task is None


async def test_stream_with_an_event_after_a_suspicion_stays(scene):
    """The suspicion may be wrong; moving sound streams costs their prompts."""
    run = scene.start(0, 1)
    await scene.check_at(0.02)
    run.progress_s = 0.021
    scene.suspect(1)
    await scene.check_at(0.021 + run.limits.silent_s - 0.001)
    assert scene.left == []
    await scene.check_at(0.021 + run.limits.silent_s + 0.001)
    assert scene.left == [(run, scene.servers[1].address)]


async def test_sound_stream_on_a_slow_path_is_not_checked(scene):
    """Its events are further apart than the fixed thresholds."""
    run = scene.start(0, 1)
    limits = run.limits
    assert limits.due_s == pytest.approx(PAUSE_S)
    await scene.check_at(limits.lone_s - 0.001)
    assert scene.probed == []
    await scene.check_at(limits.lone_s + 0.001)
    assert set(scene.probed) == {'i-0', 'i-1'}


async def test_event_after_a_reroute_is_not_learned(scene):
    """It includes the reading of the prompt on the new servers."""
    run = scene.start(0, 1)
    before = run.pauses._path.predict()
    run.pauses.record(2.0)
    assert run.pauses._path.predict() == before


async def test_routes_without_a_longest_pause_are_not_watched(scene):
    """Other deployments keep their fixed thresholds."""
    call = fakes.call(0.0)
    call.route = types.SimpleNamespace(longest_pause_s=0.0)
    service = types.SimpleNamespace(engine=ENGINE)
    assert scene.watch.of_call(call, service) is None
    assert silence.SILENT_AFTER_S == 0.11


async def test_streams_that_are_rerouted_together_spread(scene):
    """All chose the same server before the first order was answered."""
    load = collections.Counter()
    dispatcher = scene.dispatcher
    dispatcher.in_flight.begin = lambda ids, _: load.update(ids)
    dispatcher.in_flight.end = lambda ids, _: load.subtract(ids)
    head, *others = scene.servers

    def choose(_, query):
        last = min(others, key=lambda server: load[server.server_id])
        return [query.head, hops.Hop(last, 4, 8)]

    dispatcher.paths = types.SimpleNamespace(choose=choose)
    dispatcher.transport = types.SimpleNamespace(
        reroute=lambda *_: scene.timers.sleep(0.01)
    )
    runs = [scene.start(0, 1) for _ in range(3)]
    for run in runs:
        run._service = types.SimpleNamespace(name='svc', engine=ENGINE)
        load.update(run._target.server_ids)
    tasks = [asyncio.ensure_future(run._reroute()) for run in runs]
    await scene.timers.advance(0.02)
    assert all(task.result() for task in tasks)
    assert load == {'i-0': 3, 'i-1': 0, 'i-2': 2, 'i-3': 1}
