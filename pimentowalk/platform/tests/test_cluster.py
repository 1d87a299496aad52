"""Test the members of a cluster of gateways, and its status."""

from pimentowalk.mesh import status as mesh_status
from tools.tests import waiting


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
