"""Guard the whole path of gateways before a stand-in platform."""

import asyncio

import aiohttp
import pytest

from pimentowalk.mesh import status as mesh_status
from pimentowalk.platform import daemon
from pimentowalk.platform import names
from pimentowalk.platform.tests import samples
from tools.tests import waiting

EVENTS = b''.join(f'id: {n}\ndata: x\n\n'.encode() for n in range(1, 7))


async def test_stream_passes_through_whole(cluster):
    """The body, the seal and the id must be those of the server."""
    await cluster.layers_placed()
    status, headers, body = await cluster.platform.call(
        cluster.gateways[0], 'POST', '/draft/2f', request_id='r1'
    )
    assert (status, body) == (200, EVENTS)
    assert headers[names.REQUEST_ID] == 'r1'
    assert headers['Pimentowalk-Response-Seal'].startswith('seal-m-')


async def test_placement_knows_the_streams_of_a_server(cluster):
    """A leader that does not know them moves the server with most of them."""
    gateway = cluster.gateways[0]
    gateway.dispatcher.in_flight.begin(['i-1', 'i-2'], 10)
    gateway.dispatcher.in_flight.begin(['i-1'], 10)
    found = [gateway._executor._streams(name) for name in ('i-1', 'i-2')]
    assert found == [2, 1]


async def test_server_gets_account_and_path_but_not_the_key(cluster):
    """The key is the caller's secret; the account is found by it."""
    await cluster.layers_placed()
    await cluster.platform.call(
        cluster.gateways[1],
        'POST',
        '/draft/2f?a=%20b',
        request_id='r1',
        **{names.TENANT: 'forged'},
    )
    server = next(s for s in cluster.servers if s.seen)
    assert server.seen == [('POST', '/draft/2f?a=%20b', b'body')]
    assert server.last_headers.getall(names.TENANT) == ['t1']
    assert names.KEY not in server.last_headers
    assert int(server.last_headers[names.DEADLINE_MS]) <= 3000
    assert server.last_headers[names.HOPS] == f'{server.address}=0-8'


async def test_broken_stream_goes_on_elsewhere(cluster):
    """The caller sees each event once, though the first server broke."""
    await cluster.layers_placed()
    for server in cluster.servers[:2]:
        server.breaks_after = 2
        server.event_s = 0.1
    broken = cluster.platform.call(
        cluster.gateways[0], 'POST', '/draft/2f', request_id='r1'
    )
    task = asyncio.ensure_future(broken)
    await waiting.until(lambda: any(s.seen for s in cluster.servers))
    for server in cluster.servers[:2]:
        if not server.seen:
            server.breaks_after = None
    status, headers, body = await task
    assert (status, body) == (200, EVENTS)
    first = next(s for s in cluster.servers if s.seen)
    assert headers['Pimentowalk-Response-Seal'].startswith('seal-m-')
    assert first.seen


async def test_stream_that_cannot_go_on_is_cut(cluster):
    """An answer that ends early must not look complete."""
    await cluster.layers_placed()
    for server in cluster.servers[:2]:
        server.breaks_after = 2
    with pytest.raises(aiohttp.ClientError):
        await cluster.platform.call(
            cluster.gateways[0], 'POST', '/draft/2f', request_id='r1'
        )


async def test_safe_call_is_tried_again_after_a_fault(cluster):
    """A safe call may run more than once."""
    cluster.servers[2].status = 500
    for number in range(6):
        status, _, _ = await cluster.platform.call(
            cluster.gateways[0], 'GET', '/look/2f', request_id=f'r{number}'
        )
        assert status == 200


async def test_booking_runs_once(cluster):
    """A fault is no proof that a booking did not run."""
    for server in cluster.servers[2:]:
        server.status = 500
    status, headers, _ = await cluster.platform.call(
        cluster.gateways[0], 'POST', '/book/2f', request_id='r1'
    )
    assert status == 500
    assert 'Pimentowalk-Response-Seal' in headers
    assert sum(len(s.seen) for s in cluster.servers) == 1


async def test_refused_booking_is_sent_elsewhere(cluster):
    """The first server proved that it did not run it."""
    cluster.servers[2].refuses = True
    for number in range(6):
        status, _, _ = await cluster.platform.call(
            cluster.gateways[0], 'POST', '/book/2f', request_id=f'r{number}'
        )
        assert status == 200


async def test_booking_refused_everywhere_is_not_run(cluster):
    """503 promises that the call has not run and never will."""
    for server in cluster.servers[2:]:
        server.refuses = True
    status, headers, _ = await cluster.platform.call(
        cluster.gateways[0], 'POST', '/book/2f', request_id='r1'
    )
    assert status == 503
    assert float(headers['Retry-After']) > 0


async def test_unanswered_booking_ends_at_the_timeout_of_its_route(cluster):
    """504 promises nothing, since the call may have run."""
    for server in cluster.servers[2:]:
        server.hangs = True
    status, _, _ = await cluster.platform.call(
        cluster.gateways[0], 'POST', '/book/2f', request_id='r1'
    )
    assert status == 504


