"""Send requests to control and orders to agents for an operator."""

import asyncio
import contextlib

from pimentowalk.cli import operator_file
from pimentowalk.core import errors
from pimentowalk.core import identifiers
from pimentowalk.wire import connection
from pimentowalk.wire import messages

CLIENT_ROLE = 'client'


def command_module():
    """Return the module `control.commands`, imported on first use."""
    from pimentowalk.control import commands

    return commands


def new_client(operator):
    """Return a control client that authenticates with the operator's token."""
    from pimentowalk.control import client

    return client.ControlClient(operator.control, token=operator.token)


@contextlib.asynccontextmanager
async def control(options):
    """Yield a Remote for the operator file that the options name."""
    operator = operator_file.load(options.operator_file)
    client = new_client(operator)
    try:
        yield Remote(operator, client, options.timeout_s)
    finally:
        await client.close()


class Remote:
    """Send requests to control on behalf of an operator."""

    def __init__(self, operator, client, timeout_s):
        self.operator = operator
        self.commands = command_module()
        self._client = client
        self._timeout_s = timeout_s

    async def request(self, command):
        """Return the result of a command; raise PimentowalkError."""
        try:
            async with asyncio.timeout(self._timeout_s):
                return await self._client.request(command)
        except TimeoutError:
            command_name = type(command).__name__
            # Only changes have an id; a query changes nothing, so that its
            # outcome is never unknown.
            error_class = errors.NoQuorum
            if hasattr(command, 'change_id'):
                error_class = errors.OutcomeUnknown
            raise error_class(
                f'no answer within {self._timeout_s} s', step=command_name
            ) from None


async def send_order(server, order, timeout_s):
    """Send an order to the agent of a server and return its answer.

    Raises PeerLost if the connection failed before the order was sent,
    NotRun if another node answers at the address, and OutcomeUnknown if no
    answer arrived.
    """
    hello = messages.Hello(
        'operator', CLIENT_ROLE, identifiers.new_incarnation()
    )
    peer = await connection.dial(server.host, server.port, hello)
    run_task = asyncio.ensure_future(peer.run())
    try:
        if peer.peer != server.server_id:
            raise errors.NotRun(
                f'{peer.address} now belongs to {peer.peer}',
                step='order',
                peer=server.server_id,
            )
        return await _call_agent(peer, order, timeout_s)
    finally:
        peer.close()
        await run_task


async def _call_agent(peer, order, timeout_s):
    try:
        return await peer.call(order, timeout_s)
    except (errors.PeerLost, TimeoutError) as error:
        raise errors.OutcomeUnknown(
            f'the agent did not answer: {error or "timeout"}',
            step='order',
            peer=peer.peer,
        ) from None
