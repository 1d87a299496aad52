"""Test streaming routes of services without an engine."""

import pytest

from pimentowalk.platform import names
from pimentowalk.platform.tests import changing
from tools.tests import waiting

PATH = '/draft/2f'


def _events(first):
    return b''.join(
        f'id: {number}\ndata: x\n\n'.encode()
        for number in range(first, changing.EVENTS + 1)
    )


@pytest.fixture
def plain_scene(scene):
    """Let the streaming route lead to a service without an engine."""

    def move_route(data, kind):
        data['routes'][0]['service'] = 'jobs'

    scene.configure(move_route)
    return scene


def _running(scene):
    (server,) = [server for server in scene.servers if server.runs['r1']]
    return server


async def test_caller_resumes_a_stream_without_an_engine(plain_scene):
    """ORDER: the server did not get Last-Event-Id and began anew."""
    answer = await plain_scene.request(
        'POST', PATH, 'r1', headers={names.LAST_EVENT_ID: '3'}
    )
    assert answer == changing.Answer(200, 'r1', _events(4))
    headers = _running(plain_scene).last_headers
    assert headers.getall(names.LAST_EVENT_ID) == ['3']


async def test_node_resumes_a_stream_without_an_engine(plain_scene):
    """ORDER: a run at a second server must go on after the last event."""

    crashed = []

    async def crash():
        crashed.append(_running(plain_scene))
        await crashed[0].stop()

    plain_scene.steps.actions['pause'] = crash
    answer = await plain_scene.request('POST', PATH, 'r1')
    assert answer == changing.Answer(200, 'r1', _events(1))
    (second,) = [
        server
        for server in plain_scene.servers
        if server.runs['r1'] and server not in crashed
    ]
    assert second.last_headers.getall(names.LAST_EVENT_ID) == ['1']


async def test_event_arrives_before_the_stream_without_an_engine_ends(
    plain_scene,
):
    """LOST: events were held until the end, when callers had given up."""
    received = []

    async def pause():
        (run,) = plain_scene.dispatcher.runs
        await waiting.until(lambda: run._responder.is_committed)
        received.append(True)

    plain_scene.steps.actions['pause'] = pause
    answer = await plain_scene.request('POST', PATH, 'r1')
    assert answer == changing.Answer(200, 'r1', _events(1))
    assert received


async def test_answer_without_events_is_passed_whole(plain_scene):
    """A service without an engine may answer a stream with a plain body."""
    for server in plain_scene.servers:
        server.has_events = False
    answer = await plain_scene.request('POST', PATH, 'r1')
    assert answer == changing.Answer(200, 'r1', b'done')


@pytest.mark.parametrize('event_id', ['3', '0', 'a-3'])
async def test_event_id_is_forwarded_on_other_routes(scene, event_id):
    """The header was dropped where the node does not use it."""
    answer = await scene.request(
        'POST', '/look/2f', 'r1', headers={names.LAST_EVENT_ID: event_id}
    )
    assert answer.status == 200
    headers = _running(scene).last_headers
    assert headers.getall(names.LAST_EVENT_ID) == [event_id]
