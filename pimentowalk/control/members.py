"""The members of the control cluster, as stored in the log."""

import json

import attrs

from pimentowalk.core import errors
from pimentowalk.core import identifiers

ADD_LEARNER = 'add_learner'
PROMOTE = 'promote'
REMOVE = 'remove'


@attrs.frozen
class Member:
    """A replica: its address and the identity of its data folder."""

    node_id: str
    identity: str
    host: str
    port: int
    zone: str = ''
    voter: bool = False


@attrs.frozen
class MemberSet:
    """All members of the cluster, as one log record lists them."""

    members: tuple[Member, ...] = ()

    def voters(self):
        """Return the voters."""
        return [member for member in self.members if member.voter]

    def get(self, node_id):
        """Return the member of a node, or None."""
        for member in self.members:
            if member.node_id == node_id:
                return member
        return None

    def is_voter(self, node_id, identity):
        """Return whether a node is a voter with this identity."""
        member = self.get(node_id)
        return bool(member and member.voter and member.identity == identity)

    def encode(self):
        """Return the set as JSON."""
        return json.dumps([attrs.asdict(m) for m in self.members]).encode()

    @classmethod
    def decode(cls, content):
        """Return the set from its JSON."""
        return cls(tuple(Member(**item) for item in json.loads(content)))


def voters_digest(voters):
    """Return a hash of the voters of the settings, whatever their order."""
    addresses = sorted(f'{v.instance_id}@{v.host}:{v.port}' for v in voters)
    return identifiers.hash64(*addresses)


def _conflict(text):
    return errors.Conflict(text, step='change members')


def with_learner(member_set, learner):
    """Add a learner; it replaces a member with the same node id.

    A node that lost its disk comes back with a new identity. The same record
    removes its old identity, and so at most one voter: every majority of the
    old voters still shares a voter with every majority of the new ones.
    """
    replaced = member_set.get(learner.node_id)
    if replaced is not None and replaced.identity == learner.identity:
        raise _conflict(f'{learner.node_id} is already a member')
    remaining = [m for m in member_set.members if m != replaced]
    if not any(m.voter for m in remaining):
        raise _conflict('the last voter cannot be replaced')
    learner = attrs.evolve(learner, voter=False)
    return MemberSet((*remaining, learner))


def with_promoted(member_set, node_id):
    """Turn a learner into a voter."""
    member = member_set.get(node_id)
    if member is None:
        raise _conflict(f'{node_id} is not a member')
    if member.voter:
        raise _conflict(f'{node_id} is already a voter')
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
        raise _conflict(f'{node_id} is not a member')
    remaining = tuple(m for m in member_set.members if m != member)
    if not any(m.voter for m in remaining):
        raise _conflict('the last voter cannot be removed')
    return MemberSet(remaining)
