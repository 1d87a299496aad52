"""Overload a service, kill the core, and count the repeated arrivals."""

import asyncio
import bisect
import collections
import contextlib
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'support-3'))
import lab as support  # noqa: E402

BASE_PER_S = 60.0
BURST_X = 1.7
WORK_S = 0.45
SLOTS = 6
REPLICAS = 3
BURST_AT_S = 3.0
KILL_AT_S = 12.0
DOWN_S = 2.0
END_S = 22.0
KEY = 'n2ctnfzs989anu6wsjnb'


class Traffic:
    """Clients, the balancer of the platform, and what replicas see."""

    def __init__(self, lab):
        self.lab = lab
        self.sent_s = []
        self.arrivals = collections.defaultdict(list)
        self.statuses = collections.Counter()
        self.rotation = {g.name: True for g in lab.gateways}
        self.running = collections.Counter()

    async def handle(self, replica, found):
        """Run a request, or refuse it if all slots are taken."""
        request_id = found['headers'].get('pimentowalk-request-id', '')
        self.arrivals[request_id].append(self.lab.now_s())
        if self.running[replica.server_id] >= SLOTS:
            self.lab.write(f'{request_id} refused by {replica.ip}: full')
            return support.full(found)
        self.lab.write(f'{request_id} run by {replica.ip}')
        self.running[replica.server_id] += 1
        try:
            await asyncio.sleep(WORK_S * random.uniform(0.8, 1.2))
        finally:
            self.running[replica.server_id] -= 1
        return support.success(found)

    async def watch(self, gateway):
        """Take a gateway out of rotation after two misses."""
        misses = 0
        while True:
            misses = 0 if await gateway.is_ready() else misses + 1
            self.rotation[gateway.name] = misses < 2
            await asyncio.sleep(1.0)

    def _choose(self):
        found = [g for g in self.lab.gateways if self.rotation[g.name]]
        return random.choice(found or self.lab.gateways)

    async def send(self):
        """Send one request; a refused connection is tried elsewhere."""
        self.sent_s.append(self.lab.now_s())
        request_id = self.lab.new_id()
        for _ in range(8):
            gateway = self._choose()
            with contextlib.suppress(ConnectionError, TimeoutError):
                self.lab.write(f'{request_id} sent to {gateway.name}')
                answer = await support.request(
                    gateway.address('front'),
                    'GET',
                    '/job-lookup/2f',
                    headers=[
                        ('Host', support.HOST),
                        ('Pimentowalk-Request-Id', request_id),
                        ('Pimentowalk-Deadline-Remaining', '1500'),
                        ('Pimentowalk-Key', KEY),
                    ],
                    timeout_s=1.5,
                )
                self.statuses[answer.status] += 1
                self.lab.write(f'{request_id} answered {answer.status}')
                return

    async def run(self, until_s):
        """Send requests at the rate of the time, with a burst."""
        tasks = set()
        while self.lab.now_s() < until_s:
            rate = BASE_PER_S
            if self.began_s + BURST_AT_S <= self.lab.now_s():
                rate *= BURST_X
            task = asyncio.ensure_future(self.send())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(random.expovariate(rate))
        await asyncio.gather(*tasks, return_exceptions=True)


def check(traffic, lab):
    """Return the windows in which the rule is broken."""
    window_s = lab.bounds['budget-window-s']
    again = sorted(
        at_s for times in traffic.arrivals.values() for at_s in times[1:]
    )
    sent = sorted(traffic.sent_s)

    def count(values, from_s):
        first = bisect.bisect_left(values, from_s)
        return bisect.bisect_left(values, from_s + window_s) - first

    worst = 0.0, 0, 0.0
    for from_s in again:
        requests = max(
            count(sent, from_s),
            count(sent, from_s - window_s),
            count(sent, from_s - window_s / 2),
        )
        limit = lab.bounds['budget-ratio'] * requests
        limit += lab.bounds['budget-extra']
        found = count(again, from_s)
        if found / limit > worst[0]:
            worst = found / limit, found, limit, from_s
    return worst


async def case(record_path, trouble):
    """Run the case; return whether the rule was broken."""
    lab = support.Lab(record_path, core=3, others=4)
    background = []
    try:
        traffic = Traffic(lab)
        await lab.start()
        for number in range(REPLICAS):
            replica = support.Replica(
                lab,
                number,
                'verkstad',
                traffic.handle,
                zone=support.ZONES[number],
            )
            lab.replicas.append(replica)
            await replica.start()
        await lab.configure(
            support.document(
                1,
                [
                    support.route(
                        'job-lookup', '/job-lookup/', 'verkstad', 'safe'
                    )
                ],
                ['verkstad'],
                [{'name': 'tenant-1', 'api-keys': [KEY]}],
            )
        )
        await lab.wait_ready()
        await asyncio.sleep(3.0)
        background += [
            asyncio.ensure_future(traffic.watch(g)) for g in lab.gateways
        ]
        began_s = traffic.began_s = lab.now_s()
        lab.write('traffic begins')
        clients = asyncio.ensure_future(traffic.run(began_s + END_S))
        await asyncio.sleep(KILL_AT_S)
        if trouble:
            await asyncio.gather(*(g.kill() for g in lab.core))
            lab.write('all processes of the core are killed')
            await asyncio.sleep(DOWN_S)
            for gateway in lab.core:
                gateway.start()
            lab.write('the processes of the core are started')
        await clients
        for second in range(int(END_S)):
            from_s = began_s + second
            arrivals = [a for t in traffic.arrivals.values() for a in t]
            lab.write(
                f'second {second}: sent '
                f'{sum(0 <= s - from_s < 1 for s in traffic.sent_s)}, '
                f'arrivals {sum(0 <= a - from_s < 1 for a in arrivals)}, '
                'repeated '
                + str(
                    sum(
                        0 <= a - from_s < 1
                        for t in traffic.arrivals.values()
                        for a in t[1:]
                    )
                )
            )
        lab.write(f'answers: {dict(traffic.statuses)}')
        share, found, limit, *since = check(traffic, lab)
        lab.write(
            f'worst window: {found} repeated arrivals, the rule allows '
            f'{limit:.0f} ({share:.2f} of it), from {since}'
        )
        print(f'{found} repeated arrivals in a window, {limit:.0f} allowed')
        return found > limit
    finally:
        for task in background:
            task.cancel()
        await lab.close()


if __name__ == '__main__':
    support.run(case, HERE / 'record.txt')
