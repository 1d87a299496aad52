"""Files that operators publish: services, routes and client accounts."""

import importlib
import pathlib

import attrs

from pimentowalk.settings import cross_checks
from pimentowalk.settings import ini
from pimentowalk.settings import values
from pimentowalk.topology import contracts

Problem = ini.Problem

MAX_FILES = 1000
# Module and attribute of the registry with the policies of each key.
REGISTRIES = {
    'chain_policy': ('pimentowalk.routing.policies', 'POLICIES'),
    'queue_policy': ('pimentowalk.admission.fair_queue', 'POLICIES'),
}
SERVICE_PARSERS = {
    'kind': values.choice((contracts.MODEL, contracts.PLAIN)),
    'model': values.optional(values.name),
    'version': values.optional(values.name),
    'total_layers': values.integer(1, 10_000, 'layers'),
    'adapters': values.list_of(values.name),
    'short_cost_tokens': values.integer(0, 1_000_000, 'tokens'),
    'short_reserve_percent': values.integer(0, 100, 'percent'),
    'max_queue_s': values.number(0.001, 86_400, 'seconds'),
    'max_queue_requests': values.integer(1, 1_000_000, 'requests'),
}
ROUTE_PARSERS = {
    'service': values.name,
    'path_prefix': values.path_prefix,
    'timeout_s': values.number(0.001, 86_400, 'seconds'),
    'retry_budget_percent': values.number(0, 100, 'percent'),
    'non_idempotent_methods': values.list_of(values.http_method),
}
ACCOUNT_PARSERS = {
    'key_sha256': values.sha256_hex,
    'weight': values.number(0.001, 1_000),
    'requests_per_s': values.number(0.001, 1_000_000, 'requests a second'),
    'tokens_per_s': values.number(0.001, 1e9, 'tokens a second'),
    'services': values.list_of(values.name),
}


@attrs.frozen
class Source:
    """Hold the contracts of one folder of operator files."""

    services: list[contracts.Service] = attrs.field(factory=list)
    routes: list[contracts.Route] = attrs.field(factory=list)
    accounts: list[contracts.ClientAccount] = attrs.field(factory=list)


def known_policies():
    """Return the registered policy names of each policy key.

    If a registry cannot be imported, only the contract's default is known.
    """
    known = {}
    for key, (module, attribute) in REGISTRIES.items():
        known[key] = {getattr(contracts.Service('default'), key)}
        try:
            registry = getattr(importlib.import_module(module), attribute)
        except (ModuleNotFoundError, AttributeError):
            continue
        known[key] |= set(registry.names())
    return known


def collect(folders, *, policies=None, published=None):
    """Return the sources of folders by name, and all problems.

    `policies` maps each policy key to the known names; see `known_policies`.
    `published` maps source names to the contracts in force; the folders are
    also checked against those of other sources.
    """
    section_kinds = _section_kinds(policies or known_policies())
    checks = cross_checks.CrossChecks()
    names = [_source_name(folder) for folder in folders]
    for name, source in (published or {}).items():
        if name not in names:
            checks.add_published(name, source)
    sources = {}
    problems = []
    for folder, name in zip(folders, names, strict=True):
        if name in sources or not is_source_name(name):
            reason = f'{name!r} is not a valid name, or two folders share it'
            problems.append(Problem(str(folder), '', '', reason))
            continue
        sources[name] = Source()
        problems += _collect_folder(
            folder, sources[name], section_kinds, checks
        )
    problems += checks.problems()
    return sources, problems


def is_source_name(name):
    """Return whether a folder name is a valid source name."""
    try:
        return bool(values.name(name))
    except ValueError:
        return False


def _source_name(folder):
    return pathlib.Path(folder).resolve().name


def _section_kinds(policies):
    service_parsers = dict(SERVICE_PARSERS)
    for key, known in policies.items():
        service_parsers[key] = values.choice(known)
    return {
        'service': (contracts.Service, service_parsers, 'services'),
        'route': (contracts.Route, ROUTE_PARSERS, 'routes'),
        'account': (contracts.ClientAccount, ACCOUNT_PARSERS, 'accounts'),
    }


def _collect_folder(folder, source, section_kinds, checks):
    try:
        paths = sorted(pathlib.Path(folder).iterdir())
    except OSError as error:
        reason = f'cannot be read: {error.strerror}'
        return [Problem(str(folder), '', '', reason)]
    paths = [
        path
        for path in paths
        if path.suffix == '.ini' and not path.name.startswith('.')
    ]
    # Publishing an empty folder would remove every contract of its source.
    if not 1 <= len(paths) <= MAX_FILES:
        reason = f'has {len(paths)} *.ini files; expected 1 to {MAX_FILES}'
        return [Problem(str(folder), '', '', reason)]
    problems = []
    for path in paths:
        document = ini.read(path)
        for section in document.sections:
            _collect_section(document, section, source, section_kinds, checks)
        problems += document.problems
    return problems


def _collect_section(document, section, source, section_kinds, checks):
    kind, _, name = section.partition(' ')
    if kind not in section_kinds:
        expected = ', '.join(f'[{known} NAME]' for known in section_kinds)
        document.report(section, '', f'unknown section; known: {expected}')
        return
    try:
        name = values.name(name.strip())
    except ValueError as error:
        document.report(section, '', str(error))
        return
    checks.define(kind, name, document.file, section)
    cls, parsers, attribute = section_kinds[kind]
    contract = ini.build(cls, document, section, parsers, name=name)
    if contract is not None:
        getattr(source, attribute).append(contract)
        checks.add(kind, contract, document.file, section)
