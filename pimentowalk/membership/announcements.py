"""Layer range keys of announced backend servers."""

import attrs


@attrs.frozen
class LayerRangeKey:
    """Key shared by the servers that can replace each other in a chain."""

    service: str
    kind: str
    model: str
    version: str
    first_layer: int
    end_layer: int


def range_key(server):
    """Return the layer range key of a backend server."""
    return LayerRangeKey(
        server.service,
        server.kind,
        server.model,
        server.version,
        server.first_layer,
        server.end_layer,
    )
