"""A request without a body crashes replicas as often as it is sent."""

import asyncio
import itertools
import os

import aiohttp
import world

PATH = '/lohu930/history?job=17'
ATTEMPTS = 40
INTERVAL_S = 1.0
# A crashed replica is back after some seconds.
DOWN_S = 3.0
MAX_LATE_RETRIES = 3


class DeadlyRequest:
    """Crash each replica that begins to run the request, if it is deadly."""

    def __init__(self, deployment):
        self._deployment = deployment
        self._numbers = itertools.count(1)
        self._tasks = set()
        self.crashes_s = []

    def watch(self, replica):
        """Crash a replica when the request begins to run there."""
        answer = replica.answer

        async def answer_or_crash(request, headers):
            if (
                request.raw_path == PATH
                and self._deployment.trouble
                and replica.lives
            ):
                self.crashes_s.append(self._deployment.record.now_s())
                task = asyncio.ensure_future(self._crash(replica))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
                await asyncio.sleep(DOWN_S)
            return await answer(request, headers)

        replica.answer = answer_or_crash

    async def _crash(self, replica):
        await replica.crash()
        await asyncio.sleep(DOWN_S)
        # Each start is a new incarnation, mostly with a new id.
        replica.server_id = f'i-{replica.service}-r{next(self._numbers)}'
        await replica.start()


async def send(deployment, node, method, body):
    """Send the request once; return its id."""
    request_id = deployment.new_id()
    deployment.record.say(f'client sends {request_id} to {node.name}')
    host, port = node.front
    try:
        async with deployment.session.request(
            method,
            f'http://{host}:{port}{PATH}',
            headers=deployment.headers(
                request_id, **{'Pimentowalk-Deadline-Remaining': '1500'}
            ),
            data=body,
        ) as response:
            await response.read()
            text = f'{response.status}'
    except aiohttp.ClientError as error:
        text = repr(error)
    deployment.record.say(f'client got {text} for {request_id}')
    return request_id


async def case():
    """Return whether the rule held."""
    deployment = world.World(__file__, disks=3, others=1)
    replicas = deployment.add_replicas('wuno96b', 3, is_model=False)
    deadly = DeadlyRequest(deployment)
    for replica in replicas:
        deadly.watch(replica)
    # To compare: the same request with a body.
    has_body = os.environ.get('BODY') == '1'
    method, body = ('POST', b'{}') if has_body else ('GET', None)
    record = deployment.record
    try:
        await deployment.start(
            deployment.configuration(
                7,
                [
                    {
                        'path-prefix': '/lohu930/',
                        'kind': 'safe',
                        'service': 'wuno96b',
                        'attempts': 2,
                        'timeout-ms': 1500,
                    }
                ],
                [world.plain_service('wuno96b')],
            )
        )
        ids = []
        for number in range(ATTEMPTS):
            node = deployment.gateways[number % len(deployment.gateways)]
            ids.append(await send(deployment, node, method, body))
            await asyncio.sleep(INTERVAL_S)
        if len(deadly.crashes_s) < 3:
            record.say(f'{len(deadly.crashes_s)} replicas crashed')
            if deployment.trouble:
                raise world.CannotRun('too few crashes')
            return True
        from_s = deadly.crashes_s[2] + world.CONTACT_S
        late = {
            request_id
            for replica in replicas
            for at_s, request_id, _, _ in replica.arrivals
            if at_s > from_s
        }
        record.say(
            f'{len(deadly.crashes_s)} replicas crashed; {len(late)} retries '
            'reached replicas later than contact-ms after the third crash'
        )
        return len(late) <= MAX_LATE_RETRIES
    finally:
        await deployment.stop()


world.run_case(case)
