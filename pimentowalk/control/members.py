"""Changes of the members of the replicated log.

The replica keeps the members in its own log entries. The control state
remembers the change id and adds the audit record.
"""

from pimentowalk.control import commands
from pimentowalk.control import parts
from pimentowalk.core import errors

ACTIONS = ('add_learner', 'promote', 'remove')


def listed(replica):
    """Return the members as attrs values."""
    return [
        commands.Member(member.instance, member.voter)
        for member in replica.members()
    ]


def is_in_effect(replica, action, instance_id):
    """Return whether a change has already been made."""
    voters = {m.instance.instance_id: m.voter for m in listed(replica)}
    if action == 'remove':
        return instance_id not in voters
    if action == 'promote':
        return voters.get(instance_id, False)
    return instance_id in voters


async def change(replica, body):
    """Make the change at the replica unless it is in effect."""
    if body.action not in ACTIONS:
        raise errors.PimentowalkError(
            f'unknown action {body.action!r}; known: {", ".join(ACTIONS)}',
            code='bad_request',
        )
    instance = body.instance
    if is_in_effect(replica, body.action, instance.instance_id):
        return
    if body.action == 'add_learner':
        await replica.add_learner(instance)
    elif body.action == 'promote':
        await replica.promote(instance.instance_id)
    else:
        await replica.remove(instance.instance_id)


@parts.handles('ChangeMembers')
def change_members(state, body, context):
    """Record a change that the replica has made."""
    context.detail = f'{body.action} {body.instance.instance_id}'
    return commands.Done()
