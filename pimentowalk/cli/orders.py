"""Commands that send orders to backend servers."""

import asyncio
import json as json_module

from pimentowalk.cli import options as options_module
from pimentowalk.cli import output
from pimentowalk.cli import remote
from pimentowalk.core import errors
from pimentowalk.core import identifiers
from pimentowalk.wire import messages

Options = options_module.Options
DRAIN = 'drain'


@options_module.with_shared_options
def drain(server: str, *, change_id: str = '', options: Options):
    """Let a backend server finish its work and take no new work.

    :param server: id of the backend server
    :param change_id: id of the change that is repeated
    """
    _order_and_report(server, DRAIN, {}, change_id, options)


@options_module.with_shared_options
def order(
    server: str,
    action: str,
    *,
    arguments: str = '{}',
    change_id: str = '',
    options: Options,
):
    """Order a backend server to load something or to change its role.

    :param server: id of the backend server
    :param action: such as load_model, load_adapter or change_role
    :param arguments: JSON object, such as '{"version": "2"}'
    :param change_id: id of the change that is repeated
    """
    try:
        values = json_module.loads(arguments)
    except (ValueError, RecursionError):
        values = None
    if not isinstance(values, dict):
        raise errors.SettingsError('--arguments is not a JSON object')
    _order_and_report(server, action, values, change_id, options)


def _order_and_report(server, action, arguments, change_id, options):
    fence, reply = asyncio.run(
        _send_order(server, action, arguments, change_id, options)
    )
    if not reply.done:
        code = reply.code if reply.code in errors.CODES else 'internal'
        raise errors.PimentowalkError(
            f'the order was refused: {reply.text}',
            code=code,
            step='order',
            peer=server,
        )
    if options.json:
        output.show_json({'fence': fence, 'reply': reply})
    else:
        print(f'{action} accepted by {server} (fencing number {fence})')


async def _send_order(server_id, action, arguments, change_id, options):
    change_id = change_id or identifiers.new_change_id()
    arguments_json = json_module.dumps(arguments, sort_keys=True)
    async with remote.control(options) as control:
        commands = control.commands
        server = await control.request(commands.FindServer(server_id))
        issue_fence = commands.IssueFence(
            change_id=change_id,
            author=control.operator.name,
            server_id=server_id,
            action=action,
            arguments=arguments_json,
        )
        try:
            issued = await control.request(issue_fence)
        except errors.OutcomeUnknown as error:
            # A fencing number without an order has no effect on the server.
            raise errors.NotRun(
                f'no order was sent: {error.message}',
                step='issue fence',
                peer=error.peer,
            ) from None
    order_message = messages.Order(
        issued.fence, action, arguments_json.encode()
    )
    try:
        reply = await remote.send_order(
            server, order_message, options.timeout_s
        )
    except errors.OutcomeUnknown as error:
        raise errors.OutcomeUnknown(
            f'{error.message}; repeat with --change-id {change_id}, to '
            'which stale_fence answers that the order was accepted before',
            step=error.step,
            peer=error.peer,
        ) from None
    return issued.fence, reply
