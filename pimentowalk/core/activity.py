"""What a process has done so far for one request."""

import math

import attrs


@attrs.define(eq=False)
class Activity:
    """The progress of one request, which a stop reports and bounds.

    `kind` is the kind of its route, empty until the request is decoded.
    `tries` counts how often it was sent to a backend server. `may_have_run`
    is false as long as every server proved that it did not run the request.
    A response that begins now takes until `now_s + usual_s`, but no longer
    than `expires_at_s`; the process stops at `stop_at_s`.
    """

    kind: str = ''
    tries: int = 0
    may_have_run: bool = False
    usual_s: float = 0.0
    expires_at_s: float = math.inf
    stop_at_s: float = math.inf

    def is_late(self, now_s):
        """Return whether the stop would probably cut a response."""
        end_s = min(now_s + self.usual_s, self.expires_at_s)
        return end_s > self.stop_at_s

    def begin_try(self):
        """Note that the request is about to be sent to a backend server."""
        self.tries += 1
        self.may_have_run = True
