"""Guard what is read from the platform's messages, and what is refused."""

import pytest

from pimentowalk.core import errors
from pimentowalk.platform import announcements
from pimentowalk.platform import documents
from pimentowalk.platform.tests import samples
from pimentowalk.topology import backends


def test_configuration_is_decoded():
    """A field under a wrong name would change what is served."""
    document = documents.decode(samples.configuration())
    assert document.version == 3
    route = document.route('a.example', '/draft/2f')
    assert (route.name, route.is_resumable) == ('r-stream', True)
    assert (route.timeout_s, route.longest_pause_s) == (20.0, 0.25)
    assert route.backends == (('model', 1.0),)
    engine = document.services['model'].engine
    assert (engine.total_layers, engine.load_s) == (8, 14.0)
    assert document.services['jobs'].engine is None
    assert document.account_of('k2').name == 't1'


def test_stored_document_is_the_text_that_was_sent():
    """What is read back must be what was acknowledged."""
    text = samples.configuration()
    assert documents.unpack(documents.pack(text)) == text


@pytest.mark.parametrize(
    ('path', 'name'),
    [
        ('/draft/x/2f', 'r-deep'),
        ('/draft/2f', 'r-stream'),
        ('/draft/', 'r-stream'),
        ('/draft', None),
        ('/other/2f', None),
    ],
)
def test_longest_prefix_wins(path, name):
    """Two prefixes of one host may begin a path."""
    deep = samples.STREAM_ROUTE | {
        'name': 'r-deep',
        'path-prefix': '/draft/x/',
    }
    routes = [*samples.CONFIGURATION['routes'], deep]
    document = documents.decode(samples.configuration(routes=routes))
    route = document.route('a.example', path)
    assert (route and route.name) == name


def _with_route(**changes):
    return {'routes': [samples.SAFE_ROUTE | changes]}


@pytest.mark.parametrize(
    'changes',
    [
        _with_route(service='unknown'),
        {'routes': [samples.SAFE_ROUTE, samples.SAFE_ROUTE | {'name': 'b'}]},
        _with_route(backends=[{'service': 'jobs', 'weight': 0}]),
        _with_route(**{'timeout-ms': 0}),
        _with_route(**{'timeout-ms': '800'}),
        _with_route(kind='other'),
        _with_route(**{'path-prefix': '/look'}),
        {
            'tenants': [
                {'name': 'a', 'api-keys': ['k']},
                {'name': 'b', 'api-keys': ['k']},
            ]
        },
        {'version': '3'},
        {'version': True},
        {'routes': None},
        {'services': [3]},
    ],
)
def test_invalid_configuration_is_refused(changes):
    """What is invalid must not be acknowledged."""
    with pytest.raises(errors.PimentowalkError) as caught:
        documents.decode(samples.configuration(**changes))
    assert caught.value.code == 'bad_request'


@pytest.mark.parametrize('cut', [0, 1, 40, 400])
def test_configuration_that_is_cut_short_is_refused(cut):
    """A part of a configuration would drop routes."""
    with pytest.raises(errors.PimentowalkError):
        documents.decode(samples.configuration()[:cut])


def test_refusal_of_a_shared_key_does_not_show_it():
    """Reasons of refusals are logged, and keys are secrets."""
    tenants = [
        {'name': 'a', 'api-keys': ['secret']},
        {'name': 'b', 'api-keys': ['secret']},
    ]
    with pytest.raises(errors.PimentowalkError) as caught:
        documents.decode(samples.configuration(tenants=tenants))
    assert 'secret' not in str(caught.value)


def test_announcement_is_decoded():
    """A range or start time under a wrong name would misroute."""
    found = announcements.decode('i-1', samples.announcement())
    assert (found.first_layer, found.end_layer) == (0, 8)
    assert (found.born_ms, found.sequence) == (1700000000000, 4)
    assert (found.accelerator, found.state) == ('v100', backends.READY)


def test_server_without_layers_is_empty():
    """Servers start without layers."""
    found = announcements.decode('i-1', samples.announcement(layers=None))
    assert found.layer_count == 0


@pytest.mark.parametrize(
    'changes',
    [
        {'state': 'unknown'},
        {'service': 3},
        {'address': 'nowhere'},
        {'address': '127.0.0.1:99999'},
        {'sequence': '4'},
        {'born': 1.5},
        {'layers': {'from': 5, 'to': 2}},
        {'layers': [1, 2]},
        {'models': 'm1'},
        {'kind': 7},
    ],
)
def test_unreadable_announcement_is_refused(changes):
    """It may come from another writer and names no server to use."""
    with pytest.raises(errors.PimentowalkError):
        announcements.decode('i-1', samples.announcement(**changes))


@pytest.mark.parametrize('text', [b'', b'{', b'[]', b'\xff', b'[' * 99999])
def test_announcement_that_is_not_an_object_is_refused(text):
    """Bytes that cannot be read must not end the process."""
    with pytest.raises(errors.PimentowalkError):
        announcements.decode('i-1', text)
