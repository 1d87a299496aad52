"""Elections: pre-vote, votes, check-quorum and the heartbeat."""

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
    """Watch the leader, and ask the voters when it is silent.

    `peers()` returns the `peer.Peer` objects of the other members.
    """

    def __init__(self, consensus, peers, random):
        self._consensus = consensus
        self._peers = peers
        self._random = random
        self._quiet_until_s = 0.0

    async def run(self):
        """Check the leader, or its quorum, twice each heartbeat."""
        consensus = self._consensus
        self._postpone()
        heard_s = consensus.heard_s
        for tick in itertools.count():
            await consensus.timers.sleep(consensus.timing.heartbeat_s / 2)
            if consensus.heard_s != heard_s:
                heard_s = consensus.heard_s
                self._postpone()
            if consensus.role == control_consensus.LEADER:
                self.check_quorum()
                if tick % 2 == 0:
                    consensus.work.notify()
            elif self._is_overdue():
                await self.campaign()

    def _postpone(self):
        self._wait(self._consensus.timing.election_s)

    def _wait(self, least_s):
        spread_s = self._consensus.timing.election_spread_s
        wait_s = least_s + self._random.random() * spread_s
        self._quiet_until_s = self._consensus.timers.now_s() + wait_s

    def _is_overdue(self):
        now_s = self._consensus.timers.now_s()
        return self._consensus.is_voter and now_s >= self._quiet_until_s

    def check_quorum(self):
        """Step down where no majority has answered within the lease."""
        consensus = self._consensus
        grace_s = consensus.leader_since_s + consensus.timing.election_s
        now_s = consensus.timers.now_s()
        if now_s > max(consensus.lease_end_s(), grace_s):
            LOG.warning('lost the quorum', extra=logs.fields(step='lease'))
            consensus.become_follower()

    async def campaign(self, *, transfer=False):
        """Ask for votes; lead if a majority gives them.

        The pre-vote keeps a replica that was cut off from raising the term
        and so deposing a leader that the others still hear.
        """
        consensus = self._consensus
        # After a split vote there is no leader to wait for, so that the
        # next attempt comes sooner than the first.
        self._wait(consensus.timing.heartbeat_s)
        heard_s = consensus.heard_s
        term = consensus.term + 1
        if not transfer:
            granted = await self._collect(term, pre_vote=True)
            if not granted or consensus.heard_s != heard_s:
                return
        async with consensus.vote_lock:
            if consensus.term + 1 != term or not consensus.is_voter:
                return
            consensus.become_follower()
            await consensus.log.save_vote(term, consensus.candidate_id)
            # Set after the save, during which an append of the old leader
            # may still make this replica its follower.
            consensus.role = control_consensus.CANDIDATE
        if not await self._collect(term, transfer=transfer):
            return
        if (consensus.role, consensus.term) == (
            control_consensus.CANDIDATE,
            term,
        ):
            consensus.lead()

    async def _collect(self, term, *, pre_vote=False, transfer=False):
        """Return whether a majority of the voters grants its vote."""
        voters = self._consensus.members.voters()
        names = {(voter.node_id, voter.identity) for voter in voters}
        needed = control_rules.quorum(len(voters)) - 1
        tasks = [
            asyncio.ensure_future(self._ask(peer, term, pre_vote, transfer))
            for peer in self._peers()
            if (peer.member.node_id, peer.member.identity) in names
        ]
        async with core_timers.cancelling(*tasks):
            return await _enough(tasks, needed)

    async def _ask(self, peer, term, pre_vote, transfer):
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


async def _enough(tasks, needed):
    """Return whether so many tasks return true; wait no longer for it."""
    waiting = set(tasks)
    granted = 0
    while waiting and granted < needed:
        done, waiting = await asyncio.wait(
            waiting, return_when=asyncio.FIRST_COMPLETED
        )
        granted += sum(task.result() for task in done)
    return granted >= needed
