"""Racing publishes, and nodes that get pushes late and out of order.

Commands may be delivered any number of times. A node may get, at any time,
any push that a control instance could have made after any part of the log.
Decisions and contents are those of the real control state and of
`control.deltas`.
"""

import attrs

from pimentowalk.control import commands
from pimentowalk.control import deltas
from pimentowalk.topology import contracts
from specs import replay

MAX_LOG = 5
NODES = 2


def _publish(name, expected, *accounts):
    source = commands.Source(
        [], [], [contracts.ClientAccount(a, 'ab') for a in accounts]
    )
    return commands.Publish(name, 'anna', expected, {'one': source})


# Two operators start from version 0; the third has read version 1. The
# accounts differ, so that each change adds and removes scopes.
BODIES = {
    'a': _publish('a', 0, 'x', 'y'),
    'b': _publish('b', 0, 'y'),
    'c': _publish('c', 1, 'x'),
    'd': _publish('d', 2, 'z'),
}


@attrs.frozen
class State:
    """The log, all answers so far, and the version of each node."""

    log: tuple = ()
    answers: frozenset = frozenset()
    nodes: tuple = (0,) * NODES
    restarts: int = 1
    wrong: str = ''


class Versions:
    """The specification; the parts of logs that it meets are kept."""

    def __init__(self):
        self._replay = replay.Replay(BODIES)
        self._published = {}
        self._after_pushes = {}

    def initial(self):
        """Return the first state."""
        return State()

    def published(self, log):
        """Return what is published after a log."""
        if log not in self._published:
            part = self._replay.state(log).part('publishing')
            self._published[log] = part
        return self._published[log]

    def steps(self, state):
        """Yield labels and the states that may follow."""
        if state.wrong:
            return
        yield from self._deliveries(state)
        for node, version in enumerate(state.nodes):
            for after in self._pushes(state.log, version):
                yield f'push to node {node}', self._moved(state, node, after)
            if state.restarts:
                restarted = self._moved(state, node, 0)
                yield (
                    f'restart of node {node}',
                    attrs.evolve(restarted, restarts=state.restarts - 1),
                )

    def _deliveries(self, state):
        accepted = {answer[1] for _, answer in state.answers}
        if len(state.log) == MAX_LOG:
            return
        for name, body in BODIES.items():
            if body.expected_version and body.expected_version not in accepted:
                continue
            log = (*state.log, name)
            result = self._replay.result(log)
            if isinstance(result, commands.Refusal):
                answer = ('refused', result.code)
            else:
                answer = ('version', result.version)
            answers = state.answers | {(name, answer)}
            yield name, attrs.evolve(state, log=log, answers=answers)

    def _moved(self, state, node, after):
        if isinstance(after, str):
            return attrs.evolve(state, wrong=after)
        nodes = list(state.nodes)
        nodes[node] = after
        return attrs.evolve(state, nodes=tuple(nodes))

    def _pushes(self, log, version):
        """Return the versions after any push, or what is wrong."""
        key = (log, version)
        if key not in self._after_pushes:
            found = dict.fromkeys(self._all_pushes(log, version))
            self._after_pushes[key] = list(found)
        return self._after_pushes[key]

    def _all_pushes(self, log, version):
        own = self._configuration(log, version)
        for length in range(len(log) + 1):
            published = self.published(log[:length])
            for after_version in range(published.version):
                start, content = deltas.build(published, after_version)
                if not deltas.is_applicable(own, start, published.version):
                    continue
                after = deltas.apply(own, start, published.version, content)
                if after.version < version:
                    yield f'a node went from {version} to {after.version}'
                elif after != published.configuration:
                    yield f'a node has another version {after.version}'
                else:
                    yield after.version

    def _configuration(self, log, version):
        for length in range(len(log) + 1):
            published = self.published(log[:length])
            if published.version == version:
                return published.configuration
        raise AssertionError(f'no version {version}')

    def violation(self, state):
        """Return what is wrong, or an empty string."""
        if state.wrong:
            return state.wrong
        names = [name for name, _ in state.answers]
        if len(set(names)) < len(names):
            return 'one change got two different answers'
        versions = [a[1] for _, a in state.answers if a[0] == 'version']
        if len(set(versions)) < len(versions):
            return 'two changes got one version'
        for name, (outcome, version) in state.answers:
            expected = BODIES[name].expected_version
            if outcome == 'version' and version != expected + 1:
                return 'a change was accepted over another one'
        if self.published(state.log).version != max(versions, default=0):
            return 'an accepted change is not in effect'
        return ''
