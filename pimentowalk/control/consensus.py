"""The consensus state that the tasks of one replica share."""

import asyncio
import logging

import attrs

from pimentowalk.control import members as control_members
from pimentowalk.core import errors
from pimentowalk.core import logs
from pimentowalk.wire import messages

LOG = logging.getLogger(__name__)

FOLLOWER = 'follower'
CANDIDATE = 'candidate'
LEADER = 'leader'
COMMAND = 'command'
MEMBERS = 'members'
NOOP = 'noop'


@attrs.frozen
class Timing:
    """Intervals and timeouts of a replica in seconds.

    The leader lease is a sixth shorter than the shortest election timeout,
    so that clocks running at different speeds cannot lead to two leaders.
    """

    heartbeat_s: float = 0.1
    election_timeout_s: float = 0.6
    election_jitter_s: float = 0.4
    lease_s: float = 0.5
    call_timeout_s: float = 1.0
    reconnect_delay_s: float = 0.1
    # A peer with a new data folder rejects requests until it is added to
    # the cluster again.
    refused_reconnect_delay_s: float = 1.0


class Signal:
    """Wake all tasks that wait for the next notification."""

    def __init__(self):
        self._event = asyncio.Event()

    def notify(self):
        """Wake all waiting tasks."""
        self._event.set()
        self._event = asyncio.Event()

    def wait(self):
        """Return a coroutine that ends at the next `notify`."""
        return self._event.wait()


@attrs.define
class Progress:
    """Replication progress of one member, as the leader tracks it.

    `last_acked_send_s` is when the latest acknowledged request was sent.
    """

    next_index: int = 1
    match_index: int = 0
    last_acked_send_s: float = float('-inf')


