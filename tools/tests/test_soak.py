"""A short seeded soak, and proofs that its checks find what they are for."""

import asyncio
import random
import sys
import types

import pytest

from pimentowalk.platform.tests import recording
from tools.soak import checks
from tools.soak import faults
from tools.soak import processes
from tools.soak import run
from tools.soak import world
from tools.tests import waiting

# Covers kills, pauses, lost disks and link faults within the short run.
SEED = 2
FAULTS_S = 8.0
# Every other seed that ever broke a promise; see docs/soak.md for causes.
REGRESSION_SEEDS = (202, 204, 307, 6001, 6009)
# Covers servers that leave by a header and servers that ask for pauses.
NOTICE_SEED = 8100
# Seeds that broke a promise with all faults.
LATER_REGRESSION_SEEDS = (9122, 53014, 55027)


def outcome(kind='booking', **fields):
    """Return an answer as a caller sees it."""
    defaults = {
        'request_id': 'r1',
        'gateway': '1',
        'key': 'k1',
        'sent_s': 100.0,
        'status': 200,
        'text': 'done r1 ',
        'seal': 'seal-r1',
        'is_complete': True,
    }
    return checks.Outcome(kind=kind, **(defaults | fields))


def server(lost=None, **runs):
    """Return a server that ran requests so often, some while cut off."""
    return types.SimpleNamespace(
        runs=checks.collections.Counter(runs),
        lost_runs=checks.collections.Counter(lost),
        bad_paths=[],
    )


def events(count, request_id='r1'):
    """Return the data of the first events of a stream."""
    return [f'{request_id}/{number}' for number in range(1, count + 1)]


@pytest.mark.processes
@pytest.mark.parametrize(
    ('seed', 'names'),
    [
        (SEED, faults.EARLIER_FAULTS),
        *((seed, faults.EARLIER_FAULTS) for seed in REGRESSION_SEEDS),
        (NOTICE_SEED, None),
        *((seed, None) for seed in LATER_REGRESSION_SEEDS),
    ],
)
async def test_promises_hold_while_faults_overlap(tmp_path, seed, names):
    """Kills, pauses, lost disks and bad links must break no promise."""
    result = await run.run_seed(seed, FAULTS_S, tmp_path, fault_names=names)
    assert result['violations'] == []
    assert result['faults']
    assert result['counts']['stream_200'] > 0


@pytest.mark.parametrize(
    ('answer', 'promise'),
    [
        (outcome(text='done r2 '), 'mixed'),
        (outcome(seal='seal-r2'), 'mixed'),
        (outcome('stream', events=['r1/1', 'r1/3']), 'order'),
        (outcome('stream', events=['r1/1', 'r1/1']), 'order'),
        (outcome('stream', events=['r2/1']), 'order'),
        (outcome('stream', events=events(3)), 'order'),
    ],
)
def test_wrong_answer_is_found(answer, promise):
    """A mixed, reordered or shortened answer must not pass."""
    found = checks.Checks()
    found.of_answer(answer, most_events=4)
    assert [v.partition(':')[0] for v in found.violations][:1] == [promise]


def test_cut_stream_is_allowed():
    """A stream that ends with its connection does not look complete."""
    found = checks.Checks()
    cut = outcome('stream', events=events(3), is_complete=False)
    found.of_answer(cut, most_events=4)
    assert found.violations == []


@pytest.mark.parametrize(
    ('answer', 'runs', 'promise'),
    [
        (outcome(), {'r1': 2}, 'twice'),
        (outcome(status=503), {'r1': 1}, 'refused'),
        (outcome('stream'), {'r1': 3}, 'attempts'),
        (outcome(), {'r1': 1, 'r9': 1}, 'unasked'),
    ],
)
def test_wrong_run_is_found(answer, runs, promise):
    """What servers ran must fit what callers were told."""
    found = checks.Checks()
    found.of_runs([answer], [server(**runs)])
    assert [v.partition(':')[0] for v in found.violations] == [promise]


@pytest.mark.parametrize(('lost', 'is_allowed'), [(1, True), (0, False)])
def test_runs_of_lost_servers_take_no_attempt(lost, is_allowed):
    """A third run is allowed only if a server was cut off or ended."""
    found = checks.Checks()
    servers = [server(r1=2), server(lost={'r1': lost}, r1=1)]
    found.of_runs([outcome('stream')], servers)
    assert (found.violations == []) is is_allowed


async def test_runs_at_a_cut_server_are_noted():
    """A cut covers the runs in progress and those that begin in it."""
    cut = recording.RecordingServer(1, 'model')
    cut.relay = types.SimpleNamespace(
        cut=lambda *_: None, heal=lambda: None, reset=lambda: None
    )
    for request_id, change in [('r1', cut.cut), ('r2', None)]:
        cut._note_run(request_id)
        if change:
            change()
    cut.heal()
    cut._note_run('r3')
    assert dict(cut.lost_runs) == {'r1': 1, 'r2': 1}
    cut.crash()
    assert dict(cut.lost_runs) == {'r1': 1, 'r2': 1, 'r3': 1}


