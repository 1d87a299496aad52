"""Request ids, deadlines and error replies of the HTTP front."""

import math

from aiohttp import web
import attrs

from pimentowalk.core import errors
from pimentowalk.core import identifiers

REQUEST_ID_HEADER = 'X-Request-Id'
DEADLINE_HEADER = 'X-Deadline-Ms'
# Waits beyond a day, as for an account with rate 0, are cut to this.
MAX_RETRY_AFTER_S = 86_400


@attrs.define
class CallerRequest:
    """What the front knows of each request before it is parsed."""

    http: web.Request
    started_s: float
    request_id: bytes = attrs.field(factory=identifiers.new_request_id)

    @property
    def path(self):
        """Return the path that was asked for."""
        return self.http.path

    def deadline_s(self, route):
        """Return the deadline on the timers.

        The caller's header may shorten the timeout of the route, which is
        the operator's limit, but not lengthen it.
        """
        header = self.http.headers.get(DEADLINE_HEADER)
        if header is None:
            return self.started_s + route.timeout_s
        try:
            timeout_s = int(header) / 1000
        except ValueError:
            timeout_s = 0
        if timeout_s <= 0:
            raise errors.PimentowalkError(
                f'{DEADLINE_HEADER} is not a positive number',
                code='bad_request',
                step='deadline',
            )
        return self.started_s + min(timeout_s, route.timeout_s)


def error_body(error, request_id, *, not_run):
    """Return the JSON of an error."""
    return {
        'error': {
            'code': error.code,
            'message': error.message,
            'step': error.step,
            'peer': error.peer,
            'request_id': request_id.hex(),
            'not_run': not_run,
        }
    }


def error_response(error, request_id, *, not_run):
    """Return the reply for an error, with `Retry-After` if known."""
    headers = {REQUEST_ID_HEADER: request_id.hex()}
    retry_after_s = getattr(error, 'retry_after_s', 0)
    if retry_after_s > 0:
        wait_s = math.ceil(min(retry_after_s, MAX_RETRY_AFTER_S))
        headers['Retry-After'] = str(wait_s)
    return web.json_response(
        error_body(error, request_id, not_run=not_run),
        status=error.http_status,
        headers=headers,
    )
