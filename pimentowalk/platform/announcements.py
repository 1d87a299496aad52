"""Decode what backend servers say of themselves."""

import json

from pimentowalk.core import errors
from pimentowalk.topology import backends

STATES = {'ready': backends.READY, 'draining': backends.DRAINING}
MAX_ANNOUNCEMENT_BYTES = 1 << 16


def _unusable(reason):
    return errors.PimentowalkError(
        reason, code='bad_request', step='read announcement'
    )


def _whole(data, key, default=None):
    value = data.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise _unusable(f'{key} is no whole number')
    return value


def _text(data, key):
    value = data.get(key)
    if not isinstance(value, str) or not value:
        raise _unusable(f'{key} is no text')
    return value


def _address(text):
    host, _, port = text.rpartition(':')
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise _unusable(f'{text!r} is no address')
    return host, int(port)


def decode(server_id, text):
    """Return the backend of an announcement; raise PimentowalkError.

    An announcement that cannot be read in full names no server to use.
    """
    try:
        data = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise _unusable(f'not JSON: {error}') from None
    if not isinstance(data, dict):
        raise _unusable('not an object')
    state = STATES.get(data.get('state'))
    if state is None:
        raise _unusable(f'unknown state {data.get("state")!r}')
    host, port = _address(_text(data, 'address'))
    first, end, version = _layers(data)
    models = data.get('models') or [{}]
    if not isinstance(models, list) or not isinstance(models[0], dict):
        raise _unusable('models is no list of objects')
    kind = data.get('kind', '')
    if not isinstance(kind, str):
        raise _unusable('kind is no text')
    return backends.Backend(
        server_id=server_id,
        born_ms=_whole(data, 'born', 0),
        sequence=_whole(data, 'sequence'),
        service=_text(data, 'service'),
        host=host,
        port=port,
        zone=_text(data, 'zone'),
        state=state,
        slots=max(1, _whole(data, 'slots', 1)),
        # "kind" is the kind of accelerator here, that of a request in routes.
        accelerator=kind,
        model=str(models[0].get('name') or ''),
        first_layer=first,
        end_layer=end,
        weights_version=version,
        # "warmup-left-ms" is how long the server stays slow.
        warm_up_ms=_whole(data, 'warmup-left-ms', 0),
    )


def _layers(data):
    """Return first layer, end and weights version; zeros without layers."""
    layers = data.get('layers')
    if not layers:
        return 0, 0, 0
    if not isinstance(layers, dict):
        raise _unusable('layers is no object')
    first, end = _whole(layers, 'from'), _whole(layers, 'to')
    if end < first:
        raise _unusable('layers end before they begin')
    return first, end, _whole(layers, 'version', 0)
