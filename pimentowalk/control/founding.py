"""The state with which each voter of a first start founds the cluster."""

from pimentowalk.control import consensus as control_consensus
from pimentowalk.control import log as control_log
from pimentowalk.control import members as control_members
from pimentowalk.wire import messages

# No replica is a candidate in the term of the first record.
TERM = 1


def founding_vote(node_id, voters):
    """Return the first vote file of a voter, or None for another node.

    All voters derive the same cluster id and the same first record from
    their settings, so that they need no agreement on them. A folder gets
    this vote file only in the first start of the whole system. A folder that
    is lost later gets a random identity instead: it no longer has the votes
    that the founder cast.
    """
    cluster_id = f'{control_members.voters_digest(voters):016x}'
    founders = control_members.MemberSet(
        tuple(
            control_members.Member(
                voter.instance_id,
                f'{cluster_id}-{voter.instance_id}',
                voter.host,
                voter.port,
                voter=True,
            )
            for voter in sorted(voters, key=lambda v: v.instance_id)
        )
    )
    founder = founders.get(node_id)
    if founder is None:
        return None
    return control_log.Vote(
        founder.identity,
        cluster_id,
        TERM,
        founders=founders.encode().decode(),
    )


async def complete(log):
    """Write the first record of a founder unless its log has records."""
    if log.vote.founders and not log.last_index:
        content = log.vote.founders.encode()
        log.append(
            [messages.LogRecord(1, TERM, control_consensus.MEMBERS, content)]
        )
        await log.sync()
