"""The decision whether an agent takes new work."""

from pimentowalk.agent import rules


class Gate:
    """Decide about new work from drain state, configuration and crashes.

    `agent` is a `node.Agent`.
    """

    def __init__(self, agent, timers):
        self._agent = agent
        self._timers = timers
        self._known = {}
        self.draining = False

    def is_suspect(self, fingerprint):
        """Return whether a request was in flight at a crash, anywhere."""
        if fingerprint in self._agent.session.suspects:
            return True
        return self._agent.suspicion.is_suspect(fingerprint)

    def suspect(self, frame):
        """Add suspicion to a request after a crash at a later stage."""
        self._agent.suspicion.record_crash([frame])

    def may_admit(self, record, attempt):
        """Return whether a queued attempt may still be admitted."""
        return rules.may_admit(
            record, attempt, draining=self.draining, ready=self._agent.ready
        )

    def refusal_code(self, frame):
        """Return the code with which a frame is refused, or ''."""
        return rules.refusal_code(
            draining=self.draining,
            ready=self._agent.ready,
            stale=self._is_stale(frame),
            quarantined=frame.fingerprint in self._agent.session.quarantined,
        )

    def _is_stale(self, frame):
        # A frame from another agent has passed the check of its head.
        if not hasattr(frame, 'scope_version'):
            return False
        scopes = (f'service/{frame.service}', f'account/{frame.account}')
        return any(
            rules.is_stale(frame.scope_version, *self._newest(scope))
            for scope in scopes
        )

    def _newest(self, scope):
        version, since_s = self._known.get(scope, (0, 0.0))
        return version, self._timers.now_s() - since_s

    def on_configuration(self):
        """Note when each newer scope version became known."""
        now_s = self._timers.now_s()
        versions = self._agent.session.configuration.scope_versions
        for scope, version in versions.items():
            if version > self._known.get(scope, (0, 0.0))[0]:
                self._known[scope] = (version, now_s)
