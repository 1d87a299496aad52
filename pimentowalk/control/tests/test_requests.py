"""Tests of control requests: leaders, tokens, retries, outcomes."""

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

UNKNOWN_OUTCOME = errors.OutcomeUnknown('no majority answered')


async def test_client_follows_the_leader_hint():
    """Operators know the control instances but not which one leads."""
    async with harness.control_instances(3) as control:
        for instance in control:
            instance.replica.leader_id = 'control-2'
        async with harness.operator_client(control) as operator:
            result = await operator.request(builders.publish('c1', 0))
    assert result.version == 1
    assert [i.state.version for i in control] == [0, 1, 0]


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
        control,
        operator,
    ):
        for query in queries:
            with error_codes.raises('unauthorized'):
                await operator.request(query)
        assert control[0].state.index == 0
    assert 'wrong' not in caplog.text


async def test_author_is_the_owner_of_the_token(caplog):
    """The audit trail must not depend on the author that a client sends."""
    caplog.set_level(logging.DEBUG)
    async with harness.control_with_operator() as (control, operator):
        body = attrs.evolve(builders.publish('c1', 0), author='boss')
        await operator.request(body)
        result = await operator.request(commands.ReadAudit())
    assert [record.author for record in result.records] == ['anna']
    assert fakes.TOKEN not in caplog.text
    assert fakes.TOKEN not in repr(
        messages.ControlRequest('Publish', b'', fakes.TOKEN)
    )


async def test_dry_run_checks_without_a_change():
    """Operators validate a publish before sending it."""
    async with harness.control_with_operator() as (control, operator):
        body = attrs.evolve(builders.publish('c1', 0), dry_run=True)
        result = await operator.request(body)
        assert (result.version, result.change_count) == (0, 3)
        assert control[0].state.index == 0
        await operator.request(builders.publish('c2', 0))
        codes = []
        for expected in (0, 4):
            query = attrs.evolve(body, expected_version=expected)
            with pytest.raises(errors.PimentowalkError) as caught:
                await operator.request(query)
            codes.append(caught.value.code)
        assert codes == ['conflict', 'bad_request']
        assert control[0].state.index == 1


@pytest.mark.parametrize('applied', [True, False])
async def test_lost_reply_is_retried_with_the_same_change_id(applied):
    """The result must not depend on whether the first try was applied."""
    async with harness.control_instances() as control:
        control[0].replica.failures = [(UNKNOWN_OUTCOME, applied)]
        async with harness.operator_client(control) as operator:
            result = await operator.request(builders.publish('c1', 0))
        assert (result.version, result.repeated) == (1, applied)
        assert control[0].state.version == 1


@pytest.mark.parametrize(
    'failures, code',
    [
        ([(UNKNOWN_OUTCOME, False)] * 50, 'outcome_unknown'),
        ([(errors.NoQuorum('cut off'), False)] * 50, 'no_quorum'),
    ],
)
async def test_uncertain_outcome_differs_from_a_refusal(failures, code):
    """A call reported as not run must not have a claim."""
    async with harness.control_instances() as control:
        control[0].replica.failures = failures
        async with harness.operator_client(control) as operator:
            with error_codes.raises(code):
                await operator.request(builders.publish('c1', 0), 0.3)


async def test_refusal_after_an_uncertain_try_stays_uncertain():
    """The first try may be applied after the second was refused."""
    refused = errors.PimentowalkError('too many claims', code='too_large')
    async with harness.control_instances() as control:
        control[0].replica.failures = [
            (UNKNOWN_OUTCOME, False),
            (refused, False),
        ]
        async with harness.operator_client(control) as operator:
            with pytest.raises(errors.OutcomeUnknown):
                await operator.request(builders.publish('c1', 0))


async def test_request_that_was_never_sent_is_refused():
    """A request that was never sent can be reported as not run."""
    unused_address = instances.Instance('control-1', '127.0.0.1', 1)
    caller = client.ControlClient([unused_address])
    with pytest.raises(errors.NoQuorum):
        await caller.request(commands.ReleaseClaim('a', 'k', 'c'), 0.2)


async def test_queries_return_nodes_servers_and_sources():
    """Operators need to see which version is in force where."""
    server = builders.backend()
    async with harness.control_instances() as control:
        agent = harness.agent_session(control, lambda: server)
        async with agent, harness.operator_client(control) as operator:
            await operator.request(builders.publish('c1', 0))
            async with asyncio.timeout(harness.WAIT_S):
                while True:
                    status = await operator.request(commands.ReadStatus())
                    if [n.version_in_force for n in status.nodes] == [1]:
                        break
            assert status.nodes[0].node_id == 'agent-1'
            query = commands.FindServer('server-1')
            assert await operator.request(query) == server
            with error_codes.raises('not_found'):
                await operator.request(commands.FindServer('server-9'))
            read = await operator.request(commands.ReadConfiguration())
            assert read.sources == {'one': builders.source()}
            fence = commands.HighestFence('server-1')
            assert (await operator.request(fence)).fence == 0


async def test_membership_change_is_applied_once():
    """A repeated command must not start a second membership change."""
    two = instances.Instance('control-2', '127.0.0.1', 9)
    async with harness.control_instances() as control:
        replica = control[0].replica
        async with harness.operator_client(control) as operator:
            for action in ('add_learner', 'promote', 'remove'):
                body = commands.ChangeMembers(action, 'a', action, two)
                assert not (await operator.request(body)).repeated
                assert (await operator.request(body)).repeated
            listed = await operator.request(commands.ListMembers())
        assert [m.instance.instance_id for m in listed.members] == [
            'control-1'
        ]
        assert replica.actions == ['add_learner', 'promote', 'remove']


async def test_quarantine_reaches_nodes_and_expires():
    """All nodes must refuse a quarantined request until it expires."""
    async with harness.control_with_node(services=[]) as (control, node):
        for name in ('r1', 'r2'):
            body = commands.ReportCrash(5, 'acc-1', 's', 1, name)
            result = await node.request(body)
        assert result.quarantined
        await harness.wait_until(lambda: node.quarantined == {5})
        control[0].replica.time_s += 601
        await harness.wait_until(lambda: node.quarantined == set())


def test_operators_file_is_checked(tmp_path):
    """A file that other users can read exposes the hashes."""
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
