"""Messages of operators, callers and backend servers, for the soak test."""

import json

from pimentowalk.platform import names
from pimentowalk.platform.tests import samples

CONFIGURATION_PATH = '/v1/configuration'
READINESS_PATH = '/v1/readiness'
SEAL = 'Pimentowalk-Response-Seal'
# A path on each route of `samples`, by type of call.
PATHS = {'stream': '/draft/x', 'booking': '/book/x', 'lookup': '/look/x'}


def announcement(server):
    """Return the path and the body of the next announcement of a server."""
    path = f'/v1/instances/{server.server_id}'
    return path, json.dumps(server.announcement())


def configuration(version, accounts):
    """Return a configuration with the given keys of each account."""
    tenants = [
        {'name': name, 'api-keys': keys} for name, keys in accounts.items()
    ]
    return samples.configuration(version=version, tenants=tenants)


def version_of(text):
    """Return the version of a configuration."""
    return json.loads(text)['version']


def call_headers(request_id, key, deadline_ms):
    """Return the request headers of a call."""
    return {
        'Host': 'a.example',
        names.REQUEST_ID: request_id,
        names.KEY: key,
        names.DEADLINE_MS: str(deadline_ms),
        names.TOKEN_COUNT: '100,24',
    }
