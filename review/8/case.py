"""The core restarts after its first machines have been replaced."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'support-2'))

import lab as labs  # noqa: E402

ZONES = ('bergen', 'forde', 'voss')
# The old machine stops this long after its successor is ready, and the next
# one is replaced this long after it has stopped: more than catch-up-s, 4 s.
OVERLAP_S = 2.0
CATCH_UP_S = 6.0
CORE_DOWN_S = 0.7
CONFIG_S = 2.0


async def serve(request):
    """Answer after 20 ms of work."""
    await asyncio.sleep(0.02)
    return 200


async def replace(lab, index, number):
    """Replace a machine of the core by an empty one at another address."""
    old = lab.core[0]
    new = labs.Machine(lab, number, ZONES[index], has_disk=True)
    new.start()
    lab.machines.append(new)
    if not await lab.wait_ready([new]):
        raise labs.CannotRun('the successor is not ready')
    await asyncio.sleep(OVERLAP_S)
    old.signal(signal.SIGTERM)
    await asyncio.to_thread(old.process.wait)
    lab.record(f'{old.name} has gone for good')
    lab.machines.remove(old)
    await asyncio.sleep(CATCH_UP_S)


async def count(lab, machines, path, key, label):
    """Send five requests to each machine; return how many ran."""
    ran = 0
    for machine in machines:
        for _ in range(5):
            request_id, answer = await labs.ask(machine, path, key=key)
            has_run = any(
                request.id == request_id
                for replica in lab.replicas
                for request in replica.arrivals
            )
            ran += has_run
            lab.record(
                f'client: {label} {request_id} to {machine.name}: '
                f'{answer.status}, {"run" if has_run else "not run"}'
            )
    return ran


async def play(record):
    """Return whether a dropped route is still served."""
    lab = labs.Lab(record, disks=3, others=2)
    try:
        return await play_in(lab)
    finally:
        await lab.close()


async def play_in(lab):
    """Play the case in a deployment."""
    others = [m for m in lab.machines if not m.has_disk]
    for machine in lab.machines:
        machine.start(bootstrap=True)
    for number, zone in enumerate(ZONES):
        await labs.Replica(lab, number + 1, 'jobs', zone, serve=serve).start()
    kept = labs.route('kept', '/kept/', 'jobs')
    dropped = labs.route('dropped', '/dropped/', 'jobs', public=True)
    first = labs.document(1, [kept, dropped], ['jobs'])
    if not await lab.configure(first) or not await lab.wait_ready():
        raise labs.CannotRun('the deployment did not start')
    for index in range(3):
        await replace(lab, index, 11 + index)
    if not await lab.configure(labs.document(2, [kept, dropped], ['jobs'])):
        raise labs.CannotRun('no configuration after the replacements')
    before = await count(lab, others, '/kept/a', 'k1', 'before')
    if before < 8:
        raise labs.CannotRun('the machines without a disk do not serve')
    if labs.IS_TROUBLED:
        core = lab.core
        for machine in core:
            machine.signal(signal.SIGKILL)
        for machine in core:
            await asyncio.to_thread(machine.process.wait)
        await asyncio.sleep(CORE_DOWN_S)
        for machine in core:
            machine.start()
    if not await lab.wait_ready(lab.core):
        raise labs.CannotRun('the core did not come back')
    # All machines are in touch contact-ms after the last start, twice that
    # and more is waited for.
    await asyncio.sleep(4 * labs.CONTACT_S)
    if not await lab.configure(labs.document(3, [kept], ['jobs'])):
        raise labs.CannotRun('version 3 was not acknowledged')
    await asyncio.sleep(3 * CONFIG_S)
    ran = await count(lab, others, '/dropped/a', '', 'dropped route')
    core_ran = await count(lab, lab.core, '/dropped/a', '', 'dropped route')
    served = await count(lab, others, '/kept/a', 'k1', 'kept route')
    lab.record(
        f'machines without a disk ran {ran} of 10 requests of the dropped '
        f'route and {served} of 10 of the kept one; the core ran {core_ran} '
        'of 15 of the dropped route'
    )
    return ran > 0


if __name__ == '__main__':
    labs.run_case(FOLDER, play)
