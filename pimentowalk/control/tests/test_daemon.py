"""Tests of whole control instances: real replicas, processes, signals."""

import asyncio
import contextlib
import signal

import attrs
import pytest

from pimentowalk.control import client
from pimentowalk.control import commands
from pimentowalk.control import daemon
from pimentowalk.control.tests import builders
from pimentowalk.control.tests import fakes
from pimentowalk.control.tests import harness
from pimentowalk.core import errors
from pimentowalk.core import timers
from pimentowalk.settings import daemon as settings_module
from pimentowalk.topology import instances
from tools import deployment

TIMEOUT_S = 20


def write_settings(folder, count, voters):
    """Return the settings of some control instances."""
    control = [
        instances.Instance(f'control-{n}', '127.0.0.1', deployment.free_port())
        for n in range(1, count + 1)
    ]
    ids = [one.instance_id for one in control[:voters]]
    operators_file = fakes.write_operators(folder)
    return [
        settings_module.ControlSettings(
            settings_module.ProcessSettings(
                one.instance_id,
                'zone-1',
                '',
                one.host,
                one.port,
                'INFO',
                control,
                0.1,
            ),
            str(folder / one.instance_id),
            ids if one.instance_id in ids else [],
            str(operators_file),
        )
        for one in control
    ]


@contextlib.asynccontextmanager
async def running(settings):
    """Run control instances in this process, and a client for them."""
    daemons = [daemon.ControlDaemon(one) for one in settings]
    for one in daemons:
        await one.start()
    try:
        async with harness.control_client(
            settings[0].process.control
        ) as caller:
            yield daemons, caller
    finally:
        for one in daemons:
            await one.stop()


async def outcome(caller, body):
    """Return the version that a publish created, or its error code."""
    try:
        result = await caller.request(body, TIMEOUT_S)
    except errors.PimentowalkError as error:
        return error.code
    return getattr(result, 'version', result)


async def test_one_of_concurrent_publishes_succeeds(tmp_path):
    """Concurrent publishes with one expected version must not both succeed."""
    settings = write_settings(tmp_path, 3, 3)
    reverse = harness.control_client(settings[0].process.control[::-1])
    async with running(settings) as (daemons, caller), reverse as second:
        for version in range(3):
            bodies = [
                builders.publish(
                    f'c{version}-{n}', version, one=builders.source(1, n + 1.0)
                )
                for n in range(8)
            ]
            outcomes = await asyncio.gather(
                *(
                    outcome((caller, second)[n % 2], body)
                    for n, body in enumerate(bodies)
                )
            )
            assert (
                sorted(map(str, outcomes))
                == [str(version + 1)] + ['conflict'] * 7
            )
            winner = bodies[outcomes.index(version + 1)]
            await harness.wait_until(
                lambda expected=version + 1: all(
                    d.state.version == expected for d in daemons
                )
            )
            accounts = daemons[2].state.part('publishing').configuration
            assert (
                accounts.accounts['acc-1']
                == (winner.sources['one'].accounts[0])
            )


async def find_leader(caller):
    """Return the id of the leader."""
    listed = await caller.request(commands.ListMembers(), TIMEOUT_S)
    return listed.leader_id


@pytest.mark.processes
async def test_publish_survives_the_kill_of_the_leader(tmp_path):
    """A publish retried at the new leader must get the first result."""
    operators_file = fakes.write_operators(tmp_path)
    with deployment.Deployment(tmp_path) as run:
        run.start_controls(['zone-1', 'zone-2', 'zone-3'], operators_file)
        body = builders.publish('c1', 0)
        async with harness.control_client(run.control_instances) as caller:
            assert not (await caller.request(body, TIMEOUT_S)).repeated
            run.processes[await find_leader(caller)].kill()
            result = await caller.request(body, TIMEOUT_S)
            assert (result.version, result.repeated) == (1, True)
            leader = run.processes[await find_leader(caller)]
            leader.signal(signal.SIGTERM)
            assert await asyncio.to_thread(leader.wait_stopped) == 0


@pytest.mark.processes
async def test_learner_joins_is_promoted_and_removed(tmp_path):
    """Operators can replace a lost instance without restarting the others."""
    with deployment.Deployment(tmp_path) as run:
        run.control = [
            (f'control-{n}', deployment.free_port()) for n in (1, 2)
        ]
        control = run.control_instances
        caller = client.ControlClient(control, token=fakes.TOKEN)
        common = ['zone-1', fakes.write_operators(tmp_path)]
        run.start_control(*run.control[0], *common, ['control-1'])
        await caller.request(builders.publish('c1', 0), TIMEOUT_S)
        run.start_control(*run.control[1], *common, [])
        add = commands.ChangeMembers('m1', 'anna', 'add_learner', control[1])
        await request_until_accepted(caller, add)
        assert (await caller.request(add, TIMEOUT_S)).repeated
        promote = attrs.evolve(add, change_id='m2', action='promote')
        await request_until_accepted(caller, promote)
        listed = await caller.request(commands.ListMembers(), TIMEOUT_S)
        assert [m.voter for m in listed.members] == [True, True]
        remove = attrs.evolve(add, change_id='m3', action='remove')
        await caller.request(remove, TIMEOUT_S)
        audit = await caller.request(commands.ReadAudit(), TIMEOUT_S)
        change_ids = [record.change_id for record in audit.records]
        assert change_ids == ['c1', 'm1', 'm2', 'm3']
        await caller.close()


async def request_until_accepted(caller, body):
    """Retry a change while the learner starts or lags."""
    code = 'conflict'
    async with asyncio.timeout(TIMEOUT_S):
        while code in ('conflict', 'peer_lost'):
            code = await outcome(caller, body)
            await timers.TimerService().sleep(0.1)


async def test_wrong_settings_are_reported_in_one_line(tmp_path, capsys):
    """An operator should see the error, not a traceback."""
    assert daemon.start(str(tmp_path / 'missing.ini')) == 2
    assert 'bad_settings' in capsys.readouterr().err
