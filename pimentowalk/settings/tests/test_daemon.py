"""Test the settings files of the daemons."""

import hypothesis
from hypothesis import strategies
import pytest

from pimentowalk.core import errors
from pimentowalk.settings import daemon
from pimentowalk.topology import instances

PROCESS = """
[process]
node_id = node-1
zone = Bergen
region = Vestland
host = 127.0.0.1
port = 7001
control = c1@127.0.0.1:7101, c2@127.0.0.1:7102, c3@[::1]:7103
"""
ENTRY = f'{PROCESS}[entry]\nhttp_host = 0.0.0.0\nhttp_port = 8080\n'
AGENT = (
    f'{PROCESS}[agent]\nservice = skrivar\nkind = stage\n'
    f'backend_url = http://127.0.0.1:9000/\ndata_folder = state\n'
)
CONTROL = (
    f'{PROCESS}[control]\ndata_folder = /data/control\nvoters = c1,c2,c3\n'
    f'operators_file = operators.ini\ndrain_timeout_s = 5\n'
)
LOADERS = [daemon.load_entry, daemon.load_agent, daemon.load_control]


def write_settings(folder, text):
    path = folder / 'settings.ini'
    path.write_text(text, encoding='utf-8')
    return path


def error_text(load, folder, text):
    with pytest.raises(errors.SettingsError) as caught:
        load(write_settings(folder, text))
    return str(caught.value)


def test_entry_settings_are_read_with_defaults(tmp_path):
    """A misread key would start an entry on the wrong address."""
    settings = daemon.load_entry(write_settings(tmp_path, ENTRY))
    assert (settings.http_host, settings.http_port) == ('0.0.0.0', 8080)
    assert settings.process.control == [
        instances.Instance('c1', '127.0.0.1', 7101),
        instances.Instance('c2', '127.0.0.1', 7102),
        instances.Instance('c3', '::1', 7103),
    ]
    assert (settings.process.zone, settings.process.region) == (
        'Bergen',
        'Vestland',
    )
    assert settings.servers_per_range == 16


def test_relative_paths_are_resolved_against_the_settings_file(tmp_path):
    """A path relative to the working directory could miss the data."""
    agent = daemon.load_agent(write_settings(tmp_path, AGENT))
    assert agent.data_folder == str(tmp_path / 'state')
    assert agent.backend_url == 'http://127.0.0.1:9000'
    control = daemon.load_control(write_settings(tmp_path, CONTROL))
    assert control.data_folder == '/data/control'
    assert control.operators_file == str(tmp_path / 'operators.ini')
    assert control.voters == ['c1', 'c2', 'c3']


@pytest.mark.parametrize('voter_count', [0, 1, 3])
def test_voters_are_given_by_id_or_with_their_address(tmp_path, voter_count):
    """A launcher that lists full addresses must start the same voters."""
    with_addresses = (
        'c1@127.0.0.1:7101, c2@127.0.0.1:7102, c3@[::1]:7103'.split(', ')
    )
    for names in (['c1', 'c2', 'c3'], with_addresses):
        text = CONTROL.replace('c1,c2,c3', ','.join(names[:voter_count]))
        control = daemon.load_control(write_settings(tmp_path, text))
        assert control.voters == ['c1', 'c2', 'c3'][:voter_count]


def test_all_problems_are_listed_in_one_run(tmp_path):
    """Reporting one problem at a time would take many restarts to fix."""
    text = (
        'stray\n[process]\nnode_id = node 1\nhost = localhost\n'
        'port = 70000\ncontrol = c1@example.org:1\ncolour = red\n'
        'port = 1\n[entry]\nhttp_host = 127.0.0.1\nhttp_port = 80\n'
        'drain_timeout_s = 30s\n[entry]\n[other]\nx = 1\n'
    )
    message = error_text(daemon.load_entry, tmp_path, text)
    for expected in [
        'text before the first section (line 1)',
        '[process] node_id: ',
        "[process] host: 'localhost' is not a numeric IP address",
        '[process] port: 70000 is not between 0 and 65535',
        '[process] port: duplicate (line 8)',
        "[process] control: 'example.org' is not a numeric IP address",
        '[process] colour: unknown key',
        '[process] zone: is missing',
        "[entry] drain_timeout_s: '30s' has a unit 's'; expected a plain "
        'number of seconds, such as 30',
        '[entry]: duplicate (line 13)',
        '[other]: unknown section',
    ]:
        assert f'settings.ini: {expected}' in message


@pytest.mark.parametrize(
    ('load', 'text', 'old', 'new', 'expected'),
    [
        (0, ENTRY, '7001', '7001.5', 'not a whole number'),
        (0, ENTRY, '7001', '٧٠٠١', 'not a plain number'),
        (0, ENTRY, 'host = 127.0.0.1', 'host = 0.0.0.0', 'peers can connect'),
        (0, ENTRY, 'c2@', 'c1@', 'share an id or an address'),
        (0, ENTRY, '7102', '7101', 'share an id or an address'),
        (0, ENTRY, 'c2@', '', 'id@host:port'),
        (0, ENTRY, 'zone', 'Zone', 'unknown key'),
        (1, AGENT, 'http://127.0.0.1', 'http://host', 'numeric IP'),
        (1, AGENT, '= stage', '= head', 'known: plain, stage'),
        (2, CONTROL, 'c1,c2,c3', 'c1,c2', 'expected 3 or 5'),
        (2, CONTROL, 'c1,c2,c3', 'c1,c2,c9', "'c9' is not an instance"),
        (2, CONTROL, 'c1,c2,c3', 'c1,c1,c2', 'listed twice'),
        (2, CONTROL, 'c1,c2,c3', 'c1,c2,c3@127.0.0.1:7', 'another addr'),
        (2, CONTROL, 'c1,c2,c3', 'c1,c2,c1@127.0.0.1:7101', 'listed twice'),
        (2, CONTROL, '= 5', '= nan', 'not a plain number'),
    ],
)
def test_invalid_value_is_refused(tmp_path, load, text, old, new, expected):
    """An invalid value that is accepted shows up only in operation."""
    changed = text.replace(old, new, 1)
    assert changed != text
    assert expected in error_text(LOADERS[load], tmp_path, changed)


def test_unreadable_files_are_settings_errors(tmp_path):
    """A missing or binary file must not cause a traceback."""
    with pytest.raises(errors.SettingsError, match='cannot be read'):
        daemon.load_entry(tmp_path / 'absent.ini')
    with pytest.raises(errors.SettingsError, match='cannot be read'):
        daemon.load_entry(tmp_path)
    (tmp_path / 'binary.ini').write_bytes(b'\xff\xfe[process]')
    with pytest.raises(errors.SettingsError, match='not UTF-8'):
        daemon.load_entry(tmp_path / 'binary.ini')


ini_lines = strategies.lists(
    strategies.one_of(
        strategies.text(max_size=30),
        strategies.sampled_from(CONTROL.split('\n') + AGENT.split('\n')),
    ),
    max_size=25,
)


@hypothesis.settings(
    max_examples=300,
    derandomize=True,
    deadline=None,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
@hypothesis.given(ini_lines, strategies.sampled_from(LOADERS))
def test_arbitrary_text_gives_settings_or_settings_error(
    tmp_path, lines, load
):
    """Any other exception would hide which file is at fault."""
    path = tmp_path / 'settings.ini'
    text = '\n'.join(lines)
    path.write_bytes(text.encode('utf-8', errors='surrogatepass'))
    try:
        load(path)
    except errors.SettingsError as error:
        assert 'settings.ini' in str(error)