def test_reverted_configuration_is_found():
    """An acknowledged version must not be followed by an older one."""
    found = checks.Checks()
    found.of_read(200, 4, 4)
    found.of_read(503, 0, 4)
    assert found.violations == []
    found.of_read(200, 3, 4)
    assert found.violations


def test_revoked_key_is_found():
    """A key must not serve any more when the bound has passed."""
    found = checks.Checks()
    found.of_revoked(outcome(sent_s=104.0), [server(r1=1)], 5.0, 100.0)
    assert found.violations == []
    found.of_revoked(outcome(sent_s=106.0), [server(r1=1)], 5.0, 100.0)
    assert found.violations


async def test_second_disk_is_lost_only_after_the_first_has_caught_up(
    monkeypatch, tmp_path
):
    """Two of three voters lost their records within 2.8 s."""
    now_s = 0.0
    monkeypatch.setattr(world.time, 'monotonic', lambda: now_s)
    deployment = world.World(tmp_path, random.Random(0))
    # All gateways are up and answer.
    deployment.gateways = []
    assert await deployment.may_lose_a_disk()
    deployment.record_empty_disk()
    now_s = 3.9
    assert not await deployment.may_lose_a_disk()
    now_s = 4.1
    assert await deployment.may_lose_a_disk()


STOPPING_PROGRAM = """
import signal, sys, time
signal.signal(signal.SIGTERM, lambda *_: (time.sleep({delay_s}), sys.exit(0)))
print('up', flush=True)
time.sleep(60)
"""


@pytest.mark.processes
@pytest.mark.parametrize(
    ('delay_s', 'pause_s', 'code'), [(0.2, 1.5, 0), (30.0, 0.0, None)]
)
async def test_limit_of_a_stop_does_not_count_a_freeze(
    monkeypatch, tmp_path, delay_s, pause_s, code
):
    """A gateway that was frozen for 7 s of its stop was called too slow."""
    monkeypatch.setattr(processes, 'STOP_LIMIT_S', 1.0)
    gateway = processes.GatewayProcess('127.0.0.1', '0', [], tmp_path, 0, [])
    gateway.process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-c',
        STOPPING_PROGRAM.format(delay_s=delay_s),
        stdout=asyncio.subprocess.PIPE,
    )
    await gateway.process.stdout.readline()
    stopping = asyncio.ensure_future(gateway.stop())
    await asyncio.sleep(0.05)
    if pause_s:
        gateway.pause()
        await asyncio.sleep(pause_s)
        gateway.resume()
    assert await stopping == code


@pytest.mark.processes
async def test_new_process_does_not_hide_that_the_last_was_stopped(
    monkeypatch, tmp_path
):
    """A gateway that was stopped and started again was reported as crashed."""
    program = STOPPING_PROGRAM.format(delay_s=0.0)
    monkeypatch.setattr(processes, 'PROGRAM', ('-c', program))
    # A poll finds the end before the task that waits for it is woken.
    monkeypatch.setattr(processes, 'STOP_POLL_S', 0.0)
    ports = processes.free_ports(4)
    gateway = processes.GatewayProcess(
        '127.0.0.1', '0', ports, tmp_path, False, []
    )
    output = tmp_path / '0.log'
    for starts in range(1, 4):
        await gateway.start()
        await waiting.until(
            lambda count=starts: output.read_text().count('up') == count
        )
        assert await gateway.stop() == 0
    await gateway.start()
    await gateway.kill()
    await gateway.watcher
    assert gateway.ended == []


@pytest.mark.processes
async def test_crash_of_a_gateway_is_found(monkeypatch, tmp_path):
    """A process that nobody told to end must be reported with its code."""
    monkeypatch.setattr(processes, 'PROGRAM', ('-c', 'raise SystemExit(3)'))
    ports = processes.free_ports(4)
    gateway = processes.GatewayProcess(
        '127.0.0.1', '0', ports, tmp_path, False, []
    )
    await asyncio.gather(gateway.start(), gateway.start())
    await gateway.watcher
    assert gateway.ended == [3]
    assert gateway.starts == 1


@pytest.mark.processes
async def test_kill_during_a_start_ends_the_new_process(monkeypatch, tmp_path):
    """A fault killed nothing, and removed the files of a process that ran."""
    program = STOPPING_PROGRAM.format(delay_s=0.0)
    monkeypatch.setattr(processes, 'PROGRAM', ('-c', program))
    gateway = processes.GatewayProcess(
        '127.0.0.1', '0', processes.free_ports(4), tmp_path, False, []
    )
    starting = asyncio.ensure_future(gateway.start())
    await asyncio.sleep(0)
    await gateway.kill()
    await starting
    try:
        assert not gateway.runs
    finally:
        await gateway.kill()
