"""What dispatch needs of the protocol to backend servers and callers."""

import abc

import attrs


@attrs.frozen
class ServerReport:
    """What a backend server says of itself when asked.

    `stalled` maps the ids of calls that stand still to the address at
    fault; `slowness` is above 1 for a server slower than its kind.
    """

    stalled: dict[str, str]
    slowness: float = 1.0


class Response(abc.ABC):
    """The answer of a backend server, whose body is read in pieces.

    `status` is the HTTP status; `load` is (running, waiting, slots) or None.
    """

    status = 0
    load = None

    @abc.abstractmethod
    async def read(self):
        """Return the next piece, empty at the end; raise Broken."""

    @abc.abstractmethod
    def close(self):
        """Close the connection; a server stops work that goes on."""


class Transport(abc.ABC):
    """Send calls to backend servers."""

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
        """Let a running call go on over other hops from the same head.

        Raises `calls.TryFailed` if the head refuses or does not answer.
        """


class Responder(abc.ABC):
    """Pass an answer on to the caller."""

    started = False

    @abc.abstractmethod
    async def start(self, answer):
        """Send status and headers of an answer."""

    @abc.abstractmethod
    async def write(self, data):
        """Send a piece of the body."""

    @abc.abstractmethod
    async def finish(self):
        """End the body."""