class Consensus:
    """Term, role, members and commit index of one replica."""

    def __init__(self, node_id, log, timers, timing, rules):
        self.node_id = node_id
        self.log = log
        self.timers = timers
        self.timing = timing
        self.rules = rules
        self.role = FOLLOWER
        self.leader_id = ''
        self.leader_since_s = 0.0
        self.transferring = False
        self.commit_index = 0
        self.last_contact_s = timers.now_s()
        self.progress = {}
        # Held from checking a vote request until the vote is saved, so that
        # two requests in one term cannot both be granted.
        self.vote_lock = asyncio.Lock()
        self.append_lock = asyncio.Lock()
        self.commit_advanced = Signal()
        self.role_changed = Signal()
        self.replication_due = Signal()
        self.sync_requested = asyncio.Event()
        self.on_members_changed = lambda: None
        self._member_history = [(0, control_members.MemberSet())]

    @property
    def term(self):
        """Return the current term, which is saved on disk."""
        return self.log.vote.term

    @property
    def identity(self):
        """Return the identity of the data folder."""
        return self.log.vote.identity

    @property
    def candidate_id(self):
        """Return the candidate id that vote requests carry."""
        return f'{self.node_id}/{self.identity}'

    @property
    def cluster_id(self):
        """Return the cluster id, empty before the replica joins one."""
        return self.log.vote.cluster_id

    @property
    def members(self):
        """Return the latest members in the log, committed or not."""
        return self._member_history[-1][1]

    @property
    def members_index(self):
        """Return the index of the record that set the current members."""
        return self._member_history[-1][0]

    @property
    def is_voter(self):
        """Return whether this replica is a voter."""
        return self.members.is_voter(self.node_id, self.identity)

    @property
    def is_empty(self):
        """Return whether this replica has never been part of a cluster."""
        return not (self.log.last_index or self.term or self.cluster_id)

    def members_at(self, index):
        """Return the members in force at an index."""
        return [
            member_set
            for record_index, member_set in self._member_history
            if record_index <= index
        ][-1]

    def load_members(self, index, member_set):
        """Load the members from a snapshot and from the log after it."""
        self._member_history = [(index, member_set)]
        self._track_member_changes(self.log.retained_records())
        self.on_members_changed()

    def _track_member_changes(self, records):
        for record in records:
            if record.kind == MEMBERS:
                member_set = control_members.MemberSet.decode(record.content)
                self._member_history.append((record.index, member_set))

    def append(self, records):
        """Append records; new members take effect at once, uncommitted."""
        self.log.append(records)
        if any(record.kind == MEMBERS for record in records):
            self._track_member_changes(records)
            self.on_members_changed()

    async def truncate_from(self, index):
        """Remove the conflicting records from an index on."""
        if index <= self.commit_index:
            raise errors.DamagedData(
                f'record {index} of the leader conflicts with a committed one',
                step='append',
                peer=self.leader_id,
            )
        while self.members_index >= index:
            self._member_history.pop()
        self.on_members_changed()
        await self.log.truncate_from(index)

    def append_as_leader(self, kind, content):
        """Append one record in the current term and return it."""
        record = messages.LogRecord(
            self.log.last_index + 1, self.term, kind, content
        )
        self.append([record])
        self.sync_requested.set()
        self.replication_due.notify()
        return record

    def become_follower(self, leader_id=''):
        """Become a follower of the given leader, or of an unknown one."""
        is_changed = self.role == LEADER or leader_id != self.leader_id
        if self.role == LEADER:
            LOG.info('no longer leads', extra=logs.fields(step='election'))
        self.role = FOLLOWER
        self.leader_id = leader_id
        self.transferring = False
        if is_changed:
            self.role_changed.notify()

    def become_leader(self):
        """Become the leader of the current term."""
        self.role = LEADER
        self.leader_id = self.node_id
        self.transferring = False
        self.leader_since_s = self.timers.now_s()
        for progress in self.progress.values():
            progress.next_index = self.log.last_index + 1
            progress.match_index = 0
            progress.last_acked_send_s = float('-inf')
        self.append_as_leader(NOOP, b'')
        LOG.info(
            'leads term %d', self.term, extra=logs.fields(step='election')
        )
        self.role_changed.notify()

    def is_leading(self, term):
        """Return whether this replica is the leader of the given term."""
        return self.role == LEADER and self.term == term

    async def observe_term(self, term, cluster_id=None):
        """Adopt a higher term, and the cluster id if one is given."""
        if term <= self.term and cluster_id in (None, self.cluster_id):
            return
        if term > self.term:
            self.become_follower()
        async with self.vote_lock:
            if term > self.term:
                self.become_follower()
                await self.log.save_vote(term, '', cluster_id)
            elif cluster_id not in (None, self.cluster_id):
                await self.log.save_vote(
                    self.term, self.log.vote.voted_for, cluster_id
                )

    def check_receiver(self, body):
        """Raise Conflict if a request is for another cluster or folder."""
        if self.cluster_id and body.cluster_id != self.cluster_id:
            raise errors.Conflict(
                f'{self.node_id} is in another cluster: {self.cluster_id}'
            )
        if body.receiver_identity != self.identity:
            raise errors.Conflict(
                f'the data folder of {self.node_id} has another identity: '
                f'{self.identity}'
            )

    def lease_end_s(self):
        """Return the time at which the leader lease ends."""
        sent_s = [
            self.timers.now_s()
            if self._is_self(voter)
            else self._progress_of(voter).last_acked_send_s
            for voter in self.members.voters()
        ]
        return self.rules.lease_end_s(sent_s, self.timing.lease_s)

    def holds_lease(self):
        """Return whether this replica leads and its lease has not ended."""
        if self.role != LEADER or self.transferring:
            return False
        now_s = self.timers.now_s()
        return self.rules.holds_lease(now_s, self.lease_end_s())

    def advance_commit(self):
        """Commit the records that a majority of the voters has synced."""
        if self.role != LEADER:
            return
        matches = [
            self.log.synced_index
            if self._is_self(voter)
            else self._progress_of(voter).match_index
            for voter in self.members.voters()
        ]
        index = self.rules.committed_index(
            matches, self.commit_index, self.term, self.log.term_at
        )
        self.commit_to(index)

    def commit_to(self, index):
        """Raise the commit index; never lower it."""
        if index > self.commit_index:
            self.commit_index = index
            self.commit_advanced.notify()

    def _is_self(self, member):
        return (member.node_id, member.identity) == (
            self.node_id,
            self.identity,
        )

    def _progress_of(self, member):
        return self.progress.get((member.node_id, member.identity), Progress())
