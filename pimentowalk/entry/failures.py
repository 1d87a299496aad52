"""Errors of single attempts and of whole requests."""

import attrs

from pimentowalk.core import errors

# Codes that are passed on to callers, because they tell what to do next.
ACTIONABLE_CODES = frozenset(
    {
        'bad_request',
        'deadline',
        'draining',
        'key_in_progress',
        'key_reused',
        'no_chain',
        'no_quorum',
        'not_found',
        'overloaded',
        'quarantined',
        'rate_limited',
        'stale_configuration',
        'too_large',
        'unauthorized',
    }
)
# Retrying cannot succeed for these codes.
NON_RETRYABLE_CODES = frozenset(
    {'bad_request', 'not_found', 'quarantined', 'too_large', 'unauthorized'}
)


class AttemptFailed(errors.PimentowalkError):
    """Report that an attempt ended without a complete response.

    `never_admitted` states that the attempt is proven not to have run.
    """

    def __init__(
        self,
        message,
        *,
        code,
        step='',
        peer='',
        never_admitted=False,
        retry_after_s=0.0,
        engine_crashed=False,
    ):
        if code not in errors.CODES:
            code = 'internal'
        super().__init__(message, code=code, step=step, peer=peer)
        self.never_admitted = never_admitted
        self.retry_after_s = retry_after_s
        self.engine_crashed = engine_crashed


class AttemptSilent(AttemptFailed):
    """Report that an attempt, which may still go on, has made no progress."""


class RequestFailed(errors.PimentowalkError):
    """Report to the caller why a request got no complete response.

    `not_run` states that every attempt is proven not to have run.
    """

    def __init__(
        self,
        message,
        *,
        code,
        step='',
        peer='',
        not_run=False,
        retry_after_s=0.0,
    ):
        super().__init__(message, code=code, step=step, peer=peer)
        self.not_run = not_run
        self.retry_after_s = retry_after_s


@attrs.define
class AttemptRecord:
    """Servers, times and outcome of one attempt."""

    attempt: int
    server_ids: tuple
    started_s: float
    ended_s: float = 0.0
    state: str = ''
    code: str = ''
    step: str = ''
    peer: str = ''
    never_admitted: bool = False
    tokens: int = 0
    recomputed_tokens: int = 0

    def mark_failed(self, error, now_s):
        """Record the error with which the attempt ended."""
        self.ended_s = now_s
        self.code = error.code
        self.step = error.step
        self.peer = error.peer
        self.never_admitted = error.never_admitted

    def mark_dropped(self, now_s):
        """Record that another attempt has gone on first."""
        self.ended_s = now_s
        self.state = 'dropped'


def request_failure(error, records):
    """Return the error of a request whose last attempt failed."""
    not_run = all(record.never_admitted for record in records)
    code = error.code
    if not_run and code not in ACTIONABLE_CODES:
        code = 'not_run'
    if not not_run and code not in ('deadline', 'quarantined'):
        code = 'outcome_unknown'
    return RequestFailed(
        error.message,
        code=code,
        step=error.step,
        peer=error.peer,
        not_run=not_run,
        retry_after_s=error.retry_after_s,
    )
