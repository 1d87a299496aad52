"""Test the departures that an instance writes to its disk."""

import asyncio

import attrs

from pimentowalk.core import timers as core_timers
from pimentowalk.membership import backends as membership
from pimentowalk.mesh import departure_log
from pimentowalk.mesh.tests import test_cache_files
from pimentowalk.topology import backends

# Clients do not count a later acknowledgement.
MAX_WAIT_S = 1.0
SERVERS = [
    attrs.evolve(test_cache_files.SERVER, server_id=f'i-{number}', port=number)
    for number in range(1, 41)
]


def new_log(folder):
    """Return a table that knows all servers, and its log."""
    table = membership.BackendTable(lambda: 0.0, test_cache_files.PERIOD_S)
    for server in SERVERS:
        table.apply(server)
    return table, departure_log.DepartureLog(
        folder, table, core_timers.TimerService()
    )


async def leave(table, log, server, state=backends.GONE):
    """Let a server drain or leave; return once that is on disk."""
    departure = attrs.evolve(server, sequence=server.sequence + 1, state=state)
    table.apply(departure)
    log.add(departure)
    await log.wait_durable(departure, MAX_WAIT_S)


async def test_departures_of_a_wave_share_syncs(tmp_path):
    """A sync for each of 400 departures in 10 s would fill a slow disk."""
    table, log = new_log(tmp_path)
    running = asyncio.ensure_future(log.run())
    async with asyncio.TaskGroup() as group:
        for server in SERVERS:
            group.create_task(leave(table, log, server))
            await asyncio.sleep(1 / 40)
    running.cancel()
    # Those that arrive during an interval share one.
    assert log.sync_count <= 1 / departure_log.GROUP_INTERVAL_S + 1
    restarted, saved = new_log(tmp_path)
    assert saved.load() == len(SERVERS)
    assert not restarted.usable('svc')


async def test_torn_record_leaves_the_earlier_ones(tmp_path):
    """DRAIN: a loss of power during a write must not undo departures."""
    table, log = new_log(tmp_path)
    running = asyncio.ensure_future(log.run())
    for server in SERVERS[:3]:
        await leave(table, log, server)
    running.cancel()
    path = tmp_path / departure_log.NAME
    path.write_bytes(path.read_bytes()[:-9])
    restarted, saved = new_log(tmp_path)
    assert saved.load() == 2
    assert len(restarted.usable('svc')) == len(SERVERS) - 2


async def test_server_that_drains_again_is_saved_again(tmp_path):
    """DRAIN: the second drain was taken for the one that is on disk."""
    table, log = new_log(tmp_path)
    running = asyncio.ensure_future(log.run())
    await leave(table, log, SERVERS[0], backends.DRAINING)
    log.add(attrs.evolve(SERVERS[0], sequence=10))
    await leave(
        table, log, attrs.evolve(SERVERS[0], sequence=11), backends.DRAINING
    )
    running.cancel()
    assert log.sync_count == 2
