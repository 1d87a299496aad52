"""Settings of `pimentowalk-gateway`: one INI file for each process."""

import attrs

from pimentowalk.core import errors
from pimentowalk.settings import ini
from pimentowalk.settings import values

MAX_SEEDS = 16
MAX_TOLERATED_LOSSES = 4
# A shorter stop leaves no time to answer the requests in progress.
MIN_STOP_S = 0.1
# The lease on the configuration is a part of the revocation time, and has to
# outlast the interval at which it is renewed.
MIN_REVOCATION_MS = 1000.0
# Servers expire after some periods without an announcement.
MIN_ANNOUNCEMENT_PERIOD_MS = 10.0


@attrs.frozen
class Address:
    """Hold a numeric IP address and a port."""

    host: str
    port: int


@attrs.frozen
class ClientSettings:
    """Bounds on the connections and requests of clients.

    Where the published configuration allows clients more, it prevails.
    `max_request_bytes` is 0 for three quarters of `max_held_bytes` of
    `[responses]`.
    """

    max_connections: int = 1200
    max_header_bytes: int = 32_768
    max_header_fields: int = 128
    max_requests_ahead: int = 1
    max_request_bytes: int = 0
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 30_000.0
    stalled_body_ms: float = 1000.0
    response_timeout_ms: float = 15_000.0


@attrs.frozen
class GatewaySettings:
    """Settings of a gateway: its identity, addresses and peers.

    `front`, `ready` and `control` are listening addresses. `seeds` are the
    control addresses of some nodes. `first_start` is true only when the
    whole system starts with empty disks. `data_folder` is empty on an
    instance without a disk. `tolerated_losses` is the number of instances
    with a disk that may fail at the same time. `clients` is a section of its
    own.
    """

    node_id: str
    name: str
    zone: str
    host: str
    peer_port: int
    front: Address
    ready: Address
    control: Address
    seeds: tuple[Address, ...]
    first_start: bool = False
    data_folder: str = ''
    tolerated_losses: int = 1
    metrics_port: int = 0
    log_level: str = 'INFO'
    announcement_period_ms: float = 1000.0
    clients: ClientSettings = attrs.field(factory=ClientSettings)


@attrs.frozen
class BoundSettings:
    """Time limits and retry limits that the deployment sets.

    `stop_s` is the time between the stop signal and the end of the process.
    With `refuse_early`, streams that would wait for capacity in vain are
    refused at once also where all routes have one priority.
    """

    revocation_ms: float = 5000.0
    stop_s: float = 8.0
    retry_window_s: float = 10.0
    retry_ratio: float = 0.2
    retry_extra: float = 100.0
    refuse_early: bool = False


@attrs.frozen
class ResponseSettings:
    """Bounds on the responses of backend servers."""

    max_head_bytes: int = 65_536
    max_body_bytes: int = 4_194_304
    max_event_bytes: int = 262_144
    event_timeout_ms: float = 2000.0
    max_pause_s: float = 60.0
    max_held_bytes: int = 50_331_648


@attrs.frozen
class RoutingSettings:
    """How servers are chosen.

    `server_pace` is `adaptive` if servers that have started or recovered
    receive fewer requests until their answers show that they are warm.
    """

    server_pace: str = 'off'


def address(text):
    """Return the address written as `host:port`.

    >>> address('127.0.0.1:80')
    Address(host='127.0.0.1', port=80)
    """
    host, _, port = text.rpartition(':')
    return Address(values.ip(host), values.integer(1, values.MAX_PORT)(port))


def seeds(text):
    """Return the seed addresses of a comma-separated list."""
    parsed = values.list_of(address)(text)
    if not 1 <= len(parsed) <= MAX_SEEDS:
        raise ValueError(f'{len(parsed)} seeds; expected 1 to {MAX_SEEDS}')
    return tuple(parsed)


def flag(text):
    """Return a boolean written as `true`, `false` or empty text."""
    return values.choice(('true', 'false', ''))(text) == 'true'


def _parse_path(text):
    if '\0' in text:
        raise ValueError(f'{text!r} is not a path')
    return text


_MILLISECONDS = values.number(0, 86_400_000, 'milliseconds')

