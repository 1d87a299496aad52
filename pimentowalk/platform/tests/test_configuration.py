"""Test which configuration the gateways of a cluster have in force."""

import pytest

from pimentowalk.platform.tests import samples
from tools.tests import waiting


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
