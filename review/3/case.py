"""A restarted node sends work to a replica that left while it was down."""

import asyncio
import signal

import aiohttp
import world

# How long the process of the killed machine is down.
DOWN_S = 4.2
# The replica goes on serving for many seconds after its DELETE.
LINGERS_S = 12.0


async def send_streams(deployment, node, until_s):
    """Send a stream to a node each 0.1 s; return the tasks."""
    tasks = []
    while deployment.record.now_s() < until_s:
        tasks.append(asyncio.ensure_future(send_stream(deployment, node)))
        await asyncio.sleep(0.1)
    return tasks


async def send_stream(deployment, node):
    """Send one stream and record its status."""
    request_id = deployment.new_id()
    deployment.record.say(f'client sends {request_id} to {node.name}')
    host, port = node.front
    try:
        async with deployment.session.post(
            f'http://{host}:{port}/lohu930/2f',
            headers=deployment.headers(
                request_id,
                **{
                    'Pimentowalk-Model': 'm0',
                    'Pimentowalk-Token-Count': '100,80',
                    'Pimentowalk-Prompt-Prefix': '5c1e07a2:40,91bd3f06:60',
                },
            ),
            data=b'a prompt',
        ) as response:
            await response.read()
            text = f'{response.status}'
    except aiohttp.ClientError as error:
        text = repr(error)
    deployment.record.say(f'client got {text} for {request_id}')


async def case():
    """Return whether the rule held."""
    deployment = world.World(__file__, disks=3, others=3)
    replicas = deployment.add_replicas('huvo11a', 3, is_model=True)
    killed = deployment.gateways[0]
    others = deployment.gateways[1:]
    record = deployment.record
    try:
        await deployment.start(
            deployment.configuration(
                7,
                [
                    {
                        'path-prefix': '/lohu930/',
                        'kind': 'streaming',
                        'service': 'huvo11a',
                        'resumable': True,
                        'gap-target-ms': 250,
                        'affinity': True,
                    }
                ],
                [world.model_service('huvo11a')],
            )
        )
        leaving = replicas[0]
        killed_s = record.now_s()
        if deployment.trouble:
            killed.signal(signal.SIGKILL)
            killed.process.wait()
        # The other machines are in touch again.
        await asyncio.sleep(world.CONTACT_S + 0.3)
        acknowledged_by = await leaving.leave(others)
        left_s = record.now_s()
        await asyncio.sleep(killed_s + DOWN_S - record.now_s())
        if deployment.trouble:
            record.say(f'{killed.name} starts again')
            killed.start()
        started_s = record.now_s()
        touch_s = max(started_s + world.CONTACT_S, left_s + world.DRAIN_S)
        await asyncio.sleep(touch_s + 0.3 - record.now_s())
        record.say(f'all machines are in touch again, also {killed.name}')
        tasks = await send_streams(deployment, killed, left_s + LINGERS_S)
        await asyncio.gather(*tasks)
        late = [a for a in leaving.arrivals if a[0] > touch_s]
        record.say(
            f'{len(late)} of {len(tasks)} requests of {killed.name} reached '
            f'{leaving.server_id} later than drain-ms after '
            f'{acknowledged_by.name} acknowledged that it is gone'
        )
        return not late
    finally:
        await deployment.stop()


world.run_case(case)
