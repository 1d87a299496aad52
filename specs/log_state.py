"""State of the specification of the replicated log."""

import functools

import attrs

from pimentowalk.control import members as control_members

NAMES = ('a', 'b', 'c')
FOLLOWER = 'follower'
LEADER = 'leader'
NEVER = -10


@functools.cache
def _names(cls):
    return tuple(field.name for field in attrs.fields(cls))


def evolve(instance, **changes):
    """Return a changed copy; `attrs.evolve` takes most of a search."""
    cls = type(instance)
    return cls(
        *[
            changes[name] if name in changes else getattr(instance, name)
            for name in _names(cls)
        ]
    )


@attrs.frozen
class Bounds:
    """How much may happen in one exploration."""

    proposals: int = 1
    elections: int = 3
    crashes: int = 0
    lost_disks: int = 0
    changes: int = 0
    ticks: int = 0
    reads: int = 0


@attrs.frozen(cache_hash=True)
class Record:
    """A log record; `members` is None for a command."""

    index: int
    term: int
    members: control_members.MemberSet | None = None


@attrs.frozen(cache_hash=True)
class Node:
    """One replica; `durable` and `durable_vote` survive a crash."""

    name: str
    disk: int
    term: int
    voted_for: str
    durable_vote: tuple[int, str]
    log: tuple[Record, ...]
    durable: int
    role: str = FOLLOWER
    commit: int = 0
    match: tuple[tuple[str, int], ...] = ()
    acked: tuple[tuple[str, int], ...] = ()
    heard: int = NEVER
    read_needs: int = NEVER

    @property
    def identity(self):
        """Return the identity of the disk."""
        return f'{self.name}{self.disk}'

    def term_at(self, index):
        """Return the term at an index, or None."""
        if index == 0:
            return 0
        return self.log[index - 1].term if index <= len(self.log) else None

    @property
    def last(self):
        """Return term and index of the last record."""
        return self.term_at(len(self.log)), len(self.log)

    @property
    def members_index(self):
        """Return the index of the latest members."""
        return max(
            (r.index for r in self.log if r.members is not None), default=0
        )

    @property
    def members(self):
        """Return the latest members in the log."""
        if not self.members_index:
            return control_members.MemberSet()
        return self.log[self.members_index - 1].members

    def voters(self):
        """Return the identities that vote."""
        return [m.identity for m in self.members.voters()]


@attrs.frozen(cache_hash=True)
class State:
    """All nodes, what is known to be committed, and what may still happen.

    `committed` holds every record that any leader committed, and
    `committed_term` the highest term of such a leader.
    """

    nodes: tuple[Node, ...]
    left: Bounds
    committed: tuple[Record, ...]
    committed_term: int = 1
    leaders: tuple[tuple[int, str], ...] = ()
    now: int = 0
    broken: str = ''

    def replace(self, *changed, **others):
        """Return the state with some nodes replaced by name."""
        by_name = {node.name: node for node in changed}
        nodes = tuple(by_name.get(node.name, node) for node in self.nodes)
        return evolve(self, nodes=nodes, **others)

    def spend(self, name):
        """Return the bounds after one use."""
        return evolve(self.left, **{name: getattr(self.left, name) - 1})
