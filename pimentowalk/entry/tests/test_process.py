"""Tests of the entry process: start, signals and exit."""

import asyncio
import json
import signal
import sys

import aiohttp
import pytest

SETTINGS = """
[process]
node_id = entry-1
zone = z1
region = r1
host = 127.0.0.1
port = 0
log_level = INFO
control = control-1@127.0.0.1:1

[entry]
http_host = 127.0.0.1
http_port = 0
"""


async def wait_for_log(process, message):
    """Read the log until a message; return its log line."""
    while True:
        content = await process.stderr.readline()
        assert content, f'the process ended before {message!r}'
        line = json.loads(content)
        if line['message'] == message:
            return line


@pytest.mark.processes
async def test_signals_stop_the_process_without_control(tmp_path):
    """Stop signals must work although the control plane is unreachable."""
    path = tmp_path / 'entry.ini'
    path.write_text(SETTINGS)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'pimentowalk.entry',
        str(path),
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        line = await wait_for_log(process, 'listening')
        base = f'http://{line["host"]}:{line["port"]}'
        async with aiohttp.ClientSession(base) as client:
            async with client.get('/healthz') as response:
                assert response.status == 200
            async with client.get('/readyz') as response:
                assert response.status == 503
        process.send_signal(signal.SIGTERM)
        await wait_for_log(process, 'draining')
        process.send_signal(signal.SIGTERM)
        await wait_for_log(process, 'stopped')
        assert await process.wait() == 0
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
