"""Interfaces that protocol adapters implement for dispatch."""

import abc
import types

import attrs

from pimentowalk.dispatch import calls

# Chunks of a body are merged when they have this size. Left alone, the chunks
# of many bodies fragment the heap: bodies of 48 MB took 105 MB.
MERGED_BYTES = 131_072


@attrs.frozen
class ResponseLimits:
    """Bounds on what one response of a backend server may occupy.

    `head_bytes` bounds the bytes before the body and between its parts, which
    are no content. `body_bytes` bounds a body that is read whole, and
    `event_bytes` one event of a stream. Bytes that arrive without completing
    an event are accepted for `event_timeout_s`. A server may ask for a pause
    of `max_pause_s` at most. All requests and responses together hold
    `held_bytes` at most, the requests `request_bytes` of it, or a share if
    that is 0. A body stalls after `stalled_body_s` without progress.
    """

    head_bytes: int = 65_536
    body_bytes: int = 4_194_304
    event_bytes: int = 262_144
    event_timeout_s: float = 2.0
    max_pause_s: float = 60.0
    held_bytes: int = 50_331_648
    request_bytes: int = 0
    stalled_body_s: float = 1.0


async def read_body(response, limits, peer, hold=None):
    """Return the whole body of a response; raise Broken if it is too long.

    `hold(size_bytes)` is called with the size so far, if given, and may raise
    Broken as well.
    """
    chunks = []
    size_bytes = merged_bytes = merged = 0
    while chunk := await response.read():
        size_bytes += len(chunk)
        if size_bytes > limits.body_bytes:
            raise calls.Broken(
                f'the body is longer than {limits.body_bytes} bytes',
                peer=peer,
            )
        chunks.append(chunk)
        if size_bytes - merged_bytes >= MERGED_BYTES:
            chunks[merged:] = [b''.join(chunks[merged:])]
            merged += 1
            merged_bytes = size_bytes
        if hold is not None:
            hold(size_bytes)
    return b''.join(chunks)


@attrs.frozen
class ServerReport:
    """The state that a backend server reports of itself.

    `stalled` maps the ids of stalled calls to the address of the faulty
    server; `slowness` is above 1 for a server slower than its kind.
    """

    stalled: dict[str, str]
    slowness: float = 1.0


@attrs.frozen
class ServerNotice:
    """What a server says of itself beside an answer.

    A server that is leaving wants no new work. `pause_s` is for how long it
    wants nothing from this node, 0 if it did not say so.
    """

    is_leaving: bool = False
    pause_s: float = 0.0


class Response(abc.ABC):
    """The response of a backend server, whose body is read in chunks.

    `status` is the HTTP status; `load` is (running, waiting, slots) or None.
    `is_event_stream` tells whether the body is a series of events.
    """

    status = 0
    load = None
    headers = types.MappingProxyType({})
    is_event_stream = False

    @abc.abstractmethod
    async def read(self):
        """Return the next chunk, empty at the end; raise Broken."""

    @abc.abstractmethod
    def close(self):
        """Close the connection, which cancels unfinished work."""


class ReadAhead(Response):
    """A response of which some bytes have been read already."""

    def __init__(self, response, data):
        self.status = response.status
        self.headers = response.headers
        self.load = response.load
        self.is_event_stream = response.is_event_stream
        self._response = response
        self._data = data

    async def read(self):
        """Return the next chunk, empty at the end; raise Broken."""
        if self._data:
            data, self._data = self._data, b''
            return data
        return await self._response.read()

    def close(self):
        """Close the connection, which cancels unfinished work."""
        self._response.close()


class Transport(abc.ABC):
    """Send calls to backend servers.

    `on_notice(backend, notice)` is called for each `ServerNotice` in an answer
    of any kind.
    """

    def __init__(self):
        self.on_notice = _ignore_notice

    @abc.abstractmethod
    async def send(self, call, target, remaining_ms, last_event_id):
        """Send a call and return the `Response`; raise `calls.TryFailed`."""

    @abc.abstractmethod
    async def fetch_report(self, backend):
        """Return the `ServerReport` of a server.

        Raises `calls.TryFailed` if the server does not answer.
        """

    @abc.abstractmethod
    async def reroute(self, backend, request_id, hops):
        """Continue a running call over other hops from the same head.

        The head is the first server of the path. Raises `calls.TryFailed` if
        it refuses or does not answer.
        """


def _ignore_notice(backend, notice):
    """Ignore a notice; used until a dispatcher subscribes."""


class Responder(abc.ABC):
    """Send a response to the client.

    `started` tells whether status and headers have been sent.
    """

    started = False

    @abc.abstractmethod
    async def start(self, response):
        """Send status and headers of a response."""

    @abc.abstractmethod
    async def write(self, data):
        """Send a chunk of the body."""

    @abc.abstractmethod
    async def finish(self):
        """End the body."""

    @abc.abstractmethod
    def abort(self):
        """Break off the response, so that it is not taken as complete."""
