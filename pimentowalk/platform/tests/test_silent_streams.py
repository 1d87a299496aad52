"""Test started streams whose server falls silent for a second and goes on."""

import asyncio
import json

from aiohttp import web
import pytest

from pimentowalk.dispatch import calls
from pimentowalk.dispatch import silence
from pimentowalk.mesh import node as mesh_node
from pimentowalk.platform import announcements
from pimentowalk.platform.tests import changing
from pimentowalk.platform.tests import test_document_changes
from pimentowalk.wire import node_messages

SILENCE_S = 1.0
ANSWER = changing.Answer(200, 'r1', test_document_changes.EVENTS)


def _fall_silent(scene, *, reports, step='pause', others_refuse=False):
    """Let the server of a stream pause; its report says that it stalls.

    `reports` tells how its reports are answered meanwhile.
    """

    async def pause():
        (running,) = [server for server in scene.servers if server.runs['r1']]
        for server in scene.servers:
            server.refuses = others_refuse and server is not running
        running.stalled = [{'id': 'r1', 'address': running.address}]
        running.report_status = reports
        await asyncio.sleep(SILENCE_S)

    scene.steps.actions[step] = pause


def _set_route(data, changes):
    data['routes'][0].update(changes)


def drain(scene, server):
    """Let a server announce that it accepts no new work."""
    announcement = server.announcement() | {'state': 'draining'}
    scene.node.backends.apply(
        announcements.decode(
            server.server_id, json.dumps(announcement).encode()
        )
    )


def deny_retries(scene):
    """Let the retry budget grant nothing from now on."""
    scene.dispatcher.budget.take = lambda *_, **__: False


@pytest.mark.parametrize('reports', [200, 503, None])
@pytest.mark.parametrize(
    'changes', [{'resumable': False}, {'attempts': 1}], ids=str
)
async def test_silent_server_without_successor_is_not_left(
    scene, reports, changes
):
    """LOST: a stream that may not run again was cut while its server paused.

    None stands for a server that does not answer report requests either.
    """
    scene.configure(_set_route, changes)
    _fall_silent(scene, reports=reports)
    assert await scene.request('POST', '/draft/2f', 'r1') == ANSWER
    assert scene.runs('r1') == 1


@pytest.mark.parametrize('reports', [200, 503, None])
async def test_call_that_may_not_run_again_keeps_its_silent_server(
    scene, reports
):
    """Its caller got 502 before the first event, and could not repeat it."""
    scene.configure(_set_route, {'resumable': False})
    _fall_silent(scene, reports=reports, step='run')
    assert await scene.request('POST', '/draft/2f', 'r1') == ANSWER
    assert scene.runs('r1') == 1


@pytest.mark.parametrize('reports', [200, 503, None])
async def test_silent_server_is_not_left_without_a_retry(scene, reports):
    """LOST: a stream was cut when the retry budget denied its resumption."""
    deny_retries(scene)
    _fall_silent(scene, reports=reports)
    assert await scene.request('POST', '/draft/2f', 'r1') == ANSWER
    assert scene.runs('r1') == 1


@pytest.mark.parametrize('reports', [200, 503, None])
async def test_silent_server_is_not_left_without_another_path(scene, reports):
    """LOST: a stream was cut when no other server held its layers."""
    drain(scene, scene.servers[1])
    _fall_silent(scene, reports=reports)
    assert await scene.request('POST', '/draft/2f', 'r1') == ANSWER
    assert scene.runs('r1') == 1


@pytest.mark.parametrize('reports', [200, 503, None])
@pytest.mark.parametrize('obstacle', ['refusals', 'no retry', 'no path'])
async def test_new_stream_keeps_its_silent_server(scene, reports, obstacle):
    """LOST: a new stream got 502 although its server was about to begin."""
    if obstacle == 'no retry':
        deny_retries(scene)
    if obstacle == 'no path':
        drain(scene, scene.servers[1])
    _fall_silent(
        scene,
        reports=reports,
        step='run',
        others_refuse=obstacle == 'refusals',
    )
    assert await scene.request('POST', '/draft/2f', 'r1') == ANSWER
    assert scene.runs('r1') == 1


@pytest.mark.parametrize('reports', [200, 503, None])
async def test_silent_server_is_not_left_for_servers_that_refuse(
    scene, reports
):
    """LOST: a stream was cut since all other servers were full."""
    _fall_silent(scene, reports=reports, others_refuse=True)
    assert await scene.request('POST', '/draft/2f', 'r1') == ANSWER
    assert scene.runs('r1') == 1
    assert sum(server.refusals for server in scene.servers) > 0


