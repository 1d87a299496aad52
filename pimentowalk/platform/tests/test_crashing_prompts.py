"""Test that gateways reject the parts of prompts that crash servers."""

import asyncio

import aiohttp

from pimentowalk.admission import crashes
from pimentowalk.membership import backends as membership
from pimentowalk.platform import names
from tools.tests import waiting


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
