"""End-to-end tests of gateways against a stand-in platform."""

import asyncio

import aiohttp
from aiohttp import web_protocol
import pytest

from pimentowalk.admission import crashes
from pimentowalk.membership import backends as membership
from pimentowalk.mesh import status as mesh_status
from pimentowalk.platform import daemon
from pimentowalk.platform import names
from pimentowalk.platform.tests import samples
from tools.tests import waiting

ALL_EVENTS = b''.join(f'id: {n}\ndata: x\n\n'.encode() for n in range(1, 7))


async def test_stream_is_relayed_unchanged(cluster):
    """Body, seal and request id must be those of the server."""
    await cluster.wait_for_layers()
    status, headers, body = await cluster.platform.call(
        cluster.gateways[0], 'POST', '/draft/2f', request_id='r1'
    )
    assert (status, body) == (200, ALL_EVENTS)
    assert headers[names.REQUEST_ID] == 'r1'
    assert headers['Pimentowalk-Response-Seal'].startswith('seal-m-')


async def test_placement_gets_the_stream_counts_of_servers(cluster):
    """Without the counts, the leader may move the server with most streams."""
    gateway = cluster.gateways[0]
    gateway.dispatcher.in_flight.begin(['i-1', 'i-2'], 10)
    gateway.dispatcher.in_flight.begin(['i-1'], 10)
    counts = [gateway._executor._streams(name) for name in ('i-1', 'i-2')]
    assert counts == [2, 1]


async def test_server_gets_account_and_path_but_not_the_key(cluster):
    """Keys are secret; servers receive the name of the account instead."""
    await cluster.wait_for_layers()
    await cluster.platform.call(
        cluster.gateways[1],
        'POST',
        '/draft/2f?a=%20b',
        request_id='r1',
        **{names.TENANT: 'forged'},
    )
    server = next(s for s in cluster.servers if s.requests_seen)
    assert server.requests_seen == [('POST', '/draft/2f?a=%20b', b'body')]
    assert server.last_headers.getall(names.TENANT) == ['t1']
    assert names.KEY not in server.last_headers
    assert int(server.last_headers[names.DEADLINE_MS]) <= 3000
    assert server.last_headers[names.HOPS] == f'{server.address}=0-8'


async def test_broken_stream_resumes_on_another_server(cluster):
    """The caller must receive each event exactly once."""
    await cluster.wait_for_layers()
    for server in cluster.servers[:2]:
        server.break_after_events = 2
        server.event_interval_s = 0.1
    broken = cluster.platform.call(
        cluster.gateways[0], 'POST', '/draft/2f', request_id='r1'
    )
    task = asyncio.ensure_future(broken)
    await waiting.until(lambda: any(s.requests_seen for s in cluster.servers))
    for server in cluster.servers[:2]:
        if not server.requests_seen:
            server.break_after_events = None
    status, headers, body = await task
    assert (status, body) == (200, ALL_EVENTS)
    first = next(s for s in cluster.servers if s.requests_seen)
    assert headers['Pimentowalk-Response-Seal'].startswith('seal-m-')
    assert first.requests_seen


@pytest.mark.parametrize('status', [200, 404, 500, 503])
@pytest.mark.parametrize('content_type', ['text/event-stream', 'text/plain'])
async def test_error_of_the_next_server_does_not_reach_a_started_stream(
    cluster, status, content_type
):
    """Callers found the text of an error in their stream, or its end."""
    await cluster.wait_for_layers()
    for server in cluster.servers[:2]:
        server.break_after_events = 2
        server.resume_answer = status, content_type
    received = []
    with pytest.raises(aiohttp.ClientError):
        async with cluster.platform.request(
            cluster.gateways[0], 'POST', '/draft/2f', request_id='r1'
        ) as response:
            assert response.status == 200
            async for data in response.content.iter_any():
                received.append(data)
    assert b''.join(received) == b'id: 1\ndata: x\n\nid: 2\ndata: x\n\n'


async def test_stream_that_cannot_go_on_is_cut(cluster):
    """A truncated answer must not look complete."""
    await cluster.wait_for_layers()
    for server in cluster.servers[:2]:
        server.break_after_events = 2
    with pytest.raises(aiohttp.ClientError):
        await cluster.platform.call(
            cluster.gateways[0], 'POST', '/draft/2f', request_id='r1'
        )


