"""The key of the only tenant is taken away together with the tenant."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'support-2'))

import lab as labs  # noqa: E402

ZONES = ('bergen', 'forde', 'voss')
REVOKE_S = 5.0
MARGIN_S = 1.0


async def serve(request):
    """Answer after 20 ms of work."""
    await asyncio.sleep(0.02)
    return 200


async def play(record):
    """Return whether a request runs whose key has been taken away."""
    lab = labs.Lab(record, disks=3, others=2)
    try:
        return await play_in(lab)
    finally:
        await lab.close()


async def count(lab, key, label):
    """Send a request with a key to each machine; return how many ran."""
    ran = 0
    for machine in lab.machines:
        request_id, answer = await labs.ask(machine, '/a/x', key=key)
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
    if await count(lab, 'k1', 'key of the tenant') < len(lab.machines):
        raise labs.CannotRun('requests with the key are not served')
    if await count(lab, 'other', 'unknown key'):
        raise labs.CannotRun('an unknown key is accepted from the start')
    second = labs.document(2, routes, ['jobs'])
    if labs.IS_TROUBLED:
        second['tenants'] = []
    if not await lab.configure(second):
        raise labs.CannotRun('version 2 was not acknowledged')
    await asyncio.sleep(REVOKE_S + MARGIN_S)
    revoked = await count(lab, 'k1', 'key of the tenant')
    unknown = await count(lab, 'other', 'unknown key')
    lab.record(
        f'under version 2, {revoked} of {len(lab.machines)} requests with the '
        f'key of the tenant ran, and {unknown} with a key that no '
        'configuration ever held'
    )
    return unknown > 0 or (labs.IS_TROUBLED and revoked > 0)


if __name__ == '__main__':
    labs.run_case(FOLDER, play)
