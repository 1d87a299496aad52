"""Guard requests to control: leaders, tokens, repeats, outcomes."""

import asyncio
import logging

import attrs
import pytest

from pimentowalk.control import client
from pimentowalk.control import commands
from pimentowalk.control import operators
from pimentowalk.control.tests import builders
from pimentowalk.control.tests import fakes
from pimentowalk.control.tests import harness
from pimentowalk.core import errors
from pimentowalk.core.tests import error_codes
from pimentowalk.topology import instances
from pimentowalk.wire import messages

LOST = errors.OutcomeUnknown('no majority answered')


async def test_client_follows_the_leader_hint():
    """Operators know only some control instance, not the leader."""
    async with harness.control_instances(3) as found:
        for instance in found:
            instance.replica.leader_id = 'control-2'
        async with harness.operator_client(found) as anna:
            result = await anna.request(builders.publish('c1', 0))
    assert result.version == 1
    assert [i.state.version for i in found] == [0, 1, 0]


@pytest.mark.parametrize('token', ['', 'wrong'])
async def test_operator_commands_need_a_token(token, caplog):
    """Any process on the network could publish otherwise."""
    caplog.set_level(logging.DEBUG)
    queries = [builders.publish('c1', 0)]
    queries.append(attrs.evolve(queries[0], dry_run=True))
    queries.append(commands.IssueFence('f1', 'anna', 'server-1', 'load'))
    queries.append(commands.ClearQuarantine('q1', 'anna', 1))
    one = instances.Instance('control-9', '127.0.0.1', 9)
    queries.append(commands.ChangeMembers('m1', 'a', 'add_learner', one))
    queries += [commands.ReadAudit(), commands.ReadConfiguration()]
    queries += [commands.ListQuarantine(), commands.ListMembers()]
    async with harness.control_with_operator(token=token or 'x') as (
        found,
        anna,
    ):
        for query in queries:
            with error_codes.raises('unauthorized'):
                await anna.request(query)
        assert found[0].state.index == 0
    assert 'wrong' not in caplog.text


async def test_author_is_the_owner_of_the_token(caplog):
    """The audit trail must not depend on what a client claims."""
    caplog.set_level(logging.DEBUG)
    async with harness.control_with_operator() as (found, anna):
        body = attrs.evolve(builders.publish('c1', 0), author='boss')
        await anna.request(body)
        result = await anna.request(commands.ReadAudit())
    assert [record.author for record in result.records] == ['anna']
    assert fakes.TOKEN not in caplog.text
    assert fakes.TOKEN not in repr(
        messages.ControlRequest('Publish', b'', fakes.TOKEN)
    )


async def test_dry_run_checks_without_a_change():
    """Operators validate a publish before they make it."""
    async with harness.control_with_operator() as (found, anna):
        body = attrs.evolve(builders.publish('c1', 0), dry_run=True)
        result = await anna.request(body)
        assert (result.version, result.change_count) == (0, 3)
        assert found[0].state.index == 0
        await anna.request(builders.publish('c2', 0))
        codes = []
        for expected in (0, 4):
            query = attrs.evolve(body, expected_version=expected)
            with pytest.raises(errors.PimentowalkError) as caught:
                await anna.request(query)
            codes.append(caught.value.code)
        assert codes == ['conflict', 'bad_request']
        assert found[0].state.index == 1


@pytest.mark.parametrize('applied', [True, False])
async def test_lost_reply_is_retried_with_the_same_change_id(applied):
    """The operator must get one result whether the first try counted."""
    async with harness.control_instances() as found:
        found[0].replica.failures = [(LOST, applied)]
        async with harness.operator_client(found) as anna:
            result = await anna.request(builders.publish('c1', 0))
        assert (result.version, result.repeated) == (1, applied)
        assert found[0].state.version == 1


