"""Rules for HTTP requests that the HTTP library does not offer as options."""

import aiohttp


class LostConnection(aiohttp.ClientError):
    """Report that a connection ended before the head of the response."""


async def send_once(request, handler):
    """Raise LostConnection if the connection is lost; a client middleware.

    Otherwise aiohttp sends GET, PUT and DELETE again, also on a connection of
    their own, although the server may have executed the request.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise LostConnection(repr(error)) from error
