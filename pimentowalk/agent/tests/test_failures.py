"""Guard what agents report and clean up when a part fails."""

import attrs

from pimentowalk.agent.tests import fakes
from pimentowalk.core.tests import error_codes
from pimentowalk.topology import contracts
from pimentowalk.wire import messages


async def test_crash_of_a_later_engine_fails_the_attempt(pair):
    """An attempt that hangs after a crash would keep its caller waiting."""
    frame = await pair.open_held(fingerprint=77)
    await pair.last_engine.crash()
    status = await pair.entry.ended(frame, 'failed', 'peer_lost')
    assert (status.step, status.peer) == ('engine', 'agent-1')
    assert status.engine_crashed
    await fakes.reach(lambda: not pair.head_engine.sequences)
    assert not pair.head.head.queue.running
    reports = pair.last.control.crashes
    assert [r.fingerprint for r in reports] == [77]
    assert reports[0].request_id == frame.request_id


async def test_lost_engine_is_announced_until_it_is_back(pair):
    """Entries must not choose a server whose engine is away."""
    await pair.open_held()
    await pair.last_engine.crash()
    await fakes.reach(lambda: not pair.last.ready)
    await fakes.reach(lambda: pair.last.session.announced == 1)
    assert pair.last.announcement().draining
    await pair.timers.advance(1)
    await fakes.reach(lambda: pair.last.ready)
    await fakes.reach(lambda: pair.last.session.announced == 2)
    record = pair.last.announcement()
    assert not record.draining
    assert (record.first_layer, record.end_layer) == (2, 5)


async def test_crash_of_the_head_engine_refuses_what_waits(pair):
    """Queued work never ran and must be reported so."""
    pair.head_engine.held = True
    frames = [await pair.open() for _ in range(10)]
    await fakes.reach(lambda: len(pair.head_engine.waiting) >= 1)
    await fakes.reach(lambda: len(pair.head.stage.sequences) == 8)
    await pair.head_engine.crash()
    states = [(await pair.entry.ended(f)).state for f in frames]
    assert states == ['failed'] * 8 + ['refused'] * 2


async def test_lost_stage_agent_fails_the_attempt_with_its_name(pair):
    """The entry needs the peer that failed to choose another chain."""
    frame = await pair.open_held()
    await pair.last.server.stop()
    status = await pair.entry.ended(frame, 'failed', 'peer_lost')
    assert status.peer == 'agent-1'


async def test_ended_entry_cancels_queued_and_running_work(pair):
    """Work that nobody waits for would take places from others."""
    pair.last_engine.held = True
    for _ in range(10):
        await pair.open()
    await fakes.reach(lambda: len(pair.last.stage.sequences) == 8)
    assert len(pair.head.head.queue.waiting) == 2
    await pair.entry.close()
    await fakes.reach(lambda: not pair.head.is_busy())
    await fakes.reach(lambda: not pair.last.stage.sequences)
    await fakes.reach(lambda: not pair.head_engine.sequences)


async def test_close_before_open_fences_the_attempt(pair):
    """A late OpenAttempt must not run after its fence."""
    frame = fakes.open_attempt(pair.chain)
    await pair.entry.close_attempt(frame)
    await pair.entry.connection.send(frame)
    await fakes.reach(lambda: len(pair.entry.statuses()) == 2)
    states = [status.state for status in pair.entry.statuses()]
    assert states == ['cancelled', 'cancelled']
    assert not pair.head_engine.record


async def test_close_of_a_running_attempt_reaches_all_stages(pair):
    """A stage that runs on would compute for a closed attempt."""
    frame = await pair.open_held()
    await pair.entry.close_attempt(frame)
    await pair.entry.ended(frame, 'failed', 'outcome_unknown')
    await fakes.reach(lambda: not pair.last_engine.sequences)
    await pair.last_engine.release()
    assert not pair.entry.tokens()


