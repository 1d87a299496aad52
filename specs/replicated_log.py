"""Specification of the replicated log of the control replicas.

Three nodes replicate a log; any step of any node may come at any time, so
that a node that takes no step while others do is a frozen or cut one. The
decisions are those of `pimentowalk.control.rules` and `members`, which the
real replicas use too. An exchange of request and answer is one step; records
are sent one at a time.
"""

import itertools

from pimentowalk.control import members as control_members
from pimentowalk.control import rules as control_rules
from specs import log_state

VOTE_NOT_PERSISTED = 'vote not persisted'
ANSWER_BEFORE_SYNC = 'answer before sync'
KEEPS_IDENTITY = 'lost-disk voter keeps its identity'

# In ticks of the clock; the lease is shorter, as in `consensus.Timing`.
LEASE = 1
ELECTION = 2


def _with(pairs, key, value):
    return tuple(sorted({**dict(pairs), key: value}.items()))


def _member(name, disk, voter):
    return control_members.Member(name, f'{name}{disk}', '', 0, '', voter)


def voter(name, disk):
    """Return a voter with the identity of one of its disks."""
    return _member(name, disk, True)


class ReplicatedLog:
    """The specification, with seeded faults for tests of the checks."""

    def __init__(self, bounds, *, rules=None, faults=()):
        self.bounds = bounds
        self.rules = rules or control_rules.Rules()
        self.faults = frozenset(faults)

    def initial(self):
        """Return three empty-handed voters, of which `a` leads term 1."""
        members = control_members.MemberSet(
            tuple(voter(name, 0) for name in log_state.NAMES)
        )
        log = (log_state.Record(1, 1, members),)
        nodes = [
            log_state.Node(name, 0, 1, 'a0', (1, 'a0'), log, 1, commit=1)
            for name in log_state.NAMES
        ]
        nodes[0] = log_state.evolve(nodes[0], role=log_state.LEADER)
        return log_state.State(
            tuple(nodes), self.bounds, log, leaders=((1, 'a0'),)
        )

    def violation(self, state):
        """Return what is broken in a state."""
        return state.broken

    def steps(self, state):
        """Yield every step that may come next."""
        if state.broken:
            return
        for node in state.nodes:
            yield from self._elections(state, node)
            yield from self._faults(state, node)
            if node.role == log_state.LEADER:
                yield from self._leading(state, node)
        if state.left.ticks:
            yield (
                'tick',
                log_state.evolve(
                    state, now=state.now + 1, left=state.spend('ticks')
                ),
            )

    def _leading(self, state, node):
        yield from self._propose(state, node)
        yield from self._sync(state, node)
        yield from self._commit(state, node)
        for other in state.nodes:
            if other.name != node.name:
                yield from self._append(state, node, other)
        yield from self._change(state, node)
        yield from self._read(state, node)

    # Elections

    def _elections(self, state, node):
        if not state.left.elections or node.identity not in node.voters():
            return
        if state.now - node.heard < ELECTION:
            return
        others = [n for n in state.nodes if n.name != node.name]
        for count in range(1, len(others) + 1):
            for reached in itertools.combinations(others, count):
                # Earlier refusals have told the candidate of this term.
                term = max(node.term, *(n.term for n in reached)) + 1
                yield self._campaign(state, node, reached, term)

    def _campaign(self, state, node, reached, term):
        candidate = self._vote(
            log_state.evolve(
                node, role=log_state.FOLLOWER, read_needs=log_state.NEVER
            ),
            term,
            node.identity,
        )
        voters = node.voters()
        changed = []
        votes = 1
        for other in reached:
            if other.identity in voters or self._named(other, node):
                other, granted = self._ask(state, candidate, other)
                votes += granted
                changed.append(other)
        left = state.spend('elections')
        after = state.replace(candidate, *changed, left=left)
        if votes >= control_rules.quorum(len(voters)):
            after = self._lead(after, candidate)
        names = ''.join(n.name for n in reached)
        return f'{node.name} stands for term {term} at {names}', after

    def _named(self, other, node):
        """Return whether the candidate would ask this node at all."""
        member = node.members.get(other.name)
        return member is not None and member.voter

    def _ask(self, state, candidate, other):
        if state.now - other.heard < ELECTION or (
            other.role == log_state.LEADER and self._holds_lease(state, other)
        ):
            return other, False
        member = candidate.members.get(other.name)
        last_term, last_index = candidate.last
        ballot = control_rules.Ballot(
            candidate.term,
            candidate.identity,
            last_term,
            last_index,
            member.identity,
        )
        granted = self.rules.grants_vote(
            ballot, other.term, other.voted_for, *other.last, other.identity
        )
        if granted:
            return self._vote(other, candidate.term, candidate.identity), True
        if candidate.term > other.term and member.identity == other.identity:
            return self._vote(other, candidate.term, ''), False
        return other, False

    def _vote(self, node, term, voted_for):
        durable = (term, voted_for)
        if VOTE_NOT_PERSISTED in self.faults:
            durable = node.durable_vote
        return log_state.evolve(
            node,
            term=term,
            voted_for=voted_for,
            durable_vote=durable,
            role=node.role if term == node.term else log_state.FOLLOWER,
        )

    def _lead(self, state, node):
        leaders = (*state.leaders, (node.term, node.identity))
        terms = [term for term, _ in leaders]
        broken = ''
        if len(set(terms)) < len(terms):
            broken = f'two leaders in term {node.term}'
        known = node.log[: len(state.committed)]
        if node.term > state.committed_term and known != state.committed:
            broken = f'the leader of term {node.term} lacks a committed record'
        node = self._appended(
            node, log_state.Record(len(node.log) + 1, node.term)
        )
        node = log_state.evolve(
            node, role=log_state.LEADER, match=(), acked=()
        )
        leaders = tuple(sorted(leaders))
        return state.replace(node, leaders=leaders, broken=broken)

    # Records

    def _propose(self, state, node):
        if state.left.proposals:
            record = log_state.Record(len(node.log) + 1, node.term)
            after = self._appended(node, record)
            left = state.spend('proposals')
            yield f'{node.name} proposes', state.replace(after, left=left)

    def _appended(self, node, record):
        # Without crashes it makes no difference when records are synced.
        log = (*node.log, record)
        durable = node.durable if self.bounds.crashes else len(log)
        return log_state.evolve(node, log=log, durable=durable)

    def _sync(self, state, node):
        if node.durable < len(node.log):
            after = log_state.evolve(node, durable=len(node.log))
            yield f'{node.name} syncs', state.replace(after)

    def _append(self, state, node, other):
        member = node.members.get(other.name)
        if member is None or member.identity != other.identity:
            return
        if other.term > node.term:
            # The answer tells the leader of the higher term.
            after = self._vote(node, other.term, '')
            yield f'{other.name} deposes {node.name}', state.replace(after)
            return
        previous = len(node.log)
        while not self.rules.accepts_append(
            node.term_at(previous), other.term_at(previous)
        ):
            previous -= 1
        records = node.log[previous : previous + 1]
        after = self._take(state, node, other, previous, records)
        match_index = previous + len(records)
        leader = log_state.evolve(
            node,
            match=_with(node.match, other.identity, match_index),
            acked=self._acknowledged(state, node, other),
        )
        if (leader, after) != (node, other):
            label = f'{node.name} sends {match_index} to {other.name}'
            yield label, state.replace(leader, after)

    def _acknowledged(self, state, node, other):
        # Times matter only where the clock moves.
        if not self.bounds.ticks:
            return ()
        return _with(node.acked, other.identity, state.now)

    def _take(self, state, node, other, previous, records):
        voted_for = other.voted_for if other.term == node.term else ''
        if other.term < node.term:
            other = self._vote(other, node.term, voted_for)
        if self.bounds.ticks:
            other = log_state.evolve(other, heard=state.now)
        log = other.log
        fresh = records[self.rules.first_missing(records, other.term_at) :]
        durable = other.durable
        if fresh:
            log = (*log[: fresh[0].index - 1], *fresh)
            durable = min(durable, fresh[0].index - 1)
        if ANSWER_BEFORE_SYNC not in self.faults:
            durable = max(durable, previous + len(records))
        commit = max(other.commit, min(node.commit, previous + len(records)))
        return log_state.evolve(
            other,
            log=log,
            durable=durable,
            commit=commit,
            role=log_state.FOLLOWER,
        )

    def _commit(self, state, node):
        match = dict(node.match)
        match[node.identity] = node.durable
        indexes = [match.get(voter, 0) for voter in node.voters()]
        index = self.rules.committed_index(
            indexes, node.commit, node.term, node.term_at
        )
        if index == node.commit:
            return
        known = node.log[:index]
        shared = min(len(known), len(state.committed))
        broken = ''
        if known[:shared] != state.committed[:shared]:
            broken = 'two records are committed at one index'
        yield (
            f'{node.name} commits {index}',
            state.replace(
                log_state.evolve(node, commit=index),
                committed=max(known, state.committed, key=len),
                committed_term=max(node.term, state.committed_term),
                broken=broken,
            ),
        )

    # Membership

    def _change(self, state, node):
        if not state.left.changes or not self.rules.may_change_members(
            node.members_index,
            node.commit,
            node.term_at(node.commit),
            node.term,
        ):
            return
        for label, members in self._changes(state, node):
            record = log_state.Record(len(node.log) + 1, node.term, members)
            after = self._appended(node, record)
            left = state.spend('changes')
            yield f'{node.name} {label}', state.replace(after, left=left)

    def _changes(self, state, node):
        for other in state.nodes:
            member = node.members.get(other.name)
            if other.name == node.name:
                continue
            if member is None or member.identity != other.identity:
                learner = _member(other.name, other.disk, False)
                changed = control_members.with_learner(node.members, learner)
                yield f'adds learner {other.identity}', changed
            elif not member.voter:
                changed = control_members.with_promoted(
                    node.members, other.name
                )
                yield f'promotes {other.identity}', changed
            elif len(node.voters()) > 1:
                changed = control_members.with_removed(
                    node.members, other.name
                )
                yield f'removes {other.identity}', changed

    # Reads

    def _read(self, state, node):
        if node.read_needs == log_state.NEVER:
            if state.left.reads and node.term_at(node.commit) == node.term:
                after = log_state.evolve(node, read_needs=len(state.committed))
                left = state.spend('reads')
                yield f'{node.name} reads', state.replace(after, left=left)
            return
        if self._holds_lease(state, node):
            stale = node.commit < node.read_needs
            after = log_state.evolve(node, read_needs=log_state.NEVER)
            broken = 'a read missed a committed record' if stale else ''
            yield (
                f'{node.name} answers the read',
                state.replace(after, broken=broken),
            )

    def _holds_lease(self, state, node):
        acked = dict(node.acked)
        acked[node.identity] = state.now
        sent = [acked.get(voter, log_state.NEVER) for voter in node.voters()]
        end = self.rules.lease_end_s(sent, LEASE)
        return self.rules.holds_lease(state.now, end)

    # Faults

    def _faults(self, state, node):
        if state.left.crashes:
            after = self._crashed(state, node)
            left = state.spend('crashes')
            yield f'{node.name} crashes', state.replace(after, left=left)
        if state.left.lost_disks and self._repaired(state, node):
            after = self._emptied(node)
            left = state.spend('lost_disks')
            yield f'{node.name} loses disk', state.replace(after, left=left)

    def _crashed(self, state, node):
        term, voted_for = node.durable_vote
        log = node.log[: node.durable]
        return log_state.evolve(
            node,
            term=term,
            voted_for=voted_for,
            log=log,
            commit=min(1, len(log)),
            role=log_state.FOLLOWER,
            match=(),
            acked=(),
            heard=state.now if self.bounds.ticks else log_state.NEVER,
            read_needs=log_state.NEVER,
        )

    def _emptied(self, node):
        keeps = KEEPS_IDENTITY in self.faults
        disk = node.disk if keeps else node.disk + 1
        return log_state.Node(node.name, disk, 0, '', (0, ''), (), 0)

    def _repaired(self, state, lost):
        """Return whether all other nodes vote with the disk they have.

        The log tolerates one lost disk at a time.
        """
        sets = [r.members for r in state.committed if r.members is not None]
        voting = {m.identity for m in sets[-1].voters()}
        others = [n for n in state.nodes if n.name != lost.name]
        return all(n.log and n.identity in voting for n in others)
