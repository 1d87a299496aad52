"""Test that numbers and texts of outside writers can be carried and kept."""

import asyncio
import copy
import json

import hypothesis
from hypothesis import strategies
import pytest

from pimentowalk.core import errors
from pimentowalk.placement import tiling
from pimentowalk.platform import announcements
from pimentowalk.platform import documents
from pimentowalk.platform import names
from pimentowalk.platform import numbers
from pimentowalk.platform.tests import samples
from pimentowalk.wire import codec
from pimentowalk.wire import node_messages
from tools.tests import waiting

ODD_NUMBERS = [-1, 0, 1.5, 2**63, 2**64, 10**30, 10**400, 1e300, '1', True]
ODD_VALUES = [None, [], {}, [1], {'a': 1}, '', '\ud800', 'a\n', 'x' * 5000]


def _complete_configuration():
    """Return a configuration in which each number has a place."""
    data = copy.deepcopy(samples.CONFIGURATION)
    data['services'][0]['max-connections'] = 9
    engine = data['services'][0]['engine']
    engine |= {'per_seq_ms': 0.1, 'context_per_k': 0.1, 'pairs_per_m': 0.1}
    engine |= {'chunk': 512, 'stride': 4}
    engine['kinds'][0]['read-factor'] = 2.0
    data['limits'] |= {'max-header-bytes': 16384, 'header-timeout-ms': 3000}
    return data


def _objects_with(data, key):
    """Return all objects in JSON data that have a key."""
    found = []
    items = data.values() if isinstance(data, dict) else data
    if isinstance(data, dict) and not isinstance(data.get(key, {}), dict):
        found.append(data)
    for item in items:
        if isinstance(item, (dict, list)):
            found += _objects_with(item, key)
    return found


def _is_allowed(value, allowed):
    return (
        type(value) in (int, float)
        and allowed.minimum <= value <= allowed.maximum
        and not (allowed.is_whole and value % 1)
    )


def _with(data, key, value):
    changed = copy.deepcopy(data)
    places = _objects_with(changed, key)
    assert places
    for place in places:
        place[key] = value
    return json.dumps(changed).encode()


@pytest.mark.parametrize('key', numbers.CONFIGURATION)
def test_number_of_a_configuration_is_decoded_or_refused(key):
    """A large number ended the request or later each frame or plan."""
    allowed = numbers.CONFIGURATION[key]
    edges = [allowed.minimum, allowed.maximum, allowed.maximum + 1, None]
    for value in [*ODD_NUMBERS, *edges]:
        text = _with(_complete_configuration(), key, value)
        # Rules beside the range: no time-out and no weight may be 0.
        is_valid = _is_allowed(value, allowed) and (
            value or key not in ('timeout-ms', 'weight')
        )
        is_valid = is_valid or (key, value) == ('priority', None)
        try:
            documents.decode(text)
        except errors.PimentowalkError as error:
            assert error.code == 'bad_request'
            assert not is_valid or value is None, value
        else:
            assert is_valid, value


@pytest.mark.parametrize('key', numbers.ANNOUNCEMENT)
def test_number_of_an_announcement_is_carried_or_refused(key):
    """A frame with a number that does not fit was not sent to any node."""
    allowed = numbers.ANNOUNCEMENT[key]
    edges = [allowed.minimum, allowed.maximum, allowed.maximum + 1, None]
    for value in [*ODD_NUMBERS, *edges]:
        data = copy.deepcopy(samples.ANNOUNCEMENT)
        (data['layers'] if key in data['layers'] else data)[key] = value
        if key == 'from':
            data['layers']['to'] = numbers.MAX_LAYERS
        _check_announcement(json.dumps(data).encode())


def _check_announcement(text):
    try:
        backend = announcements.decode('i-1', text)
    except errors.PimentowalkError as error:
        assert error.code == 'bad_request'
        return
    frame = codec.encode(node_messages.BackendNews([backend]))
    envelope = codec.decode(frame[codec.HEADER.size :])
    assert envelope.body.backends == [backend]
    tiling.coverage([backend], 80)


def _paths(data, prefix=()):
    """Return the paths of all values in JSON data."""
    items = enumerate(data) if isinstance(data, list) else data.items()
    found = []
    for key, value in items:
        found.append((*prefix, key))
        if isinstance(value, (dict, list)):
            found += _paths(value, (*prefix, key))
    return found


values = strategies.sampled_from(ODD_NUMBERS + ODD_VALUES) | strategies.text()
values |= strategies.integers() | strategies.floats(allow_nan=True)


