"""The operator numbers its versions by date and time."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'support-2'))

import lab as labs  # noqa: E402

ZONES = ('bergen', 'forde', 'voss')
# Year to microsecond: 2026-12-06 13:50:00.250000.
DATED_VERSION = 20261206135000250000
# For how long the operator sends a change, and reads at the end of the day.
SEND_S = 10.0
READ_S = 12.0


async def serve(request):
    """Answer after 20 ms of work."""
    await asyncio.sleep(0.02)
    return 200


async def play(record):
    """Return whether no machine returns the configuration any more."""
    lab = labs.Lab(record, disks=3, others=2)
    try:
        return await play_in(lab)
    finally:
        await lab.close()


async def read_back(lab, timeout_s):
    """Read the configuration at all machines in turn; return its version."""
    end_s = labs.now_s() + timeout_s
    while labs.now_s() < end_s:
        for machine in lab.machines:
            answer = await labs.exchange(
                machine.address('control'),
                'GET',
                '/v1/configuration',
                timeout_s=1.5,
            )
            lab.record(f'operator: {machine.name} answers {answer.status}')
            if answer.status == 200 and answer.is_whole:
                version = labs.json.loads(answer.body)['version']
                lab.record(f'operator: reads version {version}')
                return version
        await asyncio.sleep(0.5)
    return None


async def count_served(lab):
    """Return how many of two requests to each machine are served."""
    served = 0
    for machine in lab.machines * 2:
        request_id, answer = await labs.ask(machine, '/a/x')
        served += answer.status == 200
        lab.record(f'client: {request_id} to {machine.name}: {answer.status}')
    return served


async def play_in(lab):
    """Play the case in a deployment."""
    for machine in lab.machines:
        machine.start(bootstrap=True)
    for number, zone in enumerate(ZONES):
        await labs.Replica(lab, number + 1, 'jobs', zone, serve=serve).start()
    routes = [labs.route('r1', '/a/', 'jobs')]
    first = labs.document(1, routes, ['jobs'])
    if not await lab.configure(first) or not await lab.wait_ready():
        raise labs.CannotRun('the deployment did not start')
    await asyncio.sleep(labs.CONTACT_S)
    if await read_back(lab, READ_S) != 1 or not await count_served(lab):
        raise labs.CannotRun('version 1 is not in force')
    version = DATED_VERSION if labs.IS_TROUBLED else 2
    second = labs.document(version, routes, ['jobs'])
    await lab.configure(second, SEND_S)
    await asyncio.sleep(2 * labs.CONTACT_S)
    read = await read_back(lab, READ_S)
    served = await count_served(lab)
    lab.record(f'after the change: version read {read}, {served} of 10 served')
    for machine in lab.machines:
        machine.kill()
    for machine in lab.machines:
        machine.start()
    await asyncio.sleep(4 * labs.CONTACT_S)
    again = await read_back(lab, READ_S)
    served = await count_served(lab)
    lab.record(f'after a restart: version read {again}, {served} of 10 served')
    return read is None and again is None


if __name__ == '__main__':
    labs.run_case(FOLDER, play)
