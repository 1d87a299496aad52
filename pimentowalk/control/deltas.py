"""Deltas between configuration versions, as content of push frames."""

import attrs

from pimentowalk.control import commands
from pimentowalk.control import publishing
from pimentowalk.topology import contracts
from pimentowalk.wire import messages

PIECE_BYTES = 1 << 19


@attrs.frozen
class Delta:
    """Changed contracts and removed scopes between two versions."""

    contracts: commands.Source
    scope_versions: dict[str, int]
    removed: list[str]


def build(published, after_version):
    """Return (from_version, content) of the delta to the accepted version.

    The delta starts from version 0 if removals since `after_version` have
    been evicted.
    """
    if not published.has_changes_after(after_version):
        after_version = 0
    changed, removed = published.changed_after(after_version)
    source = commands.Source()
    for scope, entry in changed.items():
        attribute = publishing.KINDS[scope.partition('/')[0]][0]
        getattr(source, attribute).append(entry.contract)
    versions = {scope: entry.version for scope, entry in changed.items()}
    if after_version == 0:
        removed = []
    delta = Delta(source, versions, removed)
    return after_version, commands.encode(delta)


def split_into_pushes(from_version, to_version, content):
    """Return the push frames that carry the content in pieces."""
    chunks = [
        content[start : start + PIECE_BYTES]
        for start in range(0, len(content), PIECE_BYTES)
    ]
    return [
        messages.ConfigurationPush(
            from_version, to_version, chunk, number, len(chunks)
        )
        for number, chunk in enumerate(chunks)
    ]


def is_applicable(configuration, from_version, to_version):
    """Return whether a delta raises the version without a gap."""
    return from_version <= configuration.version < to_version


def apply(configuration, from_version, to_version, content):
    """Return the configuration after a delta.

    A delta includes all changes since its `from_version`, so it applies to
    any version from there up to `to_version`.
    """
    delta = commands.decode(content, Delta)
    if from_version == 0:
        configuration = contracts.Configuration()
    versions = {**configuration.scope_versions, **delta.scope_versions}
    tables = {}
    for attribute, _ in publishing.KINDS.values():
        table = dict(getattr(configuration, attribute))
        for contract in getattr(delta.contracts, attribute):
            table[contract.name] = contract
        tables[attribute] = table
    for scope in delta.removed:
        kind, _, name = scope.partition('/')
        tables[publishing.KINDS[kind][0]].pop(name, None)
        versions.pop(scope, None)
    return contracts.Configuration(
        version=to_version, scope_versions=versions, **tables
    )


class PushAssembler:
    """Join the pieces of a configuration push."""

    def __init__(self):
        self._key = None
        self._chunks = []

    def add(self, push):
        """Add a piece; return the content if it is the last one, else None."""
        key = (push.from_version, push.to_version, push.pieces)
        if push.piece == 0:
            self._key = key
            self._chunks = []
        if key != self._key or push.piece != len(self._chunks):
            self._key = None
            return None
        self._chunks.append(push.content)
        if len(self._chunks) < push.pieces:
            return None
        content = b''.join(self._chunks)
        self._key = None
        self._chunks = []
        return content
