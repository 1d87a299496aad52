"""Test the operator commands and their exit statuses."""

import asyncio
import contextlib
import json
import pathlib
import re
import threading

import pytest

from pimentowalk.cli import main
from pimentowalk.cli import operator_file
from pimentowalk.cli import remote
from pimentowalk.cli.tests import fake_control
from pimentowalk.control.tests import fakes
from pimentowalk.core import errors
from pimentowalk.settings import published
from pimentowalk.topology import contracts
from pimentowalk.topology import instances
from pimentowalk.wire import connection
from pimentowalk.wire import messages

OPERATOR = (
    '[operator]\nname = kari\ntoken = secret-1\ncontrol = c1@127.0.0.1:7101\n'
)
VALID = (
    '[service verkstad]\nkind = plain\n'
    '[route verkstad]\nservice = verkstad\npath_prefix = /bookings\n'
    f'[account voss]\nkey_sha256 = {"0" * 64}\n'
)


@pytest.fixture
def control(monkeypatch, tmp_path):
    fake = fake_control.FakeControl()
    monkeypatch.setattr(remote, 'new_client', fake.connect)
    path = tmp_path / 'operator.ini'
    path.write_text(OPERATOR)
    path.chmod(0o600)
    monkeypatch.setenv(operator_file.VARIABLE, str(path))
    return fake


@pytest.fixture
def files(tmp_path):
    folder = tmp_path / 'hjulverk'
    folder.mkdir()
    (folder / 'verkstad.ini').write_text(VALID)
    return folder


def run_json(capsys, *argv):
    capsys.readouterr()
    status = main.run([*map(str, argv), '--json'])
    return status, json.loads(capsys.readouterr().out)


def test_every_command_has_help(capsys):
    """Every command and option must be explained by --help."""
    commands = []
    for name, entry in main.COMMANDS.items():
        subcommands = entry if isinstance(entry, dict) else [None]
        commands += [[name, sub] if sub else [name] for sub in subcommands]
    for command in [[], *commands]:
        with pytest.raises(SystemExit) as caught:
            main.run([*command, '--help'])
        assert caught.value.code == 0
        shown = capsys.readouterr()
        assert shown.err == ''
        assert not command or '--operator-file' in shown.out
    with pytest.raises(SystemExit) as caught:
        main.run(['publish', '--no-such-option'])
    assert caught.value.code == main.ExitStatus.BAD_INPUT


def test_publish_sends_one_change_from_the_version_in_force(
    control, files, capsys
):
    """A publish in parts could leave half of a change in effect."""
    status, shown = run_json(capsys, 'publish', files)
    assert status == 0
    [command] = control.sent('Publish')
    assert (command.author, command.expected_version) == ('kari', 4)
    assert [a.name for a in command.sources['hjulverk'].accounts] == ['voss']
    assert shown['change_id'] == command.change_id
    assert shown['result']['version'] == 5
    assert control.operator.token == 'secret-1'


@pytest.mark.parametrize('command', ['check', 'publish'])
def test_problems_are_all_printed_and_nothing_is_published(
    control, files, tmp_path, capsys, command
):
    """A folder with problems must not take effect in part."""
    (files / 'bad.ini').write_text('[route x]\nservice = y\ntimeout_s = 3s\n')
    missing = tmp_path / 'missing'
    assert main.run([command, str(files), str(missing)]) == 2
    shown = capsys.readouterr().err
    for expected in [
        "bad.ini: [route x] timeout_s: '3s' has a unit",
        'bad.ini: [route x] path_prefix: is missing',
        f'{missing}: cannot be read',
    ]:
        assert expected in shown
    status, shown = run_json(capsys, command, files, missing)
    assert status == 2
    assert {'file', 'section', 'key', 'reason'} == set(shown['problems'][0])
    assert len(shown['problems']) == 3
    assert control.sent('Publish') == []


def test_publish_is_checked_against_other_sources(control, files, capsys):
    """A path of another source must be refused before it is sent."""
    other = published.Source(
        routes=[contracts.Route('old', 'verkstad', '/bookings')]
    )
    control.sources = {'other': other}
    assert main.run(['publish', str(files)]) == 2
    assert 'published source other' in capsys.readouterr().err
    assert main.run(['check', str(files)]) == 0
    assert main.run(['check', str(files), '--online']) == 2


def test_online_check_is_a_dry_run(control, files):
    """A check must not change the configuration."""
    assert main.run(['check', str(files), '--online']) == 0
    assert [command.dry_run for command in control.sent('Publish')] == [True]


def test_problems_are_reported_when_control_does_not_answer(
    control, files, capsys
):
    """Problems of the files must be reported without control."""
    control.failures['ReadConfiguration'] = errors.NoQuorum('no leader')
    assert main.run(['publish', str(files)]) == 1
    assert 'no_quorum' in capsys.readouterr().err
    (files / 'bad.ini').write_text('[route x]\nservice = y\n')
    assert main.run(['publish', str(files)]) == 2