async def test_higher_attempt_ends_the_lower_one(pair):
    """Tokens of two attempts of one request must not both be made."""
    frame = await pair.open_held()
    pair.last_engine.held = False
    higher = attrs.evolve(frame, attempt=2)
    await pair.entry.connection.send(higher)
    await pair.entry.connection.send(frame)
    await fakes.reach(
        lambda: 'finished' in [s.state for s in pair.entry.statuses()]
    )
    assert {t.attempt for t in pair.entry.tokens()} == {2}


def step(frame, index, attempt=None):
    """Return one step of a prepared attempt."""
    return messages.Step(
        frame.request_id,
        frame.attempt if attempt is None else attempt,
        index,
        b'\0' * 8,
        [messages.LayerRange(0, 2)],
    )


async def test_stage_runs_each_step_once_and_in_order(pair):
    """A repeated, early or stale step would corrupt the KV cache."""
    head = await pair.other_head()
    frame = pair.prepare()
    await head.ask(frame)
    pair.last_engine.held = True
    for count, indexes in enumerate([(1, 0, 0, 1), (0, 2, 1, 1)], 1):
        steps = [step(frame, index) for index in indexes]
        steps.append(step(frame, indexes[2], attempt=2))
        for each in steps:
            await head.connection.send(messages.StepBatch([each]))
        await head.ask(messages.AttemptQuery(b'x' * 16, 1, 1))
        await fakes.reach(lambda: pair.last_engine.waiting)
        await pair.last_engine.release()
        await fakes.reach(lambda count=count: len(head.received) == count)
    assert all(isinstance(body, messages.TokenBatch) for body in head.received)
    assert [index for _, index in pair.last_engine.record] == [0, 1]


async def test_late_preparation_of_a_fenced_attempt_is_refused(pair):
    """A fence that came first must hold."""
    head = await pair.other_head()
    frame = pair.prepare()
    await head.connection.send(messages.CloseAttempt(frame.request_id, 3))
    with error_codes.raises('not_run'):
        await head.ask(frame)


async def test_stage_drops_sequences_without_renewal(pair):
    """A head that froze must not hold places for ever."""
    head = await pair.other_head()
    kept, dropped = pair.prepare(), pair.prepare()
    await head.ask(kept)
    await head.ask(dropped)
    for _ in range(4):
        await pair.timers.advance(4)
        renew = messages.RenewAttempts([kept.request_id], [kept.attempt])
        await head.connection.send(renew)
        await head.ask(messages.AttemptQuery(b'x' * 16, 1, 1))
    failed = messages.StepFailed
    await fakes.reach(
        lambda: any(isinstance(b, failed) for b in head.received)
    )
    failures = [body for body in head.received if isinstance(body, failed)]
    assert [f.request_id for f in failures] == [dropped.request_id]
    assert failures[0].step == 'lease'
    assert list(pair.last.stage.sequences) == [(kept.request_id, 3)]


async def test_head_renews_the_leases_of_its_stages(pair):
    """A slow step must not cost the attempt its place at other stages."""
    frame = await pair.open_held()
    for _ in range(15):
        await pair.timers.advance(2)
        await fakes.reach(lambda: not pair.head.peers.has_unsent())
        query = messages.AttemptQuery(b'y' * 16, 1, 1)
        peer = await pair.head.peers.connection(pair.chain[1])
        await peer.call(query, fakes.WAIT_S)
    assert (frame.request_id, 1) in pair.last.stage.sequences


async def test_clock_jump_drops_attempts_before_anything_else(pair):
    """After a freeze the other sides have given the attempts up."""
    frame = await pair.open_held()
    pair.timers._now_s += 11
    await pair.open()
    status = await pair.entry.ended(frame)
    assert (status.state, status.step) == ('failed', 'lease')
    await fakes.reach(lambda: len(pair.head.head.attempts) == 1)


