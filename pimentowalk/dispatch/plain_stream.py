"""Run a stream at one server of a service without an engine."""

from pimentowalk.dispatch import calls
from pimentowalk.dispatch import plain
from pimentowalk.dispatch import stream
from pimentowalk.dispatch import watched_run


class PlainStreamRun(stream.StreamRun):
    """One streamed call of a service without an engine, with its tries."""

    _unavailable = 'not_run', 'no backend server took the call'

    def __init__(self, dispatcher, call, service, responder):
        super().__init__(dispatcher, call, service, responder)
        # The servers hold no tokens, only requests.
        self._tokens = 0

    def _choose(self):
        backend = plain.choose_usable(
            self._dispatcher, self._service.name, self._excluded
        )
        return calls.Target(backend) if backend else None

    def _failed_server(self, target):
        has_failed = self._dispatcher.node.backends.has_failed
        return target.backend if has_failed(target.backend) else None

    def _has_successor(self):
        return self._choose() is not None

    def _has_events(self, response):
        return response.is_event_stream

    def check_progress(self, now_s):
        """Leave a failed server, and check one without an event.

        The report of such a server does not tell whether a stream stalls.
        """
        if self._try_task is None or self._try_task.done():
            return
        if self._recovery_task is not None:
            return
        backend = self._target.backend
        if self._dispatcher.node.backends.has_failed(backend):
            self._recover(backend.address, 'the server failed')
        elif now_s - self.progress_s >= watched_run.FIRST_EVENT_TIMEOUT_S:
            self._dispatcher.checks.check(backend)

    def _pause_s(self):
        dispatcher = self._dispatcher
        return dispatcher.pauses.remaining_s(
            dispatcher.usable(self._service.name)
        )