async def _prompt_status(cluster, gateway, name, parts):
    """Send a prompt with some parts; return its status, 0 if it was cut."""
    try:
        status, _, _ = await cluster.platform.call(
            gateway,
            'POST',
            f'/draft/{name}',
            request_id=name,
            **{names.PROMPT_PARTS: parts},
        )
    except aiohttp.ClientError:
        return 0
    return status


async def test_part_that_crashes_servers_is_rejected_by_all_nodes(cluster):
    """BUDGET: requests with one part kept crashing servers.

    No two requests were alike; sound ones shared their caller and prompt.
    """
    await cluster.wait_for_layers()
    model = cluster.servers[:2]
    for server in model:
        server.deadly_part = 'dead'
    for number in range(crashes.MIN_CRASHES):
        gateway = cluster.gateways[number % 3]
        await _prompt_status(
            cluster, gateway, f'd{number}', f'sys:40,dead:9,own{number}:7'
        )
        crashed = [server for server in model if server.crashing]
        assert crashed
        await waiting.until(
            lambda done=number + 1: all(
                len(crashes._group(g.crashes._crashes.values())) == done
                for g in cluster.gateways
            )
        )
        for server in crashed:
            await server.restart()
        await asyncio.sleep(membership.MIN_SUSPECT_S)
        await cluster.platform.announce()
        assert (
            await _prompt_status(
                cluster, gateway, f's{number}', f'sys:40,sound{number}:7'
            )
            == 200
        )
    for number, gateway in enumerate(cluster.gateways):
        parts = f'sys:40,dead:9,new{number}:7'
        seen = [len(server.requests_seen) for server in model]
        assert await _prompt_status(cluster, gateway, 'n', parts) == 422
        assert [len(server.requests_seen) for server in model] == seen
        sound = f'sys:40,more{number}:7'
        assert await _prompt_status(cluster, gateway, 'm', sound) == 200


async def test_safe_call_is_retried_after_a_fault(cluster):
    """Safe calls are idempotent, so that a retry is allowed."""
    cluster.servers[2].status = 500
    for number in range(6):
        status, _, _ = await cluster.platform.call(
            cluster.gateways[0], 'GET', '/look/2f', request_id=f'r{number}'
        )
        assert status == 200


async def test_booking_runs_once(cluster):
    """After a fault, the booking may have run and must not be retried."""
    for server in cluster.servers[2:]:
        server.status = 500
    status, headers, _ = await cluster.platform.call(
        cluster.gateways[0], 'POST', '/book/2f', request_id='r1'
    )
    assert status == 500
    assert 'Pimentowalk-Response-Seal' in headers
    assert sum(len(s.requests_seen) for s in cluster.servers) == 1


async def test_refused_booking_is_sent_elsewhere(cluster):
    """A server that proves non-execution allows a retry."""
    cluster.servers[2].refuses = True
    for number in range(6):
        status, _, _ = await cluster.platform.call(
            cluster.gateways[0], 'POST', '/book/2f', request_id=f'r{number}'
        )
        assert status == 200


async def test_booking_refused_everywhere_is_not_run(cluster):
    """A 503 guarantees that the call has not run and never will."""
    for server in cluster.servers[2:]:
        server.refuses = True
    status, headers, _ = await cluster.platform.call(
        cluster.gateways[0], 'POST', '/book/2f', request_id='r1'
    )
    assert status == 503
    assert float(headers['Retry-After']) > 0


async def test_unanswered_booking_ends_at_the_timeout_of_its_route(cluster):
    """A 504 makes no statement on whether the call ran."""
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
    """Unauthorized and unroutable requests must not reach a server."""
    status, _, _ = await cluster.platform.call(
        cluster.gateways[2], 'GET', path, request_id='r1', **{names.KEY: key}
    )
    assert status == expected
    assert not any(s.requests_seen for s in cluster.servers)


async def test_higher_version_is_in_force_on_all_nodes(cluster):
    """A removed route must not be served by any node."""
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
    """It is acknowledged, but its content must not take effect."""
    status = await cluster.platform.configure(version=version, routes=[])
    assert status == 200
    status, text = await cluster.platform.control(
        cluster.gateways[1], 'GET', '/v1/configuration'
    )
    assert status == 200
    assert text.encode() == samples.configuration()


async def test_invalid_configuration_is_refused_with_the_reason(cluster):
    """The error must name the invalid value for the operator."""
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
    """Keys may have been revoked since the node lost contact."""
    isolated = cluster.gateways[0]
    for other in cluster.gateways[1:]:
        await other.close()
    await waiting.until(lambda: not isolated.freshness.is_valid)
    status, _, _ = await cluster.platform.call(
        isolated, 'GET', '/look/2f', request_id='r1'
    )
    assert status == 503
    status, _ = await cluster.platform.control(
        isolated, 'GET', '/v1/configuration'
    )
    assert status == 503
    cluster.gateways = [isolated]


