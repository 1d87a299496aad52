"""Commands that show the configuration in force and its history."""

import asyncio
import datetime

from pimentowalk.cli import options as options_module
from pimentowalk.cli import output
from pimentowalk.cli import remote
from pimentowalk.core import errors

Options = options_module.Options
AGENT_ROLE = 'agent'
# Limits the concurrent requests to one control instance.
PARALLEL_REQUESTS = 32
SERVER_COLUMNS = (
    'server_id service kind zone host port model version first_layer '
    'end_layer accelerator draining'
)


@options_module.with_shared_options
def status(*, behind: bool = False, options: Options):
    """Show which configuration version is in force at each node.

    :param behind: show only nodes with an older version
    """
    result = asyncio.run(
        _query(options, lambda commands: commands.ReadStatus())
    )
    nodes = result.nodes
    if behind:
        nodes = [
            node for node in nodes if node.version_in_force < result.version
        ]
    if options.json:
        output.show_json({**output.to_json_data(result), 'nodes': nodes})
        return
    print(f'version {result.version}, leader {result.leader_id or "none"}')
    _show(nodes, 'node_id role zone version_in_force draining')


@options_module.with_shared_options
def audit(*, after_index: int = 0, limit: int = 100, options: Options):
    """Show applied changes: who, when, from which version, change id.

    :param after_index: show changes after this log index
    :param limit: highest number of changes
    """
    result = asyncio.run(
        _query(
            options, lambda commands: commands.ReadAudit(after_index, limit)
        )
    )
    if options.json:
        output.show_json(result)
        return
    rows = [
        [
            record.index,
            _format_time(record.time_s),
            record.author,
            record.name,
            record.from_version,
            record.change_id,
            record.detail,
        ]
        for record in result.records
    ]
    columns = ['index', 'time', 'author', 'change', 'from', 'id', 'detail']
    output.show_table(columns, rows)


@options_module.with_shared_options
def accounts(*, options: Options):
    """Show the client accounts in force and their limits."""
    result = asyncio.run(
        _query(options, lambda commands: commands.ReadConfiguration())
    )
    accounts_in_force = sorted(
        result.configuration.accounts.values(),
        key=lambda account: account.name,
    )
    if options.json:
        output.show_json({'accounts': accounts_in_force})
        return
    rows = [
        [
            account.name,
            account.weight,
            account.requests_per_s,
            account.tokens_per_s,
            ', '.join(account.services) or 'all',
        ]
        for account in accounts_in_force
    ]
    columns = ['account', 'weight', 'requests/s', 'tokens/s', 'services']
    output.show_table(columns, rows)


@options_module.with_shared_options
def servers(*, service: str = '', options: Options):
    """Show the announced backend servers and when each was last heard.

    :param service: show only the servers of this service
    """
    status, found = asyncio.run(_find_servers(options))
    silent_s = {node.node_id: node.silent_s for node in status.nodes}
    selected = [server for server in found if service in ('', server.service)]
    if options.json:
        output.show_json(
            {
                'answered_by': status.answered_by,
                'servers': [
                    {
                        **output.to_json_data(server),
                        'silent_s': silent_s[server.server_id],
                    }
                    for server in selected
                ],
            }
        )
        return
    print(f'answered by {status.answered_by}')
    columns = SERVER_COLUMNS.split()
    rows = [
        [
            *[getattr(server, name) for name in columns],
            f'{silent_s[server.server_id]:.1f}',
        ]
        for server in selected
    ]
    output.show_table([*columns, 'silent_s'], rows)


async def _query(options, command):
    async with remote.control(options) as control:
        return await control.request(command(control.commands))


async def _find_servers(options):
    # An agent uses its node id as the id of its backend server.
    request_slots = asyncio.Semaphore(PARALLEL_REQUESTS)
    async with remote.control(options) as control:
        result = await control.request(control.commands.ReadStatus())
        server_ids = [
            node.node_id for node in result.nodes if node.role == AGENT_ROLE
        ]
        results = await asyncio.gather(
            *[
                _find_server(control, request_slots, server_id)
                for server_id in sorted(server_ids)
            ]
        )
    return result, [server for server in results if server is not None]


async def _find_server(control, request_slots, server_id):
    async with request_slots:
        try:
            return await control.request(
                control.commands.FindServer(server_id)
            )
        except errors.PimentowalkError as error:
            # A server can leave between the status query and this one.
            if error.code == 'not_found':
                return None
            raise


def _show(items, column_names):
    columns = column_names.split()
    rows = [[getattr(item, name) for name in columns] for item in items]
    output.show_table(columns, rows)


def _format_time(time_s):
    time = datetime.datetime.fromtimestamp(time_s, datetime.UTC)
    return time.strftime('%Y-%m-%dT%H:%M:%SZ')