async def test_query_proves_only_what_never_ran(pair):
    """A booking may be released only if it never ran and never will."""
    frame = await pair.open_held()
    own = pair.head.identity.incarnation
    unknown = fakes.open_attempt(pair.chain)
    answers = [
        await pair.entry.ask(messages.AttemptQuery(request_id, 1, incarnation))
        for request_id, incarnation in [
            (frame.request_id, own),
            (unknown.request_id, own),
            (b'z' * 16, own + 2),
        ]
    ]
    assert [answer.state for answer in answers] == [
        'failed',
        'cancelled',
        'failed',
    ]
    await pair.entry.connection.send(unknown)
    await pair.entry.ended(unknown, 'cancelled')


async def test_older_scope_version_is_refused_after_two_seconds(pair):
    """A published change must not be bypassed by an entry that lags."""
    versions = {'service/brass': 4, 'account/polishers': 9}
    configuration = contracts.Configuration(9, scope_versions=versions)
    pair.head.session.configure(configuration)
    await pair.answered('finished', scope_version=8)
    await pair.timers.advance(2)
    await pair.answered('refused', 'stale_configuration', scope_version=8)
    await pair.answered('finished', scope_version=9)


async def test_quarantined_fingerprint_is_refused(pair):
    """A request that crashes engines must not reach another one."""
    pair.head.session.quarantined.add(5)
    await pair.answered('refused', 'quarantined', fingerprint=5)


async def test_adapter_loaded_by_an_order_is_announced(pair):
    """Work for an adapter must reach only engines that hold it."""
    await pair.answered('refused', 'no_chain', adapter='nynorsk')
    for engine in (pair.head_engine, pair.last_engine):
        hello = {**engine.hello, 'adapters': ['nynorsk']}
        await next(iter(engine.sockets)).send_json(hello)
    for agent in (pair.head, pair.last):
        await fakes.reach(lambda a=agent: a.session.announced)
        assert agent.announcement().adapters == ['nynorsk']
    await pair.answered('finished', adapter='nynorsk')


async def test_refusal_by_a_later_stage_means_not_run(pair):
    """A refused preparation ran nothing, so it may be retried freely."""
    pair.last.gate.draining = True
    status = await pair.answered('refused', 'draining')
    assert status.peer == 'agent-1'
    assert not pair.head_engine.record


async def test_one_suspect_runs_at_a_time_and_completion_clears_it(pair):
    """A second crash must have one possible cause, and others must run."""
    frame = await pair.open_held(fingerprint=6, max_tokens=40)
    await pair.last_engine.crash()
    await pair.entry.ended(frame)
    pair.last_engine.waiting.clear()
    await pair.timers.advance(1)
    await fakes.reach(lambda: pair.last.ready)
    again = attrs.evolve(frame, attempt=2, isolate=True)
    other = fakes.open_attempt(pair.chain, fingerprint=7, isolate=True)
    innocent = fakes.open_attempt(pair.chain, fingerprint=8)
    for opened in (again, other, innocent):
        await pair.entry.connection.send(opened)
    await fakes.reach(lambda: len(pair.last.stage.sequences) == 2)
    running = {key[0] for key in pair.last.stage.sequences}
    assert running == {frame.request_id, innocent.request_id}
    assert list(pair.head.head.queue.waiting) == [(other.request_id, 1)]
    pair.last_engine.held = False
    await pair.last_engine.release()
    for opened in (other, innocent):
        await pair.entry.ended(opened)
    await fakes.reach(
        lambda: (
            'finished'
            in [s.state for s in pair.entry.statuses(frame.request_id)]
        )
    )
    await fakes.reach(lambda: not pair.last.suspicion.is_suspect(6))


async def test_cleared_suspect_admits_the_next_before_its_end(pair):
    """Suspects of a crash must not wait for each other's whole answers."""
    first = fakes.open_attempt(
        pair.chain, fingerprint=6, isolate=True, max_tokens=10_000
    )
    second = fakes.open_attempt(pair.chain, fingerprint=7, isolate=True)
    for opened in (first, second):
        await pair.entry.connection.send(opened)
    await pair.entry.ended(second)
    states = [s.state for s in pair.entry.statuses(first.request_id)]
    assert 'finished' not in states
