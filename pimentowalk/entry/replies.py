"""Request ids, deadlines and error responses of the HTTP front."""

import math

from aiohttp import web
import attrs

from pimentowalk.core import activity as core_activity
from pimentowalk.core import errors
from pimentowalk.core import identifiers

REQUEST_ID_HEADER = 'X-Request-Id'
DEADLINE_HEADER = 'X-Deadline-Ms'
# Upper limit of Retry-After; an account with rate 0 would wait forever.
MAX_RETRY_AFTER_S = 86_400


@attrs.define
class CallerRequest:
    """An HTTP request with its id and start time, before it is parsed.

    `configuration` is the version that admits it, None if there is none yet.
    `stream` is the response once its headers have been sent.
    """

    http_request: web.Request
    started_s: float
    configuration: object
    request_id: bytes = attrs.field(factory=identifiers.new_request_id)
    activity: core_activity.Activity = attrs.field(
        factory=core_activity.Activity
    )
    stream: web.StreamResponse | None = None

    @property
    def path(self):
        """Return the decoded path of the request."""
        return self.http_request.path

    def deadline_s(self, route):
        """Return the deadline on the clock of the timer service.

        The header of the caller can shorten the timeout of the route but not
        extend it, because the route's timeout is the operator's limit.
        """
        header = self.http_request.headers.get(DEADLINE_HEADER)
        if header is None:
            return self.started_s + route.timeout_s
        try:
            timeout_s = int(header) / 1000
        except ValueError:
            timeout_s = 0
        if timeout_s <= 0:
            raise errors.PimentowalkError(
                f'{DEADLINE_HEADER} is not a positive integer',
                code='bad_request',
                step='deadline',
            )
        return self.started_s + min(timeout_s, route.timeout_s)


def error_body(error, request_id, *, not_run):
    """Return the JSON body of an error response."""
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
    """Return the error response, with `Retry-After` if a wait is known."""
    headers = {REQUEST_ID_HEADER: request_id.hex()}
    if error.retry_after_s > 0:
        wait_s = math.ceil(min(error.retry_after_s, MAX_RETRY_AFTER_S))
        headers['Retry-After'] = str(wait_s)
    return web.json_response(
        error_body(error, request_id, not_run=not_run),
        status=error.http_status,
        headers=headers,
    )
