"""Decode the configuration of the platform into a `topology` document."""

import json
import re
import zlib

from pimentowalk.core import errors
from pimentowalk.platform import numbers
from pimentowalk.topology import documents

MAX_CONTENT_BYTES = 16 << 20
MAX_TEXT_CHARACTERS = 4096
# Lone surrogates and, in headers, control characters cannot be sent.
UNSUPPORTED_CHARACTER = re.compile('[\x00-\x1f\x7f\ud800-\udfff]')
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
    version = _number(data, 'version', 'the configuration')
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
        version,
        services,
        routes,
        # Absent and empty differ: an empty list leaves no valid key.
        accounts if 'tenants' in data else None,
        _parse_limits(data),
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
    _require(_is_text(value), f'{context}: {key} is no text')
    return value


def _is_text(value):
    """Return whether frames and headers can carry a text."""
    return (
        isinstance(value, str)
        and 0 < len(value) <= MAX_TEXT_CHARACTERS
        and not UNSUPPORTED_CHARACTER.search(value)
    )


def _optional_object(item, key, context):
    value = item.get(key)
    if value is None:
        return {}
    _require(isinstance(value, dict), f'{context}: {key} is no object')
    return value


def _boolean(item, key, context):
    value = item.get(key, False)
    _require(
        isinstance(value, bool), f'{context}: {key} is neither true nor false'
    )
    return value


def _number(item, key, context, *, default=None):
    try:
        return numbers.check(
            item.get(key, default), key, numbers.CONFIGURATION
        )
    except errors.PimentowalkError as error:
        raise _invalid(f'{context}: {error.message}') from None


def _parse_service(item):
    name = _string(item, 'name', 'a service')
    context = f'service {name}'
    engine = _optional_object(item, 'engine', context)
    health_path = item.get('health-path') or ''
    _require(
        not health_path or _is_text(health_path),
        f'{context}: health-path is no text',
    )
    return documents.DirectService(
        name=name,
        health_path=health_path,
        max_connections=_number(item, 'max-connections', context, default=0),
        engine=_parse_engine(engine, context) if engine else None,
    )


def _parse_engine(item, context):
    models = _object_list(item, 'models')
    _require(models, f'{context}: no model')
    model = models[0]
    typical = _optional_object(item, 'usual', context)
    kinds = [
        _parse_accelerator(k, context) for k in _object_list(item, 'kinds', ())
    ]
    return documents.Engine(
        model=_string(model, 'name', context),
        total_layers=_number(item, 'layers', context, default=0),
        layer_mb=_number(item, 'layer-mb', context, default=0),
        kv_token_bytes=_number(item, 'kv-token-bytes', context, default=0),
        load_s=_number(model, 'load-s', context, default=0),
        loads_at_once=_number(item, 'loads_at_once', context, default=1),
        step_ms=_number(item, 'step_ms', context, default=1),
        read_tokens_per_s=_number(item, 'read_per_s', context, default=1e5),
        activation_bytes=_number(item, 'activation-bytes', context, default=0),
        zone_link_mbps=_number(item, 'pipe-mbps', context, default=0),
        usual_prompt_tokens=_number(typical, 'prompt', context, default=0),
        usual_answer_tokens=_number(typical, 'answer', context, default=0),
        accelerators={kind.name: kind for kind in kinds},
        steps_per_pass=_number(item, 'stride', context, default=1),
        step_per_sequence_ms=_number(item, 'per_seq_ms', context, default=0),
        step_per_1000_tokens_ms=_number(
            item, 'context_per_k', context, default=0
        ),
        chunk_tokens=_number(item, 'chunk', context, default=0),
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
    kind = KINDS.get(_string(item, 'kind', context))
    _require(kind, f'{context}: unknown kind {item["kind"]!r}')
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
        priority=_number(item, 'priority', context, default=0),
        attempts=max(1, _number(item, 'attempts', context, default=1)),
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
        _require(_is_text(key), f'{context}: a key is no text')
    priority = item.get('priority')
    if priority is not None:
        priority = _number(item, 'priority', context)
    return documents.KeyedAccount(name, tuple(keys), priority)


def _parse_limits(data):
    item = _optional_object(data, 'limits', 'the configuration')
    defaults = documents.Limits()
    return documents.Limits(
        _number(
            item, 'max-header-bytes', 'limits', default=defaults.header_bytes
        ),
        _number(item, 'max-body-bytes', 'limits', default=defaults.body_bytes),
        _number(item, 'header-timeout-ms', 'limits', default=3000) / 1000,
        _number(item, 'idle-timeout-ms', 'limits', default=15000) / 1000,
    )
