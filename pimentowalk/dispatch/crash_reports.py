"""Reports of the requests that were running when a backend server crashed."""

import attrs

from pimentowalk.wire import node_messages

# After this time a server that refuses connections is known to be down.
CRASH_CHECK_DELAY_S = 0.6
# A server that went silent has crashed only if it restarts; it is checked
# again this often.
MAX_CRASH_CHECKS = 10
MAX_TRAITS = 256


@attrs.define
class _FailedRuns:
    """The traits of the failed runs at one server incarnation."""

    failed_s: float
    checks: int = 0
    silent_traits: set = attrs.field(factory=set)
    other_traits: set = attrs.field(factory=set)


class CrashReports:
    """Collect failed runs, and publish those whose server has crashed."""

    def __init__(self, node, crashes, timers, metrics):
        self._node = node
        self._crashes = crashes
        self._timers = timers
        self._metrics = metrics
        self._failed_runs = {}

    def add(self, call, server, *, has_output):
        """Add a failed run; its server is checked after a delay."""
        if not call.traits:
            return
        key = server.server_id, server.born_ms
        if key not in self._failed_runs:
            self._failed_runs[key] = _FailedRuns(self._timers.now_s())
            self._schedule_check(server)
        runs = self._failed_runs[key]
        traits = runs.other_traits if has_output else runs.silent_traits
        if len(traits) < MAX_TRAITS:
            traits.update(call.traits)

    def _schedule_check(self, server):
        self._timers.after(CRASH_CHECK_DELAY_S, lambda: self._check(server))

    def _check(self, server):
        key = server.server_id, server.born_ms
        table = self._node.backends
        runs = self._failed_runs[key]
        runs.checks += 1
        if table.is_down(server):
            self._publish(server, self._failed_runs.pop(key))
        elif table.is_healthy(server) or runs.checks >= MAX_CRASH_CHECKS:
            del self._failed_runs[key]
        else:
            self._schedule_check(server)

    def _publish(self, server, runs):
        age_s = self._timers.now_s() - runs.failed_s
        note = node_messages.CrashNote(
            0,
            server.server_id,
            server.born_ms,
            int(age_s * 1000),
            sorted(runs.silent_traits),
            # Requests with output are suspected only if there are no others.
            [] if runs.silent_traits else sorted(runs.other_traits),
        )
        if self._crashes.record(note):
            self._metrics.count('crash_reports')
            self._node.publish(note)