async def test_silent_server_that_resets_reports_is_not_left(scene):
    """LOST: a server at its limit of connections counted as crashed."""
    _fall_silent(scene, reports=0, others_refuse=True)
    assert await scene.request('POST', '/draft/2f', 'r1') == ANSWER
    assert scene.runs('r1') == 1


async def test_server_is_not_left_for_an_entry_of_an_unnamed_service(scene):
    """LOST: an entry with the address of a server counted as its restart."""

    async def announce():
        (running,) = [server for server in scene.servers if server.runs['r1']]
        entry = running.announcement() | {'service': 'unnamed'}
        entry['born'] += 1000
        running.stalled = [{'id': 'r1', 'address': running.address}]
        for server in scene.servers:
            server.refuses = server is not running
        scene.node.backends.apply(
            announcements.decode('x-1', json.dumps(entry).encode())
        )
        await asyncio.sleep(SILENCE_S)

    scene.steps.actions['pause'] = announce
    assert await scene.request('POST', '/draft/2f', 'r1') == ANSWER
    assert scene.runs('r1') == 1


async def test_silent_server_is_left_for_another_one(scene):
    """A pause makes an answer late if another server could have gone on."""
    _fall_silent(scene, reports=200)
    since_s = scene.timers.now_s()
    assert await scene.request('POST', '/draft/2f', 'r1') == ANSWER
    assert scene.runs('r1') == 2
    assert scene.timers.now_s() - since_s < SILENCE_S


@pytest.mark.parametrize('reports', [200, 503])
async def test_silent_successor_is_not_left_without_an_attempt(reports):
    """LOST: a resumed stream was cut when its last server paused at once.

    The attempt that the try may have used was counted only after the stream
    had left the server, with a third one free and a retry granted.
    """
    scene = changing.Scene()
    third = changing.SteppedServer('model-3', 'model', scene.steps)
    scene.servers.append(third)
    await scene.start()

    def stall(servers):
        (running,) = [server for server in servers if server.runs['r1']]
        running.stalled = [{'id': 'r1', 'address': running.address}]
        return running

    async def pause_first():
        first = stall(scene.servers)

        async def pause_second():
            second = stall([x for x in scene.servers if x is not first])
            second.report_status = reports
            await asyncio.sleep(SILENCE_S)

        scene.steps.actions['run'] = pause_second
        await asyncio.sleep(SILENCE_S)

    scene.steps.actions['pause'] = pause_first
    try:
        answer = await scene.request('POST', '/draft/2f', 'r1')
        assert answer == ANSWER
        assert scene.runs('r1') == 2
    finally:
        await scene.stop()


async def test_move_to_another_server_takes_one_retry(scene):
    """The retry granted before a server was left was requested twice."""
    budget = scene.dispatcher.budget
    take, granted = budget.take, []

    def take_one(*arguments, **others):
        granted.append(take(*arguments, **others))
        return granted[-1]

    budget.take = take_one
    _fall_silent(scene, reports=200)
    assert await scene.request('POST', '/draft/2f', 'r1') == ANSWER
    assert scene.runs('r1') == 2
    assert granted == [True]


async def test_stream_without_ids_is_not_taken_over(scene):
    """ORDER: the client got each event of its silent server twice.

    Another server cannot tell where to go on, and began anew.
    """

    async def stream(request, headers):
        response = web.StreamResponse(
            headers=headers | {'Content-Type': 'text/event-stream'}
        )
        await response.prepare(request)
        await response.write(b'data: a\n\n')
        await scene.steps.reach('pause')
        await response.write(b'data: b\n\n')
        return response

    for server in scene.servers:
        server._stream = stream
    _fall_silent(scene, reports=200)
    answer = await scene.request('POST', '/draft/2f', 'r1')
    assert answer.body == b'data: a\n\ndata: b\n\n'
    assert scene.runs('r1') == 1


