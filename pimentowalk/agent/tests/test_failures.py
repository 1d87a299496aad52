"""Tests of the reports and the cleanup of agents after failures."""

import attrs

from pimentowalk.agent.tests import fakes
from pimentowalk.core.tests import error_codes
from pimentowalk.topology import contracts
from pimentowalk.wire import messages


async def test_crash_of_a_later_engine_fails_the_attempt(two_stages):
    """An attempt must not hang after the crash of an engine."""
    frame = await two_stages.open_with_held_step(fingerprint=77)
    await two_stages.last_engine.crash()
    status = await two_stages.entry.wait_for_end(frame, 'failed', 'peer_lost')
    assert (status.step, status.peer) == ('engine', 'agent-1')
    assert status.engine_crashed
    await fakes.wait_until(lambda: not two_stages.head_engine.sequences)
    assert not two_stages.head.head.queue.running
    reports = two_stages.last.control.crash_reports
    assert [r.fingerprint for r in reports] == [77]
    assert reports[0].request_id == frame.request_id


async def test_lost_engine_is_announced_until_it_reconnects(two_stages):
    """Entries must not choose a server whose engine is not connected."""
    await two_stages.open_with_held_step()
    await two_stages.last_engine.crash()
    await fakes.wait_until(lambda: not two_stages.last.ready)
    await fakes.wait_until(lambda: two_stages.last.session.announcements == 1)
    assert two_stages.last.announcement().draining
    await two_stages.timers.advance(1)
    await fakes.wait_until(lambda: two_stages.last.ready)
    await fakes.wait_until(lambda: two_stages.last.session.announcements == 2)
    record = two_stages.last.announcement()
    assert not record.draining
    assert (record.first_layer, record.end_layer) == (2, 5)


async def test_crash_of_the_head_engine_refuses_queued_attempts(two_stages):
    """Queued attempts never ran and must be reported as refused."""
    two_stages.head_engine.hold_results = True
    frames = [await two_stages.open() for _ in range(10)]
    await fakes.wait_until(lambda: len(two_stages.head_engine.held_steps) >= 1)
    await fakes.wait_until(lambda: len(two_stages.head.stage.sequences) == 8)
    await two_stages.head_engine.crash()
    states = [(await two_stages.entry.wait_for_end(f)).state for f in frames]
    assert states == ['failed'] * 8 + ['refused'] * 2


async def test_lost_stage_fails_the_attempt_and_names_its_agent(two_stages):
    """The entry needs the failed peer in order to choose another chain."""
    frame = await two_stages.open_with_held_step()
    await two_stages.last.server.stop()
    status = await two_stages.entry.wait_for_end(frame, 'failed', 'peer_lost')
    assert status.peer == 'agent-1'


async def test_closed_entry_connection_cancels_its_attempts(two_stages):
    """Abandoned attempts must not occupy capacity."""
    two_stages.last_engine.hold_results = True
    for _ in range(10):
        await two_stages.open()
    await fakes.wait_until(lambda: len(two_stages.last.stage.sequences) == 8)
    assert len(two_stages.head.head.queue.waiting) == 2
    await two_stages.entry.close()
    await fakes.wait_until(lambda: not two_stages.head.is_busy())
    await fakes.wait_until(lambda: not two_stages.last.stage.sequences)
    await fakes.wait_until(lambda: not two_stages.head_engine.sequences)


async def test_close_before_open_fences_the_attempt(two_stages):
    """A late OpenAttempt must not run once it is fenced."""
    frame = fakes.open_attempt(two_stages.chain)
    await two_stages.entry.close_attempt(frame)
    await two_stages.entry.connection.send(frame)
    await fakes.wait_until(lambda: len(two_stages.entry.statuses()) == 2)
    states = [status.state for status in two_stages.entry.statuses()]
    assert states == ['cancelled', 'cancelled']
    assert not two_stages.head_engine.steps_run


async def test_close_of_a_running_attempt_reaches_all_stages(two_stages):
    """No stage may go on computing for a closed attempt."""
    frame = await two_stages.open_with_held_step()
    await two_stages.entry.close_attempt(frame)
    await two_stages.entry.wait_for_end(frame, 'failed', 'outcome_unknown')
    await fakes.wait_until(lambda: not two_stages.last_engine.sequences)
    await two_stages.last_engine.release_results()
    assert not two_stages.entry.tokens()


