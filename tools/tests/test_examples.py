"""Guard the example files, which the demo publishes."""

import pathlib

import pytest

from pimentowalk.settings import daemon
from pimentowalk.settings import published
from tools import demo_keys

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
ZONES = {
    'hjulverk': {'Bergen', 'Førde', 'Voss'},
    'shannon': {'Limerick', 'Galway', 'Ennis'},
}


@pytest.mark.parametrize('name', ZONES)
def test_operator_files_are_valid_and_hold_the_demo_keys(name):
    """An example that cannot be published teaches the wrong form."""
    sources, problems = published.collect([EXAMPLES / name])
    assert problems == []
    source = sources[name]
    assert sorted(service.kind for service in source.services) == [
        'model',
        'plain',
    ]
    assert len(source.accounts) == 10
    for account in source.accounts:
        key = demo_keys.demo_key(name, account.name)
        assert account.key_sha256 == demo_keys.key_sha256(key)


@pytest.mark.parametrize('name', ZONES)
def test_daemon_settings_are_valid(name):
    """An example that no daemon accepts teaches the wrong form."""
    loaders = {
        'agent': daemon.load_agent,
        'control': daemon.load_control,
        'entry': daemon.load_entry,
    }
    zones = set()
    for path in sorted((EXAMPLES / name / 'daemons').glob('*.ini')):
        settings = loaders[path.stem.partition('-')[0]](path)
        assert len(settings.process.control) == 3
        zones.add(settings.process.zone)
    assert zones == ZONES[name]