GATEWAY_PARSERS = {
    'node_id': values.ip,
    'name': values.name,
    'zone': values.name,
    'host': values.ip,
    'peer_port': values.integer(1, values.MAX_PORT),
    'front': address,
    'ready': address,
    'control': address,
    'seeds': seeds,
    'first_start': flag,
    'data_folder': _parse_path,
    'tolerated_losses': values.integer(0, MAX_TOLERATED_LOSSES),
    'metrics_port': values.integer(0, values.MAX_PORT),
    'log_level': values.choice(values.LOG_LEVELS),
    'announcement_period_ms': values.number(
        MIN_ANNOUNCEMENT_PERIOD_MS, 86_400_000, 'milliseconds'
    ),
}
BOUND_PARSERS = {
    'revocation_ms': values.number(
        MIN_REVOCATION_MS, 86_400_000, 'milliseconds'
    ),
    'stop_s': values.number(MIN_STOP_S, 86_400, 'seconds'),
    'retry_window_s': values.number(0.1, 3600, 'seconds'),
    'retry_ratio': values.number(0, 10),
    'retry_extra': values.number(0, 1e9),
    'refuse_early': flag,
}
FORMER_BOUNDS = {
    'stop_ms': ('stop_s', lambda text: _MILLISECONDS(text) / 1000),
}
RESPONSE_PARSERS = {
    'max_head_bytes': values.integer(1024, 2**30),
    'max_body_bytes': values.integer(1024, 2**30),
    'max_event_bytes': values.integer(1024, 2**30),
    'event_timeout_ms': values.number(100, 3_600_000, 'milliseconds'),
    'max_pause_s': values.number(0, 86_400, 'seconds'),
    'max_held_bytes': values.integer(1 << 20, 2**40),
}
ROUTING_PARSERS = {'server_pace': values.choice(('adaptive', 'off'))}
CLIENT_PARSERS = {
    'max_connections': values.integer(1, 1_000_000),
    'max_header_bytes': values.integer(1024, 2**20),
    'max_header_fields': values.integer(8, 10_000),
    'max_requests_ahead': values.integer(1, 1000),
    'max_request_bytes': values.integer(0, 2**40),
    'header_timeout_ms': values.number(100, 3_600_000, 'milliseconds'),
    'idle_timeout_ms': values.number(100, 3_600_000, 'milliseconds'),
    'stalled_body_ms': values.number(10, 3_600_000, 'milliseconds'),
    'response_timeout_ms': values.number(100, 3_600_000, 'milliseconds'),
}
SECTIONS = ('bounds', 'clients', 'gateway', 'responses', 'routing')


def load(path):
    """Return the settings of all sections; raise SettingsError.

    The sections are `gateway`, `bounds`, `responses` and `routing`, in this
    order; `clients` is a field of the first one.
    """
    document = ini.read(path)
    loaded = None
    if document.sections:
        for name in document.sections:
            if name not in SECTIONS:
                document.report(
                    name, '', f'unknown section; known: {", ".join(SECTIONS)}'
                )
        clients = ini.build(
            ClientSettings, document, 'clients', CLIENT_PARSERS
        )
        gateway = ini.build(
            GatewaySettings,
            document,
            'gateway',
            GATEWAY_PARSERS,
            clients=clients,
        )
        bounds = ini.build(
            BoundSettings,
            document,
            'bounds',
            BOUND_PARSERS,
            former_names=FORMER_BOUNDS,
        )
        responses = ini.build(
            ResponseSettings, document, 'responses', RESPONSE_PARSERS
        )
        if clients is not None and responses is not None:
            _check_clients(document, clients, responses)
        routing = ini.build(
            RoutingSettings, document, 'routing', ROUTING_PARSERS
        )
        loaded = gateway, bounds, responses, routing
    if document.problems or loaded is None:
        raise errors.SettingsError(
            '\n'.join(str(problem) for problem in document.problems)
            or f'{path}: is empty',
            step='read settings',
        )
    return loaded


def _check_clients(document, clients, responses):
    """Report limits on clients that contradict others."""
    if clients.max_request_bytes > responses.max_held_bytes:
        document.report(
            'clients',
            'max_request_bytes',
            'exceeds max_held_bytes of [responses], '
            f'{responses.max_held_bytes}',
        )
    if clients.header_timeout_ms > clients.idle_timeout_ms:
        document.report(
            'clients',
            'header_timeout_ms',
            f'exceeds idle_timeout_ms, {clients.idle_timeout_ms:g}',
        )
