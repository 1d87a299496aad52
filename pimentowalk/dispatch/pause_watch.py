"""Watch the pauses of streams whose routes bound them."""

import logging

from pimentowalk.core import logs
from pimentowalk.dispatch import silence
from pimentowalk.routing import predictions

LOG = logging.getLogger(__name__)

# Longest pauses are 250 ms and more, of which this wastes a tenth at most.
CHECK_INTERVAL_S = 0.02
# Least time between two looks at changed servers. Thousands change together
# when a gateway starts; later changes are seen by the periodic check.
CHANGE_INTERVAL_S = 0.005
# The load of other gateways is known twice a second.
UPDATE_INTERVAL_S = 0.25


class PauseWatch:
    """The predicted pauses of one stream over its present path."""

    def __init__(self, predictor, engine, longest_pause_s, now_s):
        self._predictor = predictor
        self._engine = engine
        self._longest_pause_s = longest_pause_s
        self._now_s = now_s
        self._path = None
        self._limits = None
        self._update_s = 0.0
        self._has_event = False

    def begin(self, hops, tokens):
        """Watch another path; its first event is no measured pause."""
        self._path = self._predictor.path(self._engine, hops, tokens)
        self._has_event = False
        self._update(self._now_s())

    def _update(self, now_s):
        self._update_s = now_s + UPDATE_INTERVAL_S
        self._limits = silence.limits(
            self._path.predict(), self._longest_pause_s
        )

    def record(self, pause_s):
        """Learn from the pause before an event."""
        if self._has_event:
            self._path.record(pause_s)
        self._has_event = True

    @property
    def limits(self):
        """Return the `silence.Limits` of the present path and load."""
        now_s = self._now_s()
        if now_s >= self._update_s:
            self._path.update()
            self._update(now_s)
        return self._limits


class StreamWatch:
    """Check the watched streams of a gateway and the servers of silent ones.

    `checks` is the `checks.ServerChecks`, `in_flight` the
    `work.InFlightTracker` of the gateway.
    """

    def __init__(self, node, checks, timers, in_flight, metrics):
        self._node = node
        self._checks = checks
        self._now_s = timers.now_s
        self._metrics = metrics
        self._predictor = predictions.PausePredictor(in_flight, metrics)
        self._budget = silence.CheckBudget(timers.now_s)
        self._services = frozenset()
        self._changes_s = float('-inf')

    def set_routes(self, routes):
        """Set the routes, some of which may bound their pauses."""
        self._services = frozenset(
            name
            for route in routes
            if route.longest_pause_s
            for name, _ in route.backends
        )

    def is_watched(self, service_name):
        """Return whether a route of a service bounds its pauses."""
        return service_name in self._services

    def of_call(self, call, service):
        """Return the `PauseWatch` of a call, or None if it needs none."""
        if not (service.engine and call.route.longest_pause_s):
            return None
        return PauseWatch(
            self._predictor,
            service.engine,
            call.route.longest_pause_s,
            self._now_s,
        )

    def check(self, runs):
        """Check the watched ones of these streams."""
        runs = [r for r in runs if r.pauses is not None and r.is_trying]
        if not runs:
            return
        now_s = self._now_s()
        overdue = silence.overdue_servers(
            runs, now_s, self._node.node_id, self._checks.answered_s
        )
        has_failed = self._node.backends.has_failed
        waiting = [
            b
            for b in overdue
            if self._checks.may_probe(b) and not has_failed(b)
        ]
        count = silence.checks_at_once(len(overdue), self._node.live_nodes)
        for backend in waiting[:count]:
            if not self.probe(backend, len(overdue)):
                break
        for run in runs:
            run.check_progress(now_s)

    def check_changes(self, runs):
        """Let streams leave a server that has just become suspect."""
        now_s = self._now_s()
        if now_s - self._changes_s < CHANGE_INTERVAL_S:
            return
        self._changes_s = now_s
        for run in runs:
            if run.pauses is not None:
                run.check_progress(now_s)

    def probe(self, backend, shared=1):
        """Check one of `shared` servers that silent streams have in common.

        Returns whether the budget allows another check.
        """
        if not self._checks.may_probe(backend):
            return True
        if not self._budget.take():
            self._metrics.count('skipped_silence_checks')
            return False
        self._metrics.count('silence_checks')
        LOG.info(
            'streams are silent together',
            extra=logs.fields(
                step='silence', peer=backend.address, shared=shared
            ),
        )
        self._checks.probe(backend)
        return True
