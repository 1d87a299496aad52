"""The first start of a cluster, and what is asked of a replica."""

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

RETRY_S = 0.2


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
            f'{instance.host}:{instance.port} is {reply.node_id}',
            step='ask identity',
            peer=instance.instance_id,
        )
    return reply


class Bootstrap:
    """Form a new cluster where all voters of the settings are empty.

    The voter with the lowest id asks the others. Only if each of them
    answers that its folder is empty and that its settings name the same
    voters, it writes the first record, which lists them with their
    identities, under a new random cluster id. It leads term 1, for which
    nobody else can stand. A replica that follows or votes for one cluster
    stores its id and refuses any other, so that a second first start
    cannot mix with the first.
    """

    def __init__(self, consensus, voters, dial):
        self._consensus = consensus
        self._voters = voters
        self._dial = dial
        self._noted = ''

    async def run(self):
        """Try until this replica takes part in a cluster."""
        consensus = self._consensus
        while self._may_begin():
            try:
                found = await self._ask_voters()
            except (errors.PimentowalkError, TimeoutError) as error:
                self._note(f'waiting for the voters: {error}')
            else:
                if self._may_begin():
                    await self._begin(found)
                    return
            await consensus.timers.sleep(RETRY_S)

    def _note(self, text):
        if text != self._noted:
            self._noted = text
            LOG.info(text, extra=logs.fields(step='first start'))

    def _may_begin(self):
        consensus = self._consensus
        first = min((v.instance_id for v in self._voters), default='')
        if consensus.node_id != first:
            return False
        if consensus.is_empty:
            return True
        # A first start that a crash cut off before the record was synced.
        vote = consensus.log.vote
        unfinished = (1, consensus.candidate_id)
        return (
            not consensus.log.last_index
            and (vote.term, vote.voted_for) == unfinished
        )

    async def _ask_voters(self):
        """Return all voters as members; raise Conflict if one differs."""
        consensus = self._consensus
        digest = control_members.voters_digest(self._voters)
        found = []
        for voter in self._voters:
            identity = consensus.identity
            if voter.instance_id != consensus.node_id:
                reply = await request_identity(
                    self._dial, voter, '', consensus.timing.call_timeout_s
                )
                if not reply.empty or reply.voters_digest != digest:
                    raise errors.Conflict(
                        'a voter is not empty, or its settings name other '
                        'voters',
                        step='first start',
                        peer=voter.instance_id,
                    )
                identity = reply.identity
            found.append(member_from_instance(voter, identity, voter=True))
        return control_members.MemberSet(tuple(found))

    async def _begin(self, found):
        consensus = self._consensus
        cluster_id = consensus.cluster_id or secrets.token_hex(16)
        record = messages.LogRecord(
            1, 1, control_consensus.MEMBERS, found.encode()
        )
        async with consensus.vote_lock:
            await consensus.log.save_vote(
                1, consensus.candidate_id, cluster_id
            )
        consensus.append([record])
        await consensus.log.sync()
        LOG.info('first start', extra=logs.fields(step='first start'))
        if consensus.term == 1:
            consensus.lead()


def member_from_instance(instance, identity, *, voter=False):
    """Return the member that an instance is."""
    return control_members.Member(
        instance.instance_id,
        identity,
        instance.host,
        instance.port,
        instance.zone,
        voter,
    )