@pytest.mark.parametrize(
    ('key', 'path', 'expected'),
    [('k9', '/look/2f', 401), ('', '/look/2f', 401), ('k1', '/no/2f', 404)],
)
async def test_unknown_key_and_route_are_refused(cluster, key, path, expected):
    """What no configuration allows must reach no server."""
    status, _, _ = await cluster.platform.call(
        cluster.gateways[2], 'GET', path, request_id='r1', **{names.KEY: key}
    )
    assert status == expected
    assert not any(s.seen for s in cluster.servers)


async def test_higher_version_is_in_force_on_all_nodes(cluster):
    """A dropped route must not be served after the acknowledgement."""
    routes = [samples.BOOK_ROUTE]
    status = await cluster.platform.configure(
        cluster.gateways[2], version=9, routes=routes
    )
    assert status == 200
    await waiting.until(
        lambda: all(g.node.document_version == 9 for g in cluster.gateways)
    )
    for gateway in cluster.gateways:
        status, _, _ = await cluster.platform.call(
            gateway, 'GET', '/look/2f', request_id='r1'
        )
        assert status == 404


@pytest.mark.parametrize('version', [1, 3])
async def test_version_that_is_not_higher_changes_nothing(cluster, version):
    """It is acknowledged, but other content under it is never in force."""
    status = await cluster.platform.configure(version=version, routes=[])
    assert status == 200
    status, text = await cluster.platform.control(
        cluster.gateways[1], 'GET', '/v1/configuration'
    )
    assert status == 200
    assert text.encode() == samples.configuration()


async def test_invalid_configuration_is_refused_with_the_reason(cluster):
    """An operator needs to know what to mend."""
    routes = [samples.SAFE_ROUTE | {'service': 'nobody'}]
    status, text = await cluster.platform.control(
        cluster.gateways[1],
        'PUT',
        '/v1/configuration',
        samples.configuration(version=9, routes=routes),
    )
    assert status == 400
    assert 'nobody' in text


async def test_cut_off_node_serves_no_keys_and_reads_no_configuration(
    cluster,
):
    """A key may have been taken away meanwhile."""
    alone = cluster.gateways[0]
    for other in cluster.gateways[1:]:
        await other.close()
    await waiting.until(lambda: not alone.freshness.is_valid)
    status, _, _ = await cluster.platform.call(
        alone, 'GET', '/look/2f', request_id='r1'
    )
    assert status == 503
    status, _ = await cluster.platform.control(
        alone, 'GET', '/v1/configuration'
    )
    assert status == 503
    cluster.gateways = [alone]


async def test_stop_closes_idle_connections(cluster, monkeypatch):
    """A request on a kept connection would be read and never answered."""
    monkeypatch.setattr(daemon, 'NOTICE_S', 0.1)
    gateway = cluster.gateways[0]
    address = gateway.settings.front
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(b'GET /no HTTP/1.1\r\nHost: a.example\r\n\r\n')
    await reader.readuntil(b'\r\n\r\n')
    running = asyncio.ensure_future(gateway.run())
    gateway.request_stop()
    async with asyncio.timeout(5):
        while await reader.read(1000):
            pass
    writer.close()
    await running


async def test_node_that_knows_only_a_diskless_seed_finds_control(cluster):
    """Seeds may be exchanged for nodes that hold no replica."""
    host = '127.0.0.4'
    seed = await cluster.start_gateway(host, disk=False, first_start=False)
    late = await cluster.start_gateway(
        '127.0.0.5', disk=False, first_start=False, seeds=(host,)
    )
    cluster.gateways += [seed, late]
    await waiting.until(lambda: late.freshness.is_valid)
    assert late.node.document_version == 3


async def test_lost_disk_is_replaced_by_the_cluster(cluster, tmp_path):
    """A voter that forgot everything must not stay one, nor be missing."""
    lost = cluster.gateways.pop()
    host = lost.settings.host
    await lost.close()
    for path in sorted((tmp_path / host).iterdir()):
        path.unlink()
    again = await cluster.start_gateway(host, first_start=False)
    cluster.gateways.append(again)

    def votes_again():
        leader = next((g for g in cluster.gateways if g.node.leads), None)
        found = leader.replica.members() if leader else []
        return any(
            m.identity == again.replica.identity and m.voter for m in found
        )

    await waiting.until(votes_again)
    await waiting.until(lambda: again.node.document_version == 3)


async def test_operator_sees_what_a_gateway_knows(cluster, capsys):
    """An engineer needs placement, members and ages, but never a key."""
    await cluster.layers_placed()
    found = mesh_status.gateway_status(
        cluster.gateways[0].node, cluster.gateways[0].freshness
    )
    assert (found.version, found.lease_held) == (3, True)
    assert sorted(m.votes for m in found.members) == [True] * 3
    layers = {b.layers for b in found.backends if b.service == 'model'}
    assert layers == {'0-8'}
    assert [(a.name, a.keys) for a in found.accounts] == [('t1', 2)]


async def test_caller_of_a_starting_node_waits_for_the_configuration(cluster):
    """Its one more try would end at another node that starts too."""
    late = await cluster.start_gateway(
        '127.0.0.4', disk=False, first_start=False
    )
    cluster.gateways.append(late)
    status, _, _ = await cluster.platform.call(
        late, 'GET', '/look/2f', request_id='r1'
    )
    assert status == 200