async def test_higher_attempt_cancels_the_lower_one(two_stages):
    """Two attempts of one request must not both generate tokens."""
    frame = await two_stages.open_with_held_step()
    two_stages.last_engine.hold_results = False
    higher = attrs.evolve(frame, attempt=2)
    await two_stages.entry.connection.send(higher)
    await two_stages.entry.connection.send(frame)
    await fakes.wait_until(
        lambda: 'finished' in [s.state for s in two_stages.entry.statuses()]
    )
    assert {t.attempt for t in two_stages.entry.tokens()} == {2}


def step(frame, index, attempt=None):
    """Return a step for a prepared attempt."""
    return messages.Step(
        frame.request_id,
        frame.attempt if attempt is None else attempt,
        index,
        b'\0' * 8,
        [messages.LayerRange(0, 2)],
    )


async def test_stage_runs_each_step_once_and_in_order(two_stages):
    """A repeated, early or fenced step would corrupt the KV cache."""
    head = await two_stages.connect_other_head()
    frame = two_stages.prepare_frame()
    await head.call(frame)
    two_stages.last_engine.hold_results = True
    for count, indexes in enumerate([(1, 0, 0, 1), (0, 2, 1, 1)], 1):
        steps = [step(frame, index) for index in indexes]
        steps.append(step(frame, indexes[2], attempt=2))
        for each in steps:
            await head.connection.send(messages.StepBatch([each]))
        await head.call(messages.AttemptQuery(b'x' * 16, 1, 1))
        await fakes.wait_until(lambda: two_stages.last_engine.held_steps)
        await two_stages.last_engine.release_results()
        await fakes.wait_until(lambda count=count: len(head.received) == count)
    assert all(isinstance(body, messages.TokenBatch) for body in head.received)
    assert [index for _, index in two_stages.last_engine.steps_run] == [0, 1]


async def test_late_preparation_of_a_fenced_attempt_is_refused(two_stages):
    """A fence must also stop a PrepareAttempt that arrives after it."""
    head = await two_stages.connect_other_head()
    frame = two_stages.prepare_frame()
    await head.connection.send(messages.CloseAttempt(frame.request_id, 3))
    with error_codes.raises('not_run'):
        await head.call(frame)


async def test_stage_fails_sequences_without_renewal(two_stages):
    """A hung head must not occupy capacity of a stage indefinitely."""
    head = await two_stages.connect_other_head()
    kept, dropped = two_stages.prepare_frame(), two_stages.prepare_frame()
    await head.call(kept)
    await head.call(dropped)
    for _ in range(4):
        await two_stages.timers.advance(4)
        renew = messages.RenewAttempts([kept.request_id], [kept.attempt])
        await head.connection.send(renew)
        await head.call(messages.AttemptQuery(b'x' * 16, 1, 1))
    failed = messages.StepFailed
    await fakes.wait_until(
        lambda: any(isinstance(b, failed) for b in head.received)
    )
    failures = [body for body in head.received if isinstance(body, failed)]
    assert [f.request_id for f in failures] == [dropped.request_id]
    assert failures[0].step == 'lease'
    assert list(two_stages.last.stage.sequences) == [(kept.request_id, 3)]


async def test_head_renews_the_leases_of_its_stages(two_stages):
    """A slow step must not let the leases at other stages expire."""
    frame = await two_stages.open_with_held_step()
    for _ in range(15):
        await two_stages.timers.advance(2)
        await fakes.wait_until(lambda: not two_stages.head.peers.has_unsent())
        query = messages.AttemptQuery(b'y' * 16, 1, 1)
        peer = await two_stages.head.peers.connection(two_stages.chain[1])
        await peer.call(query, fakes.WAIT_S)
    assert (frame.request_id, 1) in two_stages.last.stage.sequences


async def test_clock_jump_fails_attempts_before_the_next_frame(two_stages):
    """After a suspension the peers have abandoned the attempts."""
    frame = await two_stages.open_with_held_step()
    two_stages.timers._now_s += 11
    await two_stages.open()
    status = await two_stages.entry.wait_for_end(frame)
    assert (status.state, status.step) == ('failed', 'lease')
    await fakes.wait_until(lambda: len(two_stages.head.head.attempts) == 1)


