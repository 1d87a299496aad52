"""Show what a gateway knows."""

import asyncio

import aiohttp

from pimentowalk.cli import options as options_module
from pimentowalk.cli import output
from pimentowalk.control import commands
from pimentowalk.core import errors
from pimentowalk.mesh import status as mesh_status

Options = options_module.Options


@options_module.shared
def gateway(address: str, /, *, options: Options):
    """Show version, lease, members, backend servers and their layers.

    :param address: metrics address of a gateway, host:port
    """
    found = asyncio.run(_fetch(address, options.timeout_s))
    if options.json:
        output.show_json(found)
        return
    lease = 'held' if found.lease_held else 'not held'
    print(
        f'{found.node_id}: version {found.version}, lease {lease} '
        f'(age {found.lease_age_s} s), leader {found.leader_id or "none"}'
    )
    _show('members', found.members, 'node_id votes linked')
    _show(
        'backend servers',
        found.backends,
        'server_id address service zone state layers heard_s suspected',
    )
    _show('client accounts', found.accounts, 'name keys')


def _show(title, items, names):
    if items:
        print(f'\n{title}')
        names = names.split()
        rows = [[getattr(item, name) for name in names] for item in items]
        output.show_table(names, rows)


async def _fetch(address, timeout_s):
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    url = f'http://{address}/status'
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(url) as response,
        ):
            text = await response.read()
            if response.status != 200:
                raise errors.PeerLost(
                    f'answered with {response.status}',
                    step='read status',
                    peer=address,
                )
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
        raise errors.PeerLost(
            f'no status: {error!r}', step='read status', peer=address
        ) from None
    return commands.decode(text, mesh_status.GatewayStatus)
