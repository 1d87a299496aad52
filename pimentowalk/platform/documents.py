"""Decode the configuration of the platform into a `topology` document."""

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


def compress(text):
    """Compress a document for storage."""
    return zlib.compress(text, 6)


def decompress(content):
    """Decompress a stored document; raise PimentowalkError."""
    try:
        return zlib.decompressobj().decompress(content, MAX_CONTENT_BYTES)
    except zlib.error as error:
        raise _invalid(f'stored document is damaged: {error}') from None


def decode_stored(content):
    """Decode a stored document; raise PimentowalkError."""
    return decode(decompress(content))


def decode(text):
    """Decode a configuration; raise PimentowalkError for the first fault."""
    try:
        data = json.loads(text, parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        raise _invalid(f'not JSON: {error}') from None
    _require(isinstance(data, dict), 'the configuration is not an object')
    version = _integer(
        data,
        'version',
        'the configuration',
        minimum=1,
        maximum=documents.MAX_VERSION,
    )
    services = [
        _parse_service(item) for item in _object_list(data, 'services')
    ]
    service_names = _require_unique((s.name for s in services), 'service')
    routes = [
        _parse_route(item, service_names)
        for item in _object_list(data, 'routes')
    ]
    _require_unique((r.name for r in routes), 'route')
    _require_unique(
        ((r.host, r.path_prefix) for r in routes), 'host and prefix'
    )
    accounts = [
        _parse_account(item)
        for item in _object_list(data, 'tenants', default=())
    ]
    _require_unique((a.name for a in accounts), 'tenant')
    _require_unique(
        (key for a in accounts for key in a.keys), 'key', show_value=False
    )
    return documents.Document(
        version, services, routes, accounts, _parse_limits(data)
    )


def _reject_constant(name):
    raise ValueError(f'{name} is not a number')


def _require(condition, reason):
    if not condition:
        raise _invalid(reason)


def _object_list(data, key, default=None):
    items = data.get(key, default)
    _require(isinstance(items, (list, tuple)), f'{key} is not a list')
    for item in items:
        _require(isinstance(item, dict), f'{key} holds more than objects')
    return items


def _require_unique(values, label, *, show_value=True):
    seen = set()
    for value in values:
        name = f' {value}' if show_value else ''
        _require(value not in seen, f'{label}{name} comes twice')
        seen.add(value)
    return seen


def _string(item, key, context):
    value = item.get(key)
    _require(isinstance(value, str) and value, f'{context}: {key} is no text')
    return value


def _boolean(item, key, context):
    value = item.get(key, False)
    _require(
        isinstance(value, bool), f'{context}: {key} is neither true nor false'
    )
    return value


def _number(item, key, context, *, default=None, minimum=0.0):
    value = item.get(key, default)
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    _require(
        is_number and math.isfinite(value) and value >= minimum,
        f'{context}: {key} is no number of at least {minimum}',
    )
    return value


def _integer(item, key, context, *, default=None, minimum=0, maximum=math.inf):
    value = _number(item, key, context, default=default, minimum=minimum)
    _require(value == int(value), f'{context}: {key} is not whole')
    _require(value <= maximum, f'{context}: {key} is above {maximum}')
    return int(value)


def _parse_service(item):
    name = _string(item, 'name', 'a service')
    context = f'service {name}'
    engine = item.get('engine')
    if engine is not None:
        _require(isinstance(engine, dict), f'{context}: engine is no object')
    return documents.DirectService(
        name=name,
        health_path=item.get('health-path') or '',
        max_connections=_integer(item, 'max-connections', context, default=0),
        engine=_parse_engine(engine, context) if engine else None,
    )


def _parse_engine(item, context):
    models = _object_list(item, 'models')
    _require(models, f'{context}: no model')
    model = models[0]
    typical = item.get('usual') or {}
    kinds = [
        _parse_accelerator(k, context) for k in _object_list(item, 'kinds', ())
    ]
    return documents.Engine(
        model=_string(model, 'name', context),
        total_layers=_integer(item, 'layers', context, default=0),
        layer_mb=_number(item, 'layer-mb', context, default=0),
        kv_token_bytes=_number(item, 'kv-token-bytes', context, default=0),
        load_s=_number(model, 'load-s', context, default=0),
        loads_at_once=_integer(item, 'loads_at_once', context, default=1),
        step_ms=_number(item, 'step_ms', context, default=1),
        read_tokens_per_s=_number(item, 'read_per_s', context, default=1e5),
        activation_bytes=_number(item, 'activation-bytes', context, default=0),
        zone_link_mbps=_number(item, 'pipe-mbps', context, default=0),
        usual_prompt_tokens=_integer(typical, 'prompt', context, default=0),
        usual_answer_tokens=_integer(typical, 'answer', context, default=0),
        accelerators={kind.name: kind for kind in kinds},
        steps_per_pass=_integer(item, 'stride', context, default=1, minimum=1),
        step_per_sequence_ms=_number(item, 'per_seq_ms', context, default=0),
        step_per_1000_tokens_ms=_number(
            item, 'context_per_k', context, default=0
        ),
        chunk_tokens=_integer(item, 'chunk', context, default=0),
        read_per_pairs_ms=_number(item, 'pairs_per_m', context, default=0),
    )


def _parse_accelerator(item, context):
    return documents.Accelerator(
        name=_string(item, 'name', context),
        memory_mb=_number(item, 'size-mb', context),
        # "pace" multiplies the step time: a higher value is slower.
        step_factor=_number(item, 'pace', context, default=1),
        read_factor=_number(item, 'read-factor', context, default=1),
    )


def _parse_route(item, services):
    name = _string(item, 'name', 'a route')
    context = f'route {name}'
    kind = KINDS.get(item.get('kind'))
    _require(kind, f'{context}: unknown kind {item.get("kind")!r}')
    prefix = _string(item, 'path-prefix', context)
    _require(
        prefix.startswith('/') and prefix.endswith('/'),
        f'{context}: a prefix begins and ends with a slash',
    )
    timeout_ms = _number(item, 'timeout-ms', context)
    _require(timeout_ms > 0, f'{context}: the timeout is 0')
    return documents.HostRoute(
        name=name,
        host=_string(item, 'host', context).lower(),
        path_prefix=prefix,
        kind=kind,
        backends=_parse_backends(item, context, services),
        timeout_s=timeout_ms / 1000,
        objective_s=_number(item, 'latency-target-ms', context, default=0)
        / 1000,
        priority=_integer(item, 'priority', context, default=0),
        attempts=max(1, _integer(item, 'attempts', context, default=1)),
        is_public=_boolean(item, 'public', context),
        is_resumable=_boolean(item, 'resumable', context),
        longest_pause_s=_number(item, 'gap-target-ms', context, default=0)
        / 1000,
    )


def _parse_backends(item, context, services):
    """Return the (service, weight) pairs of a route with positive weight."""
    if item.get('backends') is None:
        pairs = [(_string(item, 'service', context), 1.0)]
    else:
        pairs = [
            (_string(b, 'service', context), _number(b, 'weight', context))
            for b in _object_list(item, 'backends')
        ]
    for service, _ in pairs:
        _require(service in services, f'{context}: unknown service {service}')
    _require(
        sum(weight for _, weight in pairs) > 0, f'{context}: no weight above 0'
    )
    return tuple(pair for pair in pairs if pair[1] > 0)


def _parse_account(item):
    name = _string(item, 'name', 'a tenant')
    context = f'tenant {name}'
    keys = item.get('api-keys', [])
    _require(isinstance(keys, list), f'{context}: api-keys is not a list')
    for key in keys:
        _require(isinstance(key, str) and key, f'{context}: a key is no text')
    priority = item.get('priority')
    if priority is not None:
        priority = _integer(item, 'priority', context)
    return documents.KeyedAccount(name, tuple(keys), priority)


def _parse_limits(data):
    item = data.get('limits') or {}
    _require(isinstance(item, dict), 'limits is no object')
    defaults = documents.Limits()
    return documents.Limits(
        _integer(
            item, 'max-header-bytes', 'limits', default=defaults.header_bytes
        ),
        _integer(
            item, 'max-body-bytes', 'limits', default=defaults.body_bytes
        ),
        _number(item, 'header-timeout-ms', 'limits', default=3000) / 1000,
        _number(item, 'idle-timeout-ms', 'limits', default=15000) / 1000,
    )