def test_conflict_is_refused_and_unknown_outcome_is_repeatable(
    control, files, capsys
):
    """A repeat with a new id could undo a later change by someone else."""
    control.failures['Publish'] = errors.Conflict('version 5 is accepted')
    assert main.run(['publish', str(files)]) == 1
    assert 'version 5 is accepted' in capsys.readouterr().err
    control.failures['Publish'] = errors.OutcomeUnknown('no reply')
    assert main.run(['publish', str(files)]) == 3
    shown = capsys.readouterr().err
    change_id = control.sent('Publish')[-1].change_id
    options = ['--change-id', change_id, '--expected-version', '4']
    assert ' '.join(options) in shown
    del control.failures['Publish']
    control.version = 9
    assert main.run(['publish', str(files), *options]) == 0
    repeated = control.sent('Publish')[-1]
    assert (repeated.change_id, repeated.expected_version) == (change_id, 4)


def test_unanswered_change_has_an_unknown_outcome(control, files, capsys):
    """A change reported as failed would be repeated as a new change."""
    control.silent = {'Publish', 'ReadStatus'}
    options = ['--timeout-s', '0.01']
    assert main.run(['publish', str(files), *options]) == 3
    assert '--change-id' in capsys.readouterr().err
    assert main.run(['status', *options]) == 1


@pytest.mark.parametrize(
    ('change', 'reason'),
    [
        (lambda path: path.chmod(0o640), 'unreadable for others'),
        (lambda path: path.unlink(), 'cannot be read'),
        (lambda path: path.write_text('[x]\n'), 'unknown section'),
        (
            lambda path: path.write_text(OPERATOR.replace('kari', '-')),
            'is not a name',
        ),
        (
            lambda path: path.write_text(OPERATOR.replace('secret-1', 'sø')),
            'is not a token',
        ),
    ],
)
def test_a_bad_operator_file_is_refused(
    control, tmp_path, capsys, change, reason
):
    """Anyone who can read the token can publish."""
    change(tmp_path / 'operator.ini')
    assert main.run(['status']) == 2
    shown = capsys.readouterr().err
    assert reason in shown
    assert 'secret' not in shown
    assert control.requests == []


def test_the_operator_file_is_required(control, monkeypatch, capsys):
    """The error must say how to name an operator file."""
    monkeypatch.delenv(operator_file.VARIABLE)
    assert main.run(['audit']) == 2
    assert operator_file.VARIABLE in capsys.readouterr().err


def test_tables_and_json_show_the_same(control, capsys):
    """Tables and JSON must not disagree on the state."""
    control.accounts = {'voss': contracts.ClientAccount('voss', '0' * 64)}
    control.announce(1, zone='Voss')
    for command, expected in [
        (['status'], 'agent-2'),
        (['status', '--behind'], 'agent-1'),
        (['audit', '--after-index', '7'], 'service/skrivar'),
        (['accounts'], 'voss'),
        (['servers'], 'agent-1'),
        (['members', 'list'], 'c2'),
        (['quarantine', 'list'], '00000000000000ab'),
    ]:
        assert main.run(command) == 0
        assert expected in capsys.readouterr().out
        status, shown = run_json(capsys, *command)
        assert status == 0
        assert expected in json.dumps(shown)
    assert control.sent('ReadAudit')[0].after_index == 7
    _, shown = run_json(capsys, 'status', '--behind')
    assert [node['node_id'] for node in shown['nodes']] == ['agent-1']
    _, shown = run_json(capsys, 'servers', '--service', 'verkstad')
    assert shown == {'answered_by': 'c2', 'servers': []}
    _, shown = run_json(capsys, 'servers')
    assert shown['servers'][0]['silent_s'] == 0.1


@pytest.mark.parametrize(
    ('argv', 'action', 'instance'),
    [
        (
            ['add-learner', 'c3@127.0.0.1:7103'],
            'add_learner',
            instances.Instance('c3', '127.0.0.1', 7103),
        ),
        (['promote', 'c2'], 'promote', fake_control.CONTROL_2),
        (['remove', 'c9'], 'remove', instances.Instance('c9', '', 0)),
    ],
)
def test_member_commands_change_the_given_member(
    control, argv, action, instance
):
    """A change to the wrong member could lose the quorum."""
    assert main.run(['members', *argv, '--change-id', 'x1']) == 0
    [command] = control.sent('ChangeMembers')
    assert (command.action, command.instance) == (action, instance)
    assert (command.author, command.change_id) == ('kari', 'x1')


def test_quarantine_is_cleared_by_the_listed_fingerprint(control, capsys):
    """The fingerprint as listed must be accepted by `clear`."""
    _, shown = run_json(capsys, 'quarantine', 'list')
    fingerprint = shown['requests'][0]['fingerprint']
    assert main.run(['quarantine', 'clear', fingerprint]) == 0
    assert control.sent('ClearQuarantine')[0].fingerprint == 0xAB
    assert main.run(['quarantine', 'clear', 'xyz']) == 2
    assert main.run(['members', 'add-learner', 'c3@host:1']) == 2


