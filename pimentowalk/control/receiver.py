"""What a replica does with the frames of other replicas."""

import asyncio

from pimentowalk.control import consensus as control_consensus
from pimentowalk.control import members as control_members
from pimentowalk.control import rules as control_rules
from pimentowalk.control import snapshot as control_snapshot
from pimentowalk.core import errors
from pimentowalk.wire import messages

# What replicas send each other; the answers are matched to their calls.
FRAMES = (
    messages.VoteRequest,
    messages.AppendRequest,
    messages.SnapshotRequest,
    messages.TimeoutNow,
    messages.IdentityRequest,
)


class Receiver:
    """Answer votes, appends, snapshots and transfers.

    `campaign(transfer=True)` starts an election; `install(snapshot)` takes
    a whole snapshot.
    """

    def __init__(self, consensus, voters, campaign, install):
        self._consensus = consensus
        self._voters_digest = control_members.voters_digest(voters)
        self._campaign = campaign
        self._install = install
        self._pieces = bytearray()
        self._pieces_of = None
        self._tasks = set()
        handlers = (
            self._vote,
            self._append,
            self._snapshot,
            self._timeout_now,
            self._tell_identity,
        )
        self._handlers = dict(zip(FRAMES, handlers, strict=True))

    async def handle(self, connection, envelope):
        """Answer one frame; raise FrameError if it is not for a replica."""
        handler = self._handlers.get(type(envelope.body))
        if handler is None:
            raise errors.FrameError(
                f'unexpected {envelope.body.FRAME_NAME}',
                step='receive',
                peer=connection.peer,
            )
        reply = await handler(envelope.body)
        await connection.reply(envelope, reply)

    async def _tell_identity(self, body):
        consensus = self._consensus
        return messages.IdentityReply(
            node_id=consensus.node_id,
            identity=consensus.identity,
            cluster_id=consensus.cluster_id,
            empty=consensus.is_empty,
            voters_digest=self._voters_digest,
            last_index=consensus.log.synced_index,
        )

    async def _vote(self, body):
        consensus = self._consensus
        if consensus.cluster_id not in ('', body.cluster_id):
            return messages.VoteReply(0, False)
        if not body.transfer and self._hears_leader():
            return messages.VoteReply(consensus.term, False)
        if body.pre_vote:
            return messages.VoteReply(consensus.term, self._grants(body))
        async with consensus.vote_lock:
            granted = self._grants(body)
            await self._write_vote(body, granted)
            return messages.VoteReply(consensus.term, granted)

    def _hears_leader(self):
        consensus = self._consensus
        if consensus.role == control_consensus.LEADER:
            return consensus.holds_lease()
        # A replica that has just started counts as hearing a leader: it may
        # have renewed a lease before it stopped.
        silence_s = consensus.timers.now_s() - consensus.heard_s
        return silence_s < consensus.timing.election_s

    def _grants(self, body):
        consensus = self._consensus
        vote = consensus.log.vote
        ballot = control_rules.Ballot(
            body.term,
            body.candidate_id,
            body.last_term,
            body.last_index,
            body.voter_identity,
        )
        return consensus.rules.grants_vote(
            ballot,
            vote.term,
            vote.voted_for,
            consensus.log.last_term,
            consensus.log.last_index,
            consensus.identity,
        )

    async def _write_vote(self, body, granted):
        consensus = self._consensus
        newer = body.term > consensus.term
        if newer:
            consensus.become_follower()
        if granted:
            consensus.heard_s = consensus.timers.now_s()
            await consensus.log.save_vote(
                body.term, body.candidate_id, body.cluster_id
            )
        elif newer and body.voter_identity == consensus.identity:
            await consensus.log.save_vote(body.term, '')

    async def _follow_leader(self, body):
        """Return whether the sender is the leader of the current term."""
        consensus = self._consensus
        consensus.check_receiver(body)
        if body.term < consensus.term:
            return False
        await consensus.observe_term(body.term, body.cluster_id)
        return self._hear(body)

    def _hear(self, body):
        consensus = self._consensus
        if body.term != consensus.term:
            return False
        consensus.heard_s = consensus.timers.now_s()
        consensus.become_follower(body.leader_id)
        return True

    async def _append(self, body):
        consensus = self._consensus
        if not await self._follow_leader(body):
            return messages.AppendReply(consensus.term, False, 0)
        async with consensus.append_lock:
            # Another leader may have been heard while this one waited.
            if body.term != consensus.term:
                return messages.AppendReply(consensus.term, False, 0)
            accepted, match_index = await self._take_records(body)
            # A slow sync must not count as the leader's silence.
            if not self._hear(body):
                return messages.AppendReply(consensus.term, False, 0)
            if accepted:
                consensus.commit_to(min(body.commit_index, match_index))
        return messages.AppendReply(body.term, accepted, match_index)

    async def _take_records(self, body):
        consensus = self._consensus
        log = consensus.log
        previous, previous_term = body.previous_index, body.previous_term
        records = body.records
        if previous < log.base_index:
            # What a snapshot covers is committed and agrees already.
            records = [r for r in records if r.index > log.base_index]
            previous, previous_term = log.base_index, log.base_term
        if not consensus.rules.accepts_append(
            previous_term, log.term_at(previous)
        ):
            return False, self._agreeing_index(previous)
        offset = consensus.rules.first_missing(records, log.term_at)
        fresh = records[offset:]
        if fresh:
            if fresh[0].index <= log.last_index:
                await consensus.truncate_from(fresh[0].index)
            consensus.append(fresh)
        match_index = previous + len(records)
        # Records that this replica queued while it led may match without
        # being on the disk yet.
        if log.synced_index < match_index:
            await log.sync()
        return True, match_index

    def _agreeing_index(self, previous):
        """Return an index from which the leader should try again."""
        log = self._consensus.log
        if previous > log.last_index:
            return log.last_index
        term = log.term_at(previous)
        while previous > log.base_index and log.term_at(previous) == term:
            previous -= 1
        return previous

    async def _snapshot(self, body):
        consensus = self._consensus
        if not await self._follow_leader(body):
            return messages.SnapshotReply(consensus.term, False)
        key = (body.term, body.last_index, body.last_term)
        if body.offset_bytes == 0:
            self._pieces_of = key
            self._pieces.clear()
        if key != self._pieces_of or body.offset_bytes != len(self._pieces):
            return messages.SnapshotReply(consensus.term, False)
        self._pieces += body.content
        if body.done:
            data = bytes(self._pieces)
            self._pieces.clear()
            self._pieces_of = None
            snapshot = control_snapshot.Snapshot.decode(data)
            async with consensus.append_lock:
                if body.term != consensus.term:
                    return messages.SnapshotReply(consensus.term, False)
                await self._install(snapshot)
        return messages.SnapshotReply(consensus.term, self._hear(body))

    async def _timeout_now(self, body):
        consensus = self._consensus
        consensus.check_receiver(body)
        if body.term == consensus.term and consensus.is_voter:
            task = asyncio.ensure_future(self._campaign(transfer=True))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return messages.Empty()
