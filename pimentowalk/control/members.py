"""The members of the control cluster, as the log records them."""

import json

import attrs

from pimentowalk.core import errors
from pimentowalk.core import identifiers

ADD_LEARNER = 'add_learner'
PROMOTE = 'promote'
REMOVE = 'remove'


@attrs.frozen
class Member:
    """A replica: its address, and the identity of its data folder."""

    node_id: str
    identity: str
    host: str
    port: int
    zone: str = ''
    voter: bool = False


@attrs.frozen
class MemberSet:
    """All members under one record of the log."""

    members: tuple[Member, ...] = ()

    def voters(self):
        """Return the members that vote."""
        return [member for member in self.members if member.voter]

    def get(self, node_id):
        """Return the member of a node, or None."""
        for member in self.members:
            if member.node_id == node_id:
                return member
        return None

    def is_voter(self, node_id, identity):
        """Return whether a node votes under this identity."""
        member = self.get(node_id)
        return bool(member and member.voter and member.identity == identity)

    def encode(self):
        """Return the set as JSON."""
        return json.dumps([attrs.asdict(m) for m in self.members]).encode()

    @classmethod
    def decode(cls, content):
        """Return the set that JSON describes."""
        return cls(tuple(Member(**item) for item in json.loads(content)))


def voters_digest(voters):
    """Return a hash over the voters of the settings, in any order."""
    parts = sorted(f'{v.instance_id}@{v.host}:{v.port}' for v in voters)
    return identifiers.hash64(*parts)


def _refused(text):
    return errors.Conflict(text, step='change members')


def with_learner(member_set, learner):
    """Add a learner; a member of the same node is replaced.

    A node whose disk was lost comes back with a new identity. Its old
    identity leaves the set in the same record, which removes at most one
    voter, so that old and new majorities still share a voter.
    """
    old = member_set.get(learner.node_id)
    if old is not None and old.identity == learner.identity:
        raise _refused(f'{learner.node_id} is a member already')
    rest = [m for m in member_set.members if m != old]
    if not any(m.voter for m in rest):
        raise _refused('the last voter cannot be replaced')
    learner = attrs.evolve(learner, voter=False)
    return MemberSet((*rest, learner))


def with_promoted(member_set, node_id):
    """Let a learner vote."""
    member = member_set.get(node_id)
    if member is None:
        raise _refused(f'{node_id} is not a member')
    if member.voter:
        raise _refused(f'{node_id} votes already')
    return MemberSet(
        tuple(
            attrs.evolve(m, voter=True) if m == member else m
            for m in member_set.members
        )
    )


def with_removed(member_set, node_id):
    """Remove a member."""
    member = member_set.get(node_id)
    if member is None:
        raise _refused(f'{node_id} is not a member')
    rest = tuple(m for m in member_set.members if m != member)
    if not any(m.voter for m in rest):
        raise _refused('the last voter cannot be removed')
    return MemberSet(rest)
