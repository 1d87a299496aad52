"""Stop a gateway while streams run, with a `grace-s` that is a fraction."""

import asyncio
import contextlib
import os
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'support-3'))
import lab as support  # noqa: E402

STREAMS = 20
EVENTS = 20
PAUSE_S = 0.1
STOP_AFTER_S = 0.7


class Streams:
    """The replica's side and the client's side of the streams."""

    def __init__(self, lab):
        self.lab = lab
        self.whole = 0
        self.cut = 0
        self.passed_on = set()

    async def handle(self, replica, found):
        """Send a stream of events, as fast as a model writes."""
        request_id = found['headers'].get('pimentowalk-request-id', '')
        self.passed_on.add(request_id)
        self.lab.write(f'{request_id} run by {replica.ip}')
        _, fields, _ = support.success(found)
        fields += ['Content-Type: text/event-stream']
        fields += ['Transfer-Encoding: chunked', 'Connection: close']
        writer = found['writer']
        head = '\r\n'.join(['HTTP/1.1 200 OK', *fields, '', ''])
        writer.write(head.encode())
        for number in range(1, EVENTS + 1):
            event = f'id: {number}\ndata: token {number}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(PAUSE_S)
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        # The stream was written here; `_serve` only closes the connection.
        raise asyncio.IncompleteReadError(b'', None)

    async def read(self, gateway):
        """Send a request and read its stream to the end."""
        request_id = self.lab.new_id()
        self.lab.write(f'{request_id} sent to {gateway.name}')
        answer = support.Answer()
        with contextlib.suppress(ConnectionError, TimeoutError):
            answer = await support.request(
                gateway.address('front'),
                'POST',
                '/repair-note/2f',
                headers=[
                    ('Host', support.HOST),
                    ('Pimentowalk-Request-Id', request_id),
                    ('Pimentowalk-Deadline-Remaining', '20000'),
                ],
                body=b'a punctured tyre',
            )
        self.lab.write(
            f'{request_id} answered {answer.status}, '
            + ('whole' if answer.is_whole else 'cut')
        )
        self.whole += answer.is_whole
        # The rule counts what had been passed on to a replica.
        if not answer.is_whole and request_id in self.passed_on:
            self.cut += 1


async def case(record_path, trouble):
    """Run the case; return whether the rule was broken."""
    grace = os.environ.get('GRACE', '7.5')
    lab = support.Lab(record_path, bounds={'grace-s': grace})
    try:
        streams = Streams(lab)
        await lab.start()
        for number in range(3):
            replica = support.Replica(
                lab,
                number,
                'skrivar',
                streams.handle,
                zone=support.ZONES[number],
            )
            replica.slots = 96
            lab.replicas.append(replica)
            await replica.start()
        await lab.configure(
            support.document(
                1,
                [
                    support.route(
                        'repair-note',
                        '/repair-note/',
                        'skrivar',
                        'streaming',
                        **{'timeout-ms': 20000, 'latency-target-ms': 500},
                        resumable=True,
                    )
                ],
                ['skrivar'],
            )
        )
        await lab.wait_ready()
        await asyncio.sleep(3.0)
        gateway = lab.gateways[-1]
        clients = [
            asyncio.ensure_future(streams.read(gateway))
            for _ in range(STREAMS)
        ]
        await asyncio.sleep(STOP_AFTER_S)
        if trouble:
            lab.write(f'{gateway.name} gets SIGTERM, grace-s is {grace}')
            gateway.send(signal.SIGTERM)
        await asyncio.gather(*clients)
        lab.write(f'{streams.whole} whole answers, {streams.cut} cut')
        print(f'{streams.whole} whole answers, {streams.cut} cut')
        return streams.cut > 0
    finally:
        await lab.close()


if __name__ == '__main__':
    # TROUBLE=0 leaves the disruption out.
    TROUBLE = os.environ.get('TROUBLE', '1') != '0'
    support.run(case, HERE / 'record.txt', TROUBLE)
