"""Tests of the path of an attempt through its agents."""

import collections

from pimentowalk.agent.tests import fake_engines
from pimentowalk.agent.tests import fakes
from pimentowalk.wire import messages

RANGES = [messages.LayerRange(0, 2), messages.LayerRange(2, 5)]


async def test_answer_crosses_both_stages_token_by_token(two_stages):
    """A lost, reordered or repeated step would change the answer."""
    frame = await two_stages.open()
    await two_stages.entry.wait_for_end(frame, 'finished')
    tokens = two_stages.entry.tokens()
    assert [t.token_index for t in tokens] == list(range(5))
    expected = fake_engines.reference_tokens(frame.prompt, 5, 5, seed=3)
    assert [t.token_id for t in tokens] == expected
    assert all(t.ranges == RANGES for t in tokens)
    assert [t.token_count for t in tokens if t.last] == [5]
    for engine in (two_stages.head_engine, two_stages.last_engine):
        assert [index for _, index in engine.steps_run] == list(range(5))


async def test_second_attempt_continues_the_same_answer(two_stages):
    """A continuation without its prefix would change later tokens."""
    expected = fake_engines.reference_tokens('how to polish', 5, 5, seed=3)
    await two_stages.run_to_end(attempt=2, generated=expected[:2])
    tokens = two_stages.entry.tokens()
    assert [t.token_index for t in tokens] == [2, 3, 4]
    assert [t.token_id for t in tokens] == expected[2:]


async def test_many_attempts_do_not_mix(two_stages):
    """Batched steps must stay with their own request."""
    frames = [await two_stages.open(prompt=f'question {n}') for n in range(12)]
    for frame in frames:
        await two_stages.entry.wait_for_end(frame)
        expected = fake_engines.reference_tokens(frame.prompt, 5, 5, seed=3)
        tokens = two_stages.entry.tokens(frame.request_id)
        assert [t.token_id for t in tokens] == expected
    counts = collections.Counter(two_stages.last_engine.steps_run)
    assert set(counts.values()) == {1}


async def test_steps_of_one_engine_batch_are_sent_in_one_frame(two_stages):
    """A frame for each step would need one send per sequence."""
    two_stages.head_engine.hold_results = (
        two_stages.last_engine.hold_results
    ) = True
    for _ in range(4):
        await two_stages.open()
    await fakes.wait_until(
        lambda: sum(len(i) for _, i in two_stages.head_engine.held_steps) == 4
    )
    batches = []
    handle = two_stages.last.stage.on_steps
    two_stages.last.stage.on_steps = lambda batch: (
        batches.append(len(batch.steps)),
        handle(batch),
    )
    two_stages.head_engine.held_steps = [
        (
            two_stages.head_engine.held_steps[0][0],
            [
                item
                for _, items in two_stages.head_engine.held_steps
                for item in items
            ],
        )
    ]
    await two_stages.head_engine.release_results()
    await fakes.wait_until(lambda: sum(batches) == 4)
    assert batches == [4]


async def test_service_call_is_forwarded_and_answered(plain_setup):
    """A call must reach the service unchanged and exactly once."""
    call = fakes.service_call(path='/jobs?day=2', body=b'{"tyre": 26}')
    reply = await plain_setup.entry.call(call)
    assert (reply.state, reply.status) == ('finished', 201)
    assert reply.body == b'booked'
    assert messages.Header('X-Row', '1') in reply.headers
    assert plain_setup.service.calls == [
        ('POST', '/jobs?day=2', b'{"tyre": 26}')
    ]


async def test_loads_and_delays_of_all_stages_reach_the_entry(two_stages):
    """The entry chooses chains by the reported loads and delays."""
    await two_stages.open_with_held_step(max_tokens=50)
    for _ in range(8):
        await two_stages.timers.advance(0.5)
        await fakes.wait_until(lambda: not two_stages.head.peers.has_unsent())
        await two_stages.entry.call(messages.Empty())
        peer = await two_stages.head.peers.connection(two_stages.chain[1])
        await peer.call(messages.Empty(), fakes.WAIT_S)
    reports = [
        body
        for body in two_stages.entry.received
        if isinstance(body, messages.LoadReport)
    ]
    loads = {load.server_id: load for load in reports[-1].loads}
    assert loads['agent-0'].running == loads['agent-1'].running == 1
    assert loads['agent-1'].queued_tokens == 49
    links = {(link.source_id, link.target_id) for link in reports[-1].links}
    assert links == {('agent-0', 'agent-1')}


async def test_entry_that_sends_no_more_work_gets_no_reports(two_stages):
    """Reporting to every entry that ever sent work would not scale."""
    await two_stages.run_to_end()
    await two_stages.timers.advance(11)
    await two_stages.entry.call(messages.Empty())
    count = len(two_stages.entry.received)
    await two_stages.timers.advance(2)
    await two_stages.entry.call(messages.Empty())
    assert len(two_stages.entry.received) == count


async def test_short_work_has_priority_at_every_engine(two_stages):
    """A shared stage must not run long work before short work."""
    short = fakes.open_attempt(two_stages.chain, predicted_tokens=200)
    long = fakes.open_attempt(two_stages.chain, predicted_tokens=201)
    for frame in (short, long):
        await two_stages.entry.connection.send(frame)
        await two_stages.entry.wait_for_end(frame)
    for engine in (two_stages.head_engine, two_stages.last_engine):
        opened = [m for m in engine.messages if m['type'] == 'open']
        assert [message['priority'] for message in opened] == [1, 0]
