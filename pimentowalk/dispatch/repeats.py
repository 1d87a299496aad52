"""Decide whether another server may run a request that was sent to one."""

import enum

from pimentowalk.topology import documents


class Answer(enum.Enum):
    """What is known of the answer to a request that was sent."""

    UNSENT = 'unsent'
    REFUSED = 'refused'
    # It may have run, and its caller has nothing of an answer.
    SENT = 'sent'
    # Its caller has a part of a whole answer.
    BEGUN = 'begun'
    # Its caller has whole events, up to the last event id.
    EVENTS = 'events'


# The kinds of routes whose requests may run again, in each state of the
# answer, without and with `is_resumable`. No method makes a request
# idempotent, since the kind of its route promises what the servers do.
_ALL = frozenset(documents.KINDS)
_SAFE = frozenset({documents.SAFE})
_SAFE_OR_STREAM = frozenset({documents.SAFE, documents.STREAMING})
_NONE = frozenset()
_KINDS = {
    Answer.UNSENT: (_ALL, _ALL),
    Answer.REFUSED: (_ALL, _ALL),
    Answer.SENT: (_SAFE, _SAFE_OR_STREAM),
    Answer.BEGUN: (_NONE, _NONE),
    Answer.EVENTS: (_NONE, _SAFE_OR_STREAM),
}


def may_run_again(call, answer):
    """Return whether another run of a call is allowed.

    After `Answer.EVENTS`, it must go on at the last event.
    """
    route = call.route
    return route.kind in _KINDS[answer][route.is_resumable]
