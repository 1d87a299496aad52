"""Availability zones, instances, links and backend servers."""

import attrs

STAGE = 'stage'
PLAIN = 'plain'


@attrs.frozen
class AvailabilityZone:
    """An availability zone of a region."""

    name: str
    region: str = ''


@attrs.frozen
class Instance:
    """A machine that runs one process of the system."""

    instance_id: str
    host: str
    port: int
    zone: str = ''


@attrs.frozen
class Link:
    """The network link from one availability zone to another."""

    source_zone: str
    target_zone: str
    delay_s: float
    bytes_per_s: float


@attrs.frozen
class BackendServer:
    """A backend server as announced by its agent.

    `host` and `port` are the peer address of the agent. The model fields
    are empty for servers of a plain service.
    """

    server_id: str
    incarnation: int
    service: str
    host: str
    port: int
    zone: str = ''
    kind: str = STAGE
    model: str = ''
    version: str = ''
    adapters: list[str] = attrs.field(factory=list)
    first_layer: int = 0
    end_layer: int = 0
    total_layers: int = 0
    capacity_tokens_per_s: float = 0.0
    max_running: int = 1
    accelerator: str = ''
    checks_fencing: bool = False
    draining: bool = False