@contextlib.contextmanager
def run_server(server):
    """Run a server on an event loop in a thread within the block."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()

    def call(coroutine):
        future = asyncio.run_coroutine_threadsafe(coroutine, loop)
        return future.result(10)

    call(server.start())
    try:
        yield server.port
    finally:
        call(server.stop())
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.close()


class FakeAgent:
    """Record orders and answer them with a fixed reply.

    Without a reply the connection is aborted.
    """

    def __init__(self, node_id, reply):
        self.orders = []
        self._reply = reply
        self.server = connection.PeerServer(
            '127.0.0.1', 0, messages.Hello(node_id, 'agent', 1), self._accept
        )

    def _accept(self, peer):
        peer.on_frame = self._on_frame

    async def _on_frame(self, peer, envelope):
        self.orders.append(envelope.body)
        if self._reply is None:
            peer.abort()
        else:
            await peer.reply(envelope, self._reply)


ACCEPTED = messages.OrderReply(True)
STALE = messages.OrderReply(False, 'stale_fence', 'not higher than 20', 20)


@pytest.mark.parametrize(
    ('node_id', 'reply', 'status'),
    [
        ('agent-1', ACCEPTED, 0),
        ('agent-1', STALE, 1),
        ('agent-1', None, 3),
        ('agent-9', ACCEPTED, 1),
    ],
)
def test_drain_sends_an_order_with_a_fencing_number(
    control, capsys, node_id, reply, status
):
    """Orders need a fencing number and must reach the named server only."""
    agent = FakeAgent(node_id, reply)
    with run_server(agent.server) as port:
        control.announce(port)
        assert main.run(['drain', 'agent-1']) == status
    expected = [messages.Order(17, 'drain', b'{}')]
    assert agent.orders == (expected if node_id == 'agent-1' else [])
    change_id = control.sent('IssueFence')[0].change_id
    assert (status == 3) == (change_id in capsys.readouterr().err)


def test_orders_that_cannot_be_sent_are_refused(control, capsys):
    """The operator must learn that no order was sent."""
    argv = ['order', 'agent-1', 'load_version', '--arguments']
    assert main.run([*argv, '[1]']) == 2
    assert main.run([*argv, '{"version": "2"}']) == 1
    assert control.sent('IssueFence') == []
    control.announce(1)
    assert main.run([*argv, '{"version": "2"}']) == 1
    assert 'peer_lost' in capsys.readouterr().err
    assert control.sent('IssueFence')[0].arguments == '{"version": "2"}'
    control.failures['IssueFence'] = errors.OutcomeUnknown('no reply')
    assert main.run([*argv, '{}']) == 1
    assert 'no order was sent' in capsys.readouterr().err


def test_commands_work_against_a_control_server(
    tmp_path, files, monkeypatch, capsys
):
    """The command line and the control server must use the same formats."""
    instance = fakes.ControlInstance()
    path = tmp_path / 'operator.ini'
    monkeypatch.setenv(operator_file.VARIABLE, str(path))
    with run_server(instance.server) as port:
        path.write_text(
            f'[operator]\nname = anna\ntoken = {fakes.TOKEN}\n'
            f'control = control-1@127.0.0.1:{port}\n'
        )
        path.chmod(0o600)
        assert main.run(['publish', str(files), '--change-id', 'x1']) == 0
        repeat = ['publish', str(files), '--expected-version', '0']
        assert main.run([*repeat, '--change-id', 'x1']) == 0
        assert 'version 1 accepted (accepted before)' in (
            capsys.readouterr().out
        )
        assert main.run(repeat) == 1
        assert 'conflict' in capsys.readouterr().err
        assert main.run(['check', str(files), '--online']) == 0
        _, shown = run_json(capsys, 'accounts')
        assert [account['name'] for account in shown['accounts']] == ['voss']
        for command in (['status'], ['servers'], ['members', 'list']):
            assert main.run(command) == 0
        assert main.run(['drain', 'agent-1']) == 1
        _, shown = run_json(capsys, 'audit')
        assert [r['author'] for r in shown['records']] == ['anna']
        path.write_text(path.read_text().replace(fakes.TOKEN, 'other'))
        assert main.run(repeat) == 1
        assert 'unauthorized' in capsys.readouterr().err


def test_documented_exit_statuses_match_the_code():
    """Scripts rely on the exit statuses that the page documents."""
    page = pathlib.Path(__file__).parents[3] / 'docs' / 'operators.md'
    table = page.read_text().split('| status | meaning |')[1]
    documented = [
        int(number) for number in re.findall(r'^\| (\d) \|', table, re.M)
    ]
    assert documented == [status.value for status in main.ExitStatus]
    for status in main.ExitStatus:
        assert f'{status.value} ' in main.DESCRIPTION
