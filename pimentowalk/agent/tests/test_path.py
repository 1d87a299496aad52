"""Guard the path of an attempt through its agents."""

import collections

from pimentowalk.agent.tests import fake_engines
from pimentowalk.agent.tests import fakes
from pimentowalk.wire import messages

RANGES = [messages.LayerRange(0, 2), messages.LayerRange(2, 5)]


async def test_answer_crosses_both_stages_token_by_token(pair):
    """A lost, swapped or repeated step would change the answer."""
    frame = await pair.open()
    await pair.entry.ended(frame, 'finished')
    tokens = pair.entry.tokens()
    assert [t.token_index for t in tokens] == list(range(5))
    expected = fake_engines.reference(frame.prompt, 5, 5, seed=3)
    assert [t.token_id for t in tokens] == expected
    assert all(t.ranges == RANGES for t in tokens)
    assert [t.token_count for t in tokens if t.last] == [5]
    for engine in (pair.head_engine, pair.last_engine):
        assert [index for _, index in engine.record] == list(range(5))


async def test_second_attempt_continues_the_same_answer(pair):
    """A continuation that lost its prefix would change later tokens."""
    expected = fake_engines.reference('how to polish', 5, 5, seed=3)
    await pair.answered(attempt=2, generated=expected[:2])
    tokens = pair.entry.tokens()
    assert [t.token_index for t in tokens] == [2, 3, 4]
    assert [t.token_id for t in tokens] == expected[2:]


async def test_many_attempts_do_not_mix(pair):
    """Batched steps must keep their own request."""
    frames = [await pair.open(prompt=f'question {n}') for n in range(12)]
    for frame in frames:
        await pair.entry.ended(frame)
        expected = fake_engines.reference(frame.prompt, 5, 5, seed=3)
        tokens = pair.entry.tokens(frame.request_id)
        assert [t.token_id for t in tokens] == expected
    counts = collections.Counter(pair.last_engine.record)
    assert set(counts.values()) == {1}


async def test_steps_of_one_engine_batch_leave_in_one_frame(pair):
    """A frame for each step would cost a send for every sequence."""
    pair.head_engine.held = pair.last_engine.held = True
    for _ in range(4):
        await pair.open()
    await fakes.reach(
        lambda: sum(len(i) for _, i in pair.head_engine.waiting) == 4
    )
    batches = []
    handle = pair.last.stage.on_steps
    pair.last.stage.on_steps = lambda batch: (
        batches.append(len(batch.steps)),
        handle(batch),
    )
    pair.head_engine.waiting = [
        (
            pair.head_engine.waiting[0][0],
            [item for _, items in pair.head_engine.waiting for item in items],
        )
    ]
    await pair.head_engine.release()
    await fakes.reach(lambda: sum(batches) == 4)
    assert batches == [4]


async def test_service_call_is_passed_on_and_answered(desk):
    """A plain call must reach the service whole and once."""
    call = fakes.service_call(path='/jobs?day=2', body=b'{"tyre": 26}')
    reply = await desk.entry.ask(call)
    assert (reply.state, reply.status) == ('finished', 201)
    assert reply.body == b'booked'
    assert messages.Header('X-Row', '1') in reply.headers
    assert desk.service.calls == [('POST', '/jobs?day=2', b'{"tyre": 26}')]


async def test_loads_and_delays_of_all_stages_reach_the_entry(pair):
    """Without them the entry would choose chains blindly."""
    await pair.open_held(max_tokens=50)
    for _ in range(8):
        await pair.timers.advance(0.5)
        await fakes.reach(lambda: not pair.head.peers.has_unsent())
        await pair.entry.ask(messages.Empty())
        peer = await pair.head.peers.connection(pair.chain[1])
        await peer.call(messages.Empty(), fakes.WAIT_S)
    reports = [
        body
        for body in pair.entry.received
        if isinstance(body, messages.LoadReport)
    ]
    loads = {load.server_id: load for load in reports[-1].loads}
    assert loads['agent-0'].running == loads['agent-1'].running == 1
    assert loads['agent-1'].queued_tokens == 49
    links = {(link.source_id, link.target_id) for link in reports[-1].links}
    assert links == {('agent-0', 'agent-1')}


async def test_entry_that_sends_no_more_work_gets_no_reports(pair):
    """Reports to every entry that ever sent work would cost too much."""
    await pair.answered()
    await pair.timers.advance(11)
    await pair.entry.ask(messages.Empty())
    count = len(pair.entry.received)
    await pair.timers.advance(2)
    await pair.entry.ask(messages.Empty())
    assert len(pair.entry.received) == count


async def test_short_work_has_priority_at_every_engine(pair):
    """A shared stage would otherwise run long work before short."""
    short = fakes.open_attempt(pair.chain, predicted_tokens=200)
    long = fakes.open_attempt(pair.chain, predicted_tokens=201)
    for frame in (short, long):
        await pair.entry.connection.send(frame)
        await pair.entry.ended(frame)
    for engine in (pair.head_engine, pair.last_engine):
        opened = [m for m in engine.messages if m['type'] == 'open']
        assert [message['priority'] for message in opened] == [1, 0]
