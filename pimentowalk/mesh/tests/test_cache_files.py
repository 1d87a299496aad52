"""Test that a node restores its servers after a restart."""

import asyncio
import os

import attrs
import pytest

from pimentowalk.admission import crashes
from pimentowalk.core import identifiers
from pimentowalk.core import timers as core_timers
from pimentowalk.membership import backends as membership
from pimentowalk.mesh import cache_files
from pimentowalk.topology import backends
from pimentowalk.wire import node_messages
from tools.tests import waiting

PERIOD_S = 1.2
SERVER = backends.Backend(
    'i-1', 100, 5, 'svc', '10.0.0.1', 80, 'z1', first_layer=0, end_layer=8
)


class FakeNode:
    """A table and its file, with a manual clock."""

    def __init__(self, folder):
        self.now_s = 0.0
        self.table = membership.BackendTable(lambda: self.now_s, PERIOD_S)
        self.file = cache_files.ViewFile(
            folder, self.table, core_timers.TimerService()
        )

    def usable(self):
        return [b.server_id for b in self.table.usable('svc')]


async def save_servers(folder, *servers):
    """Save some servers as a running node does."""
    node = FakeNode(folder)
    for server in servers:
        node.table.apply(server)
    path = folder / cache_files.ViewFile.name
    running = asyncio.ensure_future(node.file.run())
    await waiting.until(path.exists)
    running.cancel()
    return path


async def test_restarted_node_knows_servers_at_once(tmp_path):
    """After a restart of all nodes, calls must not wait for announcements."""
    other = attrs.evolve(SERVER, server_id='i-2', port=81)
    await save_servers(tmp_path, SERVER, other)
    restarted = FakeNode(tmp_path)
    assert restarted.file.load() == 2
    assert sorted(restarted.usable()) == ['i-1', 'i-2']
    assert restarted.table.get('i-1').layer_count == 8


async def test_server_that_left_meanwhile_expires_soon(tmp_path):
    """A restarted node must not use a server that stopped in the meantime
    for longer than a node that kept running would.
    """
    other = attrs.evolve(SERVER, server_id='i-2', port=81)
    await save_servers(tmp_path, SERVER, other)
    restarted = FakeNode(tmp_path)
    restarted.file.load()
    restarted.now_s = PERIOD_S
    restarted.table.apply(attrs.evolve(SERVER, sequence=6))
    restarted.now_s = membership.COMPLETE_PERIODS * PERIOD_S + 0.1
    restarted.table.expire()
    assert restarted.usable() == ['i-1']


async def test_draining_server_is_not_used_after_a_restart(tmp_path):
    """An acknowledged drain must survive a restart."""
    await save_servers(
        tmp_path, attrs.evolve(SERVER, sequence=9, state=backends.DRAINING)
    )
    restarted = FakeNode(tmp_path)
    restarted.file.load()
    assert restarted.usable() == []


async def test_server_that_another_node_heard_is_kept(tmp_path):
    """An age reported by another node must update a loaded server."""
    await save_servers(tmp_path, SERVER)
    restarted = FakeNode(tmp_path)
    restarted.file.load()
    restarted.now_s = 1.0
    restarted.table.apply(SERVER, 0.1)
    restarted.now_s = membership.COMPLETE_PERIODS * PERIOD_S + 0.1
    restarted.table.expire()
    assert restarted.usable() == ['i-1']


@pytest.mark.parametrize('intact_bytes', [0, 1, 20, 60])
async def test_damaged_file_is_not_used(tmp_path, intact_bytes):
    """A write torn by a power loss must not add servers."""
    path = await save_servers(tmp_path, SERVER)
    data = path.read_bytes()
    path.write_bytes(data[:intact_bytes] + b'\0' * (len(data) - intact_bytes))
    restarted = FakeNode(tmp_path)
    assert restarted.file.load() == 0
    assert restarted.usable() == []


