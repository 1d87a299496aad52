"""Commands on members of the replicated log and quarantined requests."""

import asyncio

from pimentowalk.cli import options as options_module
from pimentowalk.cli import output
from pimentowalk.cli import remote
from pimentowalk.core import errors
from pimentowalk.core import identifiers
from pimentowalk.settings import daemon
from pimentowalk.topology import instances

Options = options_module.Options


@options_module.with_shared_options
def list_members(*, options: Options):
    """Show the members of the replicated log and its leader."""
    result = asyncio.run(
        _request(options, lambda commands, _: commands.ListMembers())
    )
    if options.json:
        output.show_json(result)
        return
    rows = []
    for member in result.members:
        instance = member.instance
        state = 'voter' if member.voter else 'learner'
        if instance.instance_id == result.leader_id:
            state = 'leader'
        rows.append(
            [instance.instance_id, f'{instance.host}:{instance.port}', state]
        )
    output.show_table(['instance', 'address', 'state'], rows)


@options_module.with_shared_options
def add_learner(instance: str, *, change_id: str = '', options: Options):
    """Add a control instance as a non-voting learner.

    :param instance: the instance, written id@host:port
    :param change_id: id of the change that is repeated
    """
    try:
        learner = daemon.control_instance(instance)
    except ValueError as error:
        raise errors.SettingsError(str(error)) from None
    _change_members('add_learner', learner, change_id, options)


@options_module.with_shared_options
def promote(instance_id: str, *, change_id: str = '', options: Options):
    """Make a learner that has caught up a voter.

    :param instance_id: id of the control instance
    :param change_id: id of the change that is repeated
    """
    _change_members('promote', instance_id, change_id, options)


@options_module.with_shared_options
def remove(instance_id: str, *, change_id: str = '', options: Options):
    """Remove a control instance from the replicated log.

    :param instance_id: id of the control instance
    :param change_id: id of the change that is repeated
    """
    _change_members('remove', instance_id, change_id, options)


@options_module.with_shared_options
def list_quarantine(*, options: Options):
    """Show the requests that crashed their backend servers."""
    result = asyncio.run(
        _request(options, lambda commands, _: commands.ListQuarantine())
    )
    # Hexadecimal text: some JSON parsers lose digits of 64-bit numbers.
    requests = [
        {
            **output.to_json_data(request),
            'fingerprint': f'{request.fingerprint:016x}',
        }
        for request in result.requests
    ]
    if options.json:
        output.show_json({'requests': requests})
        return
    rows = [
        [
            request['fingerprint'],
            request['account'],
            ', '.join(request['servers']),
        ]
        for request in requests
    ]
    output.show_table(['fingerprint', 'account', 'crashed'], rows)


@options_module.with_shared_options
def clear_quarantine(
    fingerprint: str, *, change_id: str = '', options: Options
):
    """Let a quarantined request run again.

    :param fingerprint: 16 hexadecimal digits, as the list shows them
    :param change_id: id of the change that is repeated
    """
    try:
        number = int(fingerprint, 16)
    except ValueError:
        number = -1
    if not 0 <= number < 2**64:
        raise errors.SettingsError(
            f'{fingerprint!r} is not a fingerprint of 16 hexadecimal digits'
        )
    change_id = change_id or identifiers.new_change_id()
    _send_change(
        options,
        change_id,
        lambda commands, author: commands.ClearQuarantine(
            change_id=change_id, author=author, fingerprint=number
        ),
    )


def _change_members(action, instance, change_id, options):
    change_id = change_id or identifiers.new_change_id()
    if isinstance(instance, str):
        instance = _find_member(instance, options)
    _send_change(
        options,
        change_id,
        lambda commands, author: commands.ChangeMembers(
            change_id=change_id,
            author=author,
            action=action,
            instance=instance,
        ),
    )


def _find_member(instance_id, options):
    result = asyncio.run(
        _request(options, lambda commands, _: commands.ListMembers())
    )
    for member in result.members:
        if member.instance.instance_id == instance_id:
            return member.instance
    # A member that is already removed is sent with its id only, so that a
    # repeated change still returns its original result.
    return instances.Instance(instance_id, '', 0)


def _send_change(options, change_id, command):
    try:
        result = asyncio.run(_request(options, command))
    except errors.OutcomeUnknown as error:
        raise errors.OutcomeUnknown(
            f'{error.message}; repeat with --change-id {change_id}',
            step=error.step,
            peer=error.peer,
        ) from None
    if options.json:
        output.show_json({'change_id': change_id, 'result': result})
    else:
        print('done')


async def _request(options, command):
    async with remote.control(options) as control:
        body = command(control.commands, control.operator.name)
        return await control.request(body)
