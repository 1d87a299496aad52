"""Count attempts per request through a real entry after losses."""

import asyncio

import attrs

from bench import common
from pimentowalk.admission import retry_budget
from pimentowalk.entry.tests import fake_agent
from pimentowalk.entry.tests import harness
from pimentowalk.wire import messages

AGENTS_PER_RANGE = 8
REQUESTS = 400
CONCURRENT = 16


def script_for(lost):
    """Return a script that fails if a later stage is lost."""

    async def run(agent, peer, frame):
        for stage in frame.chain[1:]:
            if stage.server_id in lost:
                state = messages.AttemptState.FAILED
                await peer.send(
                    fake_agent.status(
                        frame,
                        state,
                        'peer_lost',
                        step='link',
                        peer=stage.server_id,
                    )
                )
                return
        await fake_agent.answer(agent, peer, frame)

    return run


async def measure(policy, lost_per_range, budget):
    """Return the counts of one run."""
    async with harness.running() as entry:
        # The rates of accounts would refuse some of the requests.
        entry.session.configuration = harness.configuration(
            requests_per_s=1e9, tokens_per_s=1e9
        )
        services = entry.session.configuration.services
        services['assist'] = attrs.evolve(
            services['assist'], chain_policy=policy
        )
        entry.context.retry_budgets = retry_budget.RouteBudgets(budget)
        lost = set()
        for first, end in ((0, 4), (4, 8)):
            for number in range(AGENTS_PER_RANGE):
                name = f'a{first}-{number}'
                agent = await entry.add_agent(name, first, end)
                agent.script = script_for(lost)
                if number < lost_per_range:
                    lost.add(name)
        entry.update_view()
        for agent in entry.agents:
            if agent.server_id in lost:
                await agent.server.stop()
        statuses = await _send(entry)
        attempts = entry.context.metrics.counters['attempts']
        return statuses, attempts, len(lost)


async def _send(entry):
    left = iter(range(REQUESTS))
    statuses = []

    async def caller():
        for number in left:
            status, _ = await entry.complete(f'question {number}')
            statuses.append(status)

    await asyncio.gather(*(caller() for _ in range(CONCURRENT)))
    return statuses


async def attempts():
    """Print attempts per request for each policy, loss and budget."""
    for policy in ('least_cost', 'round_robin'):
        for lost_per_range in (0, 1, AGENTS_PER_RANGE // 2):
            for budget in ('share', 'unlimited'):
                statuses, count, lost = await measure(
                    policy, lost_per_range, budget
                )
                common.emit(
                    'routing.attempts',
                    policy=policy,
                    servers=2 * AGENTS_PER_RANGE,
                    lost=lost,
                    budget=budget,
                    requests=len(statuses),
                    complete=statuses.count(200),
                    attempts_per_request=round(count / len(statuses), 3),
                )
