"""Show that seeded faults in the real replica are found."""

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


class ForgetfulLog(control_log.DurableLog):
    """A log that keeps its vote in memory only."""

    def _write_vote(self, vote):
        if self.vote is None or not self.vote.cluster_id:
            super()._write_vote(vote)
        self.vote = vote


class HastyLog(control_log.DurableLog):
    """A log that reports a sync before it writes anything."""

    async def _sync(self):
        if self.synced_index == 0:
            await super()._sync()
        self.synced_index = self.last_index


class Desk:
    """A connection that keeps the answer."""

    peer = 'desk'

    async def reply(self, envelope, body):
        """Keep the answer."""
        self.answer = body

    async def ask(self, node, body):
        """Return the answer of a node to a frame."""
        await node.replica.handle(self, codec.Envelope(body, 0, 2))
        return self.answer


def vote_request(node, candidate, term, identity):
    """Return a request that only the earlier votes can refuse."""
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
    """Return a request of a later leader with one record."""
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


async def follower_of(sim):
    """Return a node that follows, after one command is committed."""
    await sim.settle()
    return next(n for n in sim.nodes if n not in sim.leaders())


async def restart(node, **options):
    """Lose power and start again."""
    await node.crash(random.Random(1), **options)
    await node.start()


async def one_vote_a_term(sim):
    """A vote must hold across a restart."""
    node = await follower_of(sim)
    for name, expected in (('x/1', True), ('y/1', False)):
        request = vote_request(node, name, 50, node.replica.identity)
        reply = await Desk().ask(node, request)
        assert reply.granted == expected
        await restart(node)


async def answered_records_survive(sim):
    """A record that a follower answered for must survive its crash."""
    node = await follower_of(sim)
    log = node.replica._log
    record = messages.LogRecord(log.last_index + 1, 50, 'noop', b'')
    request = append_request(log, record, log.last_term)
    reply = await Desk().ask(node, request)
    assert reply.accepted
    await restart(node)
    assert node.replica._log.last_index >= reply.match_index


async def lost_disk_does_not_vote(sim):
    """A replica with a fresh folder must not vote for the old one."""
    node = await follower_of(sim)
    request = vote_request(node, 'x/1', 50, node.replica.identity)
    await restart(node, lose_disk=True)
    reply = await Desk().ask(node, request)
    assert not reply.granted


async def older_terms_do_not_commit_by_counting(sim):
    """A record of an older term may still be replaced."""
    await sim.settle()
    leader = sim.leaders()[0].replica
    consensus = leader._consensus
    committed = consensus.commit_index
    record = messages.LogRecord(committed + 1, leader.term, 'noop', b'')
    consensus.append([record])
    await consensus.log.sync()
    await consensus.log.save_vote(leader.term + 1, consensus.candidate_id)
    for progress in consensus.progress.values():
        progress.match_index = committed + 1
    consensus.advance_commit()
    assert consensus.commit_index == committed


async def frozen_leader_does_not_answer(sim):
    """A leader that was frozen must look at its lease again."""
    await sim.settle()
    old = sim.leaders()[0]
    old.timers.freeze()
    await sim.advance(3.0)
    await sim.commit()
    assert old not in sim.leaders()
    sim.cut.add(old)
    old.timers.thaw()
    # None of its tasks has run yet that could step down.
    assert not old.replica.is_leader
    with pytest.raises(errors.PimentowalkError):
        await old.replica.read_barrier()


def _always(now_s, end_s):
    return True


FAULTS = {
    'vote not persisted': (one_vote_a_term, {'make_log': ForgetfulLog}),
    'answer before sync': (answered_records_survive, {'make_log': HastyLog}),
    'lost-disk voter keeps its identity': (
        lost_disk_does_not_vote,
        {'identity_of': lambda name, node_id: lambda: node_id},
    ),
    'commit counts an older term': (
        older_terms_do_not_commit_by_counting,
        {'rules': log_scenarios.FAULTS['commit counts an older term'].rules},
    ),
    'lease not checked': (
        frozen_leader_does_not_answer,
        {'rules': control_rules.Rules(holds_lease=_always)},
    ),
}


async def run(check, **options):
    """Run a check on three replicas."""
    sim = simulation.Simulation(**options)
    await sim.start()
    try:
        await check(sim)
    finally:
        await sim.stop()


@pytest.mark.parametrize('name', FAULTS)
async def test_check_passes_without_the_fault(name):
    """The checks must hold on the replica as it is."""
    await run(FAULTS[name][0])


@pytest.mark.parametrize('name', FAULTS)
async def test_check_fails_with_the_fault(name):
    """A check that a fault passes would prove nothing."""
    check, options = FAULTS[name]
    # A log that was synced further than it reaches refuses to open.
    with pytest.raises((AssertionError, errors.DamagedData)):
        await run(check, **options)


async def test_specification_and_replica_have_the_same_faults():
    """A fault in one table only would leave the other side unproven."""
    assert FAULTS.keys() <= log_scenarios.FAULTS.keys()


async def test_record_queued_while_leading_is_synced_before_its_answer():
    """A deposed leader must not answer for a record still in memory."""
    sim = simulation.Simulation()
    await sim.start()
    await sim.settle()
    old = sim.leaders()[0]
    log = old.replica._log
    consensus = old.replica._consensus
    record = messages.LogRecord(
        log.last_index + 1, old.replica.term, control_consensus.NOOP, b''
    )
    consensus.append([record])
    previous_term = log.term_at(log.last_index - 1)
    request = append_request(log, record, previous_term)
    reply = await Desk().ask(old, request)
    assert reply.match_index == record.index == log.synced_index
    await sim.stop()
