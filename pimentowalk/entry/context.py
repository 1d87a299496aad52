"""What all requests of an entry share."""

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

# Fingerprints of requests that were in flight at a crash.
MAX_SUSPECTS = 10_000


class Accounts:
    """Find client accounts by the hash of their key."""

    def __init__(self):
        self._configuration = None
        self._by_hash = {}

    def find(self, configuration, key):
        """Return the client account of a key, or None."""
        if configuration is not self._configuration:
            self._configuration = configuration
            self._by_hash = {
                account.key_sha256: account
                for account in configuration.accounts.values()
            }
        digest = hashlib.sha256(key.encode()).hexdigest()
        return self._by_hash.get(digest)


class Suspects:
    """Fingerprints whose next attempt runs alone on its servers."""

    def __init__(self, limit=MAX_SUSPECTS):
        self._limit = limit
        self._fingerprints = collections.OrderedDict()

    def __contains__(self, fingerprint):
        return fingerprint in self._fingerprints

    def add(self, fingerprint):
        """Suspect a fingerprint; the oldest is dropped at the limit."""
        self._fingerprints[fingerprint] = True
        while len(self._fingerprints) > self._limit:
            self._fingerprints.popitem(last=False)

    def clear(self, fingerprint):
        """Trust a fingerprint whose request has completed."""
        self._fingerprints.pop(fingerprint, None)


@attrs.define
class EntryContext:
    """Objects that live as long as the entry."""

    timers: object
    session: object
    routing: policies.RoutingState
    pool: agent_pool.AgentPool
    limits: rate_limits.AccountLimits
    retry_budgets: retry_budget.RouteBudgets
    metrics: metrics.Metrics
    accounts: Accounts = attrs.field(factory=Accounts)
    suspects: Suspects = attrs.field(factory=Suspects)
    ready: bool = False
    _policies: dict = attrs.field(factory=dict)

    @property
    def configuration(self):
        """Return the configuration in force."""
        return self.session.configuration

    def chain_policy(self, name):
        """Return the chain policy of a name, created on first use."""
        if name not in self._policies:
            policy = policies.POLICIES.get(name)
            self._policies[name] = policy(self.routing)
        return self._policies[name]

    def scope_version(self, *scopes):
        """Return the version that last changed any of these scopes."""
        versions = self.configuration.scope_versions
        return max(versions.get(scope, 0) for scope in scopes)

    def charge(self, account, tokens):
        """Charge a request to its account; raise RequestFailed."""
        wait_s = self.limits.charge(account, tokens)
        if wait_s > 0:
            raise failures.RequestFailed(
                'the client account is over its rate',
                code='rate_limited',
                step='admit',
                not_run=True,
                retry_after_s=wait_s,
            )

    def refresh_view(self, *_):
        """Take over a changed view."""
        servers = self.session.view.servers()
        self.routing.index.update(servers)
        self.routing.loads.keep_only({s.server_id for s in servers})


def route_of(configuration, service, path):
    """Return the route by which a caller reaches a model service."""
    route = configuration.route_of_path(path)
    if route is not None and route.service == service.name:
        return route
    for route in configuration.routes.values():
        if route.service == service.name:
            return route
    return contracts.Route(service.name, service.name, path)


def build(hello, session, timers, *, rng=None, budget_policy='share'):
    """Wire the objects of an entry around a node session."""
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
    limits = rate_limits.AccountLimits(
        timers, lambda: session.view.live_entries
    )
    context = EntryContext(
        timers,
        session,
        routing,
        pool,
        limits,
        retry_budget.RouteBudgets(budget_policy),
        metrics.Metrics('entry'),
    )
    context.metrics.gauge('agent_connections', lambda: pool.open_count)
    session.on_view(context.refresh_view)
    context.metrics.gauge('cut_off', lambda: int(limits.is_cut_off))
    return context
