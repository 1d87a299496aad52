"""A stream is resumed at a service without an engine, and begins anew."""

import asyncio

import streams
import world

STREAMS = 24
# The share of connections that are reset.
RESET_SHARE = 0.5
EVENTS_BEFORE_RESET = 5
PATH = '/lohu930/2f'


async def run_stream(deployment, proxy, node):
    """Run one stream, resume it once; return whether its order is right."""
    status, ids, is_complete = await streams.read_stream(
        deployment, proxy.address, PATH
    )
    if status != 200 or not ids:
        return None
    if not is_complete:
        # The client resumes at another machine after a broken connection.
        _, more, _ = await streams.read_stream(
            deployment, node.front, PATH, **{'Last-Event-Id': str(ids[-1])}
        )
        ids += more
    is_ordered = ids == list(range(1, len(ids) + 1))
    if not is_ordered:
        deployment.record.say(f'pieces out of order: {ids}')
    return is_ordered


async def case():
    """Return whether the rule held."""
    deployment = world.World(__file__, disks=3, others=1)
    deployment.add_replicas('huvo11a', 3, is_model=True)
    deployment.add_replicas('wuno96b', 3, is_model=False)
    proxy = None
    try:
        # As in the example of the page on the protocol: a streaming route is
        # split over a service with an engine and one without.
        await deployment.start(
            deployment.configuration(
                7,
                [
                    {
                        'path-prefix': '/lohu930/',
                        'kind': 'streaming',
                        'backends': [
                            {'service': 'huvo11a', 'weight': 50},
                            {'service': 'wuno96b', 'weight': 50},
                        ],
                        'resumable': True,
                        'gap-target-ms': 250,
                        'affinity': True,
                    }
                ],
                [
                    world.model_service('huvo11a'),
                    world.plain_service('wuno96b'),
                ],
            )
        )
        proxy = streams.ResettingProxy(
            deployment.client_host,
            deployment.gateways[3].front,
            EVENTS_BEFORE_RESET,
        )
        await proxy.start()
        if deployment.trouble:
            proxy.reset_next = int(STREAMS * RESET_SHARE)
        tasks = []
        for _ in range(STREAMS):
            tasks.append(
                asyncio.ensure_future(
                    run_stream(deployment, proxy, deployment.gateways[0])
                )
            )
            await asyncio.sleep(0.2)
        results = await asyncio.gather(*tasks)
        wrong = results.count(False)
        deployment.record.say(
            f'{wrong} of {len(results)} streams have a piece twice, '
            f'{results.count(None)} were not answered'
        )
        if results.count(None) > STREAMS / 4:
            raise world.CannotRun('too few streams are answered')
        return not wrong
    finally:
        if proxy is not None:
            await proxy.stop()
        await deployment.stop()


world.run_case(case)
