"""Answers of a booking service are lost while its route is resumable."""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'support-2'))

import lab as labs  # noqa: E402

ZONES = ('bergen', 'forde', 'voss')
# One of three replicas loses this share of its answers for this time: within
# `answer_lost` with share 0.6, x 0.4, for_s 4.0.
LOST_SHARE = 0.4
LOST_S = 4.0
# In each round, a client books at each of the five machines.
ROUNDS_BEFORE = 4
ROUNDS = 40
GAP_S = 0.05


class Loss:
    """When answers of the first replica are lost."""

    until_s = 0.0


async def serve(request):
    """Run the booking."""
    await asyncio.sleep(0.045)
    return 200


async def serve_and_lose(request):
    """Run the booking; lose some of the answers while that lasts."""
    await asyncio.sleep(0.045)
    is_lossy = labs.now_s() < Loss.until_s
    if is_lossy and random.random() < LOST_SHARE:
        return 'reset'
    return 200


async def play(record):
    """Return whether a booking has run twice."""
    lab = labs.Lab(record, disks=3, others=2)
    try:
        return await play_in(lab)
    finally:
        await lab.close()


async def book(lab, machine):
    """Send one booking to a machine."""
    request_id, answer = await labs.ask(machine, '/book/visit', method='POST')
    lab.record(f'client: {request_id} to {machine.name}: {answer.status}')


async def play_in(lab):
    """Play the case in a deployment."""
    for machine in lab.machines:
        machine.start(bootstrap=True)
    for number, zone in enumerate(ZONES):
        work = serve if number else serve_and_lose
        await labs.Replica(lab, number + 1, 'jobs', zone, serve=work).start()
    booking = labs.route('book', '/book/', 'jobs', kind='non_idempotent')
    booking['resumable'] = True
    first = labs.document(1, [booking], ['jobs'])
    if not await lab.configure(first) or not await lab.wait_ready():
        raise labs.CannotRun('the deployment did not start')
    await asyncio.sleep(labs.CONTACT_S)
    for number in range(ROUNDS):
        if number == ROUNDS_BEFORE and labs.IS_TROUBLED:
            Loss.until_s = labs.now_s() + LOST_S
            lab.record(f'{lab.replicas[0].id} begins to lose answers')
        await asyncio.gather(*[book(lab, m) for m in lab.machines])
        await asyncio.sleep(GAP_S)
    runs = {}
    for replica in lab.replicas:
        for request in replica.arrivals:
            runs.setdefault(request.id, []).append(replica.id)
    if len(runs) < ROUNDS:
        raise labs.CannotRun('too few bookings have run')
    twice = {key: found for key, found in runs.items() if len(found) > 1}
    for request_id, found in twice.items():
        lab.record(f'twice: {request_id} ran at {", ".join(found)}')
    lab.record(f'{len(twice)} of {len(runs)} bookings ran more than once')
    return bool(twice)


if __name__ == '__main__':
    labs.run_case(FOLDER, play)
