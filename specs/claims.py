"""Two entries that claim one idempotency key.

Commands may be delivered twice and late, and replies may be lost. An entry
may crash or give up at any time. An entry that finds the claim of the other
asks the backend server, which from then on refuses that call. Results are
those of the real control state.
"""

import attrs

from pimentowalk.control import commands
from specs import replay

MAX_LOG = 6
DELIVERIES = 2
ENTRIES = (0, 1)
ADDRESS = commands.ServerAddress('server-1', 1, '127.0.0.1', 9)
NAME = ('acc-1', 'key-1')
NEVER = 'never'
RAN = 'ran'


def _bodies():
    bodies = {}
    for entry in ENTRIES:
        claim_id = f'claim-{entry}'
        bodies['open', entry] = commands.OpenClaim(
            *NAME, 'hash', claim_id, b'r', ADDRESS
        )
        bodies['settle', entry] = commands.SettleClaim(
            *NAME, claim_id, 'done', body=b'reply'
        )
        bodies['release', entry] = commands.ReleaseClaim(*NAME, claim_id)
    return bodies


@attrs.frozen
class State:
    """The log, what is sent, the entries and their calls.

    A call is `none`, `flying`, `ran` or `never` (refused by the server).
    """

    log: tuple = ()
    sent: frozenset = frozenset()
    entries: tuple = ('idle', 'idle')
    calls: tuple = ('none', 'none')

    def entry(self, number, phase, *, sends=None):
        """Return the state after an entry has moved on."""
        entries = list(self.entries)
        entries[number] = phase
        sent = self.sent | {sends} if sends else self.sent
        return attrs.evolve(self, entries=tuple(entries), sent=sent)

    def call(self, number, outcome):
        """Return the state after the call of an entry has moved on."""
        calls = list(self.calls)
        calls[number] = outcome
        return attrs.evolve(self, calls=tuple(calls))


# How an entry goes on after the result of its OpenClaim.
AFTER_OPEN = {'new': 'holds', 'open': 'sees'}


class Claims:
    """The specification; results of logs are kept."""

    def __init__(self):
        self._replay = replay.Replay(_bodies())

    def initial(self):
        """Return the first state."""
        return State()

    def steps(self, state):
        """Yield labels and the states that may follow."""
        yield from self._deliveries(state)
        for number, phase in enumerate(state.entries):
            moves = PHASES.get(phase)
            if moves is not None:
                for after in moves(state, number):
                    yield f'{phase} entry {number}', after
            if state.calls[number] == 'flying':
                yield f'run {number}', state.call(number, RAN)
                yield f'refuse {number}', state.call(number, NEVER)

    def _deliveries(self, state):
        if len(state.log) == MAX_LOG:
            return
        for command in sorted(state.sent):
            if state.log.count(command) == DELIVERIES:
                continue
            name, number = command
            log = (*state.log, command)
            result = self._replay.result(log)
            after = attrs.evolve(state, log=log)
            yield f'{name} {number}', after
            if name == 'open' and state.entries[number] == 'waiting':
                found = getattr(result, 'state', 'refused')
                phase = AFTER_OPEN.get(found, 'gone')
                yield f'answered {name}', after.entry(number, phase)

    def violation(self, state):
        """Return what is wrong, or an empty string."""
        if state.calls.count(RAN) > 1:
            return 'the call ran twice'
        return ''


def _idle(state, number):
    yield state.entry(number, 'waiting', sends=('open', number))


def _waiting(state, number):
    # The call has not left, so that its own claim may be released.
    yield state.entry(number, 'gone', sends=('release', number))
    yield state.entry(number, 'gone')


def _holds(state, number):
    yield state.entry(number, 'gone')
    after = state.entry(number, 'sent')
    if state.calls[number] == 'none':
        after = after.call(number, 'flying')
    yield after


def _sent(state, number):
    yield state.entry(number, 'gone')
    if state.calls[number] == RAN:
        yield state.entry(number, 'gone', sends=('settle', number))
    if state.calls[number] == NEVER:
        yield state.entry(number, 'gone', sends=('release', number))


def _sees(state, number):
    other = 1 - number
    if state.calls[other] == RAN:
        yield state.entry(number, 'gone')
        return
    fenced = state.call(other, NEVER)
    yield fenced.entry(number, 'waiting', sends=('release', other))


PHASES = {
    'idle': _idle,
    'waiting': _waiting,
    'holds': _holds,
    'sent': _sent,
    'sees': _sees,
}
