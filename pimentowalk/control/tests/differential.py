"""Run random commands through the real state and the naive one."""

import functools
import random as random_module

from hypothesis import strategies

from pimentowalk.control import commands
from pimentowalk.control import state
from pimentowalk.control.tests import naive
from pimentowalk.topology import contracts

ADDRESS = commands.ServerAddress('server-1', 3, '127.0.0.1', 9)
SERVERS = ('server-1', 'server-2')

CHANGE_IDS = [f'change-{number}' for number in range(8)]
CLAIM_IDS = ['claim-1', 'claim-2', 'claim-3']
# Lags behind the accepted version; most publishes name the right one.
LAGS = [0, 0, 0, 0, 1, -1]
POOL_SEED = 20_261
POOL_SIZE = 150


def _source(random):
    """Return a small source whose names may clash with another's."""
    services = [name for name in 'ab' if random.random() < 0.6]
    routes = [name for name in 'ab' if random.random() < 0.2]
    accounts = [name for name in 'xyz' if random.random() < 0.4]
    weight = random.choice([1.0, 2.0])
    return commands.Source(
        [contracts.Service(name) for name in services],
        [contracts.Route(f'r-{n}', n, f'/{n}') for n in routes],
        [contracts.ClientAccount(n, 'ab', weight) for n in accounts],
    )


def _publish(random):
    sources = {
        name: _source(random)
        for name in ('one', 'two')
        if random.random() < 0.6
    }
    lag = random.choice(LAGS)
    change_id = random.choice(CHANGE_IDS)
    return lambda version: commands.Publish(
        change_id, 'anna', max(0, version - lag), sources
    )


def _claim_command(random):
    name = ('acc-1', random.choice(['key-1', 'key-1', 'key-2']))
    claim_id = random.choice(CLAIM_IDS)
    choice = random.randrange(5)
    if choice == 0:
        return commands.ReleaseClaim(*name, claim_id)
    if choice == 1:
        outcome = random.choice(['done', 'unknown'])
        body = random.choice([b'', b'one', b'\x00two'])
        return commands.SettleClaim(*name, claim_id, outcome, body=body)
    body_hash = random.choice(['h1', 'h1', 'h1', 'h2'])
    account = random.choice(['acc-1'] * 5 + ['acc-2'])
    return commands.OpenClaim(
        account, name[1], body_hash, claim_id, b'r' * 16, ADDRESS
    )


def _order_command(random):
    return commands.IssueFence(
        random.choice(CHANGE_IDS), 'anna', random.choice(SERVERS), 'load'
    )


def _crash_command(random):
    fingerprint = random.randint(1, 2)
    if random.random() < 0.1:
        change_id = random.choice(CHANGE_IDS)
        return commands.ClearQuarantine(change_id, 'anna', fingerprint)
    return commands.ReportCrash(
        fingerprint,
        'acc-1',
        random.choice(SERVERS),
        random.randint(1, 2),
        random.choice(['r1', 'r2']),
    )


def _fixed(body):
    return lambda version: body


def _pool(seed, make):
    """Return steps of which a fifth are repeats, restarts and waits."""
    random = random_module.Random(seed)
    pool = [('command', make(random)) for _ in range(POOL_SIZE)]
    pool += [('repeat', random.randrange(40)) for _ in range(POOL_SIZE // 8)]
    pool += [('restart', None)] * (POOL_SIZE // 16)
    pool += [('wait', delay_s) for delay_s in DELAYS_S * 2]
    return pool


DELAYS_S = [-5.0, 1.0, 300.0, 601.0, 3_000.0, 50_000.0]
PUBLISHES = _pool(POOL_SEED, _publish)
OTHERS = [
    _pool(POOL_SEED + number, lambda random, make=make: _fixed(make(random)))
    for number, make in enumerate(
        (_claim_command, _order_command, _crash_command), 1
    )
]
POOLS = [
    PUBLISHES,
    *OTHERS,
    [step for p in (PUBLISHES, *OTHERS) for step in p],
]


def steps():
    """Return a strategy for lists of (action, argument).

    Most lists use the commands of one part, because sequences that matter
    to a part are rare among all commands.
    """
    return strategies.sampled_from(POOLS).flatmap(
        lambda pool: strategies.lists(
            strategies.sampled_from(pool), min_size=10, max_size=40
        )
    )


@functools.singledispatch
def outcome(result):
    """Return a result in the form of the naive state."""
    return ('done', 'repeated') if result.repeated else ('done',)


@outcome.register
def _refusal(result: commands.Refusal):
    return ('refused', result.code)


@outcome.register
def _version(result: commands.PublishResult):
    repeated = ('repeated',) if result.repeated else ()
    return ('version', result.version, *repeated)


@outcome.register
def _fence(result: commands.FenceResult):
    repeated = ('repeated',) if result.repeated else ()
    return ('fence', result.fence, *repeated)


@outcome.register
def _crash(result: commands.CrashResult):
    return ('crashes', result.crashes, result.quarantined)


@outcome.register
def _claim(result: commands.ClaimResult):
    claim = result.claim
    if claim is None:
        return (result.state, None, None)
    return (result.state, claim.claim_id, claim.body)


class Pair:
    """The real state and the naive one, fed with the same commands."""

    def __init__(self):
        self.real = state.ControlState()
        self.naive = naive.NaiveState()
        self.time_s = 100.0
        self.sent = []

    def command(self, build):
        """Apply one command to both and compare the outcomes."""
        self._apply(build(self.naive.version))

    def _apply(self, body):
        self.sent.append(body)
        content = commands.to_log(body)
        real = self.real.apply(len(self.sent), content, self.time_s)
        expected = self.naive.apply(body, self.time_s)
        assert outcome(real) == expected, body
        self._compare()

    def repeat(self, number):
        """Send an earlier command again."""
        if self.sent:
            self._apply(self.sent[number % len(self.sent)])

    def wait(self, delay_s):
        """Change the time of the following records."""
        self.time_s += delay_s

    def restart(self, _):
        """Replace the real state by one restored from its snapshot."""
        content = self.real.snapshot()
        self.real = state.ControlState()
        self.real.restore(content)
        assert self.real.snapshot() == content
        self._compare()

    def _compare(self):
        configuration = self.real.part('publishing').configuration
        assert configuration.version == self.naive.version
        assert configuration.scope_versions == self.naive.scope_versions
        found = {
            **{f'service/{n}': c for n, c in configuration.services.items()},
            **{f'route/{n}': c for n, c in configuration.routes.items()},
            **{f'account/{n}': c for n, c in configuration.accounts.items()},
        }
        assert found == {s: c for s, c, _ in self.naive.contracts()}
        for server_id in SERVERS:
            highest = self.real.part('fences').highest(server_id)
            assert highest == self.naive.highest_fence(server_id)
        active = self.real.part('quarantine').active(self.naive.time_s)
        assert set(active) == self.naive.active()
        records = self.real.part('audit').records_after(0, 1000)
        assert len(records) == self.naive.audited


def check_states(actions):
    """Apply all steps; raise AssertionError at the first difference."""
    pair = Pair()
    for name, argument in actions:
        getattr(pair, name)(argument)
