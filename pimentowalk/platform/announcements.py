"""Decode the announcements of backend servers."""

import json

from pimentowalk.core import errors
from pimentowalk.platform import numbers
from pimentowalk.topology import backends

STATES = {'ready': backends.READY, 'draining': backends.DRAINING}
MAX_TEXT_CHARACTERS = 256


def _invalid(reason):
    return errors.PimentowalkError(
        reason, code='bad_request', step='read announcement'
    )


def _integer(data, key, default=None):
    value = data.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int):
        raise _invalid(f'{key} is no whole number')
    return numbers.check(value, key, numbers.ANNOUNCEMENT)


def _string(data, key, default=None):
    return _checked_text(data.get(key, default), key)


def _non_empty_string(data, key):
    value = _string(data, key)
    if not value:
        raise _invalid(f'{key} is empty')
    return value


def _checked_text(value, name):
    if not isinstance(value, str) or len(value) > MAX_TEXT_CHARACTERS:
        raise _invalid(f'{name} is no short text')
    try:
        value.encode()
    except UnicodeEncodeError:
        raise _invalid(f'{name} is not valid Unicode') from None
    return value


def _parse_address(text):
    host, _, port = text.rpartition(':')
    is_number = port.isascii() and port.isdigit()
    if not host or not is_number or not 0 < int(port) < 65536:
        raise _invalid(f'{text!r} is no address')
    return host, int(port)


def decode(server_id, text):
    """Return the backend of an announcement; raise PimentowalkError.

    An announcement with any invalid field is rejected as a whole.
    """
    try:
        data = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise _invalid(f'not JSON: {error}') from None
    if not isinstance(data, dict):
        raise _invalid('not an object')
    state = STATES.get(_string(data, 'state'))
    if state is None:
        raise _invalid(f'unknown state {data["state"]!r}')
    if not _checked_text(server_id, 'the id'):
        raise _invalid('the id is empty')
    host, port = _parse_address(_string(data, 'address'))
    first, end, version = _parse_layers(data)
    models = data.get('models') or [{}]
    if not isinstance(models, list) or not isinstance(models[0], dict):
        raise _invalid('models is no list of objects')
    return backends.Backend(
        server_id=server_id,
        born_ms=_integer(data, 'born', 0),
        sequence=_integer(data, 'sequence'),
        service=_non_empty_string(data, 'service'),
        host=host,
        port=port,
        zone=_non_empty_string(data, 'zone'),
        state=state,
        slots=max(1, _integer(data, 'slots', 1)),
        # "kind" is the accelerator type here, but the request type in routes.
        accelerator=_string(data, 'kind', ''),
        model=_string(models[0], 'name', ''),
        first_layer=first,
        end_layer=end,
        weights_version=version,
        # "warmup-left-ms" is the remaining time in which the server is slow.
        warm_up_ms=_integer(data, 'warmup-left-ms', 0),
    )


def _parse_layers(data):
    """Return first layer, end layer and weights version, or zeros."""
    layers = data.get('layers')
    if not layers:
        return 0, 0, 0
    if not isinstance(layers, dict):
        raise _invalid('layers is no object')
    first = _integer(layers, 'from')
    end = _integer(layers, 'to')
    if end < first:
        raise _invalid('layers end before they begin')
    return first, end, _integer(layers, 'version', 0)
