"""Creation of a cluster at the first start, and identity requests."""

import asyncio
import logging
import secrets

from pimentowalk.control import consensus as control_consensus
from pimentowalk.control import members as control_members
from pimentowalk.core import errors
from pimentowalk.core import logs
from pimentowalk.core import timers as core_timers
from pimentowalk.wire import messages

LOG = logging.getLogger(__name__)

RETRY_INTERVAL_S = 0.2


async def request_identity(dial, instance, cluster_id, timeout_s):
    """Return the `IdentityReply` of an instance; raise PeerLost."""
    connection = await dial(instance.host, instance.port)
    reader = asyncio.ensure_future(connection.run())
    try:
        async with core_timers.cancelling(reader):
            reply = await connection.call(
                messages.IdentityRequest(cluster_id), timeout_s
            )
    finally:
        connection.abort()
    if reply.node_id != instance.instance_id:
        raise errors.Conflict(
            f'{instance.host}:{instance.port} is {reply.node_id}, not '
            f'{instance.instance_id}',
            step='ask identity',
            peer=instance.instance_id,
        )
    return reply


class Bootstrap:
    """Create a cluster if the data folders of all voters are empty.

    The voter with the lowest id queries the others. Only if each of them
    reports an empty folder and the same voters in its settings does it
    write the first record, which lists the voters with their identities,
    under a new random cluster id. It becomes the leader of term 1, in which
    no other replica can be a candidate. A replica that follows or votes in
    a cluster stores the cluster id and rejects any other, so that two first
    starts cannot mix their logs.

    All voters are needed, since the settings do not tell whether an empty
    folder is new or was lost. See `founding` for a first start that is known
    to be one.
    """

    def __init__(self, consensus, voters, dial):
        self._consensus = consensus
        self._voters = voters
        self._dial = dial
        self._last_logged = ''

    async def run(self):
        """Retry until this replica is part of a cluster."""
        consensus = self._consensus
        while self._may_bootstrap():
            try:
                members = await self._probe_voters()
            except (errors.PimentowalkError, TimeoutError) as error:
                self._log_once(f'waiting for the voters: {error}')
            else:
                if self._may_bootstrap():
                    await self._create_cluster(members)
                    return
            await consensus.timers.sleep(RETRY_INTERVAL_S)

    def _log_once(self, text):
        if text != self._last_logged:
            self._last_logged = text
            LOG.info(text, extra=logs.fields(step='first start'))

    def _may_bootstrap(self):
        consensus = self._consensus
        lowest_id = min((v.instance_id for v in self._voters), default='')
        if consensus.node_id != lowest_id:
            return False
        if consensus.is_empty:
            return True
        # A crash interrupted the first start before its record was synced.
        vote = consensus.log.vote
        interrupted_vote = (1, consensus.candidate_id)
        return (
            not consensus.log.last_index
            and (vote.term, vote.voted_for) == interrupted_vote
        )

    async def _probe_voters(self):
        """Return the voters as members; raise Conflict if one cannot join."""
        consensus = self._consensus
        digest = control_members.voters_digest(self._voters)
        members = []
        for voter in self._voters:
            identity = consensus.identity
            if voter.instance_id != consensus.node_id:
                reply = await request_identity(
                    self._dial, voter, '', consensus.timing.call_timeout_s
                )
                if not reply.empty or reply.voters_digest != digest:
                    raise errors.Conflict(
                        f'voter {voter.instance_id} is not empty, or its '
                        'settings name other voters',
                        step='first start',
                        peer=voter.instance_id,
                    )
                identity = reply.identity
            members.append(member_from_instance(voter, identity, voter=True))
        return control_members.MemberSet(tuple(members))

    async def _create_cluster(self, members):
        consensus = self._consensus
        cluster_id = consensus.cluster_id or secrets.token_hex(16)
        record = messages.LogRecord(
            1, 1, control_consensus.MEMBERS, members.encode()
        )
        async with consensus.vote_lock:
            await consensus.log.save_vote(
                1, consensus.candidate_id, cluster_id
            )
        consensus.append([record])
        await consensus.log.sync()
        LOG.info('first start', extra=logs.fields(step='first start'))
        if consensus.term == 1:
            consensus.become_leader()


def member_from_instance(instance, identity, *, voter=False):
    """Return the member for an instance and its folder identity."""
    return control_members.Member(
        instance.instance_id,
        identity,
        instance.host,
        instance.port,
        instance.zone,
        voter,
    )
