"""Backend servers that have asked this node for a pause."""

import math

import attrs


@attrs.frozen
class _Pause:
    """The incarnation that asked for a pause, and when the pause ends."""

    born_ms: int
    until_s: float


class ServerPauses:
    """Remember which servers want no requests from this node, and how long.

    A pause is the wish of a server towards the node that it has answered, so
    other nodes are not told: they may still be welcome there.

    >>> now = [0.0]
    >>> pauses = ServerPauses(lambda: now[0], max_pause_s=60.0)
    """

    def __init__(self, now_s, max_pause_s):
        self._now_s = now_s
        self._max_pause_s = max_pause_s
        self._pauses = {}

    def __len__(self):
        return len(self._pauses)

    def record(self, backend, pause_s):
        """Pause a server; return for how long, at most the maximum.

        A shorter pause does not end a longer one, since answers may overtake
        each other.
        """
        pause_s = min(pause_s, self._max_pause_s)
        until_s = self._now_s() + pause_s
        if until_s > self._until_s(backend):
            self._pauses[backend.server_id] = _Pause(backend.born_ms, until_s)
        return pause_s

    def is_paused(self, backend):
        """Return whether a server wants no requests at the moment."""
        return self._now_s() < self._until_s(backend)

    def remaining_s(self, backends):
        """Return when the first of some servers may be asked again.

        Returns 0 if one of them may be asked now, or if there are none.
        """
        now_s = self._now_s()
        left_s = min(
            (self._until_s(backend) - now_s for backend in backends),
            default=-math.inf,
        )
        return max(0.0, left_s)

    def remove_past(self):
        """Remove the pauses that have ended.

        A pause outlasts the record of its server: a server whose
        announcements are late comes back as the same incarnation.
        """
        now_s = self._now_s()
        for server_id, pause in list(self._pauses.items()):
            if pause.until_s <= now_s:
                del self._pauses[server_id]

    def _until_s(self, backend):
        pause = self._pauses.get(backend.server_id)
        if pause is None or pause.born_ms != backend.born_ms:
            return -math.inf
        return pause.until_s
