"""A client request, the servers it is sent to, and why a try failed."""

import attrs

from pimentowalk.core import activity as core_activity
from pimentowalk.core import errors
from pimentowalk.dispatch import repeats

# Protocol headers and status texts stay in the protocol adapter; dispatch
# knows only the types of this module.


@attrs.define(eq=False)
class Call:
    """One client request, as the front decoded it.

    `document` is the version of the configuration that admitted the request.
    `target` is the path and query of the request. `deadline_s` is when the
    client gives up, `timeout_at_s` when the timeout of the route ends.
    `forwarded_headers` go to the backend server unchanged. `last_event_id`
    is the last event that the client has received. `fingerprint` is a hash of
    the request and its account, and `shared_parts` are the hashes of the parts
    of its prompt that other requests may have as well. `activity` is what a
    planned stop needs to know of the request.
    """

    request_id: str
    method: str
    target: str
    forwarded_headers: list
    body: bytes
    document: object
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
    shared_parts: tuple = ()
    activity: core_activity.Activity = attrs.field(
        factory=core_activity.Activity
    )

    @property
    def traits(self):
        """Return what identifies the call as the cause of a crash."""
        return self.fingerprint, *self.shared_parts

    @property
    def expires_at_s(self):
        """Return the time after which a response is of no use."""
        return min(self.deadline_s, self.timeout_at_s)

    @property
    def priority(self):
        """Return the priority of the call, 0 for the most urgent."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority


@attrs.frozen
class Target:
    """The backend server that a call is sent to, and the hops of its path."""

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


# Why a try has ended. Only a server that was left might have gone on.
SERVER_LEFT = 'server_left'
SERVER_BROKE_OFF = 'server_broke_off'
DEADLINE = 'deadline'


@attrs.frozen
class LostTry:
    """How a try ended that had sent events.

    `cause` is one of the constants above, `silent_s` how long before the end
    the last event came.
    """

    cause: str
    culprit: str
    silent_s: float


class TryFailed(errors.PimentowalkError):
    """Report that one try at a backend server brought no complete response.

    `culprit` is the address of the faulty server, empty if unknown.
    """

    code = 'outcome_unknown'

    def __init__(self, message, *, peer='', culprit='', step='forward'):
        super().__init__(message, step=step, peer=peer)
        self.culprit = culprit


class Refused(TryFailed):
    """Report that the backend server proved that it did not run the call."""

    code = 'not_run'
    answer = repeats.Answer.REFUSED


class Unreachable(Refused):
    """Report that no connection was established, so nothing was sent."""

    code = 'not_run'
    answer = repeats.Answer.UNSENT


class NoAnswer(Unreachable):
    """Report that a connection failed otherwise, or a report was not answered.

    Unlike a refused connection, this does not prove that the server is down:
    the network may be at fault, or the server has too many connections.
    """


class Paused(TryFailed):
    """Report that nothing was sent, since the server asked for a pause."""

    code = 'not_run'


class Broken(TryFailed):
    """Report that the connection ended early or the response is invalid."""

    code = 'outcome_unknown'


class Stalled(TryFailed):
    """Report that a server of the path stopped making progress."""

    code = 'outcome_unknown'


def proves_server_down(error):
    """Return whether a failed try proves that its server is down."""
    return isinstance(error, Unreachable) and not isinstance(error, NoAnswer)
