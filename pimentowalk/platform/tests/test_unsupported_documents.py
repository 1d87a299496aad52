"""Test that no older document replaces one that this release cannot use."""

import pytest

from pimentowalk.control import documents as control_documents
from pimentowalk.control import packing
from pimentowalk.platform import documents
from pimentowalk.platform import names
from pimentowalk.platform.tests import samples
from pimentowalk.topology import documents as topology_documents
from tools.tests import waiting


async def _commit(cluster, version, content):
    """Commit a document as a release does that accepts other values."""
    leader = next(g for g in cluster.gateways if g.node.leads)
    body = {'version': version, 'content': content.decode('latin-1')}
    if version <= topology_documents.MAX_VERSION:
        await leader.client.request(
            control_documents.PutDocument(version, content), 1.0
        )
        return
    await leader.replica.propose(
        packing.pack({'name': 'PutDocument', 'body': body}), 1.0
    )


async def _statuses(cluster, key):
    """Return the statuses of a request with a key at all gateways."""
    return [
        (
            await cluster.platform.call(
                gateway,
                'GET',
                '/look/x',
                request_id='r1',
                **{names.KEY: key},
            )
        )[0]
        for gateway in cluster.gateways
    ]


async def _restart(cluster):
    """Restart all gateways with their data."""
    hosts = [gateway.settings.host for gateway in cluster.gateways]
    for gateway in cluster.gateways:
        await gateway.close()
    cluster.gateways = [
        await cluster.start_gateway(host, first_start=False) for host in hosts
    ]
    await waiting.until(lambda: any(g.node.leads for g in cluster.gateways))


@pytest.mark.parametrize('restarted', [False, True])
@pytest.mark.parametrize('accounts', ['kept', 'none before'])
@pytest.mark.parametrize(
    ('version', 'content'),
    [
        (9, samples.configuration(version=-1)),
        (9, samples.configuration(version=9, routes=7)),
        (9, b'no JSON'),
        (topology_documents.MAX_VERSION + 1, b''),
    ],
)
async def test_requests_are_refused_until_a_usable_document(
    cluster, version, content, accounts, restarted
):
    """CONFIG: keys that it had revoked, or no keys, were accepted."""
    key = 'k1'
    if accounts == 'none before':
        key = ''
        text = samples.configuration(version=5).replace(
            b'"tenants"', b'"unknown"'
        )
        status, _ = await cluster.platform.control(
            cluster.gateways[0], 'PUT', '/v1/configuration', text
        )
        assert status == 200
        await waiting.until(
            lambda: all(g.node.document_version == 5 for g in cluster.gateways)
        )
    assert await _statuses(cluster, key) == [200] * 3
    await _commit(cluster, version, documents.compress(content))
    if restarted:
        await _restart(cluster)
    await waiting.until(
        lambda: all(g.node.has_withdrawn_document for g in cluster.gateways)
    )
    assert await _statuses(cluster, key) == [503] * 3
    status = await cluster.platform.configure(cluster.gateways[1], version=10)
    assert status == 200
    await waiting.until(
        lambda: all(
            g.node.document_version == 10 and g.freshness.is_valid
            for g in cluster.gateways
        )
    )
