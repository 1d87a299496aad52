"""Decides whether an agent accepts new work."""

from pimentowalk.agent import rules


class AdmissionGate:
    """Accept or refuse new work by drain state, configuration and quarantine.

    `agent` is a `node.Agent`.
    """

    def __init__(self, agent, timers):
        self._agent = agent
        self._timers = timers
        self._known_versions = {}
        self.draining = False

    def is_suspect(self, fingerprint):
        """Return whether a request was in flight at a crash of any engine."""
        if fingerprint in self._agent.session.suspects:
            return True
        return self._agent.suspect_table.is_suspect(fingerprint)

    def mark_suspect(self, frame):
        """Mark a request as suspect after an engine of its chain crashed."""
        self._agent.suspect_table.record_crash([frame])

    def may_admit(self, record, attempt):
        """Return whether a queued attempt may still be admitted."""
        return rules.may_admit(
            record, attempt, draining=self.draining, ready=self._agent.ready
        )

    def refusal_code(self, frame):
        """Return the error code for refusing a frame, or '' to accept it."""
        return rules.refusal_code(
            draining=self.draining,
            ready=self._agent.ready,
            stale=self._is_stale(frame),
            quarantined=frame.fingerprint in self._agent.session.quarantined,
        )

    def _is_stale(self, frame):
        # A frame without a version comes from a head that has checked it.
        if not hasattr(frame, 'scope_version'):
            return False
        scopes = (f'service/{frame.service}', f'account/{frame.account}')
        return any(
            rules.is_stale(frame.scope_version, *self._newest_version(scope))
            for scope in scopes
        )

    def _newest_version(self, scope):
        version, since_s = self._known_versions.get(scope, (0, 0.0))
        return version, self._timers.now_s() - since_s

    def on_configuration(self):
        """Record when each newer scope version became known."""
        now_s = self._timers.now_s()
        versions = self._agent.session.configuration.scope_versions
        for scope, version in versions.items():
            if version > self._known_versions.get(scope, (0, 0.0))[0]:
                self._known_versions[scope] = (version, now_s)
