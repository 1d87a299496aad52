"""Decode the platform's configuration into a `topology` document."""

import json
import math
import zlib

from pimentowalk.core import errors
from pimentowalk.topology import documents

MAX_CONTENT_BYTES = 16 << 20
KINDS = {
    'safe': documents.SAFE,
    'non_idempotent': documents.NON_IDEMPOTENT,
    'streaming': documents.STREAMING,
}


def _invalid(reason):
    return errors.PimentowalkError(
        reason, code='bad_request', step='read configuration'
    )


def pack(text):
    """Return a document as it is stored."""
    return zlib.compress(text, 6)


def unpack(content):
    """Return the text of a stored document; raise PimentowalkError."""
    try:
        return zlib.decompressobj().decompress(content, MAX_CONTENT_BYTES)
    except zlib.error as error:
        raise _invalid(f'stored document is damaged: {error}') from None


def decode_stored(content):
    """Return the document of stored content; raise PimentowalkError."""
    return decode(unpack(content))


def decode(text):
    """Return the document of a configuration; raise PimentowalkError.

    The first fault found is named.
    """
    try:
        data = json.loads(text, parse_constant=_no_constant)
    except (ValueError, RecursionError) as error:
        raise _invalid(f'not JSON: {error}') from None
    _expect(isinstance(data, dict), 'the configuration is not an object')
    version = _whole(data, 'version', 'the configuration', least=1)
    services = [_service(item) for item in _objects(data, 'services')]
    known = _unique((s.name for s in services), 'service')
    routes = [_route(item, known) for item in _objects(data, 'routes')]
    _unique((r.name for r in routes), 'route')
    _unique(((r.host, r.path_prefix) for r in routes), 'host and prefix')
    accounts = [
        _account(item) for item in _objects(data, 'tenants', missing=())
    ]
    _unique((a.name for a in accounts), 'tenant')
    _unique((key for a in accounts for key in a.keys), 'key', shown=False)
    return documents.Document(
        version, services, routes, accounts, _limits(data)
    )


def _no_constant(name):
    raise ValueError(f'{name} is not a number')


def _expect(holds, reason):
    if not holds:
        raise _invalid(reason)


def _objects(data, key, missing=None):
    found = data.get(key, missing)
    _expect(isinstance(found, (list, tuple)), f'{key} is not a list')
    for item in found:
        _expect(isinstance(item, dict), f'{key} holds more than objects')
    return found


def _unique(values, what, *, shown=True):
    found = set()
    for value in values:
        name = f' {value}' if shown else ''
        _expect(value not in found, f'{what}{name} comes twice')
        found.add(value)
    return found


def _text(item, key, where):
    value = item.get(key)
    _expect(isinstance(value, str) and value, f'{where}: {key} is no text')
    return value


def _flag(item, key, where):
    value = item.get(key, False)
    _expect(
        isinstance(value, bool), f'{where}: {key} is neither true nor false'
    )
    return value


def _number(item, key, where, *, default=None, least=0.0):
    value = item.get(key, default)
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    _expect(
        is_number and math.isfinite(value) and value >= least,
        f'{where}: {key} is no number of at least {least}',
    )
    return value


def _whole(item, key, where, *, default=None, least=0):
    value = _number(item, key, where, default=default, least=least)
    _expect(value == int(value), f'{where}: {key} is not whole')
    return int(value)


def _service(item):
    name = _text(item, 'name', 'a service')
    where = f'service {name}'
    engine = item.get('engine')
    if engine is not None:
        _expect(isinstance(engine, dict), f'{where}: engine is no object')
    return documents.DirectService(
        name=name,
        health_path=item.get('health-path') or '',
        max_connections=_whole(item, 'max-connections', where, default=0),
        engine=_engine(engine, where) if engine else None,
    )


