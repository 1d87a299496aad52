"""Exceptions with an error code, the failed step and the peer concerned."""

import attrs


@attrs.frozen
class Code:
    """Hold the HTTP status and the meaning of an error code."""

    http_status: int
    meaning: str


CODES = {
    'bad_request': Code(400, 'the request is malformed'),
    'unauthorized': Code(401, 'the key belongs to no client account'),
    'not_found': Code(404, 'no such model, service or route'),
    'conflict': Code(409, 'another change was accepted first'),
    'key_reused': Code(409, 'the idempotency key came with another body'),
    'key_in_progress': Code(409, 'a call with this key is still running'),
    'too_large': Code(413, 'the request or frame exceeds its size limit'),
    'header_too_large': Code(431, 'the header section exceeds its limit'),
    'quarantined': Code(422, 'the request crashed its backend servers'),
    'rate_limited': Code(429, 'the client account is over its rate'),
    'bad_settings': Code(500, 'a settings file is not valid'),
    'damaged_data': Code(500, 'stored data is damaged'),
    'internal': Code(500, 'an unexpected fault inside pimentowalk'),
    'frame_error': Code(502, 'a peer sent a malformed or unexpected frame'),
    'outcome_unknown': Code(502, 'the request may have run'),
    'peer_lost': Code(502, 'the connection to a peer ended'),
    'not_leader': Code(503, 'this control replica does not lead'),
    'not_durable': Code(
        503, 'too few disks hold the change yet; send it again'
    ),
    'not_run': Code(503, 'the request did not run'),
    'no_chain': Code(503, 'no chain of backend servers can serve this'),
    'no_quorum': Code(503, 'the control replicas have no quorum'),
    'overloaded': Code(503, 'queues are full; retry later'),
    'draining': Code(503, 'the process is stopping or leaving'),
    'stale_fence': Code(409, 'the order has an old fencing number'),
    'stale_configuration': Code(503, 'the configuration version is old'),
    'deadline': Code(504, 'the deadline passed'),
}


class PimentowalkError(Exception):
    """Base class of errors; carry the code, the failed step and the peer.

    `retry_after_s` is when a refused caller may come back, 0 if unknown.

    >>> error = NotRun('the queue is full', step='admit', peer='agent-3')
    >>> print(error)
    not_run: the queue is full (step admit, peer agent-3)
    """

    code = 'internal'

    def __init__(
        self, message, *, code=None, step='', peer='', retry_after_s=0.0
    ):
        super().__init__(message)
        if code is not None:
            self.code = code
        if self.code not in CODES:
            raise ValueError(f'unknown error code {self.code!r}')
        self.message = message
        self.step = step
        self.peer = peer
        self.retry_after_s = retry_after_s

    @property
    def http_status(self):
        """Return the HTTP status that clients get for this error."""
        return CODES[self.code].http_status

    def __str__(self):
        labels = [('step', self.step), ('peer', self.peer)]
        context = ', '.join(
            f'{name} {value}' for name, value in labels if value
        )
        suffix = f' ({context})' if context else ''
        return f'{self.code}: {self.message}{suffix}'


class NotRun(PimentowalkError):
    """Report that the request provably did not run."""

    code = 'not_run'


class NotDurable(PimentowalkError):
    """Report that too few disks hold a change, which may be in force."""

    code = 'not_durable'


class OutcomeUnknown(PimentowalkError):
    """Report that the request may have run."""

    code = 'outcome_unknown'


class FrameError(PimentowalkError):
    """Report a malformed, oversized or unexpected frame."""

    code = 'frame_error'


class EncodeError(FrameError):
    """Report a message that no frame can carry; nothing was sent."""


class DecodeError(FrameError):
    """Report a frame whose body cannot be decoded.

    `call_id` is that of the frame, 0 if it is unknown or there is no call.
    """

    call_id = 0


class PeerLost(PimentowalkError):
    """Report that the connection to a peer ended."""

    code = 'peer_lost'


class Conflict(PimentowalkError):
    """Report that another change was accepted first."""

    code = 'conflict'


class NotLeader(PimentowalkError):
    """Report that this control replica does not lead."""

    code = 'not_leader'


class NoQuorum(PimentowalkError):
    """Report that the control replicas have no quorum."""

    code = 'no_quorum'


class SettingsError(PimentowalkError):
    """Report a settings file that is not valid."""

    code = 'bad_settings'


class DamagedData(PimentowalkError):
    """Report stored data that fails its checksum."""

    code = 'damaged_data'
