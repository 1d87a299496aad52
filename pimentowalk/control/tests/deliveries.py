"""Deliver configuration pushes late, repeatedly and out of order."""

from hypothesis import strategies

from pimentowalk.control import client
from pimentowalk.control import commands
from pimentowalk.control import deltas
from pimentowalk.control import state
from pimentowalk.control.tests import differential
from pimentowalk.core import timers
from pimentowalk.topology import contracts
from pimentowalk.topology import instances
from pimentowalk.wire import messages

UNUSED_ADDRESS = instances.Instance('control-1', '127.0.0.1', 1)
DELIVERIES = [
    ('deliver', number) for number in [*range(8), *range(8, 400, 17)]
]
PUBLISH_STEPS = [
    step for step in differential.PUBLISH_STEPS if step[0] == 'command'
]


def steps():
    """Return a strategy for lists of publishes and deliveries."""
    return strategies.lists(
        strategies.one_of(
            strategies.sampled_from(PUBLISH_STEPS),
            strategies.sampled_from(DELIVERIES),
        ),
        min_size=10,
        max_size=40,
    )


class NodeModel:
    """A control state with all its versions, and a node session."""

    def __init__(self):
        self.state = state.ControlState()
        self.history = [contracts.Configuration()]
        self.pushes = []
        self.session = client.NodeSession(
            messages.Hello('entry-1', 'entry', 1),
            [UNUSED_ADDRESS],
            timers.ManualTimerService(),
        )
        self.index = 0

    def command(self, build):
        """Publish, and build the pushes from every earlier version."""
        self.index += 1
        body = build(self.state.version)
        content = commands.to_log(body)
        self.state.apply(self.index, content, 0.0)
        published = self.state.part('publishing')
        if published.version == len(self.history):
            self.history.append(published.configuration)
            for after in range(published.version):
                start, content = deltas.build(published, after)
                push = messages.ConfigurationPush(
                    start, published.version, content
                )
                self.pushes.append(push)

    def deliver(self, number):
        """Deliver a push that was built earlier."""
        if not self.pushes:
            return
        push = self.pushes[-1 - number % len(self.pushes)]
        before = self.session.configuration.version
        self.session.apply_push(push, push.content)
        after = self.session.configuration
        assert after.version >= before
        assert after == self.history[after.version]
        if push.from_version <= before < push.to_version:
            assert after.version == push.to_version


def check_nodes(actions):
    """Run all steps; raise AssertionError at the first inconsistency."""
    node = NodeModel()
    for name, argument in actions:
        getattr(node, name)(argument)
