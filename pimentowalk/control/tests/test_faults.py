"""Test that checks of the replica detect deliberately injected faults."""

import random

import pytest

from pimentowalk.control import consensus as control_consensus
from pimentowalk.control import log as control_log
from pimentowalk.control import rules as control_rules
from pimentowalk.control.tests import simulation
from pimentowalk.core import errors
from pimentowalk.wire import codec
from pimentowalk.wire import messages
from specs import log_scenarios


class InMemoryVoteLog(control_log.DurableLog):
    """A log that does not save votes once the cluster id is saved."""

    def _write_vote(self, vote):
        if self.vote is None or not self.vote.cluster_id:
            super()._write_vote(vote)
        self.vote = vote


class EarlySyncLog(control_log.DurableLog):
    """A log that reports records as synced before writing them."""

    async def _sync(self):
        if self.synced_index == 0:
            await super()._sync()
        self.synced_index = self.last_index


class ReplyRecorder:
    """A connection that records the reply to a request."""

    peer = 'test'

    async def reply(self, envelope, body):
        """Record the reply."""
        self.last_reply = body

    async def call(self, node, body):
        """Return the reply of a node to a request."""
        await node.replica.handle(self, codec.Envelope(body, 0, 2))
        return self.last_reply


def vote_request(node, candidate, term, identity):
    """Return a vote request that only an earlier vote or identity denies."""
    return messages.VoteRequest(
        term=term,
        candidate_id=candidate,
        last_index=1000,
        last_term=term - 1,
        transfer=True,
        cluster_id=node.replica._log.vote.cluster_id,
        voter_identity=identity,
    )


def append_request(log, record, previous_term):
    """Return an append request from a later leader with one record."""
    return messages.AppendRequest(
        term=50,
        leader_id='x',
        previous_index=record.index - 1,
        previous_term=previous_term,
        commit_index=0,
        records=[record],
        cluster_id=log.vote.cluster_id,
        receiver_identity=log.vote.identity,
    )


async def commit_and_find_follower(sim):
    """Commit one command, then return a follower."""
    await sim.replicate_command()
    return next(n for n in sim.nodes if n not in sim.leaders())


async def crash_and_restart(node, **options):
    """Crash a node and start it again."""
    await node.crash(random.Random(1), **options)
    await node.start()


async def votes_once_per_term(sim):
    """A replica must not vote again in the same term after a restart."""
    node = await commit_and_find_follower(sim)
    for candidate_id, expected in (('x/1', True), ('y/1', False)):
        request = vote_request(node, candidate_id, 50, node.replica.identity)
        reply = await ReplyRecorder().call(node, request)
        assert reply.granted == expected
        await crash_and_restart(node)


async def acknowledged_records_survive(sim):
    """A record that a follower acknowledged must survive its crash."""
    node = await commit_and_find_follower(sim)
    log = node.replica._log
    record = messages.LogRecord(log.last_index + 1, 50, 'noop', b'')
    request = append_request(log, record, log.last_term)
    reply = await ReplyRecorder().call(node, request)
    assert reply.accepted
    await crash_and_restart(node)
    assert node.replica._log.last_index >= reply.match_index


async def lost_disk_does_not_vote(sim):
    """A replica with a new folder must not vote with the old identity."""
    node = await commit_and_find_follower(sim)
    request = vote_request(node, 'x/1', 50, node.replica.identity)
    await crash_and_restart(node, lose_disk=True)
    reply = await ReplyRecorder().call(node, request)
    assert not reply.granted


async def older_terms_do_not_commit_by_counting(sim):
    """A record of an older term may still be replaced by another leader."""
    await sim.replicate_command()
    leader = sim.leaders()[0].replica
    consensus = leader._consensus
    committed_index = consensus.commit_index
    record = messages.LogRecord(committed_index + 1, leader.term, 'noop', b'')
    consensus.append([record])
    await consensus.log.sync()
    await consensus.log.save_vote(leader.term + 1, consensus.candidate_id)
    for progress in consensus.progress.values():
        progress.match_index = committed_index + 1
    consensus.advance_commit()
    assert consensus.commit_index == committed_index


async def frozen_leader_does_not_answer(sim):
    """A leader that was frozen must check its lease again."""
    await sim.replicate_command()
    old_leader = sim.leaders()[0]
    old_leader.timers.freeze()
    await sim.advance(3.0)
    await sim.commit_command()
    assert old_leader not in sim.leaders()
    sim.partitioned.add(old_leader)
    old_leader.timers.thaw()
    # None of its tasks has run yet, so it has not stepped down.
    assert not old_leader.replica.is_leader
    with pytest.raises(errors.PimentowalkError):
        await old_leader.replica.read_barrier()


def _always_holds(now_s, end_s):
    return True


FAULTS = {
    'vote not persisted': (votes_once_per_term, {'make_log': InMemoryVoteLog}),
    'answer before sync': (
        acknowledged_records_survive,
        {'make_log': EarlySyncLog},
    ),
    'lost-disk voter keeps its identity': (
        lost_disk_does_not_vote,
        {'new_identity_for': lambda disk_name, node_id: lambda: node_id},
    ),
    'commit counts an older term': (
        older_terms_do_not_commit_by_counting,
        {'rules': log_scenarios.FAULTS['commit counts an older term'].rules},
    ),
    'lease not checked': (
        frozen_leader_does_not_answer,
        {'rules': control_rules.Rules(holds_lease=_always_holds)},
    ),
}


async def run_check(check, **options):
    """Run a check on a new cluster of three replicas."""
    sim = simulation.Simulation(**options)
    await sim.start()
    try:
        await check(sim)
    finally:
        await sim.stop()


@pytest.mark.parametrize('name', FAULTS)
async def test_check_passes_without_the_fault(name):
    """Each check must pass on the unmodified replica."""
    await run_check(FAULTS[name][0])


@pytest.mark.parametrize('name', FAULTS)
async def test_check_fails_with_the_fault(name):
    """A check that passes in spite of its fault would prove nothing."""
    check, options = FAULTS[name]
    # A log that ends before its synced index raises DamagedData when it is
    # opened.
    with pytest.raises((AssertionError, errors.DamagedData)):
        await run_check(check, **options)


async def test_faults_are_also_in_the_specification():
    """The specification must cover each fault that the replica tests cover."""
    assert FAULTS.keys() <= log_scenarios.FAULTS.keys()


async def test_old_leader_syncs_a_queued_record_before_acknowledging_it():
    """A deposed leader must not acknowledge a record only in memory."""
    sim = simulation.Simulation()
    await sim.start()
    await sim.replicate_command()
    old_leader = sim.leaders()[0]
    log = old_leader.replica._log
    consensus = old_leader.replica._consensus
    record = messages.LogRecord(
        log.last_index + 1,
        old_leader.replica.term,
        control_consensus.NOOP,
        b'',
    )
    consensus.append([record])
    previous_term = log.term_at(log.last_index - 1)
    request = append_request(log, record, previous_term)
    reply = await ReplyRecorder().call(old_leader, request)
    assert reply.match_index == record.index == log.synced_index
    await sim.stop()
