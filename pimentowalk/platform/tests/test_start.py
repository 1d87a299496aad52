"""Guard the time from the start of a process to its first connection."""

import contextlib
import socket
import subprocess
import sys
import types

from pimentowalk.core import sockets
from pimentowalk.platform import __main__ as program
from pimentowalk.settings import gateway as gateway_settings

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
    """Return ports that nobody listens on."""
    held = [socket.create_server(('127.0.0.1', 0)) for _ in range(count)]
    ports = [one.getsockname()[1] for one in held]
    for one in held:
        one.close()
    return ports


def settings_file(folder):
    """Write settings with free ports; return the path and the front port."""
    peer, front, ready, control = free_ports(4)
    path = folder / 'gateway.ini'
    path.write_text(
        SETTINGS.format(peer=peer, front=front, ready=ready, control=control)
    )
    return path, front


def test_heavy_libraries_are_imported_after_the_sockets_are_open():
    """A restarted node must not refuse callers while it imports."""
    code = (
        'import sys, pimentowalk.platform.__main__;'
        'heavy = {"aiohttp", "capnp", "docutils", "cattrs"};'
        'print(sorted(heavy & set(sys.modules)))'
    )
    found = subprocess.run(
        [sys.executable, '-c', code],
        capture_output=True,
        text=True,
        check=True,
    )
    assert found.stdout.strip() == '[]'


def test_callers_can_connect_before_the_gateway_runs(tmp_path, monkeypatch):
    """A caller who connects during a start must wait, not be refused."""
    path, front = settings_file(tmp_path)
    waiting = []

    async def serve(settings_path, settings, bounds, listeners):
        assert settings_path == str(path)
        caller = socket.create_connection(('127.0.0.1', front), timeout=1)
        caller.sendall(b'GET')
        listener = listeners.take('127.0.0.1', front)
        listener.setblocking(True)
        accepted, _ = listener.accept()
        waiting.append(accepted.recv(3))
        for one in (caller, accepted, listener):
            one.close()
        listeners.close()

    daemon = types.ModuleType('daemon')
    daemon.serve = serve
    monkeypatch.setitem(sys.modules, 'pimentowalk.platform.daemon', daemon)
    import pimentowalk.platform as package

    monkeypatch.setattr(package, 'daemon', daemon, raising=False)
    assert program.run(str(path)) == 0
    assert waiting == [b'GET']


def test_gateway_that_is_told_to_stop_while_it_starts_ends_well(tmp_path):
    """A busy machine imports for seconds, and a stop may come meanwhile; an
    end by the signal itself looks like a crash.
    """
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
        process.terminate()
        assert process.wait(timeout=30) == 0
    finally:
        process.kill()
        process.wait()


def test_address_in_use_is_reported(tmp_path, capsys):
    """A start without its address must fail with a reason."""
    path, front = settings_file(tmp_path)
    with socket.create_server(('127.0.0.1', front)):
        assert program.run(str(path)) == 2
    assert 'in use' in capsys.readouterr().err


def test_sockets_are_taken_once():
    """Two parts must not serve the same socket."""
    (port,) = free_ports(1)
    listeners = sockets.ListenerSet(
        [gateway_settings.Address('127.0.0.1', port)]
    )
    first = listeners.take('127.0.0.1', port)
    first.close()
    again = listeners.take('127.0.0.1', port)
    assert again is not first
    again.close()
