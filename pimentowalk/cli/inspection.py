"""Show what is in force and what happened."""

import asyncio
import datetime

from pimentowalk.cli import options as options_module
from pimentowalk.cli import output
from pimentowalk.cli import remote
from pimentowalk.core import errors

Options = options_module.Options
AGENT_ROLE = 'agent'
# Bounds the requests in progress at one control instance.
PARALLEL_REQUESTS = 32


@options_module.shared
def status(*, behind: bool = False, options: Options):
    """Show which configuration version is in force at each node.

    :param behind: show only nodes with an older version
    """
    result = asyncio.run(_query(options, lambda c: c.ReadStatus()))
    nodes = result.nodes
    if behind:
        nodes = [n for n in nodes if n.version_in_force < result.version]
    if options.json:
        output.show_json({**output.plain(result), 'nodes': nodes})
        return
    print(f'version {result.version}, leader {result.leader_id or "none"}')
    _show(nodes, 'node_id role zone version_in_force draining')


@options_module.shared
def audit(*, after_index: int = 0, limit: int = 100, options: Options):
    """Show applied changes: who, when, from which version, change id.

    :param after_index: show changes after this log index
    :param limit: highest number of changes
    """
    result = asyncio.run(
        _query(options, lambda c: c.ReadAudit(after_index, limit))
    )
    if options.json:
        output.show_json(result)
        return
    rows = [
        [
            record.index,
            _time_text(record.time_s),
            record.author,
            record.name,
            record.from_version,
            record.change_id,
            record.detail,
        ]
        for record in result.records
    ]
    names = ['index', 'time', 'author', 'change', 'from', 'id', 'detail']
    output.show_table(names, rows)


@options_module.shared
def accounts(*, options: Options):
    """Show the client accounts in force and their limits."""
    result = asyncio.run(_query(options, lambda c: c.ReadConfiguration()))
    found = sorted(
        result.configuration.accounts.values(), key=lambda one: one.name
    )
    if options.json:
        output.show_json({'accounts': found})
        return
    rows = [
        [
            account.name,
            account.weight,
            account.requests_per_s,
            account.tokens_per_s,
            ', '.join(account.services) or 'all',
        ]
        for account in found
    ]
    names = ['account', 'weight', 'requests/s', 'tokens/s', 'services']
    output.show_table(names, rows)


@options_module.shared
def servers(*, service: str = '', options: Options):
    """Show the announced backend servers.

    :param service: show only the servers of this service
    """
    found = [
        server
        for server in asyncio.run(_servers(options))
        if service in ('', server.service)
    ]
    if options.json:
        output.show_json({'servers': found})
        return
    _show(
        found,
        'server_id service kind zone host port model version first_layer '
        'end_layer accelerator draining',
    )


async def _query(options, command):
    async with remote.control(options) as control:
        return await control.request(command(control.commands))


async def _servers(options):
    # Agents use their node id as the id of their server.
    places = asyncio.Semaphore(PARALLEL_REQUESTS)
    async with remote.control(options) as control:
        result = await control.request(control.commands.ReadStatus())
        names = [n.node_id for n in result.nodes if n.role == AGENT_ROLE]
        found = await asyncio.gather(
            *[_find_server(control, places, name) for name in sorted(names)]
        )
    return [server for server in found if server is not None]


async def _find_server(control, places, name):
    async with places:
        try:
            return await control.request(control.commands.FindServer(name))
        except errors.PimentowalkError as error:
            # A server can leave between the two requests.
            if error.code == 'not_found':
                return None
            raise


def _show(values, names):
    columns = names.split()
    rows = [[getattr(value, name) for name in columns] for value in values]
    output.show_table(columns, rows)


def _time_text(time_s):
    moment = datetime.datetime.fromtimestamp(time_s, datetime.UTC)
    return moment.strftime('%Y-%m-%dT%H:%M:%SZ')
