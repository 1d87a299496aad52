"""Data model of configurations that are published as a single document.

A document replaces the whole configuration, and the highest version is in
force. Services, routes and client accounts are immutable.
"""

import collections

import attrs

SAFE = 'safe'
NON_IDEMPOTENT = 'non_idempotent'
STREAMING = 'streaming'
# Nodes exchange versions in two fields of 64 bits.
MAX_VERSION = 2**128 - 1
KINDS = (SAFE, NON_IDEMPOTENT, STREAMING)


@attrs.frozen
class Accelerator:
    """An accelerator type; its factors multiply the times of the engine."""

    name: str
    memory_mb: float
    step_factor: float = 1.0
    read_factor: float = 1.0


@attrs.frozen
class Engine:
    """Capacity and timing of the engines of a model service.

    `kv_token_bytes` is the KV cache size of one token over all layers,
    `load_s` the time to load all layers, and `activation_bytes` the data
    that a pipeline stage sends to the next stage for each token. A pass over
    all layers takes `steps_per_pass` steps and yields one event. A step of
    `step_ms` takes `step_per_sequence_ms` longer for each sequence of its
    batch, and `step_per_1000_tokens_ms` for each 1,000 tokens of their
    context. Prompts are read in pieces of `chunk_tokens`, 0 for the whole;
    each million pairs of a token and one before it take `read_per_pairs_ms`.
    """

    model: str
    total_layers: int
    layer_mb: float
    kv_token_bytes: float
    load_s: float
    loads_at_once: int = 1
    step_ms: float = 1.0
    read_tokens_per_s: float = 1e5
    activation_bytes: float = 0.0
    zone_link_mbps: float = 0.0
    usual_prompt_tokens: int = 0
    usual_answer_tokens: int = 0
    accelerators: dict[str, Accelerator] = attrs.field(factory=dict)
    steps_per_pass: int = 1
    step_per_sequence_ms: float = 0.0
    step_per_1000_tokens_ms: float = 0.0
    chunk_tokens: int = 0
    read_per_pairs_ms: float = 0.0


@attrs.frozen
class DirectService:
    """A service whose backend servers are called directly, without agents."""

    name: str
    health_path: str = ''
    max_connections: int = 0
    engine: Engine | None = None


@attrs.frozen
class HostRoute:
    """A route from a host and path prefix to one or more services.

    `backends` contains (service, weight) pairs. `attempts` is the maximum
    number of backend servers to which a request may be sent.
    """

    name: str
    host: str
    path_prefix: str
    kind: str
    backends: tuple[tuple[str, float], ...]
    timeout_s: float
    objective_s: float = 0.0
    priority: int = 0
    attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False
    longest_pause_s: float = 0.0


@attrs.frozen
class KeyedAccount:
    """A client account with its API keys."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@attrs.frozen
class Limits:
    """Limits on request sizes and on the time of callers and connections."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Document:
    """One version of the configuration, indexed for lookups.

    Without `accounts` (None), requests need no keys; with an empty list, each
    key is unknown.
    """

    def __init__(self, version, services, routes, accounts, limits):
        self.version = version
        self.services = {service.name: service for service in services}
        self.routes = list(routes)
        self.accounts = list(accounts or ())
        self.limits = limits
        self.checks_keys = accounts is not None
        self._by_key = {
            key: account for account in self.accounts for key in account.keys
        }
        self._by_place = {(r.host, r.path_prefix): r for r in routes}

    def route(self, host, path):
        """Return the route with the longest matching path prefix, or None."""
        end = len(path)
        while end > 0:
            end = path.rfind('/', 0, end)
            if end < 0:
                return None
            found = self._by_place.get((host, path[: end + 1]))
            if found is not None:
                return found
        return None

    def stream_priorities(self):
        """Return the priorities of the streaming routes of each service."""
        priorities = collections.defaultdict(set)
        for route in self.routes:
            if route.kind == STREAMING:
                for name, _ in route.backends:
                    priorities[name].add(route.priority)
        return dict(priorities)

    def account_of(self, key):
        """Return the client account with an API key, or None."""
        return self._by_key.get(key)
