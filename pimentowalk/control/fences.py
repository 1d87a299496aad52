"""Fencing numbers for orders to backend servers."""

import collections

from pimentowalk.control import commands
from pimentowalk.control import parts

# Four times the backend servers of the target scale. Servers beyond it get
# an answer that is too high, which refuses more orders but no fewer.
SERVERS_KEPT = 20_000


@parts.part('fences')
class Fences(parts.Part):
    """Issue rising numbers; remember the highest one of each server."""

    def __init__(self, limit=SERVERS_KEPT):
        self._limit = limit
        self._last = 0
        self._forgotten = 0
        self._highest = collections.OrderedDict()

    def issue(self, server_id):
        """Return a number above all issued before, for any server."""
        self._last += 1
        self._highest[server_id] = self._last
        self._highest.move_to_end(server_id)
        if len(self._highest) > self._limit:
            self._forgotten = self._highest.popitem(last=False)[1]
        return self._last

    def highest(self, server_id):
        """Return the highest number that may have been issued."""
        return self._highest.get(server_id, self._forgotten)

    def snapshot(self):
        """Return the numbers as JSON data."""
        return {
            'last': self._last,
            'forgotten': self._forgotten,
            'highest': list(self._highest.items()),
        }

    def restore(self, data):
        """Replace the numbers."""
        self._last = data['last']
        self._forgotten = data['forgotten']
        self._highest = collections.OrderedDict(data['highest'])


@parts.handles('IssueFence')
def issue_fence(state, body, context):
    """Apply an `IssueFence` command."""
    fence = state.part('fences').issue(body.server_id)
    context.detail = f'{body.server_id} {body.action} fence {fence}'
    return commands.FenceResult(fence)
