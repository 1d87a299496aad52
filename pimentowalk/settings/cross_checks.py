"""Validation of operator files across sections, files and sources."""

import attrs

from pimentowalk.settings import ini
from pimentowalk.topology import contracts

# First path segments that the entries serve themselves.
RESERVED_SEGMENTS = ('healthz', 'metrics', 'readyz', 'v1')
MODEL_KEYS = ('model', 'version', 'total_layers', 'adapters')


@attrs.frozen
class Place:
    """Name the file and section in which a contract is defined."""

    file: str
    section: str = ''

    def __str__(self):
        section = f' [{self.section}]' if self.section else ''
        return f'{self.file}{section}'


class CrossChecks:
    """Collect contracts with their locations and find contradictions."""

    def __init__(self):
        self._defined = {}
        self._contracts = []
        self._problems = []

    def add_published(self, source_name, source):
        """Add the contracts in force of a source that the change keeps."""
        place = Place(f'published source {source_name}')
        for kind, contract in _contracts_of(source):
            self._defined[kind, contract.name] = place
            self._contracts.append((kind, contract, place))

    def define(self, kind, name, file, section):
        """Record that a section defines a name, even if it is invalid."""
        place = Place(file, section)
        other = self._defined.setdefault((kind, name), place)
        if other is not place:
            self._report(place, '', f'{kind} {name} is also in {other}')

    def add(self, kind, contract, file, section):
        """Add a contract whose individual values are valid."""
        self._contracts.append((kind, contract, Place(file, section)))

    def problems(self):
        """Run all checks and return the problems found."""
        self._check_services()
        self._check_references()
        self._check_unique(
            'account', 'key_sha256', lambda account: {account.key_sha256}
        )
        self._check_unique('service', 'model', _model_names)
        self._check_reserved_paths()
        self._check_routes()
        return self._problems

    def _report(self, place, key, reason):
        # Published sources have no section; they were checked when accepted.
        if place.section:
            problem = ini.Problem(place.file, place.section, key, reason)
            self._problems.append(problem)

    def _of_kind(self, kind):
        return [
            (contract, place)
            for contract_kind, contract, place in self._contracts
            if contract_kind == kind
        ]

    def _check_services(self):
        for service, place in self._of_kind('service'):
            if service.kind == contracts.MODEL:
                for key in ('model', 'total_layers'):
                    if not getattr(service, key):
                        reason = 'is missing for a service of kind model'
                        self._report(place, key, reason)
                continue
            for key in MODEL_KEYS:
                if getattr(service, key):
                    reason = 'has no meaning for a service of kind plain'
                    self._report(place, key, reason)

    def _check_references(self):
        for route, place in self._of_kind('route'):
            self._check_service_name(place, 'service', route.service)
        for account, place in self._of_kind('account'):
            for name in account.services:
                self._check_service_name(place, 'services', name)

    def _check_service_name(self, place, key, name):
        if ('service', name) in self._defined:
            return
        known = sorted(
            service_name
            for kind, service_name in self._defined
            if kind == 'service'
        )
        known_names = ', '.join(known) or 'none'
        self._report(
            place, key, f'unknown service {name!r}; known: {known_names}'
        )

    def _check_unique(self, kind, key, values_of):
        seen = {}
        for contract, place in self._of_kind(kind):
            for value in sorted(values_of(contract)):
                other = seen.setdefault(value, place)
                if other is not place:
                    self._report(place, key, f'is the same as in {other}')

    def _check_reserved_paths(self):
        plain_services = {
            service.name
            for service, _ in self._of_kind('service')
            if service.kind == contracts.PLAIN
        }
        for route, place in self._of_kind('route'):
            leading = _path_segments(route)[:1]
            if (
                route.service in plain_services
                and leading
                and leading[0] in RESERVED_SEGMENTS
            ):
                reason = f'/{leading[0]} is answered by the entries themselves'
                self._report(place, 'path_prefix', reason)

    def _check_routes(self):
        # Sorted by segments, a prefix directly precedes the paths below it.
        routes = sorted(
            self._of_kind('route'), key=lambda pair: _path_segments(pair[0])
        )
        enclosing_routes = []
        for route, place in routes:
            segments = _path_segments(route)
            while enclosing_routes and not _is_prefix(
                enclosing_routes[-1][0], segments
            ):
                enclosing_routes.pop()
            if enclosing_routes:
                self._report_overlap(route, place, enclosing_routes[-1])
            enclosing_routes.append((segments, route, place))

    def _report_overlap(self, route, place, other):
        _, other_route, other_place = other
        pairs = [
            (place, other_route, other_place),
            (other_place, route, place),
        ]
        # Report at the later route, unless that one is already published.
        for report_place, overlapped, overlapped_place in pairs:
            if report_place.section:
                reason = (
                    f'overlaps {overlapped.path_prefix} of route '
                    f'{overlapped.name} in {overlapped_place}'
                )
                self._report(report_place, 'path_prefix', reason)
                return


def _model_names(service):
    # Requests name a model by either; see `service_of_model`.
    if service.kind != contracts.MODEL:
        return set()
    return {service.name, service.model} - {''}


def _path_segments(route):
    return [part for part in route.path_prefix.split('/') if part]


def _is_prefix(prefix, segments):
    return segments[: len(prefix)] == prefix


def _contracts_of(source):
    for kind, attribute in (
        ('service', 'services'),
        ('route', 'routes'),
        ('account', 'accounts'),
    ):
        for contract in getattr(source, attribute):
            yield kind, contract
