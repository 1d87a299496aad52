"""Tell `routing.pace` which servers return, and what their answers show."""

from pimentowalk.routing import answer_times
from pimentowalk.routing import pace
from pimentowalk.routing import pace_state
from pimentowalk.topology import backends

ADAPTIVE, OFF = 'adaptive', 'off'


def make(mode, dispatcher):
    """Return the pace of the servers that a dispatcher uses."""
    if mode == OFF:
        return pace_state.OFF
    made = pace.ServerPace(
        dispatcher.timers.now_s,
        dispatcher.in_flight,
        live_nodes=lambda: dispatcher.node.live_nodes,
        demand=dispatcher.in_flight.usual_requests,
        rng=dispatcher.rng,
        metrics=dispatcher.metrics,
    )
    ReturnWatch(dispatcher.node.backends, made)
    return made


def begin(server_pace, service, call, target):
    """Return the probe of a request that begins, None if none is needed."""
    if server_pace is pace_state.OFF:
        return None
    if service.engine is None:
        return server_pace.begin(service.name, target.servers)
    return server_pace.begin(
        service.name,
        target.servers,
        answer_times.first_event_s(
            service.engine, target.hops, call.prompt_tokens
        ),
    )


class ReturnWatch:
    """Find the servers of a table that start or are usable again.

    A gateway that has started itself takes all servers as warm that it learns
    of until its table is complete, unless they announce a warm-up.
    """

    def __init__(self, table, server_pace):
        self._table = table
        self._pace = server_pace
        self._known = {}
        self._update(is_first=True)
        table.on_change(self._update)

    def _update(self, *, is_first=False):
        before, self._known = self._known, {}
        for record in self._table.all_records():
            backend = record.backend
            is_sound = (
                backend.state == backends.READY and not record.is_suspect
            )
            self._known[backend.identity] = backend, is_sound
            # A server that ran before its service was named is warm.
            if is_sound and not record.unused_reason and not is_first:
                self._compare(before.get(backend.identity), backend)

    def _compare(self, known, backend):
        """Limit a usable server that was not usable as it is before."""
        if known is None or known[0].born_ms != backend.born_ms:
            warm_up_s = backend.warm_up_ms / 1000
            if self._table.is_complete or warm_up_s:
                self._pace.record_start(backend, warm_up_s)
        elif not known[1]:
            self._pace.record_return(backend, pace_state.SUSPICION)
        elif _layers(known[0]) != _layers(backend):
            self._pace.record_return(backend, pace_state.ROLLOUT)


def _layers(backend):
    return (
        backend.model,
        backend.weights_version,
        backend.first_layer,
        backend.end_layer,
    )
