"""A caller's request, a backend server's answer, and how tries fail."""

import attrs

from pimentowalk.core import errors

# Headers and status words of a protocol stay in its adapter; these types
# are what dispatch knows of them.


@attrs.define(eq=False)
class Call:
    """One request of a caller, as the front decoded it.

    `deadline_s` is the time at which the caller gives up and `timeout_at_s`
    that of the route. `forwarded_headers` go to the backend server unchanged.
    `last_event_id` is the last event that the caller has.
    """

    request_id: str
    method: str
    target: str
    forwarded_headers: list
    body: bytes
    route: object
    account: object
    received_s: float
    deadline_s: float
    timeout_at_s: float
    prompt_tokens: int = 0
    max_answer_tokens: int = 0
    expected_answer_tokens: int = 0
    last_event_id: int = 0
    fingerprint: int = 0

    @property
    def ends_s(self):
        """Return the time after which no answer is of use."""
        return min(self.deadline_s, self.timeout_at_s)

    @property
    def priority(self):
        """Return the rank of the call, 0 for the most urgent."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority


@attrs.frozen
class Target:
    """The backend server that gets a call, and the hops from there."""

    backend: object
    hops: tuple = ()

    @property
    def servers(self):
        """Return all servers that take part."""
        if not self.hops:
            return (self.backend,)
        return tuple(hop.backend for hop in self.hops)

    @property
    def server_ids(self):
        """Return the ids of all servers that take part."""
        return [server.server_id for server in self.servers]


class TryFailed(errors.PimentowalkError):
    """Report that one try at a backend server brought no answer.

    `culprit` is the address at fault, empty if unknown.
    """

    code = 'outcome_unknown'

    def __init__(self, message, *, peer='', culprit='', step='forward'):
        super().__init__(message, step=step, peer=peer)
        self.culprit = culprit


class Refused(TryFailed):
    """Report that the backend server proved that it did not run the call."""

    code = 'not_run'


class Unreachable(Refused):
    """Report that no connection was made, so that nothing was sent."""

    code = 'not_run'


class NoAnswer(Unreachable):
    """Report that a server did not answer in time, or its link did not.

    Unlike a refused connection this does not prove that the server is down.
    """


class Broken(TryFailed):
    """Report that the connection ended, or the answer is not valid."""

    code = 'outcome_unknown'


class Stalled(TryFailed):
    """Report that a server of the path stopped working."""

    code = 'outcome_unknown'


def proves_server_down(error):
    """Return whether a failed try proves that its server is down."""
    return isinstance(error, Unreachable) and not isinstance(error, NoAnswer)
