"""Fencing numbers (fencing tokens) for orders to backend servers."""

import collections

from pimentowalk.control import commands
from pimentowalk.control import parts

# Four times the number of backend servers at the target scale. For evicted
# servers the number returned is too high rather than too low: more orders are
# refused than necessary, and no stale order is accepted.
MAX_SERVERS = 20_000


@parts.part('fences')
class Fences(parts.Part):
    """Issue increasing numbers; store the highest one of each server."""

    def __init__(self, limit=MAX_SERVERS):
        self._limit = limit
        self._last_issued = 0
        self._highest_forgotten = 0
        self._highest = collections.OrderedDict()

    def issue(self, server_id):
        """Return a number above all that were issued, for any server."""
        self._last_issued += 1
        self._highest[server_id] = self._last_issued
        self._highest.move_to_end(server_id)
        if len(self._highest) > self._limit:
            self._highest_forgotten = self._highest.popitem(last=False)[1]
        return self._last_issued

    def highest(self, server_id):
        """Return the highest number that may have been issued."""
        return self._highest.get(server_id, self._highest_forgotten)

    def snapshot(self):
        """Return the numbers as JSON data."""
        return {
            'last': self._last_issued,
            'forgotten': self._highest_forgotten,
            'highest': list(self._highest.items()),
        }

    def restore(self, data):
        """Restore the numbers."""
        self._last_issued = data['last']
        self._highest_forgotten = data['forgotten']
        self._highest = collections.OrderedDict(data['highest'])


@parts.handles('IssueFence')
def issue_fence(state, body, context):
    """Apply an `IssueFence` command."""
    fence = state.part('fences').issue(body.server_id)
    context.detail = f'{body.server_id} {body.action} fence {fence}'
    return commands.FenceResult(fence)
