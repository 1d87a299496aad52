"""Kill all processes while another writer announces a foreign service."""

import asyncio
import collections
import contextlib
import os
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'support-3'))
import lab as support  # noqa: E402

REPLICAS = 3
PER_S = 10.0
WORK_S = 0.045
DEADLINE_S = 1.5
BEFORE_S = 12.0
DOWN_S = 1.2
RECOVER_S = 12.0
JUDGED_S = 12.0
KEY = 'n2ctnfzs989anu6wsjnb'
FOREIGN_SERVICE = 'huvo11a'


class Traffic:
    """The clients, and what they have seen."""

    def __init__(self, lab):
        self.lab = lab
        self.seen = []

    async def handle(self, replica, found):
        """Run a request."""
        request_id = found['headers'].get('pimentowalk-request-id', '')
        self.lab.write(f'{request_id} run by {replica.ip}')
        await asyncio.sleep(WORK_S)
        return support.success(found)

    async def send(self):
        """Send one request, once more at another gateway if it fails.

        A `Retry-After` is honoured up to a third of the time that is left.
        """
        sent_s = self.lab.now_s()
        status = 0
        wait_s = 0.0
        for gateway in random.sample(self.lab.gateways, 2):
            left_s = DEADLINE_S - (self.lab.now_s() - sent_s)
            await asyncio.sleep(min(wait_s, left_s / 3))
            left_s = DEADLINE_S - (self.lab.now_s() - sent_s)
            if left_s <= 0:
                break
            request_id = self.lab.new_id()
            self.lab.write(f'{request_id} sent to {gateway.name}')
            status = 0
            with contextlib.suppress(ConnectionError, TimeoutError):
                answer = await support.request(
                    gateway.address('front'),
                    'GET',
                    '/job-lookup/2f',
                    headers=[
                        ('Host', support.HOST),
                        ('Pimentowalk-Request-Id', request_id),
                        (
                            'Pimentowalk-Deadline-Remaining',
                            f'{left_s * 1000:.0f}',
                        ),
                        ('Pimentowalk-Key', KEY),
                    ],
                    timeout_s=left_s,
                )
                status = answer.status if answer.is_whole else 0
                wait_s = float(answer.headers.get('retry-after', 0))
            self.lab.write(f'{request_id} answered {status}')
            if status == 200:
                break
        self.seen.append((sent_s, status))

    async def run(self, until_s):
        """Send requests at random until a time."""
        tasks = set()
        while self.lab.now_s() < until_s:
            task = asyncio.ensure_future(self.send())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(random.expovariate(PER_S))
        await asyncio.gather(*tasks, return_exceptions=True)

    def served(self, from_s, until_s):
        """Return the share of the requests of a time that was served."""
        found = [s for at_s, s in self.seen if from_s <= at_s < until_s]
        self.lab.write(
            f'{from_s:.1f} to {until_s:.1f} s: '
            f'{dict(collections.Counter(found))}'
        )
        return found.count(200) / max(1, len(found))


async def case(record_path, trouble):
    """Run the case; return whether the rule was broken."""
    lab = support.Lab(record_path, core=3, others=4)
    foreign = []
    try:
        traffic = Traffic(lab)
        await lab.start()
        for number in range(REPLICAS):
            zone = support.ZONES[number]
            replica = support.Replica(
                lab, number, 'verkstad', traffic.handle, zone=zone
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
        # All replicas have announced themselves by now.
        await asyncio.sleep(2 * support.HEARTBEAT_S)
        # Another writer: it only announces, and listens nowhere.
        for number in range(REPLICAS):
            writer = support.Replica(
                lab, number, FOREIGN_SERVICE, None, zone=support.ZONES[number]
            )
            foreign.append(asyncio.ensure_future(writer.announce()))
            lab.write(
                f'another writer announces {FOREIGN_SERVICE} at {writer.ip}'
            )
        began_s = lab.now_s()
        end_s = began_s + BEFORE_S + DOWN_S + RECOVER_S + JUDGED_S
        clients = asyncio.ensure_future(traffic.run(end_s))
        await asyncio.sleep(BEFORE_S)
        if trouble:
            await asyncio.gather(*(g.kill() for g in lab.gateways))
            lab.write('all processes are killed')
            await asyncio.sleep(DOWN_S)
            for gateway in lab.gateways:
                gateway.start()
            lab.write('all processes are started')
        back_s = lab.now_s()
        await clients
        before = traffic.served(began_s, began_s + BEFORE_S - 1)
        after = traffic.served(back_s + RECOVER_S, end_s)
        lab.write(f'served before: {before:.2f}, after: {after:.2f}')
        print(f'served before: {before:.2f}, after: {after:.2f}')
        return before >= 0.25 and after < 0.25
    finally:
        for task in foreign:
            task.cancel()
        await lab.close()


if __name__ == '__main__':
    # TROUBLE=0 leaves the disruption out.
    TROUBLE = os.environ.get('TROUBLE', '1') != '0'
    support.run(case, HERE / 'record.txt', TROUBLE)
