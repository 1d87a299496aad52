"""The state that the tasks of one replica share."""

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
    """Periods of a replica in seconds.

    The lease is shorter than the shortest election timeout by a sixth, so
    that clocks that differ in speed cannot give two leaders.
    """

    heartbeat_s: float = 0.1
    election_s: float = 0.6
    election_spread_s: float = 0.4
    lease_s: float = 0.5
    call_timeout_s: float = 1.0
    redial_s: float = 0.1
    # A peer with a fresh folder refuses until an operator takes it back.
    redial_refused_s: float = 1.0


class Signal:
    """Wake all tasks that wait for a change."""

    def __init__(self):
        self._event = asyncio.Event()

    def notify(self):
        """Wake the waiting tasks."""
        self._event.set()
        self._event = asyncio.Event()

    def wait(self):
        """Return a coroutine that ends with the next `notify`."""
        return self._event.wait()


@attrs.define
class Progress:
    """What the leader knows about one member."""

    next_index: int = 1
    match_index: int = 0
    acked_sent_s: float = float('-inf')


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
        self.heard_s = timers.now_s()
        self.progress = {}
        # Guards check and write of a vote, so that two requests in one term
        # cannot both be granted.
        self.vote_lock = asyncio.Lock()
        self.append_lock = asyncio.Lock()
        self.commit_advanced = Signal()
        self.role_changed = Signal()
        self.work = Signal()
        self.appended = asyncio.Event()
        self.on_members = lambda: None
        self._members = [(0, control_members.MemberSet())]

    @property
    def term(self):
        """Return the current term, which is on the disk."""
        return self.log.vote.term

    @property
    def identity(self):
        """Return the identity of the data folder."""
        return self.log.vote.identity

    @property
    def candidate_id(self):
        """Return the name under which this replica asks for votes."""
        return f'{self.node_id}/{self.identity}'

    @property
    def cluster_id(self):
        """Return the cluster of this replica, empty before it has one."""
        return self.log.vote.cluster_id

    @property
    def members(self):
        """Return the latest members in the log, committed or not."""
        return self._members[-1][1]

    @property
    def members_index(self):
        """Return the index of the record that set the members."""
        return self._members[-1][0]

    @property
    def is_voter(self):
        """Return whether this replica votes."""
        return self.members.is_voter(self.node_id, self.identity)

    @property
    def is_empty(self):
        """Return whether this replica never took part in a cluster."""
        return not (self.log.last_index or self.term or self.cluster_id)

    def members_at(self, index):
        """Return the members in force at an index."""
        return [m for at, m in self._members if at <= index][-1]

    def load_members(self, index, member_set):
        """Take the members of a snapshot and the log after it."""
        self._members = [(index, member_set)]
        self._note_members(self.log.held())
        self.on_members()

    def _note_members(self, records):
        for record in records:
            if record.kind == MEMBERS:
                decoded = control_members.MemberSet.decode(record.content)
                self._members.append((record.index, decoded))

    def append(self, records):
        """Append records; members take effect at once."""
        self.log.append(records)
        if any(record.kind == MEMBERS for record in records):
            self._note_members(records)
            self.on_members()

    async def truncate_from(self, index):
        """Remove records that conflict with the leader's."""
        if index <= self.commit_index:
            raise errors.DamagedData(
                f'the leader contradicts committed record {index}',
                step='append',
                peer=self.leader_id,
            )
        while self.members_index >= index:
            self._members.pop()
        self.on_members()
        await self.log.truncate_from(index)

    def append_as_leader(self, kind, content):
        """Append one record of the own term and return it."""
        record = messages.LogRecord(
            self.log.last_index + 1, self.term, kind, content
        )
        self.append([record])
        self.appended.set()
        self.work.notify()
        return record

    def become_follower(self, leader_id=''):
        """Become a follower, or stay one."""
        changed = self.role == LEADER or leader_id != self.leader_id
        if self.role == LEADER:
            LOG.info('no longer leads', extra=logs.fields(step='election'))
        self.role = FOLLOWER
        self.leader_id = leader_id
        self.transferring = False
        if changed:
            self.role_changed.notify()

    def lead(self):
        """Become the leader of the current term."""
        self.role = LEADER
        self.leader_id = self.node_id
        self.transferring = False
        self.leader_since_s = self.timers.now_s()
        for progress in self.progress.values():
            progress.next_index = self.log.last_index + 1
            progress.match_index = 0
            progress.acked_sent_s = float('-inf')
        self.append_as_leader(NOOP, b'')
        LOG.info(
            'leads term %d', self.term, extra=logs.fields(step='election')
        )
        self.role_changed.notify()

    def is_leading(self, term):
        """Return whether this replica still leads the given term."""
        return self.role == LEADER and self.term == term

    async def observe_term(self, term, cluster_id=None):
        """Enter a higher term that another replica reported."""
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
        """Refuse what is meant for another cluster or a lost folder."""
        if self.cluster_id and body.cluster_id != self.cluster_id:
            raise errors.Conflict('this replica is in another cluster')
        if body.receiver_identity != self.identity:
            raise errors.Conflict('this data folder has another identity')

    def lease_end_s(self):
        """Return until when this leader may answer as leader."""
        sent_s = [
            self.timers.now_s()
            if self._is_self(voter)
            else self._progress_of(voter).acked_sent_s
            for voter in self.members.voters()
        ]
        return self.rules.lease_end_s(sent_s, self.timing.lease_s)

    def holds_lease(self):
        """Return whether this replica may answer as leader now."""
        if self.role != LEADER or self.transferring:
            return False
        now_s = self.timers.now_s()
        return self.rules.holds_lease(now_s, self.lease_end_s())

    def advance_commit(self):
        """Commit what a majority of the voters has synced."""
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
        """Raise the commit index."""
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
