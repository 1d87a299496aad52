"""Test which configuration the gateways of a cluster have in force."""

import asyncio
import json
import random

import pytest

from pimentowalk.platform.tests import samples
from pimentowalk.topology import documents
from tools.tests import waiting

LARGEST = documents.MAX_VERSION


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


async def _versions_read(cluster):
    """Return the versions that a read of the configuration returns."""
    versions = []
    for gateway in cluster.gateways:
        status, text = await cluster.platform.control(
            gateway, 'GET', '/v1/configuration'
        )
        assert status == 200
        versions.append(json.loads(text)['version'])
    return versions


async def _wait_in_force(cluster, version):
    await waiting.until(
        lambda: all(
            g.node.document_version == version and g.freshness.is_valid
            for g in cluster.gateways
        )
    )


async def test_versions_above_64_bits_are_kept(cluster):
    """No link could be opened once a version had 20 digits."""
    versions = (2**63, 2**64 - 1, 2**64, 20261206135000250000, 10**30)
    for version in (*versions, LARGEST):
        assert await cluster.platform.configure(version=version) == 200
        await _wait_in_force(cluster, version)
    assert await _versions_read(cluster) == [LARGEST] * 3
    await asyncio.gather(*(g.close() for g in cluster.gateways))
    for number, gateway in enumerate(cluster.gateways):
        cluster.gateways[number] = await cluster.start_gateway(
            gateway.settings.host, first_start=False
        )
    await _wait_in_force(cluster, LARGEST)
    assert await _versions_read(cluster) == [LARGEST] * 3


@pytest.mark.parametrize(
    'version', [0, -1, 3.5, LARGEST + 1, 1e300, '4', True, None]
)
async def test_version_out_of_range_is_refused(cluster, version):
    """A version that the nodes cannot exchange must not be committed."""
    assert await cluster.platform.configure(version=version) == 400
    assert await cluster.platform.configure(version=9) == 200
    await _wait_in_force(cluster, 9)


@pytest.mark.parametrize('key_count', [22_000, 40_000])
async def test_configuration_too_large_for_a_frame_is_refused(
    cluster, key_count
):
    """Nodes other than the leader answered 503, so it was sent for good."""
    rng = random.Random(key_count)
    keys = [f'{rng.getrandbits(256):064x}' for _ in range(key_count)]
    tenants = [{'name': 't1', 'api-keys': ['k1', *keys]}]
    for gateway in cluster.gateways:
        status = await cluster.platform.configure(
            gateway, version=9, tenants=tenants
        )
        assert status == 413
    assert await cluster.platform.configure(version=10) == 200