def _changes(data):
    return strategies.lists(
        strategies.tuples(strategies.sampled_from(_paths(data)), values),
        min_size=1,
        max_size=3,
    )


def _changed(data, changes):
    data = copy.deepcopy(data)
    for path, value in changes:
        place = data
        try:
            for key in path[:-1]:
                place = place[key]
            place[path[-1]] = value
        except (TypeError, KeyError, IndexError):
            continue  # An earlier change has removed the place.
    return json.dumps(data).encode()


@hypothesis.settings(max_examples=600, derandomize=True, deadline=None)
@hypothesis.given(_changes(_complete_configuration()))
def test_changed_configuration_is_decoded_or_refused(changes):
    """A field of another type raised an exception that nobody handles."""
    text = _changed(_complete_configuration(), changes)
    try:
        document = documents.decode(text)
    except errors.PimentowalkError as error:
        assert error.code == 'bad_request'
        return
    for name in document.services:
        body = node_messages.LoadNews(
            'n', [], [node_messages.RepeatUse(name, 1, 1)]
        )
        codec.encode(body)
    assert documents.decompress(documents.compress(text)) == text


@hypothesis.settings(max_examples=500, derandomize=True, deadline=None)
@hypothesis.given(_changes(samples.ANNOUNCEMENT))
def test_changed_announcement_is_carried_or_refused(changes):
    """A heartbeat of another writer must not reach the frames of nodes."""
    _check_announcement(_changed(samples.ANNOUNCEMENT, changes))


async def _is_served(cluster):
    status, _, _ = await cluster.platform.call(
        cluster.gateways[0], 'GET', '/look/2f', request_id='r1'
    )
    return status == 200


@pytest.mark.parametrize('end', ['minimum', 'maximum'])
async def test_numbers_at_their_limits_are_served_and_kept(cluster, end):
    """What is accepted must be carried, kept and read back."""
    data = _complete_configuration()
    for key, allowed in numbers.CONFIGURATION.items():
        value = getattr(allowed, end)
        for place in _objects_with(data, key):
            place[key] = value or place[key]
    data['version'] = numbers.CONFIGURATION['version'].maximum
    status, _ = await cluster.platform.control(
        cluster.gateways[0], 'PUT', '/v1/configuration', json.dumps(data)
    )
    assert status == 200
    await _wait_in_force(cluster, data['version'])
    assert await _is_served(cluster)
    await asyncio.gather(*(g.close() for g in cluster.gateways))
    for number, gateway in enumerate(cluster.gateways):
        cluster.gateways[number] = await cluster.start_gateway(
            gateway.settings.host, first_start=False
        )
    await cluster.platform.announce()
    await _wait_in_force(cluster, data['version'])
    assert await _is_served(cluster)
    status, text = await cluster.platform.control(
        cluster.gateways[1], 'GET', '/v1/configuration'
    )
    assert (status, json.loads(text)) == (200, data)


async def _wait_in_force(cluster, version):
    await waiting.until(
        lambda: all(
            g.node.document_version == version and g.freshness.is_valid
            for g in cluster.gateways
        )
    )


HEADER_VALUES = [
    *(str(n) for n in (-1, 0, 1, 2**31, 2**63, 2**64, 10**30, 10**400)),
    *('1.5', '1e300', '1e999', 'nan', 'inf', 'true', 'null', 'x', '', ','),
    *('\u0661', '9' * 5000, '1,2,3', '-1,-1', f'{2**64},{2**64}', 'a:' * 900),
]
HEADERS = [
    names.DEADLINE_MS,
    names.TOKEN_COUNT,
    names.LAST_EVENT_ID,
    names.LENGTH_HINT,
    names.PROMPT_PARTS,
]


@pytest.mark.parametrize('path', ['/draft/2f', '/book/2f'])
@pytest.mark.parametrize('name', HEADERS)
async def test_odd_number_of_a_header_harms_no_other_request(
    scene, caplog, name, path
):
    """A number of a caller must neither raise nor stay in the node."""
    parts = [f'p1:{value},p2:{value}' for value in HEADER_VALUES]
    values = parts if name == names.PROMPT_PARTS else HEADER_VALUES
    for number, value in enumerate(values):
        answer = await scene.request(
            'POST', path, f'r{number}', headers={name: value}
        )
        assert answer.status == 200 or 400 <= answer.status <= 504
        assert answer.status != 500
        answer = await scene.request('POST', path, f's{number}')
        assert answer.status == 200
    # A server that is sent such a number may fail.
    ours = [r for r in caplog.records if r.name.startswith('pimentowalk')]
    assert not [record for record in ours if record.exc_info]
