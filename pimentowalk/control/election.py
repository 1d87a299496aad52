"""Elections: pre-vote, voting, quorum checks and the heartbeat timer."""

import asyncio
import itertools
import logging

from pimentowalk.control import consensus as control_consensus
from pimentowalk.control import rules as control_rules
from pimentowalk.core import errors
from pimentowalk.core import logs
from pimentowalk.core import timers as core_timers
from pimentowalk.wire import messages

LOG = logging.getLogger(__name__)


class Elections:
    """Start an election when no leader has been in contact for too long.

    `peers()` returns the `peer.Peer` objects of the other members.
    """

    def __init__(self, consensus, peers, random):
        self._consensus = consensus
        self._peers = peers
        self._random = random
        self._election_deadline_s = 0.0

    async def run(self):
        """Check the election timer, or the quorum, twice per heartbeat."""
        consensus = self._consensus
        self._reset_election_timer()
        last_contact_s = consensus.last_contact_s
        for tick in itertools.count():
            await consensus.timers.sleep(consensus.timing.heartbeat_s / 2)
            if consensus.last_contact_s != last_contact_s:
                last_contact_s = consensus.last_contact_s
                self._reset_election_timer()
            if consensus.role == control_consensus.LEADER:
                self.check_quorum()
                if tick % 2 == 0:
                    consensus.replication_due.notify()
            elif self._is_election_due():
                await self.campaign()

    def _reset_election_timer(self):
        self._set_election_deadline(self._consensus.timing.election_timeout_s)

    def _set_election_deadline(self, min_wait_s):
        jitter_s = self._consensus.timing.election_jitter_s
        wait_s = min_wait_s + self._random.random() * jitter_s
        self._election_deadline_s = self._consensus.timers.now_s() + wait_s

    def _is_election_due(self):
        now_s = self._consensus.timers.now_s()
        return self._consensus.is_voter and now_s >= self._election_deadline_s

    def check_quorum(self):
        """Step down if no majority has answered within the lease."""
        consensus = self._consensus
        grace_end_s = (
            consensus.leader_since_s + consensus.timing.election_timeout_s
        )
        now_s = consensus.timers.now_s()
        if now_s > max(consensus.lease_end_s(), grace_end_s):
            LOG.warning('lost the quorum', extra=logs.fields(step='lease'))
            consensus.become_follower()

    async def campaign(self, *, transfer=False):
        """Request votes, and become the leader if a majority grants them.

        The pre-vote keeps a replica that was partitioned from raising the
        term and deposing a leader that the others are in contact with.
        """
        consensus = self._consensus
        # After a split vote there is no leader to wait for, so the next
        # attempt starts after a heartbeat instead of an election timeout.
        self._set_election_deadline(consensus.timing.heartbeat_s)
        last_contact_s = consensus.last_contact_s
        term = consensus.term + 1
        if not transfer:
            granted = await self._gather_votes(term, pre_vote=True)
            if not granted or consensus.last_contact_s != last_contact_s:
                return
        async with consensus.vote_lock:
            if consensus.term + 1 != term or not consensus.is_voter:
                return
            consensus.become_follower()
            await consensus.log.save_vote(term, consensus.candidate_id)
            # Set after the vote is saved: while it is being saved, an append
            # from the old leader may still make this replica its follower.
            consensus.role = control_consensus.CANDIDATE
        if not await self._gather_votes(term, transfer=transfer):
            return
        if (consensus.role, consensus.term) == (
            control_consensus.CANDIDATE,
            term,
        ):
            consensus.become_leader()

    async def _gather_votes(self, term, *, pre_vote=False, transfer=False):
        """Return whether a majority of the voters grants the vote."""
        voters = self._consensus.members.voters()
        voter_keys = {(voter.node_id, voter.identity) for voter in voters}
        needed = control_rules.quorum(len(voters)) - 1
        tasks = [
            asyncio.ensure_future(
                self._request_vote(peer, term, pre_vote, transfer)
            )
            for peer in self._peers()
            if (peer.member.node_id, peer.member.identity) in voter_keys
        ]
        async with core_timers.cancelling(*tasks):
            return await _has_enough_grants(tasks, needed)

    async def _request_vote(self, peer, term, pre_vote, transfer):
        consensus = self._consensus
        request = messages.VoteRequest(
            term=term,
            candidate_id=consensus.candidate_id,
            last_index=consensus.log.last_index,
            last_term=consensus.log.last_term,
            pre_vote=pre_vote,
            transfer=transfer,
            cluster_id=consensus.cluster_id,
            voter_identity=peer.member.identity,
        )
        try:
            reply = await peer.call(request)
        except (errors.PimentowalkError, TimeoutError):
            return False
        if reply.term > term:
            await consensus.observe_term(reply.term)
        return reply.granted


async def _has_enough_grants(tasks, needed):
    """Return whether `needed` tasks return true, as soon as it is known."""
    pending = set(tasks)
    granted = 0
    while pending and granted < needed:
        done, pending = await asyncio.wait(
            pending, return_when=asyncio.FIRST_COMPLETED
        )
        granted += sum(task.result() for task in done)
    return granted >= needed
