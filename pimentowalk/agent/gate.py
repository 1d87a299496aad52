"""The decision whether an agent takes new work."""

from pimentowalk.agent import rules


class Gate:
    """Decide about new work from drain state, configuration and crashes."""

    def __init__(self, own, session, timers, is_ready):
        self._own = own
        self._session = session
        self._timers = timers
        self._is_ready = is_ready
        self._known = {}
        self.draining = False
        self.is_suspect = lambda fingerprint: False

    def refusal(self, frame):
        """Return the code with which a frame is refused, or ''."""
        return rules.refusal_code(
            draining=self.draining,
            ready=self._is_ready(),
            stale=self._is_stale(frame),
            quarantined=frame.fingerprint in self._session.quarantined,
        )

    def _is_stale(self, frame):
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
        versions = self._session.configuration.scope_versions
        for scope, version in versions.items():
            if version > self._known.get(scope, (0, 0.0))[0]:
                self._known[scope] = (version, now_s)