@pytest.mark.parametrize(
    'failures, code',
    [
        ([(LOST, False)] * 50, 'outcome_unknown'),
        ([(errors.NoQuorum('cut off'), False)] * 50, 'no_quorum'),
    ],
)
async def test_uncertain_outcome_differs_from_a_refusal(failures, code):
    """A booking reported as not run must not have been claimed."""
    async with harness.control_instances() as found:
        found[0].replica.failures = failures
        async with harness.operator_client(found) as anna:
            with error_codes.raises(code):
                await anna.request(builders.publish('c1', 0), 0.3)


async def test_refusal_after_an_uncertain_try_stays_uncertain():
    """The first try may be applied after the second was refused."""
    refused = errors.PimentowalkError('too many claims', code='too_large')
    async with harness.control_instances() as found:
        found[0].replica.failures = [(LOST, False), (refused, False)]
        async with harness.operator_client(found) as anna:
            with pytest.raises(errors.OutcomeUnknown):
                await anna.request(builders.publish('c1', 0))


async def test_no_answer_at_all_is_a_proven_refusal():
    """A request that was never sent can be reported as not run."""
    nobody = instances.Instance('control-1', '127.0.0.1', 1)
    caller = client.ControlClient([nobody])
    with pytest.raises(errors.NoQuorum):
        await caller.request(commands.ReleaseClaim('a', 'k', 'c'), 0.2)


async def test_queries_tell_about_nodes_servers_and_members():
    """Operators need to see which version is in force where."""
    server = builders.backend()
    async with harness.control_instances() as found:
        agent = harness.agent_session(found, lambda: server)
        async with agent, harness.operator_client(found) as anna:
            await anna.request(builders.publish('c1', 0))
            async with asyncio.timeout(harness.WAIT_S):
                while True:
                    status = await anna.request(commands.ReadStatus())
                    if [n.version_in_force for n in status.nodes] == [1]:
                        break
            assert status.nodes[0].node_id == 'agent-1'
            query = commands.FindServer('server-1')
            assert await anna.request(query) == server
            with error_codes.raises('not_found'):
                await anna.request(commands.FindServer('server-9'))
            read = await anna.request(commands.ReadConfiguration())
            assert read.sources == {'one': builders.source()}
            fence = commands.HighestFence('server-1')
            assert (await anna.request(fence)).fence == 0


async def test_member_change_is_made_once():
    """A repeated command must not start a second membership change."""
    two = instances.Instance('control-2', '127.0.0.1', 9)
    async with harness.control_instances() as found:
        replica = found[0].replica
        async with harness.operator_client(found) as anna:
            for action in ('add_learner', 'promote', 'remove'):
                body = commands.ChangeMembers(action, 'a', action, two)
                assert not (await anna.request(body)).repeated
                assert (await anna.request(body)).repeated
            listed = await anna.request(commands.ListMembers())
        assert [m.instance.instance_id for m in listed.members] == [
            'control-1'
        ]
        assert replica.actions == ['add_learner', 'promote', 'remove']


async def test_quarantine_reaches_nodes_and_expires():
    """A quarantined request must be refused everywhere, for a while."""
    async with harness.control_with_node(services=[]) as (found, node):
        for name in ('r1', 'r2'):
            body = commands.ReportCrash(5, 'acc-1', 's', 1, name)
            result = await node.request(body)
        assert result.quarantined
        await harness.wait_until(lambda: node.quarantined == {5})
        found[0].replica.time_s += 601
        await harness.wait_until(lambda: node.quarantined == set())


def test_operators_file_is_checked(tmp_path):
    """A file that others can read gives the hashes away."""
    path = fakes.write_operators(tmp_path)
    assert operators.load(path).authenticate(fakes.TOKEN) == 'anna'
    fakes.write_operators(tmp_path, 0o644)
    with pytest.raises(errors.SettingsError, match='others have access'):
        operators.load(path)
    fakes.write_operators(tmp_path, value='secret')
    with pytest.raises(errors.SettingsError) as caught:
        operators.load(path)
    assert 'secret' not in str(caught.value)
    with pytest.raises(errors.SettingsError, match='cannot read'):
        operators.load(tmp_path / 'missing.ini')
