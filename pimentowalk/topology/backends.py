"""Backend servers that announce themselves, without an agent beside them."""

import attrs

READY = 'ready'
DRAINING = 'draining'
GONE = 'gone'
STATES = (READY, DRAINING, GONE)


@attrs.frozen
class Backend:
    """One announcement of a backend server.

    `born_ms` is the time of its start and distinguishes incarnations that
    reuse an id; `sequence` rises with each announcement of one incarnation.
    `first_layer` equals `end_layer` where it holds no layers. `heard_ms` is
    the age of the announcement when it was passed on.
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

    @property
    def address(self):
        """Return `host:port`."""
        return f'{self.host}:{self.port}'

    @property
    def order(self):
        """Return what orders the announcements of one server."""
        return self.born_ms, self.sequence

    @property
    def layer_count(self):
        """Return the number of layers that it holds."""
        return self.end_layer - self.first_layer