def _engine(item, where):
    models = _objects(item, 'models')
    _expect(models, f'{where}: no model')
    model = models[0]
    usual = item.get('usual') or {}
    kinds = [_accelerator(k, where) for k in _objects(item, 'kinds', ())]
    return documents.Engine(
        model=_text(model, 'name', where),
        total_layers=_whole(item, 'layers', where, default=0),
        layer_mb=_number(item, 'layer-mb', where, default=0),
        kv_token_bytes=_number(item, 'kv-token-bytes', where, default=0),
        load_s=_number(model, 'load-s', where, default=0),
        loads_at_once=_whole(item, 'loads_at_once', where, default=1),
        step_ms=_number(item, 'step_ms', where, default=1),
        read_tokens_per_s=_number(item, 'read_per_s', where, default=1e5),
        activation_bytes=_number(item, 'activation-bytes', where, default=0),
        zone_link_mbps=_number(item, 'pipe-mbps', where, default=0),
        usual_prompt_tokens=_whole(usual, 'prompt', where, default=0),
        usual_answer_tokens=_whole(usual, 'answer', where, default=0),
        accelerators={kind.name: kind for kind in kinds},
    )


def _accelerator(item, where):
    return documents.Accelerator(
        name=_text(item, 'name', where),
        memory_mb=_number(item, 'size-mb', where),
        # "pace" is a factor of time: a higher one is slower.
        step_factor=_number(item, 'pace', where, default=1),
        read_factor=_number(item, 'read-factor', where, default=1),
    )


def _route(item, services):
    name = _text(item, 'name', 'a route')
    where = f'route {name}'
    kind = KINDS.get(item.get('kind'))
    _expect(kind, f'{where}: unknown kind {item.get("kind")!r}')
    prefix = _text(item, 'path-prefix', where)
    _expect(
        prefix.startswith('/') and prefix.endswith('/'),
        f'{where}: a prefix begins and ends with a slash',
    )
    timeout_ms = _number(item, 'timeout-ms', where)
    _expect(timeout_ms > 0, f'{where}: the timeout is 0')
    return documents.HostRoute(
        name=name,
        host=_text(item, 'host', where).lower(),
        path_prefix=prefix,
        kind=kind,
        backends=_backends(item, where, services),
        timeout_s=timeout_ms / 1000,
        objective_s=_number(item, 'latency-target-ms', where, default=0)
        / 1000,
        priority=_whole(item, 'priority', where, default=0),
        attempts=max(1, _whole(item, 'attempts', where, default=1)),
        is_public=_flag(item, 'public', where),
        is_resumable=_flag(item, 'resumable', where),
        longest_pause_s=_number(item, 'gap-target-ms', where, default=0)
        / 1000,
    )


def _backends(item, where, services):
    """Return the (service, weight) pairs of a route."""
    if item.get('backends') is None:
        pairs = [(_text(item, 'service', where), 1.0)]
    else:
        pairs = [
            (_text(b, 'service', where), _number(b, 'weight', where))
            for b in _objects(item, 'backends')
        ]
    for service, _ in pairs:
        _expect(service in services, f'{where}: unknown service {service}')
    _expect(
        sum(weight for _, weight in pairs) > 0, f'{where}: no weight above 0'
    )
    return tuple(pair for pair in pairs if pair[1] > 0)


def _account(item):
    name = _text(item, 'name', 'a tenant')
    where = f'tenant {name}'
    keys = item.get('api-keys', [])
    _expect(isinstance(keys, list), f'{where}: api-keys is not a list')
    for key in keys:
        _expect(isinstance(key, str) and key, f'{where}: a key is no text')
    priority = item.get('priority')
    if priority is not None:
        priority = _whole(item, 'priority', where)
    return documents.KeyedAccount(name, tuple(keys), priority)


def _limits(data):
    item = data.get('limits') or {}
    _expect(isinstance(item, dict), 'limits is no object')
    known = documents.Limits()
    return documents.Limits(
        _whole(item, 'max-header-bytes', 'limits', default=known.header_bytes),
        _whole(item, 'max-body-bytes', 'limits', default=known.body_bytes),
        _number(item, 'header-timeout-ms', 'limits', default=3000) / 1000,
        _number(item, 'idle-timeout-ms', 'limits', default=15000) / 1000,
    )
