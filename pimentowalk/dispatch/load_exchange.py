"""Exchange of the outstanding work between nodes."""

import collections

import attrs

from pimentowalk.routing import pace_state
from pimentowalk.wire import node_messages

# Reports that are kept until a summary says whether it includes them. Control
# sums up twice as often as a node reports, so that a few suffice.
KEPT_REPORTS = 16


class LoadExchange:
    """Publish the work of this node and apply that of all others.

    A control instance sends the sums over all nodes, after the sequence of
    the report of the receiver that they include; that report is subtracted.
    Instances of older releases send the reports of other nodes one by one.
    """

    def __init__(
        self, node, in_flight, budget, crashes, shares, pace=pace_state.OFF
    ):
        self._node = node
        self._in_flight = in_flight
        self._budget = budget
        self._crashes = crashes
        self._pace = pace
        self._shares = shares
        self._sequence = 0
        self._was_busy = False
        self._sent = collections.OrderedDict()
        self._included = None
        node.subscribe(node_messages.LoadIncluded, self._on_included)
        node.subscribe(node_messages.LoadSummary, self._on_summary)
        node.subscribe(node_messages.LoadNews, self._on_report)

    def publish(self):
        """Publish the work of this node, once more after it has ended."""
        body = attrs.evolve(
            self._in_flight.report(),
            repeats=self._budget.report(),
            sequence=self._sequence + 1,
            completions=self._crashes.completions(),
            answers=self._pace.report(),
        )
        self._shares.update()
        body = self._shares.report(body)
        is_busy = (
            bool(body.loads)
            or any(x.requests for x in body.repeats)
            or bool(body.accounts)
        )
        if is_busy or self._was_busy:
            self._sequence += 1
            self._sent[self._sequence] = body
            while len(self._sent) > KEPT_REPORTS:
                self._sent.popitem(last=False)
            self._node.publish_load(body)
        self._was_busy = is_busy

    def _on_included(self, body):
        self._included = self._sent.get(body.sequence)

    def _on_summary(self, body):
        self._shares.record_summary(body, self._included)
        own_loads, own_uses, own_completions = {}, {}, {}
        if self._included is not None:
            own_loads = {
                x.server_id: (x.requests, x.tokens)
                for x in self._included.loads
            }
            own_uses = {
                x.service: (x.requests, x.repeats)
                for x in self._included.repeats
            }
            own_completions = {
                x.trait: x.completions for x in self._included.completions
            }
        self._crashes.record_other_completions(
            {
                x.trait: x.completions - own_completions.get(x.trait, 0)
                for x in body.completions
            }
        )
        others = body.nodes - (self._included is not None)
        self._in_flight.record_summary(
            others,
            _difference(
                ((x.server_id, x.requests, x.tokens) for x in body.loads),
                own_loads,
            ),
        )
        self._pace.record_summary(body.answers)
        self._budget.record_summary(
            others,
            _difference(
                ((x.service, x.requests, x.repeats) for x in body.repeats),
                own_uses,
            ),
        )

    def _on_report(self, body):
        if body.node_id != self._node.node_id:
            self._in_flight.record_report(body)
            self._pace.record_report(body.node_id, body.answers)
            self._budget.record_report(body.node_id, body.repeats)


def _difference(items, own):
    """Return {key: (first, second)} of sums without the own part."""
    result = {}
    for key, first, second in items:
        own_first, own_second = own.get(key, (0, 0))
        rest = max(0, first - own_first), max(0, second - own_second)
        if rest != (0, 0):
            result[key] = rest
    return result
