"""Answers of a booking service are lost while its route is resumable."""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'support-2'))

import lab as labs  # noqa: E402

ZONES = ('bergen', 'forde', 'voss')
# The largest dose in the site file.
LOST_SHARE = 0.4
REQUESTS = 60


async def serve(request):
    """Run the booking; lose some of the answers."""
    await asyncio.sleep(0.045)
    if labs.IS_TROUBLED and random.random() < LOST_SHARE:
        return 'reset'
    return 200


async def play(record):
    """Return whether a booking has run twice."""
    lab = labs.Lab(record, disks=3, others=2)
    try:
        return await play_in(lab)
    finally:
        await lab.close()


async def play_in(lab):
    """Play the case in a deployment."""
    for machine in lab.machines:
        machine.start(bootstrap=True)
    for number, zone in enumerate(ZONES):
        await labs.Replica(lab, number + 1, 'jobs', zone, serve=serve).start()
    booking = labs.route('book', '/book/', 'jobs', kind='non_idempotent')
    booking['resumable'] = True
    first = labs.document(1, [booking], ['jobs'])
    if not await lab.configure(first) or not await lab.wait_ready():
        raise labs.CannotRun('the deployment did not start')
    await asyncio.sleep(labs.CONTACT_S)
    for number in range(REQUESTS):
        machine = lab.machines[number % len(lab.machines)]
        request_id, answer = await labs.ask(
            machine, '/book/visit', method='POST'
        )
        lab.record(f'client: {request_id} to {machine.name}: {answer.status}')
        await asyncio.sleep(0.1)
    runs = {}
    for replica in lab.replicas:
        for request in replica.arrivals:
            runs.setdefault(request.id, []).append(replica.id)
    if len(runs) < REQUESTS / 2:
        raise labs.CannotRun('too few bookings have run')
    twice = {key: found for key, found in runs.items() if len(found) > 1}
    for request_id, found in twice.items():
        lab.record(f'twice: {request_id} ran at {", ".join(found)}')
    lab.record(f'{len(twice)} of {len(runs)} bookings ran more than once')
    return bool(twice)


if __name__ == '__main__':
    labs.run_case(FOLDER, play)
