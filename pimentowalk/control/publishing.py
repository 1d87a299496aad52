"""The published configuration and its version history."""

import collections

import attrs

from pimentowalk.control import commands
from pimentowalk.control import parts
from pimentowalk.core import errors
from pimentowalk.topology import contracts

KINDS = {
    'service': ('services', contracts.Service),
    'route': ('routes', contracts.Route),
    'account': ('accounts', contracts.ClientAccount),
}
# Removed scopes are stored so that nodes that lag learn of the removal. A node
# that lags beyond the evicted ones gets the whole configuration.
MAX_REMOVED_SCOPES = 10_000
MAX_SCOPES_SHOWN = 20


@attrs.frozen
class PublishedContract:
    """A contract, the source that owns it and its last changed version."""

    source: str
    contract: object
    version: int


def contracts_by_scope(source):
    """Return contracts by scope; raise PimentowalkError on duplicates."""
    found = {}
    for kind, (attribute, _) in KINDS.items():
        for contract in getattr(source, attribute):
            scope = f'{kind}/{contract.name}'
            if scope in found:
                raise errors.PimentowalkError(
                    f'{scope} is defined twice', code='bad_request'
                )
            found[scope] = contract
    return found


@parts.part('publishing')
class Publishing(parts.Part):
    """Hold the contracts of all sources under one version."""

    def __init__(self):
        self.version = 0
        # Both tables are ordered by version, so that changes after a version
        # are read from the end without a scan of all contracts.
        self._entries = collections.OrderedDict()
        self._removed = collections.OrderedDict()
        self._min_delta_version = 0
        self._configuration = contracts.Configuration()

    @property
    def configuration(self):
        """Return the configuration in force."""
        if self._configuration.version != self.version:
            self._configuration = self._build()
        return self._configuration

    def _build(self):
        tables = {attribute: {} for attribute, _ in KINDS.values()}
        for scope, entry in self._entries.items():
            attribute = KINDS[scope.partition('/')[0]][0]
            tables[attribute][entry.contract.name] = entry.contract
        versions = {s: entry.version for s, entry in self._entries.items()}
        return contracts.Configuration(
            version=self.version, scope_versions=versions, **tables
        )

    def sources(self):
        """Return the contracts of each source."""
        found = {}
        for scope, entry in self._entries.items():
            source = found.setdefault(entry.source, commands.Source())
            attribute = KINDS[scope.partition('/')[0]][0]
            getattr(source, attribute).append(entry.contract)
        return found

    def check(self, body):
        """Return changed and removed scopes; raise if it is invalid."""
        if body.expected_version > self.version:
            # Not a conflict, because conflicts are permanent refusals: the
            # version may be reached before a delayed duplicate arrives.
            raise errors.PimentowalkError(
                f'version {body.expected_version} does not exist; '
                f'version {self.version} is accepted',
                code='bad_request',
            )
        if body.expected_version < self.version:
            raise errors.Conflict(
                self._describe_changes_after(body.expected_version)
            )
        changed, removed = self._compare(body.sources)
        self._check_references(changed, removed)
        return changed, removed

    def _describe_changes_after(self, expected):
        changed, removed = self.changed_after(expected)
        names = [f'{s} ({entry.version})' for s, entry in changed.items()]
        names += [f'{s} removed' for s in removed]
        return (
            f'expected version {expected}, but version {self.version} is '
            f'accepted; changed since: {summarize_scopes(sorted(names))}'
        )

    def _compare(self, sources):
        requested = {}
        for name, source in sources.items():
            for scope, contract in contracts_by_scope(source).items():
                owner = self._find_owner(scope, sources, requested)
                if owner not in (None, name):
                    raise errors.PimentowalkError(
                        f'{scope} of {name} is owned by {owner}',
                        code='bad_request',
                    )
                requested[scope] = PublishedContract(
                    name, contract, self.version + 1
                )
        removed = [
            scope
            for scope, entry in self._entries.items()
            if entry.source in sources and scope not in requested
        ]
        changed = {
            scope: entry
            for scope, entry in requested.items()
            if not self._is_unchanged(scope, entry)
        }
        return changed, removed

    def _find_owner(self, scope, sources, requested):
        if scope in requested:
            return requested[scope].source
        entry = self._entries.get(scope)
        # A source in this change set releases scopes it no longer defines.
        if entry is None or entry.source in sources:
            return None
        return entry.source

    def _is_unchanged(self, scope, entry):
        old = self._entries.get(scope)
        return (
            old is not None
            and old.source == entry.source
            and old.contract == entry.contract
        )

    def _check_references(self, changed, removed):
        merged = {**self._entries, **changed}
        for scope in removed:
            del merged[scope]
        prefixes = {}
        for scope, entry in merged.items():
            if not scope.startswith('route/'):
                continue
            route = entry.contract
            if f'service/{route.service}' not in merged:
                raise errors.PimentowalkError(
                    f'{scope} refers to unknown service {route.service}',
                    code='bad_request',
                )
            other = prefixes.setdefault(route.path_prefix, scope)
            if other != scope:
                raise errors.PimentowalkError(
                    f'{scope} and {other} share path {route.path_prefix}',
                    code='bad_request',
                )

    def publish(self, body):
        """Accept a change set and return the changed scopes."""
        changed, removed = self.check(body)
        self.version += 1
        for scope, entry in changed.items():
            self._entries[scope] = entry
            self._entries.move_to_end(scope)
            self._removed.pop(scope, None)
        for scope in removed:
            del self._entries[scope]
            self._removed[scope] = self.version
            self._removed.move_to_end(scope)
        while len(self._removed) > MAX_REMOVED_SCOPES:
            self._min_delta_version = self._removed.popitem(last=False)[1]
        return sorted([*changed, *removed])

    def changed_after(self, version):
        """Return entries changed and scopes removed after a version."""
        changed = {}
        for scope, entry in reversed(self._entries.items()):
            if entry.version <= version:
                break
            changed[scope] = entry
        removed = []
        for scope, at_version in reversed(self._removed.items()):
            if at_version <= version:
                break
            removed.append(scope)
        return changed, removed

    def has_changes_after(self, version):
        """Return whether all removals since a version are still stored."""
        return self._min_delta_version <= version <= self.version

    def snapshot(self):
        """Return the entries as JSON data."""
        unstructure = commands.CONVERTER.unstructure
        return {
            'version': self.version,
            'floor': self._min_delta_version,
            'entries': [
                [s, e.source, unstructure(e.contract), e.version]
                for s, e in self._entries.items()
            ],
            'removed': list(self._removed.items()),
        }

    def restore(self, data):
        """Restore the entries."""
        self.version = data['version']
        self._min_delta_version = data['floor']
        self._removed = collections.OrderedDict(data['removed'])
        self._entries = collections.OrderedDict()
        for scope, source, contract, version in data['entries']:
            cls = KINDS[scope.partition('/')[0]][1]
            value = commands.CONVERTER.structure(contract, cls)
            self._entries[scope] = PublishedContract(source, value, version)
        self._configuration = self._build()


@parts.handles('Publish')
def publish(state, body, context):
    """Apply a `Publish` command."""
    publishing = state.part('publishing')
    if body.dry_run:
        raise errors.PimentowalkError(
            'a dry run cannot be applied from the log', code='bad_request'
        )
    changes = publishing.publish(body)
    context.detail = summarize_scopes(changes)
    return result(publishing.version, changes)


def result(version, changes):
    """Return the result of a publish, with the first changed scopes."""
    shown = changes[:MAX_SCOPES_SHOWN]
    return commands.PublishResult(
        version, changes=shown, change_count=len(changes)
    )


def summarize_scopes(changes):
    """Return text with the first scopes and the number of the others."""
    shown = ', '.join(changes[:MAX_SCOPES_SHOWN])
    more = len(changes) - MAX_SCOPES_SHOWN
    return f'{shown} and {more} more' if more > 0 else shown or 'nothing'
