"""Tests of failures, suspects and outboxes at later stages."""

import asyncio

import attrs

from pimentowalk.agent import outbox
from pimentowalk.agent import preparation
from pimentowalk.agent.tests import fakes
from pimentowalk.core.tests import error_codes
from pimentowalk.wire import codec
from pimentowalk.wire import messages


async def test_broken_link_between_later_stages_names_the_next_stage(
    three_stages,
):
    """The failure must name the link at once, before a stall timeout."""
    frame = await three_stages.open_with_held_step()
    connection = await three_stages.agents[1].peers.connection(
        three_stages.chain[2]
    )
    connection.abort()
    status = await three_stages.entry.wait_for_end(
        frame, 'failed', 'peer_lost'
    )
    assert (status.step, status.peer) == ('forward', 'agent-2')
    for agent in three_stages.agents:
        await fakes.wait_until(lambda a=agent: not a.stage.sequences)


async def test_unreachable_stage_refuses_the_attempt(three_stages):
    """A link that is broken before the first step proves 'not run'."""
    await three_stages.agents[2].server.stop()
    await three_stages.run_to_end('refused', 'peer_lost')
    assert not three_stages.engines[0].steps_run


async def test_failure_reported_by_an_engine_fails_the_attempt(three_stages):
    """An engine sends no further result for a failed sequence."""
    frame = await three_stages.open_with_held_step()
    socket = next(iter(three_stages.engines[1].sockets))
    name = f'{frame.request_id.hex()}-1'
    await socket.send_json(
        {
            'type': 'failed',
            'sequence': name,
            'code': 'overloaded',
            'text': 'no memory',
        }
    )
    status = await three_stages.entry.wait_for_end(
        frame, 'failed', 'overloaded'
    )
    assert (status.text, status.peer) == ('no memory', 'agent-1')


async def test_chain_with_another_incarnation_is_refused(three_stages):
    """A restarted agent has lost the sequences of its earlier incarnation."""
    chain = three_stages.chain
    chain[2] = attrs.evolve(chain[2], incarnation=1)
    frame = fakes.open_attempt(chain)
    await three_stages.entry.connection.send(frame)
    status = await three_stages.entry.wait_for_end(
        frame, 'refused', 'no_chain'
    )
    assert status.peer == 'agent-2'


async def prepare_at(three_stages, frame):
    """Prepare an attempt at the last agent from another head."""
    head = await three_stages.connect_other_head()
    return head, asyncio.ensure_future(head.call(frame))


def prepare(three_stages, **fields):
    """Return a PrepareAttempt with a fixed request id."""
    values = {'request_id': b'p' * 16, 'attempt': 1, **fields}
    return three_stages.prepare_frame(**values)


async def test_suspect_of_another_head_waits_for_the_running_one(three_stages):
    """Two concurrent suspects would be two possible causes of a crash."""
    first = await three_stages.open_with_held_step(fingerprint=9, isolate=True)
    head, suspect = await prepare_at(
        three_stages, prepare(three_stages, isolate=True)
    )
    unsuspected = prepare(three_stages, request_id=b'i' * 16)
    await head.call(unsuspected)
    stage = three_stages.agents[2].stage
    assert [key[0] for key in stage.sequences] == [
        first.request_id,
        unsuspected.request_id,
    ]
    three_stages.engines[2].hold_results = False
    await three_stages.engines[2].release_results()
    assert isinstance(await suspect, messages.Empty)


async def test_waiting_suspect_gives_way_to_a_higher_attempt(three_stages):
    """A lower attempt would occupy capacity until its lease expires."""
    await three_stages.open_with_held_step(fingerprint=9, isolate=True)
    lower = prepare(three_stages, isolate=True)
    head, suspect = await prepare_at(three_stages, lower)
    await head.call(messages.Empty())
    await head.call(attrs.evolve(lower, attempt=2, isolate=False))
    three_stages.engines[2].hold_results = False
    await three_stages.engines[2].release_results()
    with error_codes.raises('not_run'):
        await suspect
    held = [
        key
        for key in three_stages.agents[2].stage.sequences
        if key[0] == b'p' * 16
    ]
    assert held == [(b'p' * 16, 2)]


async def test_waiting_suspect_is_refused_after_a_timeout(three_stages):
    """A stage must refuse in the end, so that the entry can continue."""
    await three_stages.open_with_held_step(fingerprint=9, isolate=True)
    head, suspect = await prepare_at(
        three_stages, prepare(three_stages, isolate=True)
    )
    await head.call(messages.Empty())
    # Advance in short steps, so that the head renews the running lease.
    for _ in range(int(preparation.SUSPECT_WAIT_S) + 2):
        await three_stages.timers.advance(1)
        await asyncio.sleep(0.01)
    with error_codes.raises('overloaded'):
        await suspect


class FakeConnection:
    """A connection that encodes and records the frames it sends."""

    def __init__(self):
        self.sent = []
        self.may_send = asyncio.Event()

    async def send(self, body):
        await self.may_send.wait()
        codec.encode(body)
        self.sent.append(body)


async def test_outbox_splits_batches_larger_than_a_frame():
    """A batch of long prefills must not close its connection."""
    connection = FakeConnection()
    connection.may_send.set()
    lost = []

    async def connect():
        return connection

    peer_outbox = outbox.Outbox(connect, lambda *a: lost.append(a), lambda: [])
    steps = [
        messages.Step(bytes([n]) * 16, 1, 0, b'h' * size, [])
        for n, size in enumerate((400_000, 400_000, 400_000, 1_200_000))
    ]
    for step in steps:
        peer_outbox.put(step)
    await fakes.wait_until(lambda: lost)
    sent = [step for body in connection.sent for step in body.steps]
    assert sent == steps[:3]
    items, error = lost[0]
    assert (items, error.code) == ([steps[3]], 'too_large')
    await peer_outbox.stop()


async def test_outbox_batches_items_for_a_slow_peer():
    """Batching must keep the order of steps and other frames."""
    connection = FakeConnection()

    async def connect():
        return connection

    peer_outbox = outbox.Outbox(connect, lambda *a: None, lambda: [])
    step = messages.Step(b'r' * 16, 1, 0, b'', [])
    close = messages.CloseAttempt(b'r' * 16, 1)
    peer_outbox.put(step)
    await asyncio.sleep(0)
    for item in (step, step, close, step):
        peer_outbox.put(item)
    assert peer_outbox.busy
    connection.may_send.set()
    await fakes.wait_until(lambda: not peer_outbox.busy)
    kinds = [
        len(b.steps) if b is not close else 'close' for b in connection.sent
    ]
    assert kinds == [1, 2, 'close', 1]
    await peer_outbox.stop()
