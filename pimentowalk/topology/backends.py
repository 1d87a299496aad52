"""Backend servers that announce themselves instead of having an agent."""

import attrs

from pimentowalk.core import identifiers

READY = 'ready'
DRAINING = 'draining'
GONE = 'gone'
STATES = (READY, DRAINING, GONE)


@attrs.frozen
class Backend:
    """An announcement of the state of a backend server.

    `born_ms` is the start time of the server and distinguishes incarnations
    with the same id; `sequence` increases with each announcement of an
    incarnation. `end_layer` is exclusive, and equals `first_layer` if the
    server holds no layers. `heard_ms` is the age that the announcement had
    when a node forwarded it. `is_leaving` tells that an answer of the server
    said that it leaves, which no announcement takes back. `is_restored` tells
    that the sender knows the announcement from a disk only. `ended_by` is the
    service of the announcement that ended a server that is gone: its own, or
    that of a newer server at its address; older releases leave it empty.
    """

    server_id: str
    born_ms: int
    sequence: int
    service: str
    host: str
    port: int
    zone: str = ''
    state: str = READY
    slots: int = 1
    accelerator: str = ''
    model: str = ''
    first_layer: int = 0
    end_layer: int = 0
    weights_version: int = 0
    warm_up_ms: int = 0
    heard_ms: int = 0
    is_leaving: bool = False
    is_restored: bool = False
    ended_by: str = ''

    @property
    def identity(self):
        """Return the id and the service that a server announces."""
        return self.server_id, self.service

    @property
    def is_inferred(self):
        """Return whether another server's announcement ended this one."""
        return self.state == GONE and self.ended_by not in ('', self.service)

    @property
    def address(self):
        """Return `host:port`."""
        return f'{self.host}:{self.port}'

    @property
    def key(self):
        """Return a 64-bit key of the incarnation."""
        return identifiers.hash64(self.server_id, str(self.born_ms))

    @property
    def order(self):
        """Return the sort key of the announcements of a server."""
        return self.born_ms, self.sequence

    @property
    def layer_count(self):
        """Return the number of layers that the server holds."""
        return self.end_layer - self.first_layer

    def as_gone(self, ended_by):
        """Return the departure that an announcement of a service causes."""
        return attrs.evolve(self, state=GONE, ended_by=ended_by, heard_ms=0)

    def is_repeat(self, other):
        """Return whether a known announcement differs by its times only."""
        return other is not None and (
            _without_times(self) == _without_times(other)
        )


def _without_times(backend):
    return attrs.evolve(backend, sequence=0, heard_ms=0, warm_up_ms=0)
