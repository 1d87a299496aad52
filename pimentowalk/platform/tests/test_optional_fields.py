"""Test fields of a configuration that are absent, null or empty.

docs/design/outside-values.md has the same rows. A field that guards access
must not open a service where it is empty or of another type.
"""

import copy
import json

import pytest

from pimentowalk.core import errors
from pimentowalk.platform import documents
from pimentowalk.platform import names
from pimentowalk.platform.tests import samples
from pimentowalk.topology import documents as topology_documents
from tools.tests import waiting

REFUSED = object()
LIMITS = topology_documents.Limits()


MODEL = ('services', 0)
STATES = ('absent', 'null', 'empty')


def _service(document):
    return document.services['model']


def _route(document):
    return document.route('a.example', '/look/x')


# Name, path of the field, what to read of the document, the empty value, and
# what is read where the field is absent, null and empty.
ROWS = [
    (
        'tenants',
        ('tenants',),
        lambda d: (d.checks_keys, d.accounts),
        [],
        ((False, []), REFUSED, (True, [])),
    ),
    (
        'tenants-keys',
        ('tenants', 0, 'api-keys'),
        lambda d: d.accounts[0].keys,
        [],
        ((), REFUSED, ()),
    ),
    (
        'tenants-priority',
        ('tenants', 0, 'priority'),
        lambda d: d.accounts[0].priority,
        '',
        (None, None, REFUSED),
    ),
    ('routes', ('routes',), lambda d: d.routes, [], (REFUSED, REFUSED, [])),
    (
        'public',
        ('routes', 1, 'public'),
        lambda d: _route(d).is_public,
        '',
        (False, REFUSED, REFUSED),
    ),
    (
        'resumable',
        ('routes', 1, 'resumable'),
        lambda d: _route(d).is_resumable,
        '',
        (False, REFUSED, REFUSED),
    ),
    (
        'backends',
        ('routes', 1, 'backends'),
        lambda d: _route(d).backends,
        [],
        ((('jobs', 1.0),), (('jobs', 1.0),), REFUSED),
    ),
    (
        'priority',
        ('routes', 1, 'priority'),
        lambda d: _route(d).priority,
        '',
        (0, REFUSED, REFUSED),
    ),
    (
        'attempts',
        ('routes', 1, 'attempts'),
        lambda d: _route(d).attempts,
        '',
        (1, REFUSED, REFUSED),
    ),
    (
        'objective',
        ('routes', 1, 'latency-target-ms'),
        lambda d: _route(d).objective_s,
        '',
        (0, REFUSED, REFUSED),
    ),
    (
        'pause',
        ('routes', 1, 'gap-target-ms'),
        lambda d: _route(d).longest_pause_s,
        '',
        (0, REFUSED, REFUSED),
    ),
    ('limits', ('limits',), lambda d: d.limits, {}, (LIMITS, LIMITS, LIMITS)),
    (
        'limit',
        ('limits', 'max-body-bytes'),
        lambda d: d.limits.body_bytes,
        '',
        (LIMITS.body_bytes, REFUSED, REFUSED),
    ),
    (
        'services',
        ('services',),
        lambda d: d.services,
        [],
        (REFUSED, REFUSED, REFUSED),
    ),
    (
        'health',
        (*MODEL, 'health-path'),
        lambda d: _service(d).health_path,
        '',
        ('', '', ''),
    ),
    (
        'connections',
        (*MODEL, 'max-connections'),
        lambda d: _service(d).max_connections,
        '',
        (0, REFUSED, REFUSED),
    ),
    (
        'engine',
        (*MODEL, 'engine'),
        lambda d: _service(d).engine,
        {},
        (None, None, None),
    ),
    (
        'models',
        (*MODEL, 'engine', 'models'),
        lambda d: _service(d).engine,
        [],
        (REFUSED, REFUSED, REFUSED),
    ),
    (
        'kinds',
        (*MODEL, 'engine', 'kinds'),
        lambda d: _service(d).engine.accelerators,
        [],
        ({}, REFUSED, {}),
    ),
    (
        'usual',
        (*MODEL, 'engine', 'usual'),
        lambda d: _service(d).engine.usual_prompt_tokens,
        {},
        (0, 0, 0),
    ),
    (
        'layers',
        (*MODEL, 'engine', 'layers'),
        lambda d: _service(d).engine.total_layers,
        '',
        (0, REFUSED, REFUSED),
    ),
]


def _cases():
    for name, path, read, empty, results in ROWS:
        for state, expected in zip(STATES, results, strict=True):
            value = None if state == 'null' else empty
            yield pytest.param(
                path, state, value, read, expected, id=f'{name}-{state}'
            )


@pytest.mark.parametrize(
    ('path', 'state', 'value', 'read', 'expected'), _cases()
)
def test_optional_field(path, state, value, read, expected):
    """An empty list of client accounts was read as an absent one."""
    data = copy.deepcopy(samples.CONFIGURATION)
    place = data
    for key in path[:-1]:
        place = place[key]
    place[path[-1]] = value
    if state == 'absent':
        del place[path[-1]]
    text = json.dumps(data).encode()
    if expected is REFUSED:
        with pytest.raises(errors.PimentowalkError) as caught:
            documents.decode(text)
        assert caught.value.code == 'bad_request'
    else:
        assert read(documents.decode(text)) == expected


async def test_empty_list_of_accounts_leaves_no_valid_key(cluster):
    """Taking the last key away opened the service to everyone."""
    public = samples.SAFE_ROUTE | {
        'name': 'r-public',
        'path-prefix': '/public/',
        'public': True,
    }
    routes = [*samples.CONFIGURATION['routes'], public]
    status = await cluster.platform.configure(
        version=9, tenants=[], routes=routes
    )
    assert status == 200
    await waiting.until(
        lambda: all(g.node.document_version == 9 for g in cluster.gateways)
    )
    for gateway in cluster.gateways:
        for key, path, expected in (
            ('k1', '/look/x', 401),
            ('never', '/look/x', 401),
            ('k1', '/public/x', 200),
        ):
            status, _, _ = await cluster.platform.call(
                gateway, 'GET', path, request_id='r1', **{names.KEY: key}
            )
            assert status == expected
