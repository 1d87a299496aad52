"""The published configuration and the changes between its versions."""

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
# Removed scopes are kept so that nodes far behind learn of the removal;
# beyond this number such nodes get the whole configuration.
REMOVED_KEPT = 10_000
DIFFERENCE_SHOWN = 20


@attrs.frozen
class Entry:
    """A contract with its owner and the version that last changed it."""

    source: str
    contract: object
    version: int


def scoped(source):
    """Return (scope, contract) pairs; raise PimentowalkError on doubles."""
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
        # Both tables are ordered by version, so that the changes after a
        # version are found from the end without a scan of all contracts.
        self._entries = collections.OrderedDict()
        self._removed = collections.OrderedDict()
        self._floor = 0
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
        """Return changed and removed scopes; raise if not acceptable."""
        if body.expected_version > self.version:
            # Unlike a conflict, this would not stay refused: the version
            # may be reached before a delayed repeat arrives.
            raise errors.PimentowalkError(
                f'version {body.expected_version} does not exist; '
                f'version {self.version} is accepted',
                code='bad_request',
            )
        if body.expected_version < self.version:
            raise errors.Conflict(self._difference(body.expected_version))
        changed, removed = self._compare(body.sources)
        self._check_references(changed, removed)
        return changed, removed

    def _difference(self, expected):
        changed, removed = self.changed_after(expected)
        names = [f'{s} ({entry.version})' for s, entry in changed.items()]
        names += [f'{s} removed' for s in removed]
        return (
            f'expected version {expected}, but version {self.version} is '
            f'accepted; changed since: {summary(sorted(names))}'
        )

    def _compare(self, sources):
        wanted = {}
        for name, source in sources.items():
            for scope, contract in scoped(source).items():
                owner = self._owner(scope, sources, wanted)
                if owner not in (None, name):
                    raise errors.PimentowalkError(
                        f'{scope} of {name} is owned by {owner}',
                        code='bad_request',
                    )
                wanted[scope] = Entry(name, contract, self.version + 1)
        removed = [
            scope
            for scope, entry in self._entries.items()
            if entry.source in sources and scope not in wanted
        ]
        changed = {
            scope: entry
            for scope, entry in wanted.items()
            if not self._same(scope, entry)
        }
        return changed, removed

    def _owner(self, scope, sources, wanted):
        if scope in wanted:
            return wanted[scope].source
        entry = self._entries.get(scope)
        # A source in this change set gives up what it no longer defines.
        if entry is None or entry.source in sources:
            return None
        return entry.source

    def _same(self, scope, entry):
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
                    f'{scope} names unknown service {route.service}',
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
        while len(self._removed) > REMOVED_KEPT:
            self._floor = self._removed.popitem(last=False)[1]
        return sorted([*changed, *removed])

    def changed_after(self, version):
        """Return the entries changed and the scopes removed since."""
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

    def knows_changes_after(self, version):
        """Return whether no removal since the version was forgotten."""
        return self._floor <= version <= self.version

    def snapshot(self):
        """Return the entries as JSON data."""
        unstructure = commands.CONVERTER.unstructure
        return {
            'version': self.version,
            'floor': self._floor,
            'entries': [
                [s, e.source, unstructure(e.contract), e.version]
                for s, e in self._entries.items()
            ],
            'removed': list(self._removed.items()),
        }

    def restore(self, data):
        """Replace the entries."""
        self.version = data['version']
        self._floor = data['floor']
        self._removed = collections.OrderedDict(data['removed'])
        self._entries = collections.OrderedDict()
        for scope, source, contract, version in data['entries']:
            cls = KINDS[scope.partition('/')[0]][1]
            value = commands.CONVERTER.structure(contract, cls)
            self._entries[scope] = Entry(source, value, version)
        self._configuration = self._build()


@parts.handles('Publish')
def publish(state, body, context):
    """Apply a `Publish` command."""
    publishing = state.part('publishing')
    if body.dry_run:
        raise errors.PimentowalkError(
            'a dry run is no change', code='bad_request'
        )
    changes = publishing.publish(body)
    context.detail = summary(changes)
    return result(publishing.version, changes)


def result(version, changes):
    """Return the result of a publish, with a bounded list of scopes."""
    shown = changes[:DIFFERENCE_SHOWN]
    return commands.PublishResult(
        version, changes=shown, change_count=len(changes)
    )


def summary(changes):
    """Return the first scopes and the number of the others."""
    shown = ', '.join(changes[:DIFFERENCE_SHOWN])
    more = len(changes) - DIFFERENCE_SHOWN
    return f'{shown} and {more} more' if more > 0 else shown or 'nothing'
