"""Test how gateways send calls to servers and pass on the answers."""

import asyncio

import aiohttp
import pytest

from pimentowalk.platform import names
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
