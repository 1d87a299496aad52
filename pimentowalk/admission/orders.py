"""Orders in which waiting streams are admitted.

An order returns the level of a stream, and streams of the same level go by
their arrival. Deployments use `overdue_last` for one priority and `headroom`
for several; the others are baselines.
"""

from pimentowalk.core import registry

ORDERS = registry.Registry('admission order')

# Streams of a starved priority go after started ones, which have priority -1,
# and before all new ones.
STARVED_LEVEL = -0.5


@ORDERS.register('overdue_last')
class OverdueLast:
    """Streams that can still meet their objective, then by priority."""

    def __init__(self, headroom):
        self.headroom = headroom

    def level(self, priority, due_s, now_s):
        """Return the sort key of a stream; the least goes first."""
        return now_s > due_s, priority


@ORDERS.register('headroom')
class ByHeadroom(OverdueLast):
    """By priority, with a guaranteed share, and overdue streams after others.

    The objective of urgent streams is the shortest, so that they are the
    first to be overdue. They must not go behind all less urgent ones then.
    """

    def level(self, priority, due_s, now_s):
        """Return the sort key of a stream; the least goes first."""
        if self.headroom.is_starved(priority):
            return STARVED_LEVEL, now_s > due_s
        return priority, now_s > due_s


@ORDERS.register('strict')
class Strict(OverdueLast):
    """By priority alone."""

    def level(self, priority, due_s, now_s):
        """Return the sort key of a stream; the least goes first."""
        return (priority,)


@ORDERS.register('weighted')
class Weighted(OverdueLast):
    """The priority with the fewest admissions for its weight."""

    def level(self, priority, due_s, now_s):
        """Return the sort key of a stream; the least goes first."""
        admissions = self.headroom.admissions(priority)
        return (admissions * 2.0 ** max(priority, 0),)


@ORDERS.register('earliest_deadline')
class EarliestDeadline(OverdueLast):
    """The stream whose objective ends first."""

    def level(self, priority, due_s, now_s):
        """Return the sort key of a stream; the least goes first."""
        return (due_s,)
