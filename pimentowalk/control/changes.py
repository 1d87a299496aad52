"""Checks that a leader makes before it proposes a membership change."""

from pimentowalk.control import bootstrap
from pimentowalk.control import members as control_members
from pimentowalk.core import errors

# A learner that lags further would delay commits after its promotion.
MAX_PROMOTE_LAG_RECORDS = 256


async def find_learner(consensus, dial, instance):
    """Return the member for an instance; raise Conflict or PeerLost."""
    try:
        reply = await bootstrap.request_identity(
            dial,
            instance,
            consensus.cluster_id,
            consensus.timing.call_timeout_s,
        )
    except TimeoutError:
        raise errors.PeerLost(
            'no reply to the identity request',
            step='add learner',
            peer=instance.instance_id,
        ) from None
    if reply.cluster_id not in ('', consensus.cluster_id):
        raise errors.Conflict(
            f'the instance belongs to another cluster, {reply.cluster_id}',
            step='add learner',
            peer=instance.instance_id,
        )
    return bootstrap.member_from_instance(instance, reply.identity)


def changed_members(consensus, action, node_id, learner):
    """Return the member set after an action; raise Conflict."""
    _check_no_pending_change(consensus)
    members = consensus.members
    if action == control_members.ADD_LEARNER:
        return control_members.with_learner(members, learner)
    if action == control_members.PROMOTE:
        changed = control_members.with_promoted(members, node_id)
        _check_caught_up(consensus, members.get(node_id))
        return changed
    if action == control_members.REMOVE:
        return control_members.with_removed(members, node_id)
    raise errors.PimentowalkError(
        f'unknown action {action!r}', code='bad_request'
    )


def _check_no_pending_change(consensus):
    if not consensus.rules.may_change_members(
        consensus.members_index,
        consensus.commit_index,
        consensus.log.term_at(consensus.commit_index),
        consensus.term,
    ):
        raise errors.Conflict(
            'an earlier membership change is not committed yet',
            step='change members',
        )


def _check_caught_up(consensus, member):
    progress = consensus.progress.get((member.node_id, member.identity))
    match_index = progress.match_index if progress else 0
    lag = consensus.log.last_index - match_index
    if lag > MAX_PROMOTE_LAG_RECORDS:
        raise errors.Conflict(
            f'{member.node_id} is {lag} records behind',
            step='promote',
            peer=member.node_id,
        )
