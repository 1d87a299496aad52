"""Guard what later stages do beyond the plain path."""

import asyncio

import attrs

from pimentowalk.agent import outbox
from pimentowalk.agent import preparation
from pimentowalk.agent.tests import fakes
from pimentowalk.core.tests import error_codes
from pimentowalk.wire import codec
from pimentowalk.wire import messages


async def test_cut_link_between_later_stages_names_the_next_stage(three):
    """The link must be blamed, and the entry must not wait for a stall."""
    frame = await three.open_held()
    link = await three.agents[1].peers.connection(three.chain[2])
    link.abort()
    status = await three.entry.ended(frame, 'failed', 'peer_lost')
    assert (status.step, status.peer) == ('forward', 'agent-2')
    for agent in three.agents:
        await fakes.reach(lambda a=agent: not a.stage.sequences)


async def test_stage_that_cannot_be_reached_refuses_the_attempt(three):
    """A link that is found broken before any step proves 'not run'."""
    await three.agents[2].server.stop()
    await three.answered('refused', 'peer_lost')
    assert not three.engines[0].record


async def test_failure_that_an_engine_reports_ends_the_attempt(three):
    """An engine that gave a sequence up will send no result."""
    frame = await three.open_held()
    socket = next(iter(three.engines[1].sockets))
    name = f'{frame.request_id.hex()}-1'
    await socket.send_json(
        {
            'type': 'failed',
            'sequence': name,
            'code': 'overloaded',
            'text': 'no memory',
        }
    )
    status = await three.entry.ended(frame, 'failed', 'overloaded')
    assert (status.text, status.peer) == ('no memory', 'agent-1')


async def test_restarted_stage_is_not_taken_for_the_old_one(three):
    """Another incarnation has lost the sequences of the earlier one."""
    chain = three.chain
    chain[2] = attrs.evolve(chain[2], incarnation=1)
    frame = fakes.open_attempt(chain)
    await three.entry.connection.send(frame)
    status = await three.entry.ended(frame, 'refused', 'no_chain')
    assert status.peer == 'agent-2'


async def prepare_at(three, frame):
    """Prepare an attempt at the last agent from another head."""
    head = await three.other_head()
    return head, asyncio.ensure_future(head.ask(frame))


def prepare(three, **fields):
    """Return the PrepareAttempt of a request that is always the same."""
    values = {'request_id': b'p' * 16, 'attempt': 1, **fields}
    return three.prepare(**values)


async def test_suspect_of_another_head_waits_for_the_one_before(three):
    """Two suspects at once would leave two possible causes of a crash."""
    first = await three.open_held(fingerprint=9, isolate=True)
    head, suspect = await prepare_at(three, prepare(three, isolate=True))
    innocent = prepare(three, request_id=b'i' * 16)
    await head.ask(innocent)
    stage = three.agents[2].stage
    assert [key[0] for key in stage.sequences] == [
        first.request_id,
        innocent.request_id,
    ]
    three.engines[2].held = False
    await three.engines[2].release()
    assert isinstance(await suspect, messages.Empty)


async def test_waiting_suspect_gives_way_to_a_higher_attempt(three):
    """A sequence of a lower attempt would hold its place for a lease."""
    await three.open_held(fingerprint=9, isolate=True)
    lower = prepare(three, isolate=True)
    head, suspect = await prepare_at(three, lower)
    await head.ask(messages.Empty())
    await head.ask(attrs.evolve(lower, attempt=2, isolate=False))
    three.engines[2].held = False
    await three.engines[2].release()
    with error_codes.raises('not_run'):
        await suspect
    held = [
        key for key in three.agents[2].stage.sequences if key[0] == b'p' * 16
    ]
    assert held == [(b'p' * 16, 2)]


async def test_suspect_does_not_wait_for_ever(three):
    """A stage must refuse at last, so that the entry can go on."""
    await three.open_held(fingerprint=9, isolate=True)
    head, suspect = await prepare_at(three, prepare(three, isolate=True))
    await head.ask(messages.Empty())
    # Short advances let the head renew the lease of what runs.
    for _ in range(int(preparation.SUSPECT_WAIT_S) + 2):
        await three.timers.advance(1)
        await asyncio.sleep(0.01)
    with error_codes.raises('overloaded'):
        await suspect


class Link:
    """A connection that encodes what it sends."""

    def __init__(self):
        self.sent = []
        self.gate = asyncio.Event()

    async def send(self, body):
        await self.gate.wait()
        codec.encode(body)
        self.sent.append(body)


async def test_outbox_splits_what_exceeds_a_frame():
    """A batch of long prefills must not end its connection."""
    link = Link()
    link.gate.set()
    lost = []

    async def connect():
        return link

    box = outbox.Outbox(connect, lambda *a: lost.append(a), lambda: [])
    steps = [
        messages.Step(bytes([n]) * 16, 1, 0, b'h' * size, [])
        for n, size in enumerate((400_000, 400_000, 400_000, 1_200_000))
    ]
    for step in steps:
        box.put(step)
    await fakes.reach(lambda: lost)
    sent = [step for body in link.sent for step in body.steps]
    assert sent == steps[:3]
    items, error = lost[0]
    assert (items, error.code) == ([steps[3]], 'too_large')
    await box.stop()


async def test_outbox_batches_what_waits_for_a_slow_peer():
    """Order must hold across steps, tokens and other frames."""
    link = Link()

    async def connect():
        return link

    box = outbox.Outbox(connect, lambda *a: None, lambda: [])
    step = messages.Step(b'r' * 16, 1, 0, b'', [])
    close = messages.CloseAttempt(b'r' * 16, 1)
    box.put(step)
    await asyncio.sleep(0)
    for item in (step, step, close, step):
        box.put(item)
    assert box.busy
    link.gate.set()
    await fakes.reach(lambda: not box.busy)
    kinds = [len(b.steps) if b is not close else 'close' for b in link.sent]
    assert kinds == [1, 2, 'close', 1]
    await box.stop()
