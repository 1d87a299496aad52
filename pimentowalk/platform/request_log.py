"""Log lines that tell how a request without a whole answer has ended."""

import logging

import attrs

from pimentowalk.core import errors
from pimentowalk.core import logs

LOG = logging.getLogger(__name__)


@attrs.define
class RequestLog:
    """Log the end of one request, with its id and what became of it.

    `call` is set once the request has been decoded. `node` names the version
    in force, `now_s()` is the clock of `received_s`.
    """

    request_id: str
    received_s: float
    now_s: object
    node: object
    call: object = None

    @property
    def tries(self):
        """Return how often the request was sent to a server."""
        return self.call.activity.tries if self.call is not None else 0

    def log_failed(self, error, *, is_cut, lease_age_s):
        """Log an error response, or that a started response was cut."""
        LOG.info(
            'request failed: %s',
            error.message,
            extra=self._fields(
                error.step,
                peer=error.peer,
                code=error.code,
                is_cut=is_cut,
                lease_age_s=round(min(lease_age_s, 1e6), 2),
            ),
        )

    def log_closed(self, error, *, is_started):
        """Log that a response could not be written."""
        LOG.info(
            'the caller closed the connection: %r',
            error,
            extra=self._fields('answer', is_started=is_started),
        )

    def log_cancelled(self, *, is_connected, is_started, cut_reason=''):
        """Log that the caller left, or that this process cut the request.

        `cut_reason` is the limit for which it cut the connection, if any.
        """
        message = 'the caller closed the connection'
        if cut_reason:
            message = 'request cut with its connection'
        elif is_connected:
            message = 'request cancelled by the stop'
        LOG.info(
            message,
            extra=self._fields(
                'answer', is_started=is_started, cut_reason=cut_reason
            ),
        )

    def public_error(self, error):
        """Return the error that the caller gets for any exception.

        It says that the request did not run only if nothing was sent.
        """
        if isinstance(error, errors.PimentowalkError):
            return error
        LOG.error(
            'unexpected error: %r',
            error,
            exc_info=error,
            extra=self._fields('answer'),
        )
        code = 'internal' if self.tries else 'not_run'
        return errors.PimentowalkError(
            'unexpected error', code=code, step='answer'
        )

    def _fields(self, step, *, peer='', **others):
        call = self.call
        document = call.document if call is not None else self.node.document
        return logs.fields(
            step=step,
            peer=peer,
            request_id=self.request_id,
            route=call.route.name if call is not None else '',
            tries=self.tries,
            elapsed_ms=int((self.now_s() - self.received_s) * 1000),
            version=document.version if document is not None else 0,
            **others,
        )
