"""Handlers for the requests that replicas send to each other."""

import asyncio

from pimentowalk.control import consensus as control_consensus
from pimentowalk.control import members as control_members
from pimentowalk.control import rules as control_rules
from pimentowalk.control import snapshot as control_snapshot
from pimentowalk.core import errors
from pimentowalk.wire import messages

# The request bodies; replies are matched to their calls by the connection.
FRAMES = (
    messages.VoteRequest,
    messages.AppendRequest,
    messages.SnapshotRequest,
    messages.TimeoutNow,
    messages.IdentityRequest,
)


class Receiver:
    """Answer the requests of other replicas.

    `campaign(transfer=True)` starts an election; `install(snapshot)`
    replaces the local state by a complete snapshot.
    """

    def __init__(self, consensus, voters, campaign, install):
        self._consensus = consensus
        self._voters_digest = control_members.voters_digest(voters)
        self._campaign = campaign
        self._install = install
        self._snapshot_buffer = bytearray()
        self._snapshot_key = None
        self._tasks = set()
        handlers = (
            self._handle_vote,
            self._handle_append,
            self._handle_snapshot,
            self._handle_timeout_now,
            self._handle_identity,
        )
        self._handlers = dict(zip(FRAMES, handlers, strict=True))

    async def handle(self, connection, envelope):
        """Answer one request; raise FrameError if its type is unknown."""
        handler = self._handlers.get(type(envelope.body))
        if handler is None:
            raise errors.FrameError(
                f'unexpected frame {envelope.body.FRAME_NAME}',
                step='receive',
                peer=connection.peer,
            )
        reply = await handler(envelope.body)
        await connection.reply(envelope, reply)

    async def _handle_identity(self, body):
        consensus = self._consensus
        return messages.IdentityReply(
            node_id=consensus.node_id,
            identity=consensus.identity,
            cluster_id=consensus.cluster_id,
            empty=consensus.is_empty,
            voters_digest=self._voters_digest,
            last_index=consensus.log.synced_index,
        )

    async def _handle_vote(self, body):
        consensus = self._consensus
        if consensus.cluster_id not in ('', body.cluster_id):
            return messages.VoteReply(0, False)
        if not body.transfer and self._has_live_leader():
            return messages.VoteReply(consensus.term, False)
        if body.pre_vote:
            return messages.VoteReply(consensus.term, self._would_grant(body))
        async with consensus.vote_lock:
            granted = self._would_grant(body)
            await self._save_vote(body, granted)
            return messages.VoteReply(consensus.term, granted)

    def _has_live_leader(self):
        consensus = self._consensus
        if consensus.role == control_consensus.LEADER:
            return consensus.holds_lease()
        # For one election timeout after its start, a replica rejects votes:
        # before it stopped, it may have renewed the lease of a leader.
        since_contact_s = consensus.timers.now_s() - consensus.last_contact_s
        return since_contact_s < consensus.timing.election_timeout_s

    def _would_grant(self, body):
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

    async def _save_vote(self, body, granted):
        consensus = self._consensus
        is_newer_term = body.term > consensus.term
        if is_newer_term:
            consensus.become_follower()
        if granted:
            consensus.last_contact_s = consensus.timers.now_s()
            await consensus.log.save_vote(
                body.term, body.candidate_id, body.cluster_id
            )
        elif is_newer_term and body.voter_identity == consensus.identity:
            await consensus.log.save_vote(body.term, '')

    async def _accept_leader(self, body):
        """Adopt the sender's term; return whether it is the current leader."""
        consensus = self._consensus
        consensus.check_receiver(body)
        if body.term < consensus.term:
            return False
        await consensus.observe_term(body.term, body.cluster_id)
        return self._note_leader_contact(body)

    def _note_leader_contact(self, body):
        consensus = self._consensus
        if body.term != consensus.term:
            return False
        consensus.last_contact_s = consensus.timers.now_s()
        consensus.become_follower(body.leader_id)
        return True

    async def _handle_append(self, body):
        consensus = self._consensus
        if not await self._accept_leader(body):
            return messages.AppendReply(consensus.term, False, 0)
        async with consensus.append_lock:
            # The term may have risen while this request waited for the lock.
            if body.term != consensus.term:
                return messages.AppendReply(consensus.term, False, 0)
            accepted, match_index = await self._store_records(body)
            # Count the contact from the end of a slow sync, so that it does
            # not use up the election timeout.
            if not self._note_leader_contact(body):
                return messages.AppendReply(consensus.term, False, 0)
            if accepted:
                consensus.commit_to(min(body.commit_index, match_index))
        return messages.AppendReply(body.term, accepted, match_index)

    async def _store_records(self, body):
        consensus = self._consensus
        log = consensus.log
        previous, previous_term = body.previous_index, body.previous_term
        records = body.records
        if previous < log.base_index:
            # Records that a snapshot covers are committed, so they match.
            records = [r for r in records if r.index > log.base_index]
            previous, previous_term = log.base_index, log.base_term
        if not consensus.rules.accepts_append(
            previous_term, log.term_at(previous)
        ):
            return False, self._last_possible_match(previous)
        offset = consensus.rules.first_missing(records, log.term_at)
        new_records = records[offset:]
        if new_records:
            if new_records[0].index <= log.last_index:
                await consensus.truncate_from(new_records[0].index)
            consensus.append(new_records)
        match_index = previous + len(records)
        # Records that this replica appended as a leader may match although
        # they are not on disk yet.
        if log.synced_index < match_index:
            await log.sync()
        return True, match_index

    def _last_possible_match(self, previous):
        """Return the highest index at which both logs may still match."""
        log = self._consensus.log
        if previous > log.last_index:
            return log.last_index
        term = log.term_at(previous)
        while previous > log.base_index and log.term_at(previous) == term:
            previous -= 1
        return previous

    async def _handle_snapshot(self, body):
        consensus = self._consensus
        if not await self._accept_leader(body):
            return messages.SnapshotReply(consensus.term, False)
        key = (body.term, body.last_index, body.last_term)
        if body.offset_bytes == 0:
            self._snapshot_key = key
            self._snapshot_buffer.clear()
        if key != self._snapshot_key or body.offset_bytes != len(
            self._snapshot_buffer
        ):
            return messages.SnapshotReply(consensus.term, False)
        self._snapshot_buffer += body.content
        if body.done:
            data = bytes(self._snapshot_buffer)
            self._snapshot_buffer.clear()
            self._snapshot_key = None
            snapshot = control_snapshot.Snapshot.decode(data)
            async with consensus.append_lock:
                if body.term != consensus.term:
                    return messages.SnapshotReply(consensus.term, False)
                await self._install(snapshot)
        return messages.SnapshotReply(
            consensus.term, self._note_leader_contact(body)
        )

    async def _handle_timeout_now(self, body):
        consensus = self._consensus
        consensus.check_receiver(body)
        if body.term == consensus.term and consensus.is_voter:
            task = asyncio.ensure_future(self._campaign(transfer=True))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return messages.Empty()
