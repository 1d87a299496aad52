"""Test gateways whose disks fill up one after another."""

import asyncio
import errno
import os
import time

import pytest

from pimentowalk.control import files
from tools.tests import waiting

# An operator gets an acknowledgement within this time.
MAX_ACKNOWLEDGEMENT_S = 4.0
FULL_S = 2.5
MAX_STOP_S = 2.0


class Disks:
    """The data folders of gateways, some of them on full disks."""

    def __init__(self):
        self._full_folder = None
        self.rejected_writes = 0
        self._write_at = files.File.write_at

    def fill(self, gateway):
        """Reject all writes of one gateway, and accept those of others."""
        self._full_folder = gateway.settings.data_folder
        self.rejected_writes = 0

    def make_room(self):
        """Accept all writes."""
        self._full_folder = None

    def write_at(self, file, offset, data):
        """Write to a file, or fail as on a full disk."""
        path = os.readlink(f'/proc/self/fd/{file._fd}')
        if os.path.dirname(path) == self._full_folder:
            self.rejected_writes += 1
            raise OSError(errno.ENOSPC, 'the disk is full')
        return self._write_at(file, offset, data)


@pytest.fixture
def disks(monkeypatch):
    found = Disks()
    monkeypatch.setattr(
        files.File, 'write_at', lambda *arguments: found.write_at(*arguments)
    )
    yield found
    found.make_room()


def leader_of(cluster):
    """Return the gateway that leads control."""
    return next(g for g in cluster.gateways if g.node.leads)


async def put_configuration(cluster, version):
    """Send a configuration until it is acknowledged; return the time."""
    start_s = time.monotonic()
    attempt = version
    while time.monotonic() - start_s <= MAX_ACKNOWLEDGEMENT_S:
        attempt += 1
        gateway = cluster.gateways[attempt % len(cluster.gateways)]
        status = await cluster.platform.configure(gateway, version=version)
        if status == 200:
            return time.monotonic() - start_s
        await asyncio.sleep(0.05)
    raise AssertionError(f'version {version} was not acknowledged in time')


async def change_while_full(cluster, version):
    """Change the configuration, read it and call a server until `FULL_S`."""
    end_s = time.monotonic() + FULL_S
    while time.monotonic() < end_s:
        version += 1
        await put_configuration(cluster, version)
        for gateway in cluster.gateways:
            status, _ = await cluster.platform.control(
                gateway, 'GET', '/v1/configuration'
            )
            assert status == 200
            status, _, _ = await cluster.platform.call(
                gateway, 'GET', '/look/2f', request_id=f'r{version}'
            )
            assert status == 200
        await asyncio.sleep(0.1)
    return version


async def test_gateways_change_and_serve_while_disks_fill_up_in_turn(
    cluster, disks
):
    """Changes were refused or unanswered after the disks had room again."""
    await cluster.wait_for_layers()
    leader = leader_of(cluster)
    followers = [g for g in cluster.gateways if g is not leader]
    version = 10
    for gateway in [leader, *followers, leader]:
        disks.fill(gateway)
        version = await change_while_full(cluster, version)
        assert disks.rejected_writes
    disks.make_room()
    assert await put_configuration(cluster, version + 1) <= 1.0
    last_index = leader_of(cluster).replica.commit_index
    await waiting.until(
        lambda: all(
            g.replica._log.synced_index >= last_index
            and g.node.document_version == version + 1
            for g in cluster.gateways
        )
    )


async def test_gateway_on_a_full_disk_stops_and_recovers(cluster, disks):
    """A stop waited for the disk, so that the process had to be killed."""
    leader = leader_of(cluster)
    disks.fill(leader)
    await put_configuration(cluster, 10)
    await waiting.until(lambda: disks.rejected_writes)
    others = [g for g in cluster.gateways if g is not leader]
    cluster.gateways = others
    async with asyncio.timeout(MAX_STOP_S):
        await leader.close()
    await put_configuration(cluster, 11)
    restarted = await cluster.start_gateway(
        leader.settings.host, first_start=False
    )
    cluster.gateways = [restarted, *others]
    disks.make_room()
    await waiting.until(lambda: restarted.node.document_version == 11)
    await put_configuration(cluster, 12)
