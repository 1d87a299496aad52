"""What a process has done so far for one request."""

import attrs


@attrs.define(eq=False)
class Activity:
    """The progress of one request, which a stop reports and bounds.

    `kind` is the kind of its route, empty until the request is decoded.
    `tries` counts how often it was sent to a backend server. `may_have_run`
    is false as long as every server proved that it did not run the request.
    """

    kind: str = ''
    tries: int = 0
    may_have_run: bool = False

    def begin_try(self):
        """Note that the request is about to be sent to a backend server."""
        self.tries += 1
        self.may_have_run = True
