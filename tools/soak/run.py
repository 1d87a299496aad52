"""Run the soak with one seed, or with many in a row."""

import asyncio
import contextlib
import json
import pathlib
import random
import sys
import tempfile
import time

import defopt

from tools.soak import faults
from tools.soak import world as soak_world

# Faults overlap: up to this many are in effect at once.
FAULTS_AT_ONCE = 3
LONGEST_PAUSE_S = 1.5


async def run_seed(
    seed, duration_s, folder, *, gateways=5, callers=12, fault_names=None
):
    """Run one seed; return the result as JSON data.

    `fault_names` are the faults to draw from, all if left out.
    """
    names = sorted(fault_names or faults.FAULTS.names())
    rng = random.Random(seed)
    started_s = time.monotonic()
    world = soak_world.World(folder, rng, gateways=gateways)
    injected = []
    try:
        await world.start()
        world.add_callers(callers)
        end_s = time.monotonic() + duration_s
        await asyncio.gather(
            *(
                _inject(
                    world,
                    random.Random(f'{seed}/{n}'),
                    end_s,
                    names,
                    injected,
                )
                for n in range(FAULTS_AT_ONCE)
            )
        )
        await _heal(world)
        await world.recovered('after the faults')
    finally:
        await world.stop()
    world.finish()
    return {
        'seed': seed,
        'duration_s': round(time.monotonic() - started_s, 1),
        'requests': len(world.outcomes),
        'faults': injected,
        'counts': dict(sorted(world.checks.counts.items())),
        'violations': world.checks.violations,
    }


async def _inject(world, rng, end_s, names, injected):
    while time.monotonic() < end_s:
        await asyncio.sleep(rng.uniform(0.0, LONGEST_PAUSE_S))
        name = rng.choice(names)
        injected.append(name)
        await faults.FAULTS.get(name)(world, rng)


async def _heal(world):
    for server in world.servers:
        server.heal()
        server.relay.delay_s = 0.0
        server.refuses = False
        server.leaves = False
        server.may_stream.set()
        server.answers_to_lose = 0
    for gateway in world.gateways:
        gateway.resume()
        await gateway.start()


def main(
    *,
    seed: int = 0,
    seeds: int = 1,
    duration_s: float = 30.0,
    gateways: int = 5,
    callers: int = 12,
    folder: str = '',
):
    """Run the soak; the exit code is 1 if a promise was broken.

    :param seed: the first seed; 0 draws one
    :param seeds: how many seeds to run
    :param duration_s: how long faults come, for each seed
    :param gateways: how many gateways, three of them with a disk
    :param callers: how many callers at once
    :param folder: where logs go; a temporary folder if left out
    """
    first = seed or random.SystemRandom().randrange(1, 1 << 31)
    broken = 0
    for number in range(first, first + seeds):
        with contextlib.ExitStack() as stack:
            base = folder or stack.enter_context(tempfile.TemporaryDirectory())
            # A folder of its own: old disks would not be a first start.
            path = pathlib.Path(base) / f'seed-{number}-{time.time_ns()}'
            path.mkdir(parents=True)
            result = asyncio.run(
                run_seed(
                    number,
                    duration_s,
                    path,
                    gateways=gateways,
                    callers=callers,
                )
            )
        broken += bool(result['violations'])
        print(json.dumps(result), flush=True)
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(defopt.run(main))
