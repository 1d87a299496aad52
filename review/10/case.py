"""All processes are killed right after a replica's departure is taken."""

import asyncio
import pathlib
import random
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'support-2'))

import lab as labs  # noqa: E402

ZONES = ('bergen', 'forde', 'voss')
WORK_S = 0.3
REQUESTS_PER_S = 20
# From the acknowledgement to the kill, and from the kill to the restart.
KILLED_AFTER_S = 0.02
DOWN_S = 1.0
# The replica goes on to serve for drain-ms and a little longer, at times many
# seconds, and then exits.
SERVES_S = 14.0


class Traffic:
    """Clients that book at all machines, each request on a new connection."""

    def __init__(self, lab):
        self._lab = lab
        self._tasks = set()
        self.sent = {}
        self.answers = {}

    async def run(self):
        """Send requests until cancelled."""
        while True:
            task = asyncio.ensure_future(self._book())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1 / REQUESTS_PER_S)

    async def _book(self):
        machine = random.choice(self._lab.machines)
        request_id = f'{random.getrandbits(64):016x}'
        self.sent[request_id] = labs.now_s(), machine
        _, answer = await labs.ask(
            machine, '/book/visit', method='POST', request_id=request_id
        )
        self.answers[request_id] = answer.status
        self._lab.record(
            f'client: {request_id} to {machine.name}: {answer.status}'
        )


async def serve(request):
    """Answer after the work; drop it when the connection closes."""
    end_s = labs.now_s() + WORK_S
    while labs.now_s() < end_s:
        await asyncio.sleep(0.02)
        if request.caller_has_left():
            return 'reset'
    return 200


async def play(record):
    """Return whether a replica that left gets requests."""
    lab = labs.Lab(record, disks=3, others=4)
    try:
        return await play_in(lab)
    finally:
        await lab.close()


async def restart_all(lab):
    """Kill all processes at once; return when they start again."""
    for machine in lab.machines:
        machine.signal(signal.SIGKILL)
    for machine in lab.machines:
        await asyncio.to_thread(machine.process.wait)
    await asyncio.sleep(DOWN_S)
    for machine in lab.machines:
        machine.start()
    return labs.now_s()


async def play_in(lab):
    """Play the case in a deployment."""
    for machine in lab.machines:
        machine.start(bootstrap=True)
    replicas = [
        labs.Replica(lab, number + 1, 'jobs', zone, serve=serve)
        for number, zone in enumerate(ZONES)
    ]
    for replica in replicas:
        await replica.start()
    routes = [labs.route('book', '/book/', 'jobs', kind='non_idempotent')]
    document = labs.document(1, routes, ['jobs'])
    if not await lab.configure(document) or not await lab.wait_ready():
        raise labs.CannotRun('the deployment did not start')
    traffic = Traffic(lab)
    clients = asyncio.ensure_future(traffic.run())
    await asyncio.sleep(4 * labs.CONTACT_S)
    leaving = replicas[0]
    left_s = await leaving.leave(lab.core[0])
    if left_s is None:
        raise labs.CannotRun('the departure was not acknowledged')
    in_touch_s = left_s
    if labs.IS_TROUBLED:
        await asyncio.sleep(KILLED_AFTER_S)
        # Twice contact-ms: a final fault took most of the core.
        in_touch_s = await restart_all(lab) + 2 * labs.CONTACT_S
    await asyncio.sleep(max(0.0, left_s + SERVES_S - labs.now_s()))
    await leaving.stop()
    lab.record(f'replica {leaving.id} exits')
    await asyncio.sleep(2.0)
    clients.cancel()
    drained_s = max(left_s + labs.DRAIN_S, in_touch_s)
    late = [
        request
        for request in leaving.arrivals
        if request.at_s > drained_s
        and traffic.sent[request.id][0] >= in_touch_s
    ]
    for request in late:
        lab.record(
            f'late: {request.id} reached {leaving.id} '
            f'{request.at_s - left_s:.2f} s after the acknowledgement; '
            f'the client got {traffic.answers.get(request.id, 0)}'
        )
    lost = sum(traffic.answers.get(request.id) != 200 for request in late)
    lab.record(
        f'{len(late)} requests reached the replica that had left, {lost} of '
        'them have no answer of it'
    )
    return bool(late)


if __name__ == '__main__':
    labs.run_case(FOLDER, play)
