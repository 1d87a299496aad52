"""Test the startup of a gateway process up to its first connection."""

import contextlib
import pathlib
import signal
import socket
import subprocess
import sys
import types

import pytest

from pimentowalk.core import sockets
from pimentowalk.platform import daemon
from pimentowalk.platform import program
from pimentowalk.platform.tests import conftest
from pimentowalk.settings import gateway as gateway_settings
from tools.tests import waiting

SETTINGS = """
[gateway]
node_id = 127.0.0.1
name = edge-1
zone = z1
host = 127.0.0.1
peer_port = {peer}
front = 127.0.0.1:{front}
ready = 127.0.0.1:{ready}
control = 127.0.0.1:{control}
seeds = 127.0.0.1:{control}
"""


def free_ports(count):
    """Return unused ports."""
    listeners = [socket.create_server(('127.0.0.1', 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in listeners]
    for sock in listeners:
        sock.close()
    return ports


def settings_file(folder):
    """Write a settings file; return its path and front port."""
    peer, front, ready, control = free_ports(4)
    path = folder / 'gateway.ini'
    path.write_text(
        SETTINGS.format(peer=peer, front=front, ready=ready, control=control)
    )
    return path, front


def test_heavy_come_after_the_sockets_are_open():
    """Imports take most of the startup; connections must not be refused."""
    code = (
        'import sys, pimentowalk.platform.program;'
        'heavy = {"aiohttp", "capnp", "docutils", "cattrs"};'
        'print(sorted(heavy & set(sys.modules)))'
    )
    completed = subprocess.run(
        [sys.executable, '-c', code],
        capture_output=True,
        text=True,
        check=True,
    )
    assert completed.stdout.strip() == '[]'


def test_signals_are_handled_before_the_imports():
    """A signal in the time of the imports would end the process."""
    code = (
        'import sys, pimentowalk.platform.__main__;'
        'early = {"asyncio", "attr", "configparser", "logging"};'
        'print(sorted(early & set(sys.modules)))'
    )
    completed = subprocess.run(
        [sys.executable, '-S', '-c', code],
        capture_output=True,
        text=True,
        check=True,
        cwd=pathlib.Path(__file__).parents[3],
    )
    assert completed.stdout.strip() == '[]'


def test_callers_can_connect_before_the_gateway_runs(tmp_path, monkeypatch):
    """Connections during startup must wait in the backlog."""
    path, front = settings_file(tmp_path)
    received = []

    async def serve(settings_path, sections, listeners):
        assert settings_path == str(path)
        caller = socket.create_connection(('127.0.0.1', front), timeout=1)
        caller.sendall(b'GET')
        listener = listeners.take('127.0.0.1', front)
        listener.setblocking(True)
        accepted, _ = listener.accept()
        received.append(accepted.recv(3))
        for sock in (caller, accepted, listener):
            sock.close()
        listeners.close()

    daemon = types.ModuleType('daemon')
    daemon.serve = serve
    monkeypatch.setitem(sys.modules, 'pimentowalk.platform.daemon', daemon)
    import pimentowalk.platform as package

    monkeypatch.setattr(package, 'daemon', daemon, raising=False)
    assert program.run(str(path)) == 0
    assert received == [b'GET']


@contextlib.contextmanager
def starting_gateway(tmp_path):
    """Yield a gateway process that listens but still imports libraries."""
    path, front = settings_file(tmp_path)
    process = subprocess.Popen(
        [sys.executable, '-m', 'pimentowalk.platform', str(path)],
        stdout=subprocess.DEVNULL,
    )
    try:
        connected = False
        while not connected and process.poll() is None:
            with contextlib.suppress(OSError):
                socket.create_connection(('127.0.0.1', front), 1).close()
                connected = True
        yield process
    finally:
        process.kill()
        process.wait()


def test_sigterm_during_startup_exits_with_code_0(tmp_path):
    """Imports can take seconds on a loaded machine; a process that SIGTERM
    kills meanwhile would look crashed.
    """
    with starting_gateway(tmp_path) as process:
        process.terminate()
        assert process.wait(timeout=30) == 0


def test_sighup_during_startup_does_not_end_the_process(tmp_path):
    """Settings may change while many processes start again."""
    with starting_gateway(tmp_path) as process:
        process.send_signal(signal.SIGHUP)
        process.terminate()
        assert process.wait(timeout=30) == 0


def test_settings_that_change_during_startup_are_read(tmp_path):
    """The seeds of the file that was read first may be gone already."""
    path, _ = settings_file(tmp_path)
    seeds = gateway_settings.load(path)[0].seeds
    path.write_text(
        path.read_text().replace('seeds = ', 'seeds = 127.0.0.9:9,')
    )
    seed_file = daemon.SeedFile(str(path), seeds)
    assert seed_file.read()[0].host == '127.0.0.9'


def test_address_in_use_is_reported(tmp_path, capsys):
    """A failed bind must be reported with its reason."""
    path, front = settings_file(tmp_path)
    with socket.create_server(('127.0.0.1', front)):
        assert program.run(str(path)) == 2
    assert 'in use' in capsys.readouterr().err


def test_listener_is_handed_out_once():
    """Two servers must not accept on the same socket."""
    (port,) = free_ports(1)
    listeners = sockets.ListenerSet(
        [gateway_settings.Address('127.0.0.1', port)]
    )
    first = listeners.take('127.0.0.1', port)
    first.close()
    returned_socket = listeners.take('127.0.0.1', port)
    assert returned_socket is not first
    returned_socket.close()


async def test_started_gateway_counts_on_the_work_of_the_others(cluster):
    """Gateways that had restarted together all sent to the same path."""
    gateway = cluster.gateways[0]
    await waiting.until(lambda: gateway.node.live_nodes == 3)
    in_flight = gateway.dispatcher.in_flight
    in_flight.begin(['m-1'], 10)
    assert (in_flight.requests('m-1'), in_flight.tokens('m-1')) == (3, 30)


@pytest.mark.parametrize('host', conftest.HOSTS)
async def test_one_killed_voter_does_not_end_the_first_start(tmp_path, host):
    """No configuration was ever accepted after a kill in the first start."""
    cluster = conftest.Cluster(tmp_path)
    try:
        await cluster.start([], restarted=(host,))
        await waiting.until(
            lambda: all(
                sum(m.voter for m in g.replica.members()) == 3
                for g in cluster.gateways
            )
        )
    finally:
        await cluster.stop()


async def test_a_seed_without_a_disk_does_not_end_the_first_start(tmp_path):
    """A first start that needed all seeds would wait for it forever."""
    cluster = conftest.Cluster(tmp_path)
    *with_disk, diskless = conftest.HOSTS
    cluster.gateways = [
        *[await cluster.start_gateway(host) for host in with_disk],
        await cluster.start_gateway(diskless, disk=False),
    ]
    try:
        await waiting.until(
            lambda: any(g.node.leads for g in cluster.gateways)
        )
    finally:
        for gateway in cluster.gateways:
            await gateway.close()