@pytest.mark.parametrize(
    'change',
    [
        lambda text: text.replace('first_layer', 'lowest_layer'),
        lambda text: text.replace('"port": 80', '"port": "http"'),
        lambda text: text.replace('[', '{"servers": [') + '}',
    ],
)
async def test_file_of_another_release_is_not_used(tmp_path, change):
    """Renamed or moved fields must not add wrong servers."""
    path = await save_servers(tmp_path, SERVER)
    text = change(path.read_text().partition('\n')[2])
    digest = identifiers.hash64(text.encode())
    path.write_text(f'{digest:016x}\n{text}')
    restarted = FakeNode(tmp_path)
    assert restarted.file.load() == 0
    assert restarted.usable() == []


async def test_missing_fields_of_an_older_release_get_defaults(tmp_path):
    """A file of an older release lacks fields that were added later."""
    path = await save_servers(tmp_path, SERVER)
    text = path.read_text().partition('\n')[2]
    text = text.replace('"warm_up_ms": 0, ', '')
    assert 'warm_up_ms' not in text
    digest = identifiers.hash64(text.encode())
    path.write_text(f'{digest:016x}\n{text}')
    assert FakeNode(tmp_path).file.load() == 1


async def test_failed_write_is_retried(tmp_path, monkeypatch):
    """A full disk must not stop the node or disable the cache for good."""
    node = FakeNode(tmp_path)
    node.table.apply(SERVER)
    failures = [OSError(28, 'no space left')]
    write = node.file._write

    def fail_once(data):
        if failures:
            raise failures.pop()
        write(data)

    monkeypatch.setattr(node.file, '_write', fail_once)
    monkeypatch.setattr(cache_files, 'SAVE_INTERVAL_S', 0.02)
    running = asyncio.ensure_future(node.file.run())
    await waiting.until((tmp_path / cache_files.ViewFile.name).exists)
    running.cancel()
    assert not failures


async def test_folder_is_synced_after_the_rename(tmp_path, monkeypatch):
    """DRAIN: a loss of power undid the rename, and departures were lost."""
    node = FakeNode(tmp_path)
    path = tmp_path / cache_files.ViewFile.name
    synced = []

    def record_sync(fd):
        synced.append((os.readlink(f'/proc/self/fd/{fd}'), path.exists()))

    monkeypatch.setattr(os, 'fsync', record_sync)
    node.file._write(b'')
    assert synced[-1] == (str(tmp_path), True)


async def test_restarted_nodes_still_know_which_part_crashes_servers(
    tmp_path,
):
    """BUDGET: all processes are killed while deadly requests still come."""
    now = [0.0]
    timers = core_timers.TimerService()
    trackers = [crashes.CrashTracker(lambda: now[0]) for _ in range(2)]
    files = [
        cache_files.CrashFile(tmp_path, tracker, timers)
        for tracker in trackers
    ]
    running = asyncio.ensure_future(files[0].run())
    for number in range(crashes.MIN_CRASHES):
        now[0] += 1.0
        trackers[0].record(node_messages.CrashNote(0, f's{number}', 1, 0, [7]))
    path = tmp_path / cache_files.CrashFile.name
    await waiting.until(path.exists)
    running.cancel()
    assert files[1].load() == crashes.MIN_CRASHES
    now[0] += 2 * crashes.JUDGED_AFTER_S
    assert trackers[1].barred([7]) is not None


@pytest.mark.parametrize('content', [b'', b'x', b'0' * 16 + b'\n{}'])
async def test_damaged_file_of_crashes_is_not_used(tmp_path, content):
    """A torn write must not keep the node from starting."""
    tracker = crashes.CrashTracker(lambda: 0.0)
    (tmp_path / cache_files.CrashFile.name).write_bytes(content)
    file = cache_files.CrashFile(tmp_path, tracker, core_timers.TimerService())
    assert file.load() == 0
