"""The incarnations whose answers said that they leave."""

import attrs

from pimentowalk.topology import backends

NEVER = (-1, 0.0)


class LeavingMarks:
    """Remember the newest incarnation of each server that leaves."""

    def __init__(self):
        # Start time of the incarnation, and when it was marked.
        self._marks = {}

    def __len__(self):
        return len(self._marks)

    def add(self, backend, now_s):
        """Mark an incarnation; return whether this is new."""
        known_ms, _ = self._marks.get(backend.identity, NEVER)
        born_ms = max(known_ms, backend.born_ms)
        self._marks[backend.identity] = born_ms, now_s
        return backend.born_ms > known_ms

    def with_mark(self, backend):
        """Return an announcement as draining if its incarnation leaves."""
        born_ms, _ = self._marks.get(backend.identity, NEVER)
        if backend.born_ms != born_ms or backend.state == backends.GONE:
            return backend
        return attrs.evolve(backend, state=backends.DRAINING, is_leaving=True)

    def forget(self, oldest_s, kept):
        """Forget the marks set before a time, except those of some servers."""
        self._marks = {
            identity: (born_ms, marked_s)
            for identity, (born_ms, marked_s) in self._marks.items()
            if marked_s >= oldest_s or identity in kept
        }
