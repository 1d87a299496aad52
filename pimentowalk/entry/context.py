"""State shared by all requests of an entry."""

import collections
import hashlib

import attrs

from pimentowalk.admission import rate_limits
from pimentowalk.admission import retry_budget
from pimentowalk.core import metrics
from pimentowalk.entry import failures
from pimentowalk.entry import pool as agent_pool
from pimentowalk.routing import index
from pimentowalk.routing import links
from pimentowalk.routing import loads
from pimentowalk.routing import policies
from pimentowalk.topology import contracts

# Limit of remembered fingerprints of requests that were running at a crash.
MAX_SUSPECTS = 10_000


class AccountIndex:
    """Look up client accounts by the hash of their API key."""

    def __init__(self):
        self._configuration = None
        self._by_hash = {}

    def find(self, configuration, key):
        """Return the client account with this key, or None."""
        if configuration is not self._configuration:
            self._configuration = configuration
            self._by_hash = {
                account.key_sha256: account
                for account in configuration.accounts.values()
            }
        digest = hashlib.sha256(key.encode()).hexdigest()
        return self._by_hash.get(digest)


class SuspectFingerprints:
    """Fingerprints of requests that may have crashed an engine.

    The next attempt of such a request runs alone on its servers.
    """

    def __init__(self, limit=MAX_SUSPECTS):
        self._limit = limit
        self._fingerprints = collections.OrderedDict()

    def __contains__(self, fingerprint):
        return fingerprint in self._fingerprints

    def add(self, fingerprint):
        """Add a fingerprint; drop the oldest ones above the limit."""
        self._fingerprints[fingerprint] = True
        while len(self._fingerprints) > self._limit:
            self._fingerprints.popitem(last=False)

    def discard(self, fingerprint):
        """Remove a fingerprint after its request has completed."""
        self._fingerprints.pop(fingerprint, None)


@attrs.define
class EntryContext:
    """Objects with the lifetime of the entry process."""

    timers: object
    session: object
    routing: policies.RoutingState
    pool: agent_pool.AgentPool
    account_limits: rate_limits.AccountLimits
    retry_budgets: retry_budget.RouteBudgets
    metrics: metrics.Metrics
    accounts: AccountIndex = attrs.field(factory=AccountIndex)
    suspects: SuspectFingerprints = attrs.field(factory=SuspectFingerprints)
    ready: bool = False
    _policies: dict = attrs.field(factory=dict)

    @property
    def configuration(self):
        """Return the configuration in force."""
        return self.session.configuration

    def chain_policy(self, name):
        """Return the chain policy with this name, created on first use."""
        if name not in self._policies:
            policy = policies.POLICIES.get(name)
            self._policies[name] = policy(self.routing)
        return self._policies[name]

    def charge_account(self, account, tokens):
        """Charge the rate limit of an account; raise RequestFailed."""
        wait_s = self.account_limits.charge(account, tokens)
        if wait_s > 0:
            raise failures.RequestFailed(
                'the client account is over its rate',
                code='rate_limited',
                step='admit',
                not_run=True,
                retry_after_s=wait_s,
            )

    def update_from_view(self, *_):
        """Apply a changed view of the backend servers to the routing."""
        view = self.session.view
        servers = view.servers()
        self.routing.index.update(servers, view.joined_s)
        self.routing.loads.keep_only({server.server_id for server in servers})


def find_route(configuration, service, path):
    """Return the route to a model service, or one with default settings.

    Model requests may arrive on the fixed API paths, which no route of the
    service needs to match.
    """
    route = configuration.route_of_path(path)
    if route is not None and route.service == service.name:
        return route
    for route in configuration.routes.values():
        if route.service == service.name:
            return route
    return contracts.Route(service.name, service.name, path)


def build_context(hello, session, timers, *, rng=None, budget_policy='share'):
    """Create the shared state of an entry for a node session."""
    routing = policies.RoutingState(
        index=index.ServerIndex(timers),
        loads=loads.LoadTracker(timers),
        links=links.LinkTracker(timers, hello.node_id, hello.zone),
    )
    if rng is not None:
        routing.rng = rng

    def version():
        configuration = session.configuration
        return configuration.version if configuration else 0

    pool = agent_pool.AgentPool(
        hello,
        timers,
        version=version,
        observe_version=session.observe_version,
        on_loads=routing.loads.record_reports,
        on_links=routing.record_link_delays,
    )
    account_limits = rate_limits.AccountLimits(
        timers, lambda: session.view.live_entries
    )
    context = EntryContext(
        timers,
        session,
        routing,
        pool,
        account_limits,
        retry_budget.RouteBudgets(budget_policy),
        metrics.Metrics('entry'),
    )
    context.metrics.gauge('agent_connections', lambda: pool.open_count)
    session.on_view(context.update_from_view)
    context.metrics.gauge('cut_off', lambda: int(account_limits.is_cut_off))
    return context