@pytest.mark.parametrize('step', ['pause', 'run'])
async def test_draining_server_that_accepts_no_connections_is_not_left(
    scene, step
):
    """LOST: a stream was cut since its server had stopped listening, which
    a server that finishes its requests may do.
    """

    async def stop_listening():
        (running,) = [server for server in scene.servers if server.runs['r1']]
        for server in scene.servers:
            server.refuses = server is not running
        drain(scene, running)
        backend = scene.node.backends.get(running.server_id)
        scene.dispatcher.suspect(backend, 'cannot connect', is_down=True)
        await asyncio.sleep(SILENCE_S)

    scene.steps.actions[step] = stop_listening
    assert await scene.request('POST', '/draft/2f', 'r1') == ANSWER
    assert scene.runs('r1') == 1


@pytest.mark.parametrize('step', ['pause', 'run'])
async def test_server_that_another_node_cannot_reach_is_not_left(scene, step):
    """LOST: a stream was cut since a connection to its server was refused
    at another node, although the server went on.
    """

    async def suspect():
        (running,) = [server for server in scene.servers if server.runs['r1']]
        for server in scene.servers:
            server.refuses = server is not running
        born_ms = scene.node.backends.get(running.server_id).born_ms
        suspicion = node_messages.Suspicion(
            running.server_id, born_ms, 'cannot connect', True
        )
        mesh_node.on_suspicion(scene.node, suspicion)
        scene.dispatcher._on_suspicion(suspicion)
        await asyncio.sleep(SILENCE_S)
        # It has been checked, since it may be down.
        assert scene.dispatcher.checks.answered_s(running.server_id) > 0

    scene.steps.actions[step] = suspect
    assert await scene.request('POST', '/draft/2f', 'r1') == ANSWER
    assert scene.runs('r1') == 1


async def test_draining_head_that_goes_on_is_not_left(scene, monkeypatch):
    """Each stream was read at another server as well, and used an attempt."""
    # The stream is not silent during the test.
    monkeypatch.setattr(silence, 'MIN_SILENT_S', SILENCE_S)

    async def stop_listening():
        # The event before has arrived by then.
        await asyncio.sleep(0.05)
        (running,) = [server for server in scene.servers if server.runs['r1']]
        drain(scene, running)
        backend = scene.node.backends.get(running.server_id)
        scene.dispatcher.suspect(backend, 'cannot connect', is_down=True)
        await asyncio.sleep(0.15)

    scene.steps.actions['pause'] = stop_listening
    assert await scene.request('POST', '/draft/2f', 'r1') == ANSWER
    assert scene.metrics.counters['standby_tries'] == 0


async def test_event_on_its_way_does_not_use_up_the_last_attempt(scene):
    """LOST: an event that a server had sent before it ended dropped the
    standby try, which was the last attempt, and the stream stood still.
    """

    async def end_after_an_event():
        (running,) = [server for server in scene.servers if server.runs['r1']]
        (other,) = [
            server
            for server in scene.servers
            if server.service == 'model' and server is not running
        ]
        stream = other._stream

        async def stream_later(request, headers):
            await asyncio.sleep(0.05)
            return await stream(request, headers)

        async def hang():
            await asyncio.sleep(changing.REQUEST_TIMEOUT_S)

        other._stream = stream_later
        scene.steps.actions['after 2'] = hang
        born_ms = scene.node.backends.get(running.server_id).born_ms
        mesh_node.on_suspicion(
            scene.node,
            node_messages.Suspicion(
                running.server_id, born_ms, 'cannot connect', True
            ),
        )

    scene.steps.actions['pause'] = end_after_an_event
    assert await scene.request('POST', '/draft/2f', 'r1') == ANSWER
    assert scene.runs('r1') == 2


async def test_server_that_another_node_found_down_is_left_at_once(scene):
    """The other servers of the path held memory for a stream that had ended,
    until another path had sent its first event.
    """
    fetch_report = scene.client.fetch_report

    async def suspect():
        (running,) = [server for server in scene.servers if server.runs['r1']]

        async def refuse(backend):
            if backend.server_id == running.server_id:
                raise calls.Unreachable('refused', peer=backend.address)
            return await fetch_report(backend)

        scene.client.fetch_report = refuse
        born_ms = scene.node.backends.get(running.server_id).born_ms
        scene.node.backends.suspect(
            running.server_id, born_ms, 'x', is_down=True, is_reported=True
        )
        await asyncio.sleep(SILENCE_S)

    scene.steps.actions['pause'] = suspect
    assert await scene.request('POST', '/draft/2f', 'r1') == ANSWER
    assert scene.runs('r1') == 2
    assert scene.metrics.counters['standby_tries'] == 0