async def test_stop_closes_idle_connections(cluster, monkeypatch):
    """A request on a keep-alive connection might never be answered."""
    monkeypatch.setattr(daemon, 'SHUTDOWN_DELAY_S', 0.1)
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


async def test_stop_answers_a_request_that_was_just_read(cluster, monkeypatch):
    """A request must not be cut between its arrival and its handler."""
    gateway = cluster.gateways[0]
    address = gateway.settings.front
    receive = web_protocol.RequestHandler.data_received

    def receive_and_stop(protocol, data):
        receive(protocol, data)
        if b'/no' in data:
            gateway._close_connections()

    monkeypatch.setattr(
        web_protocol.RequestHandler, 'data_received', receive_and_stop
    )
    # The second request finds a connection that waits for it.
    for count in (1, 2):
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        request = b'GET /first HTTP/1.1\r\nHost: a.example\r\n\r\n'
        for _ in range(count - 1):
            writer.write(request)
            await reader.readuntil(b'}')
        writer.write(request.replace(b'first', b'no'))
        async with asyncio.timeout(5):
            answer = await reader.read()
        assert answer.startswith(b'HTTP/1.1 ')
        writer.close()


async def test_node_that_knows_only_a_diskless_seed_finds_control(cluster):
    """Seeds may be replaced by nodes without a control replica."""
    host = '127.0.0.4'
    seed = await cluster.start_gateway(host, disk=False, first_start=False)
    joining = await cluster.start_gateway(
        '127.0.0.5', disk=False, first_start=False, seeds=(host,)
    )
    cluster.gateways += [seed, joining]
    await waiting.until(lambda: joining.freshness.is_valid)
    assert joining.node.document_version == 3


async def test_lost_disk_is_replaced_by_the_cluster(cluster, tmp_path):
    """A voter that lost its log must be removed and rejoin as a new one."""
    wiped = cluster.gateways.pop()
    host = wiped.settings.host
    await wiped.close()
    for path in sorted((tmp_path / host).iterdir()):
        path.unlink()
    restarted = await cluster.start_gateway(host, first_start=False)
    cluster.gateways.append(restarted)

    def voter_restored():
        leader = next((g for g in cluster.gateways if g.node.leads), None)
        members = leader.replica.members() if leader else []
        return any(
            m.identity == restarted.replica.identity and m.voter
            for m in members
        )

    await waiting.until(voter_restored)
    await waiting.until(lambda: restarted.node.document_version == 3)


async def test_status_shows_placement_members_and_accounts(cluster, capsys):
    """The status shows the number of keys of an account, but no key."""
    await cluster.wait_for_layers()
    status = mesh_status.gateway_status(
        cluster.gateways[0].node, cluster.gateways[0].freshness
    )
    assert (status.version, status.lease_held) == (3, True)
    assert sorted(m.votes for m in status.members) == [True] * 3
    layers = {b.layers for b in status.backends if b.service == 'model'}
    assert layers == {'0-8'}
    assert [(a.name, a.keys) for a in status.accounts] == [('t1', 2)]


async def test_caller_of_a_starting_node_waits_for_the_configuration(cluster):
    """After a restart of all nodes, a retry would hit a starting node too."""
    joining = await cluster.start_gateway(
        '127.0.0.4', disk=False, first_start=False
    )
    cluster.gateways.append(joining)
    status, _, _ = await cluster.platform.call(
        joining, 'GET', '/look/2f', request_id='r1'
    )
    assert status == 200


async def test_status_and_metrics_show_a_zone_without_a_path(cluster):
    """An operator must see that a zone has lost its last path."""
    await cluster.wait_for_layers()
    gateway = cluster.gateways[0]
    (complete,) = mesh_status.zone_statuses(gateway.node)
    assert (complete.servers, complete.missing_layers) == (2, 0)
    assert complete.full_copies == 2
    for server in cluster.servers[:2]:
        server.layers = (0, 5)
    await cluster.platform.announce()
    await waiting.until(lambda: mesh_status.missing_layers(gateway.node) == 3)
    assert 'pimentowalk_gateway_incomplete_zones 1' in gateway.metrics.render()


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
    full.pause_text = '1.5'
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