async def test_query_reports_cancelled_only_for_attempts_that_never_ran(
    two_stages,
):
    """A claim may be released only if its call never ran and never will."""
    frame = await two_stages.open_with_held_step()
    own_incarnation = two_stages.head.identity.incarnation
    unknown = fakes.open_attempt(two_stages.chain)
    answers = [
        await two_stages.entry.call(
            messages.AttemptQuery(request_id, 1, incarnation)
        )
        for request_id, incarnation in [
            (frame.request_id, own_incarnation),
            (unknown.request_id, own_incarnation),
            (b'z' * 16, own_incarnation + 2),
        ]
    ]
    assert [answer.state for answer in answers] == [
        'failed',
        'cancelled',
        'failed',
    ]
    await two_stages.entry.connection.send(unknown)
    await two_stages.entry.wait_for_end(unknown, 'cancelled')


async def test_older_scope_version_is_refused_after_two_seconds(two_stages):
    """A lagging entry must not bypass a published change."""
    versions = {'service/brass': 4, 'account/polishers': 9}
    configuration = contracts.Configuration(9, scope_versions=versions)
    two_stages.head.session.configure(configuration)
    await two_stages.run_to_end('finished', scope_version=8)
    await two_stages.timers.advance(2)
    await two_stages.run_to_end(
        'refused', 'stale_configuration', scope_version=8
    )
    await two_stages.run_to_end('finished', scope_version=9)


async def test_quarantined_fingerprint_is_refused(two_stages):
    """A request that crashes engines must not reach another engine."""
    two_stages.head.session.quarantined.add(5)
    await two_stages.run_to_end('refused', 'quarantined', fingerprint=5)


async def test_adapter_loaded_by_an_order_is_announced(two_stages):
    """Entries learn from the announcement which engines hold an adapter."""
    await two_stages.run_to_end('refused', 'no_chain', adapter='nynorsk')
    for engine in (two_stages.head_engine, two_stages.last_engine):
        hello = {**engine.hello, 'adapters': ['nynorsk']}
        await next(iter(engine.sockets)).send_json(hello)
    for agent in (two_stages.head, two_stages.last):
        await fakes.wait_until(lambda a=agent: a.session.announcements)
        assert agent.announcement().adapters == ['nynorsk']
    await two_stages.run_to_end('finished', adapter='nynorsk')


async def test_refusal_by_a_later_stage_means_not_run(two_stages):
    """Nothing ran after a refused preparation, so a retry is safe."""
    two_stages.last.gate.draining = True
    status = await two_stages.run_to_end('refused', 'draining')
    assert status.peer == 'agent-1'
    assert not two_stages.head_engine.steps_run


async def test_one_suspect_runs_at_a_time_and_completion_clears_it(two_stages):
    """A second crash must have one possible cause; other requests run."""
    frame = await two_stages.open_with_held_step(fingerprint=6, max_tokens=40)
    await two_stages.last_engine.crash()
    await two_stages.entry.wait_for_end(frame)
    two_stages.last_engine.held_steps.clear()
    await two_stages.timers.advance(1)
    await fakes.wait_until(lambda: two_stages.last.ready)
    retried = attrs.evolve(frame, attempt=2, isolate=True)
    other_suspect = fakes.open_attempt(
        two_stages.chain, fingerprint=7, isolate=True
    )
    unsuspected = fakes.open_attempt(two_stages.chain, fingerprint=8)
    for opened in (retried, other_suspect, unsuspected):
        await two_stages.entry.connection.send(opened)
    await fakes.wait_until(lambda: len(two_stages.last.stage.sequences) == 2)
    running = {key[0] for key in two_stages.last.stage.sequences}
    assert running == {frame.request_id, unsuspected.request_id}
    assert list(two_stages.head.head.queue.waiting) == [
        (other_suspect.request_id, 1)
    ]
    two_stages.last_engine.hold_results = False
    await two_stages.last_engine.release_results()
    for opened in (other_suspect, unsuspected):
        await two_stages.entry.wait_for_end(opened)
    await fakes.wait_until(
        lambda: (
            'finished'
            in [s.state for s in two_stages.entry.statuses(frame.request_id)]
        )
    )
    await fakes.wait_until(
        lambda: not two_stages.last.suspect_table.is_suspect(6)
    )


async def test_suspect_that_passes_probation_admits_the_next_one(two_stages):
    """A suspect must not wait until the answer of another is complete."""
    first = fakes.open_attempt(
        two_stages.chain, fingerprint=6, isolate=True, max_tokens=10_000
    )
    second = fakes.open_attempt(two_stages.chain, fingerprint=7, isolate=True)
    for opened in (first, second):
        await two_stages.entry.connection.send(opened)
    await two_stages.entry.wait_for_end(second)
    states = [s.state for s in two_stages.entry.statuses(first.request_id)]
    assert 'finished' not in states
