"""Reference model of the control state: no limits, indexes, snapshots."""

import attrs

from pimentowalk.control import claims
from pimentowalk.control import commands
from pimentowalk.control import quarantine

KINDS = {'service': 'services', 'route': 'routes', 'account': 'accounts'}


class Refused(Exception):
    """Report the error code of a refused command."""


class ReferenceState:
    """Hold the state in plain dictionaries and lists."""

    def __init__(self):
        self.version = 0
        self.sources = {}
        self.scope_versions = {}
        self.accepted = {}
        self.fences = []
        self.claims = {}
        self.crashes = {}
        self.quarantined = {}
        self.audit_count = 0
        self.time_s = 0.0

    def apply(self, body, time_s):
        """Return a comparable outcome of one command."""
        self.time_s = max(self.time_s, time_s)
        change_id = getattr(body, 'change_id', None)
        if change_id in self.accepted:
            accepted_body, outcome = self.accepted[change_id]
            bodies = (accepted_body, body)
            if all(isinstance(one, commands.Publish) for one in bodies):
                # A retry may expect the version that the change created.
                expected = accepted_body.expected_version
                body = attrs.evolve(body, expected_version=expected)
            if accepted_body != body:
                return ('refused', 'conflict')
            return (*outcome, 'repeated')
        try:
            outcome = getattr(self, f'_{type(body).__name__.lower()}')(body)
        except Refused as refusal:
            return ('refused', str(refusal))
        if change_id is not None:
            self.accepted[change_id] = (body, outcome)
            self.audit_count += 1
        return outcome

    def contracts(self, sources=None):
        """Return (scope, contract, source) of all sources."""
        return [
            (f'{kind}/{contract.name}', contract, name)
            for name, source in (sources or self.sources).items()
            for kind, attribute in KINDS.items()
            for contract in getattr(source, attribute)
        ]

    def _publish(self, body):
        if body.expected_version > self.version:
            raise Refused('bad_request')
        if body.expected_version < self.version:
            raise Refused('conflict')
        new = {**self.sources, **body.sources}
        scopes = [scope for scope, _, _ in self.contracts(new)]
        routes = [r for source in new.values() for r in source.routes]
        paths = [route.path_prefix for route in routes]
        if len(set(scopes)) < len(scopes) or len(set(paths)) < len(paths):
            raise Refused('bad_request')
        if any(f'service/{r.service}' not in scopes for r in routes):
            raise Refused('bad_request')
        old = self.contracts()
        self.version += 1
        self.scope_versions = {
            one[0]: self.scope_versions[one[0]] if one in old else self.version
            for one in self.contracts(new)
        }
        self.sources = new
        return ('version', self.version)

    def _issuefence(self, body):
        self.fences.append(body.server_id)
        return ('fence', len(self.fences))

    def highest_fence(self, server_id):
        """Return the highest number issued for a server."""
        issued = [n for n, s in enumerate(self.fences, 1) if s == server_id]
        return max(issued, default=0)

    def _find_unexpired(self, body):
        """Return the claim of a key unless it has expired."""
        claim = self.claims.get((body.account, body.key))
        if claim and claim['at'] + claims.RETENTION_S <= self.time_s:
            del self.claims[body.account, body.key]
            return None
        return claim

    def _openclaim(self, body):
        claim = self._find_unexpired(body)
        if claim is not None:
            if claim['hash'] != body.body_hash:
                return ('key_reused', None, None)
            is_owner = claim['id'] == body.claim_id
            if claim['state'] == 'released' and is_owner:
                raise Refused('conflict')
            if claim['state'] == 'open' and is_owner:
                return ('new', claim['id'], b'')
            if claim['state'] != 'released':
                return (claim['state'], claim['id'], claim['body'])
        self.claims[body.account, body.key] = {
            'id': body.claim_id,
            'hash': body.body_hash,
            'at': self.time_s,
            'state': 'open',
            'body': b'',
        }
        self.audit_count += 1
        return ('new', body.claim_id, b'')

    def _get_owned(self, body):
        claim = self._find_unexpired(body)
        if claim is None:
            raise Refused('not_found')
        if claim['id'] != body.claim_id:
            raise Refused('conflict')
        return claim

    def _settleclaim(self, body):
        claim = self._get_owned(body)
        if claim['state'] == 'released':
            raise Refused('conflict')
        if body.outcome == 'done' and claim['state'] != 'settled':
            claim.update(state='settled', body=body.body)
        elif body.outcome == 'unknown' and claim['state'] == 'open':
            claim.update(state='unknown')
        else:
            return ('done', 'repeated')
        self.audit_count += 1
        return ('done',)

    def _releaseclaim(self, body):
        claim = self._get_owned(body)
        if claim['state'] == 'released':
            return ('done', 'repeated')
        if claim['state'] != 'open':
            raise Refused('conflict')
        claim['state'] = 'released'
        self.audit_count += 1
        return ('done',)

    def _reportcrash(self, body):
        until_s = self.quarantined.get(body.fingerprint)
        if until_s is not None and until_s <= self.time_s:
            del self.quarantined[body.fingerprint]
            del self.crashes[body.fingerprint]
        seen = self.crashes.get(body.fingerprint, {})
        window_s = quarantine.CRASH_WINDOW_S
        first_s = min(seen.values(), default=self.time_s)
        quarantined = body.fingerprint in self.quarantined
        if first_s + window_s <= self.time_s and not quarantined:
            seen = {}
        self.crashes[body.fingerprint] = seen
        key = (body.server_id, body.incarnation, body.request_id)
        self.audit_count += key not in seen
        seen.setdefault(key, self.time_s)
        if len(seen) >= 2 and not quarantined:
            until_s = self.time_s + quarantine.QUARANTINE_S
            self.quarantined[body.fingerprint] = until_s
        return ('crashes', len(seen), body.fingerprint in self.quarantined)

    def _clearquarantine(self, body):
        self.crashes.pop(body.fingerprint, None)
        self.quarantined.pop(body.fingerprint, None)
        return ('done',)

    def active(self):
        """Return the quarantined fingerprints."""
        return {
            fingerprint
            for fingerprint, until_s in self.quarantined.items()
            if until_s > self.time_s
        }
