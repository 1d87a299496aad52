"""Command that shows the state of a gateway."""

import asyncio

import aiohttp

from pimentowalk.cli import options as options_module
from pimentowalk.cli import output
from pimentowalk.control import commands
from pimentowalk.core import errors
from pimentowalk.mesh import status as mesh_status

Options = options_module.Options


@options_module.with_shared_options
def gateway(address: str, /, *, options: Options):
    """Show version, lease, members, backend servers and their layers.

    :param address: metrics address of a gateway, host:port
    """
    status = asyncio.run(_fetch(address, options.timeout_s))
    if options.json:
        output.show_json(status)
        return
    lease = 'held' if status.lease_held else 'not held'
    print(
        f'{status.node_id}: version {status.version}, lease {lease} '
        f'(age {status.lease_age_s} s), leader {status.leader_id or "none"}'
    )
    _show('members', status.members, 'node_id votes linked')
    _show(
        'backend servers',
        status.backends,
        'server_id address service zone state layers heard_s suspected',
    )
    _show(
        'layers by zone',
        status.zones,
        'service zone servers full_copies missing_layers',
    )
    _show('client accounts', status.accounts, 'name keys')
    _show(
        'use of the largest client accounts',
        status.account_shares,
        'name use share rank',
    )


def _show(title, items, column_names):
    if items:
        print(f'\n{title}')
        columns = column_names.split()
        rows = [[getattr(item, name) for name in columns] for item in items]
        output.show_table(columns, rows)


async def _fetch(address, timeout_s):
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    url = f'http://{address}/status'
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(url) as response,
        ):
            body = await response.read()
            if response.status != 200:
                raise errors.PeerLost(
                    f'/status was answered with HTTP status {response.status}',
                    step='read status',
                    peer=address,
                )
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
        raise errors.PeerLost(
            f'cannot read /status: {error!r}', step='read status', peer=address
        ) from None
    return commands.decode(body, mesh_status.GatewayStatus)
