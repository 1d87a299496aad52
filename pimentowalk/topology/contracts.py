"""Configuration that operators publish: services, routes, accounts."""

import attrs

MODEL = 'model'
PLAIN = 'plain'


@attrs.frozen
class Service:
    """A service that backend servers provide."""

    name: str
    kind: str = MODEL
    model: str = ''
    version: str = ''
    total_layers: int = 0
    adapters: list[str] = attrs.field(factory=list)
    chain_policy: str = 'least_cost'
    queue_policy: str = 'fair'
    short_cost_tokens: int = 200
    short_reserve_percent: int = 25
    max_queue_s: float = 30.0
    max_queue_requests: int = 1000


@attrs.frozen
class Route:
    """A path prefix under which callers reach a service."""

    name: str
    service: str
    path_prefix: str
    timeout_s: float = 30.0
    retry_budget_percent: float = 10.0
    non_idempotent_methods: list[str] = attrs.field(factory=list)


@attrs.frozen
class ClientAccount:
    """A client account with its key and limits.

    `key_sha256` is the SHA-256 of the caller's key in hexadecimal, so that
    published files contain no secrets.
    """

    name: str
    key_sha256: str
    weight: float = 1.0
    requests_per_s: float = 100.0
    tokens_per_s: float = 100_000.0
    services: list[str] = attrs.field(factory=list)


@attrs.frozen
class Configuration:
    """All services, routes and accounts of one configuration version.

    `scope_versions` maps `service/NAME`, `route/NAME` and `account/NAME` to
    the version that last changed the entry.
    """

    version: int = 0
    services: dict[str, Service] = attrs.field(factory=dict)
    routes: dict[str, Route] = attrs.field(factory=dict)
    accounts: dict[str, ClientAccount] = attrs.field(factory=dict)
    scope_versions: dict[str, int] = attrs.field(factory=dict)

    def scope_version(self, *scopes):
        """Return the latest version that changed one of these scopes."""
        return max(self.scope_versions.get(scope, 0) for scope in scopes)

    def account_of_key(self, key_sha256):
        """Return the client account with this key hash, or None."""
        for account in self.accounts.values():
            if account.key_sha256 == key_sha256:
                return account
        return None

    def service_of_model(self, model):
        """Return the service that serves a model or has its name, or None."""
        for service in self.services.values():
            if service.kind == MODEL and model in (
                service.name,
                service.model,
            ):
                return service
        return None

    def route_of_path(self, path):
        """Return the route with the longest matching path prefix, or None."""
        matches = [
            route
            for route in self.routes.values()
            if path == route.path_prefix
            or path.startswith(route.path_prefix.rstrip('/') + '/')
        ]
        return max(matches, key=lambda r: len(r.path_prefix), default=None)
