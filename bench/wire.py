"""Measure the cost of frames and connections."""

import asyncio
import os
import resource
import time

from bench import common
from pimentowalk.wire import codec
from pimentowalk.wire import connection
from pimentowalk.wire import messages

REPEATS = 300
BATCHES = (1, 4, 16, 64)
CONNECTIONS = (50, 100, 200)
HELLO = messages.Hello('bench', 'entry', 1)
RANGES = [messages.LayerRange(0, 4), messages.LayerRange(4, 8)]


def token_batch(size):
    """Return a batch like those from a head to an entry."""
    token = messages.Token(b'r' * 16, 1, 5, 1234, 'word ', RANGES)
    load = messages.StageLoad('agent-1', 100, 8, 900.0)
    return messages.TokenBatch([token] * size, [load])


def measure_codec():
    """Print the encoding and decoding time against the batch size."""
    encode_us, decode_us = [], []
    for size in BATCHES:
        body = token_batch(size)
        payload = codec.encode(body)[codec.HEADER.size :]
        encode_s = common.time_per_call_s(lambda b=body: codec.encode(b), 300)
        decode_s = common.time_per_call_s(
            lambda p=payload: codec.decode(p), REPEATS
        )
        encode_us.append(encode_s * 1e6)
        decode_us.append(decode_s * 1e6)
    for name, values in (('encode', encode_us), ('decode', decode_us)):
        line = common.fit(BATCHES, values)
        common.emit(
            'wire.codec',
            operation=name,
            sizes=BATCHES,
            values_us=values,
            frame_us=line.intercept,
            token_us=line.slope,
        )


def resident_bytes():
    """Return the resident memory of this process."""
    with open('/proc/self/statm') as statm:
        return int(statm.read().split()[1]) * resource.getpagesize()


async def measure_calls():
    """Print the time of a call and the memory of a connection."""
    accepted = []

    def accept(peer):
        accepted.append(peer)
        peer.on_frame = answer

    async def answer(peer, envelope):
        await peer.reply(envelope, messages.Empty())

    server = connection.PeerServer('127.0.0.1', 0, HELLO, accept)
    await server.start()
    peers, memory = [], []
    for count in CONNECTIONS:
        while len(peers) < count:
            peer = await connection.dial('127.0.0.1', server.port, HELLO)
            peers.append((peer, asyncio.ensure_future(peer.run())))
        await asyncio.sleep(0.2)
        memory.append(resident_bytes())
    begin_s, processor_s = time.perf_counter(), time.process_time()
    for number in range(REPEATS * 3):
        await peers[number % len(peers)][0].call(messages.Empty(), 5)
    calls = REPEATS * 3
    common.emit(
        'wire.call',
        round_trip_us=(time.perf_counter() - begin_s) / calls * 1e6,
        processor_us_both_sides=(time.process_time() - processor_s)
        / calls
        * 1e6,
    )
    line = common.fit(CONNECTIONS, memory)
    common.emit(
        'wire.connection',
        sizes=CONNECTIONS,
        values_bytes=memory,
        bytes_both_sides=line.slope,
    )
    for peer, task in peers:
        peer.close()
        await task
    await server.stop()


def main():
    """Run the measurements of the wire format."""
    common.note(f'process {os.getpid()}')
    measure_codec()
    asyncio.run(measure_calls())


if __name__ == '__main__':
    main()
