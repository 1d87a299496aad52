"""Fixtures: gateways on loopback addresses and a stand-in platform."""

import asyncio
import contextlib
import socket

import pytest_asyncio

from pimentowalk.platform import daemon
from pimentowalk.platform.tests import changing
from pimentowalk.platform.tests import standin
from pimentowalk.settings import gateway as gateway_settings
from tools.tests import waiting

HOSTS = ('127.0.0.1', '127.0.0.2', '127.0.0.3')


def _find_free_ports(count):
    """Return ports that are free on 127.0.0.1."""
    with contextlib.ExitStack() as stack:
        ports = []
        for _ in range(count):
            sock = stack.enter_context(socket.socket())
            sock.bind(('127.0.0.1', 0))
            ports.append(sock.getsockname()[1])
        return ports


class Cluster:
    """Three gateways with disks, backend servers and a stand-in platform."""

    def __init__(self, folder):
        self._folder = folder
        self._ports = _find_free_ports(4)
        self.gateways = []
        self.platform = None
        self.servers = []

    def settings(self, host, *, first_start=True, disk=True, seeds=HOSTS):
        """Return the settings of a gateway."""
        peer, front, ready, control = self._ports
        address = gateway_settings.Address
        return gateway_settings.GatewaySettings(
            node_id=host,
            name=f'edge-{host}',
            zone='z1',
            host=host,
            peer_port=peer,
            front=address(host, front),
            ready=address(host, ready),
            control=address(host, control),
            seeds=tuple(address(seed, control) for seed in seeds),
            first_start=first_start,
            data_folder=str(self._folder / host) if disk else '',
            announcement_period_ms=60_000.0,
        )

    async def start_gateway(self, host, **changes):
        """Start a gateway and return it."""
        settings = self.settings(host, **changes)
        gateway = daemon.Gateway(
            settings, gateway_settings.BoundSettings(), lambda: settings.seeds
        )
        await gateway.start()
        return gateway

    async def start(self, servers, *, restarted=()):
        """Start gateways and servers; wait until requests can be served.

        The hosts `restarted` were killed before they had written anything.
        """
        self.servers = servers
        self.gateways = [
            await self.start_gateway(host, first_start=host not in restarted)
            for host in HOSTS
        ]
        self.platform = standin.Platform(self.gateways, servers)
        await self.platform.start()
        await waiting.until(lambda: any(g.node.leads for g in self.gateways))
        await waiting.until(self._is_configured)
        await self.platform.announce()
        await waiting.until(
            lambda: all(
                g.node.document_version and g.freshness.is_valid
                for g in self.gateways
            )
        )

    async def _is_configured(self):
        """Publish the configuration, as an operator does until it is accepted.

        A first leader may lose its quorum while the processes start.
        """
        status = await self.platform.configure()
        assert status in (200, 503)
        return status == 200

    async def wait_for_layers(self):
        """Wait until all model servers hold layers and all gateways know."""
        model = [s for s in self.servers if s.service == 'model']
        await waiting.until(lambda: all(s.layers for s in model))
        await self.platform.announce()
        await waiting.until(
            lambda: all(
                b.layer_count
                for g in self.gateways
                for b in g.node.backends.usable('model')
            )
        )

    async def stop(self):
        """Stop the gateways and the platform."""
        await asyncio.gather(*(g.close() for g in self.gateways))
        await self.platform.stop()


@pytest_asyncio.fixture
async def cluster(tmp_path):
    """Start a cluster with two model servers and two plain servers."""
    new_cluster = Cluster(tmp_path)
    servers = [
        standin.StandInServer('m-1', '127.0.0.1', 'model'),
        standin.StandInServer('m-2', '127.0.0.1', 'model'),
        standin.StandInServer('j-1', '127.0.0.1', 'jobs'),
        standin.StandInServer('j-2', '127.0.0.1', 'jobs'),
    ]
    await new_cluster.start(servers)
    yield new_cluster
    await new_cluster.stop()


@pytest_asyncio.fixture
async def scene():
    """Start a front and its servers."""
    new_scene = changing.Scene()
    await new_scene.start()
    yield new_scene
    await new_scene.stop()
