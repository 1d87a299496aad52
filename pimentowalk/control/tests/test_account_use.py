"""Tests of the division of account rates by the leader."""

from pimentowalk.control import commands
from pimentowalk.control.tests import harness


async def test_only_the_leader_divides_rates():
    """Two demand tables would each hand out the whole rate."""
    async with harness.control_instances(3) as found:
        for instance in found:
            instance.replica.leader_id = 'control-2'
        async with harness.operator_client(found) as entry:
            report = commands.ReportUse('entry-1', {'a': 2.0, 'b': 0.0})
            result = await entry.request(report)
    assert set(result.shares) == {'a'}
    assert 0 < result.shares['a'] <= 1
