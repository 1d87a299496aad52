"""Guard the servers that a node remembers over a restart."""

import asyncio

import attrs
import pytest

from pimentowalk.core import identifiers
from pimentowalk.core import timers as core_timers
from pimentowalk.membership import backends as membership
from pimentowalk.mesh import view_file
from pimentowalk.topology import backends
from tools.tests import waiting

PERIOD_S = 1.2
SERVER = backends.Backend(
    'i-1', 100, 5, 'svc', '10.0.0.1', 80, 'z1', first_layer=0, end_layer=8
)


class Node:
    """A table and its file, with a clock that moves by hand."""

    def __init__(self, folder):
        self.now_s = 0.0
        self.table = membership.BackendTable(lambda: self.now_s, PERIOD_S)
        self.file = view_file.ViewFile(
            folder, self.table, core_timers.TimerService()
        )

    def usable(self):
        return [b.server_id for b in self.table.usable('svc')]


async def saved(folder, *servers):
    """Save some servers as a running node does."""
    node = Node(folder)
    for server in servers:
        node.table.apply(server)
    path = folder / view_file.FILE_NAME
    running = asyncio.ensure_future(node.file.run())
    await waiting.until(path.exists)
    running.cancel()
    return path


async def test_restarted_node_knows_servers_at_once(tmp_path):
    """After a restart of all nodes, paths must not wait for announcements."""
    other = attrs.evolve(SERVER, server_id='i-2', port=81)
    await saved(tmp_path, SERVER, other)
    again = Node(tmp_path)
    assert again.file.load() == 2
    assert sorted(again.usable()) == ['i-1', 'i-2']
    assert again.table.get('i-1').layer_count == 8


async def test_server_that_left_meanwhile_is_dropped_soon(tmp_path):
    """A server that stopped while the node was away must get no work for
    longer than a node in touch may send it any.
    """
    other = attrs.evolve(SERVER, server_id='i-2', port=81)
    await saved(tmp_path, SERVER, other)
    again = Node(tmp_path)
    again.file.load()
    again.now_s = PERIOD_S
    again.table.apply(attrs.evolve(SERVER, sequence=6))
    again.now_s = membership.COMPLETE_PERIODS * PERIOD_S + 0.1
    again.table.expire()
    assert again.usable() == ['i-1']


async def test_leaving_server_is_not_used_after_a_restart(tmp_path):
    """A drain that was acknowledged must hold over a restart."""
    await saved(
        tmp_path, attrs.evolve(SERVER, sequence=9, state=backends.DRAINING)
    )
    again = Node(tmp_path)
    again.file.load()
    assert again.usable() == []


async def test_server_that_another_node_heard_is_kept(tmp_path):
    """The age that another node knows must count for a loaded server."""
    await saved(tmp_path, SERVER)
    again = Node(tmp_path)
    again.file.load()
    again.now_s = 1.0
    again.table.apply(SERVER, 0.1)
    again.now_s = membership.COMPLETE_PERIODS * PERIOD_S + 0.1
    again.table.expire()
    assert again.usable() == ['i-1']


@pytest.mark.parametrize('cut', [0, 1, 20, 60])
async def test_damaged_file_is_not_used(tmp_path, cut):
    """A write that a power loss tore must not name servers."""
    path = await saved(tmp_path, SERVER)
    data = path.read_bytes()
    path.write_bytes(data[:cut] + b'\0' * (len(data) - cut))
    again = Node(tmp_path)
    assert again.file.load() == 0
    assert again.usable() == []


@pytest.mark.parametrize(
    'change',
    [
        lambda text: text.replace('first_layer', 'lowest_layer'),
        lambda text: text.replace('"port": 80', '"port": "http"'),
        lambda text: text.replace('[', '{"servers": [') + '}',
    ],
)
async def test_file_of_another_release_is_not_used(tmp_path, change):
    """Fields that were renamed or moved must not name other servers."""
    path = await saved(tmp_path, SERVER)
    text = change(path.read_text().partition('\n')[2])
    digest = identifiers.hash64(text.encode())
    path.write_text(f'{digest:016x}\n{text}')
    again = Node(tmp_path)
    assert again.file.load() == 0
    assert again.usable() == []


async def test_file_of_an_older_release_lacks_new_fields(tmp_path):
    """A field that was added since has its default."""
    path = await saved(tmp_path, SERVER)
    text = path.read_text().partition('\n')[2]
    text = text.replace('"warm_up_ms": 0, ', '')
    assert 'warm_up_ms' not in text
    digest = identifiers.hash64(text.encode())
    path.write_text(f'{digest:016x}\n{text}')
    assert Node(tmp_path).file.load() == 1


async def test_disk_that_refuses_writes_is_tried_again(tmp_path, monkeypatch):
    """A full disk must cost the cache only, and only for a while."""
    node = Node(tmp_path)
    node.table.apply(SERVER)
    refusals = [OSError(28, 'no space left')]
    write = node.file._write

    def refuse_once(data):
        if refusals:
            raise refusals.pop()
        write(data)

    monkeypatch.setattr(node.file, '_write', refuse_once)
    monkeypatch.setattr(view_file, 'SAVE_S', 0.02)
    running = asyncio.ensure_future(node.file.run())
    await waiting.until((tmp_path / view_file.FILE_NAME).exists)
    running.cancel()
    assert not refusals
