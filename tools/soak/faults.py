"""Faults of the soak; each is registered with the weight of its choice."""

import asyncio
import signal

from pimentowalk.core import registry
from tools import relay

# A process handles signals this long after its start at the latest.
STARTING_S = 3.0
FAULTS = registry.Registry('fault')


def fault(name):
    """Register `async def fault(world, rng)`, which undoes what it did."""
    return FAULTS.register(name)


def _gateway(world, rng):
    return rng.choice(world.gateways)


@fault('kill')
async def kill(world, rng):
    """Kill a gateway; it is restarted as the platform does."""
    gateway = _gateway(world, rng)
    await gateway.kill()
    await asyncio.sleep(rng.uniform(0.05, 2.0))
    await gateway.start()


@fault('kill_all')
async def kill_all(world, rng):
    """Kill all gateways at the same moment."""
    await asyncio.gather(*(g.kill() for g in world.gateways))
    await asyncio.sleep(rng.uniform(0.05, 1.0))
    await asyncio.gather(*(g.start() for g in world.gateways))


@fault('stop')
async def stop(world, rng):
    """Stop a gateway gracefully and start it again."""
    gateway = _gateway(world, rng)
    async with world.lock_of(gateway):
        if not gateway.is_up:
            return
        kills = gateway.kills
        # One that is told to stop before it handles signals just ends.
        is_new = gateway.age_s < STARTING_S
        code = await gateway.stop()
        allowed = (0, -signal.SIGTERM) if is_new else (0,)
        if gateway.kills == kills and code not in allowed:
            world.checks.fail('stop', f'{gateway.name} ended with {code}')
        await gateway.start()


@fault('pause')
async def pause(world, rng):
    """Freeze a gateway for longer or shorter than its leases last."""
    gateway = _gateway(world, rng)
    gateway.pause()
    await asyncio.sleep(rng.choice([0.3, 1.5, 4.0, 7.0]))
    gateway.resume()


@fault('lose_disk')
async def lose_disk(world, rng):
    """Kill a gateway with a disk; it comes back with an empty one."""
    gateway = rng.choice([g for g in world.gateways if g.has_disk])
    if not await world.may_lose_a_disk():
        return
    async with world.lock_of(gateway):
        await gateway.kill()
        gateway.lose_disk()
        await asyncio.sleep(rng.uniform(0.1, 1.0))
        await gateway.start()
        world.record_empty_disk()


@fault('reload')
async def reload(world, rng):
    """Name other seeds in the settings, with a signal or without."""
    gateway = _gateway(world, rng)
    disks = [g.host for g in world.gateways if g.has_disk]
    gateway.seeds = rng.sample(disks, rng.randint(1, len(disks)))
    gateway.write_settings()
    if rng.random() < 0.5:
        gateway.send(signal.SIGHUP)


@fault('cut_link')
async def cut_link(world, rng):
    """Silence the link to a server, both ways or one."""
    server = rng.choice(world.servers)
    ways = rng.choice(
        [(), (relay.Direction.FORWARD,), (relay.Direction.BACK,)]
    )
    server.cut(*ways)
    await asyncio.sleep(rng.uniform(0.3, 4.0))
    server.heal()


@fault('slow_link')
async def slow_link(world, rng):
    """Delay what goes to and from a server."""
    server = rng.choice(world.servers)
    server.relay.delay_s = rng.uniform(0.02, 0.4)
    await asyncio.sleep(rng.uniform(0.5, 3.0))
    server.relay.delay_s = 0.0


@fault('reset_link')
async def reset_link(world, rng):
    """Reset the open connections of a server, several times."""
    server = rng.choice(world.servers)
    for _ in range(rng.randint(1, 5)):
        server.relay.reset()
        await asyncio.sleep(rng.uniform(0.05, 0.4))


@fault('crash_server')
async def crash_server(world, rng):
    """Crash a server, which starts again empty."""
    rng.choice(world.servers).crash()


@fault('lose_answers')
async def lose_answers(world, rng):
    """Lose the answers of the next calls that a plain server runs."""
    plain = [s for s in world.servers if s.service != 'model']
    rng.choice(plain).answers_to_lose += rng.randint(1, 4)


@fault('full_server')
async def full_server(world, rng):
    """Let a server refuse all work."""
    server = rng.choice(world.servers)
    server.refuses = True
    await asyncio.sleep(rng.uniform(0.3, 2.0))
    server.refuses = False


@fault('hang_server')
async def hang_server(world, rng):
    """Let the streams of a server stand still."""
    server = rng.choice(world.servers)
    server.may_stream.clear()
    await asyncio.sleep(rng.uniform(0.3, 2.0))
    server.may_stream.set()


@fault('drain_server')
async def drain_server(world, rng):
    """Let a server leave, and replace it by a new incarnation."""
    server = rng.choice(world.servers)
    server.state = 'draining'
    await asyncio.sleep(rng.uniform(1.0, 3.0))
    server.crash()


# Regression seeds draw from these, so that they cause the same faults as when
# they failed.
EARLIER_FAULTS = tuple(sorted(FAULTS.names()))


@fault('leave_by_header')
async def leave_by_header(world, rng):
    """Let a server leave without announcing it, and replace it."""
    server = rng.choice(world.servers)
    server.leaves = True
    await asyncio.sleep(rng.uniform(1.0, 3.0))
    server.crash()


@fault('pausing_server')
async def pausing_server(world, rng):
    """Let a full server ask for pauses, at times for bad ones."""
    server = rng.choice(world.servers)
    server.refuses = True
    server.pause_text = rng.choice(['0.3', '1', '2.5', '-1', 'soon', '1e9'])
    await asyncio.sleep(rng.uniform(0.3, 2.0))
    server.refuses = False
    server.pause_text = None
