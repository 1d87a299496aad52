"""Changes of the members of the replicated log.

The replica keeps the members in its own log entries. The control state
remembers the change id and adds the audit record.
"""

from pimentowalk.control import commands
from pimentowalk.control import members
from pimentowalk.control import parts
from pimentowalk.core import errors
from pimentowalk.topology import instances

ACTIONS = (members.ADD_LEARNER, members.PROMOTE, members.REMOVE)
# A change commits in two round trips; adding also asks the new instance.
CHANGE_TIMEOUT_S = 5.0


def list_members(replica):
    """Return the members as operators see them."""
    return [
        commands.Member(
            instances.Instance(
                member.node_id, member.host, member.port, member.zone
            ),
            member.voter,
        )
        for member in replica.members()
    ]


def is_in_effect(replica, action, instance_id):
    """Return whether a change has already been made.

    A voter is no learner yet: one that lost its disk is added again.
    """
    votes = {m.node_id: m.voter for m in replica.members()}
    if action == members.REMOVE:
        return instance_id not in votes
    wanted = action == members.PROMOTE
    return votes.get(instance_id) is wanted


async def apply_change(replica, body):
    """Make the change at the replica unless it is in effect."""
    if body.action not in ACTIONS:
        raise errors.PimentowalkError(
            f'unknown action {body.action!r}; known: {", ".join(ACTIONS)}',
            code='bad_request',
        )
    if not is_in_effect(replica, body.action, body.instance.instance_id):
        await replica.change_members(
            body.action, body.instance, CHANGE_TIMEOUT_S
        )


@parts.handles('ChangeMembers')
def change_members(state, body, context):
    """Record a change that the replica has made."""
    context.detail = f'{body.action} {body.instance.instance_id}'
    return commands.Done()
