"""Compare the control state with a reference model on random commands."""

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
# Lags behind the accepted version; most publishes expect the right one.
LAGS = [0, 0, 0, 0, 1, -1]
STEPS_SEED = 20_261
COMMANDS_PER_LIST = 150


def _source(random):
    """Return a small source whose names may collide with another's."""
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


def _ignore_version(body):
    return lambda version: body


def _make_steps(seed, make):
    """Return steps of which a fifth are duplicates, restarts and waits."""
    random = random_module.Random(seed)
    pool = [('command', make(random)) for _ in range(COMMANDS_PER_LIST)]
    pool += [
        ('repeat', random.randrange(40)) for _ in range(COMMANDS_PER_LIST // 8)
    ]
    pool += [('restart', None)] * (COMMANDS_PER_LIST // 16)
    pool += [('wait', delay_s) for delay_s in DELAYS_S * 2]
    return pool


DELAYS_S = [-5.0, 1.0, 300.0, 601.0, 3_000.0, 50_000.0]
PUBLISH_STEPS = _make_steps(STEPS_SEED, _publish)
OTHER_STEPS = [
    _make_steps(
        STEPS_SEED + number,
        lambda random, make=make: _ignore_version(make(random)),
    )
    for number, make in enumerate(
        (_claim_command, _order_command, _crash_command), 1
    )
]
STEP_LISTS = [
    PUBLISH_STEPS,
    *OTHER_STEPS,
    [step for p in (PUBLISH_STEPS, *OTHER_STEPS) for step in p],
]


def steps():
    """Return a strategy for lists of (action, argument).

    Most lists use commands of a single part of the state, because relevant
    sequences for one part are rare in a mix of all commands.
    """
    return strategies.sampled_from(STEP_LISTS).flatmap(
        lambda pool: strategies.lists(
            strategies.sampled_from(pool), min_size=10, max_size=40
        )
    )


@functools.singledispatch
def outcome(result):
    """Return a result in the form of the reference model."""
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


class StatePair:
    """The control state and the reference model under equal commands."""

    def __init__(self):
        self.real = state.ControlState()
        self.model = naive.ReferenceState()
        self.time_s = 100.0
        self.sent = []

    def command(self, build):
        """Apply one command to both and compare the outcomes."""
        self._apply(build(self.model.version))

    def _apply(self, body):
        self.sent.append(body)
        content = commands.to_log(body)
        real = self.real.apply(len(self.sent), content, self.time_s)
        expected = self.model.apply(body, self.time_s)
        assert outcome(real) == expected, body
        self._compare()

    def repeat(self, number):
        """Apply an earlier command again."""
        if self.sent:
            self._apply(self.sent[number % len(self.sent)])

    def wait(self, delay_s):
        """Shift the time of later records."""
        self.time_s += delay_s

    def restart(self, _):
        """Replace the control state with one restored from its snapshot."""
        content = self.real.snapshot()
        self.real = state.ControlState()
        self.real.restore(content)
        assert self.real.snapshot() == content
        self._compare()

    def _compare(self):
        configuration = self.real.part('publishing').configuration
        assert configuration.version == self.model.version
        assert configuration.scope_versions == self.model.scope_versions
        found = {
            **{f'service/{n}': c for n, c in configuration.services.items()},
            **{f'route/{n}': c for n, c in configuration.routes.items()},
            **{f'account/{n}': c for n, c in configuration.accounts.items()},
        }
        assert found == {s: c for s, c, _ in self.model.contracts()}
        for server_id in SERVERS:
            highest = self.real.part('fences').highest(server_id)
            assert highest == self.model.highest_fence(server_id)
        active = self.real.part('quarantine').active(self.model.time_s)
        assert set(active) == self.model.active()
        records = self.real.part('audit').records_after(0, 1000)
        assert len(records) == self.model.audit_count


def check_states(actions):
    """Apply all steps; raise AssertionError at the first difference."""
    pair = StatePair()
    for name, argument in actions:
        getattr(pair, name)(argument)
