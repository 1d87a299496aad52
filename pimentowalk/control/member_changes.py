"""Membership changes of the replicated log that operators request.

The replica stores the members in log records of their own. The command
ChangeMembers adds the change id and the audit record to the control state.
"""

from pimentowalk.control import commands
from pimentowalk.control import members
from pimentowalk.control import parts
from pimentowalk.core import errors
from pimentowalk.topology import instances

ACTIONS = (members.ADD_LEARNER, members.PROMOTE, members.REMOVE)
# Covers committing the change, and one request to an instance that is added.
CHANGE_TIMEOUT_S = 5.0


def list_members(replica):
    """Return the members in the form that operators receive."""
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
    """Return whether the members already match a change.

    Adding a learner does not match a voter: a voter that lost its disk must
    be added again.
    """
    voter_by_node = {m.node_id: m.voter for m in replica.members()}
    if action == members.REMOVE:
        return instance_id not in voter_by_node
    expected_voter = action == members.PROMOTE
    return voter_by_node.get(instance_id) is expected_voter


async def apply_change(replica, body):
    """Apply the change at the replica unless it is in effect."""
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
    """Record a change that the replica has applied."""
    context.detail = f'{body.action} {body.instance.instance_id}'
    return commands.Done()
