"""Test how gateways treat servers that leave or ask for a pause."""

import asyncio
import pathlib

from pimentowalk.mesh import cache_files
from pimentowalk.platform import names
from tools.tests import waiting

ALL_EVENTS = b''.join(f'id: {n}\ndata: x\n\n'.encode() for n in range(1, 7))


async def test_server_that_leaves_by_header_gets_nothing_new(cluster):
    """DRAIN: it never announced that it drains, and announced `ready`."""
    await cluster.wait_for_layers()
    leaving = cluster.servers[0]
    leaving.leaves = True
    for number in range(20):
        if leaving.requests_seen:
            break
        status, headers, _ = await cluster.platform.call(
            cluster.gateways[0],
            'POST',
            '/draft/2f',
            request_id=f'r{number}',
        )
        assert status == 200
        assert names.SERVER_LEAVING not in headers
    assert leaving.requests_seen
    await waiting.until(
        lambda: all(
            [b.server_id for b in g.node.backends.usable('model')] == ['m-2']
            for g in cluster.gateways
        )
    )
    await cluster.platform.announce()
    seen = len(leaving.requests_seen)
    for number, gateway in enumerate(cluster.gateways * 3):
        status, _, body = await cluster.platform.call(
            gateway, 'POST', '/draft/2f', request_id=f's{number}'
        )
        assert (status, body) == (200, ALL_EVENTS)
    assert len(leaving.requests_seen) == seen
    leaving.leaves = False
    leaving.born_ms += 1
    await cluster.platform.announce()
    await waiting.until(
        lambda: all(
            len(g.node.backends.usable('model')) == 2 for g in cluster.gateways
        )
    )


async def test_server_that_asks_for_a_pause_gets_it(cluster):
    """BUDGET: it was sent requests, reports included, as before."""
    await cluster.wait_for_layers()
    full = cluster.servers[0]
    full.refuses = True
    full.pause_text = '4'
    for number in range(20):
        if full.requests_seen:
            break
        status, _, _ = await cluster.platform.call(
            cluster.gateways[0],
            'POST',
            '/draft/2f',
            request_id=f'r{number}',
        )
        assert status == 200
    dispatcher = cluster.gateways[0].dispatcher
    assert dispatcher.paused_ids(dispatcher.usable('model')) == {'m-1'}
    seen = len(full.requests_seen), full.reports_sent
    paused = cluster.gateways[0].node.backends.get('m-1')
    assert await dispatcher.checks.answers(paused)
    # Longer than a server is avoided that has refused a stream.
    for number in range(10):
        await asyncio.sleep(0.1)
        status, _, body = await cluster.platform.call(
            cluster.gateways[0],
            'POST',
            '/draft/2f',
            request_id=f's{number}',
        )
        assert (status, body) == (200, ALL_EVENTS)
    assert dispatcher.paused_ids(dispatcher.usable('model')) == {'m-1'}
    assert (len(full.requests_seen), full.reports_sent) == seen
    # The word was to that node alone.
    other = cluster.gateways[1].dispatcher
    assert not other.paused_ids(other.usable('model'))
    full.refuses = False
    await waiting.until(
        lambda: not dispatcher.paused_ids(dispatcher.usable('model'))
    )


async def test_pause_outlasts_the_record_of_its_server(cluster):
    """A server whose announcements were late got requests in its pause."""
    node, dispatcher = cluster.gateways[0].node, cluster.gateways[0].dispatcher
    server = node.backends.get('j-1')
    dispatcher.pauses.record(server, 30.0)
    node.backends.drop(server)
    dispatcher._remove_departed()
    await cluster.platform.announce()
    await waiting.until(lambda: node.backends.get('j-1'))
    assert dispatcher.paused_ids(dispatcher.usable('jobs')) == {'j-1'}


async def test_caller_is_told_when_the_first_pause_ends(cluster):
    """All servers pause: a refusal at once, with an honest time of return."""
    # The node has known all servers for a long time, and waits for no others.
    cluster.gateways[0].node.backends._complete_from_s = 0.0
    for number, server in enumerate(cluster.servers[2:]):
        server.refuses = True
        server.pause_text = str(2 + number)
    for number in range(2):
        status, headers, _ = await cluster.platform.call(
            cluster.gateways[0], 'GET', '/look/2f', request_id=f'r{number}'
        )
        assert status == 503
    assert 1.0 < float(headers['Retry-After']) < 2.5
    assert sum(len(s.requests_seen) for s in cluster.servers) == 2


def _saved_servers(gateway):
    folder = pathlib.Path(gateway.settings.data_folder)
    return (folder / cache_files.ViewFile.name).read_text()


async def test_server_that_left_while_a_node_was_down_gets_nothing(cluster):
    """DRAIN: the restarted node knew it from its disk and used it again."""
    await cluster.wait_for_layers()
    down = cluster.gateways.pop(0)
    await asyncio.sleep(cache_files.SAVE_INTERVAL_S * 2)
    await down.close()
    leaving = cluster.servers[0]
    assert leaving.server_id in _saved_servers(down)
    path = f'/v1/instances/{leaving.server_id}'
    for gateway in cluster.gateways:
        # The second one has the departure from the first one.
        status, _ = await cluster.platform.control(gateway, 'DELETE', path)
        assert status == 200
    restarted = await cluster.start_gateway(
        down.settings.host, first_start=False
    )
    cluster.gateways.append(restarted)
    await waiting.until(
        lambda: (
            restarted.freshness.is_valid
            and [b.server_id for b in restarted.node.backends.usable('model')]
            == ['m-2']
        )
    )


async def test_departure_of_an_unknown_server_is_not_acknowledged(cluster):
    """DRAIN: the node told nobody, and others went on to use the server."""
    status, _ = await cluster.platform.control(
        cluster.gateways[0], 'DELETE', '/v1/instances/unknown'
    )
    assert status == 503
