"""Choose a service for a call and run it there."""

import asyncio
import logging
import random

import attrs

from pimentowalk.admission import room as admission_room
from pimentowalk.core import errors
from pimentowalk.core import logs
from pimentowalk.dispatch import checks as dispatch_checks
from pimentowalk.dispatch import plain
from pimentowalk.dispatch import silence
from pimentowalk.dispatch import stream
from pimentowalk.routing import hops as routing_hops
from pimentowalk.routing import outcomes as routing_outcomes
from pimentowalk.wire import node_messages

LOG = logging.getLogger(__name__)

# Nodes exchange their work this often. A stream lasts about two seconds, so
# that most of it is known elsewhere while it runs; more often costs more on
# the links between zones than the better choice is worth.
REPORT_S = 0.5
# Runs without progress are looked at this often.
WATCH_S = 0.05
# Servers that left are forgotten this often.
FORGET_S = 10.0
# Servers that were not heard for too long are looked for this often.
EXPIRE_S = 0.25
# By then a server that crashed under a request is known to be dead.
CRASH_CHECK_S = 0.6


class Dispatcher:
    """Run calls at the backend servers that a node knows.

    `transport` speaks to backend servers; see `transport.Transport`.
    """

    def __init__(
        self,
        node,
        transport,
        timers,
        *,
        book,
        budget,
        crashes,
        metrics,
        zone,
        rng=None,
        path_policy='cheapest',
    ):
        self.node = node
        self.transport = transport
        self.timers = timers
        self.book = book
        self.budget = budget
        self.crashes = crashes
        self.metrics = metrics
        self.zone = zone
        self.rng = rng or random.Random()
        self.outcomes = routing_outcomes.OutcomeTracker(timers.now_s)
        self.paths = routing_hops.POLICIES.get(path_policy)(
            book, self.rng, self.outcomes
        )
        self.checks = dispatch_checks.ServerChecks(
            transport,
            timers,
            zone,
            self.suspect,
            self._note_report,
            self._ask_others,
        )
        self.room = admission_room.AdmissionQueue(timers)
        self.runs = set()
        self._verifying = {}
        self._reported = False
        node.subscribe(node_messages.LoadNews, book.record_report)
        node.subscribe(node_messages.LoadNews, self._take_repeats)
        node.subscribe(node_messages.CheckRequest, self._take_check)
        node.on_document(self._take_document)

    def start(self):
        """Start the periodic work."""
        self.timers.every(REPORT_S, self._report)
        self.timers.every(WATCH_S, self._watch)
        self.timers.every(FORGET_S, self._forget)
        self.timers.every(EXPIRE_S, self._expire)

    def _take_document(self, document):
        self.book.set_engines(
            {s.name: s.engine for s in document.services.values() if s.engine}
        )

    def _forget(self):
        known = {r.backend.server_id for r in self.node.backends.records()}
        for part in (self.outcomes, self.checks, self.book):
            part.keep_only(known)

    def _expire(self):
        self.node.backends.expire(self._verify)

    def _verify(self, backend):
        """Ask a server that is not heard any more, once at a time."""
        if backend.server_id not in self._verifying:
            task = asyncio.ensure_future(self._ask_silent(backend))
            self._verifying[backend.server_id] = task
            task.add_done_callback(
                lambda _: self._verifying.pop(backend.server_id)
            )

    async def _ask_silent(self, backend):
        if await self.checks.answers(backend):
            self.metrics.count('silent_servers_that_answered')
            self.node.backends.confirm(backend)
        else:
            self.node.backends.drop(backend)

    def _report(self):
        body = attrs.evolve(self.book.report(), repeats=self.budget.report())
        is_busy = bool(body.loads) or any(x.requests for x in body.repeats)
        # One empty report tells that the work has ended.
        if is_busy or self._reported:
            self.node.publish_load(body)
        self._reported = is_busy

    def _take_repeats(self, body):
        if body.node_id != self.node.node_id:
            self.budget.record_report(body.node_id, body.repeats)

    def _watch(self):
        now_s = self.timers.now_s()
        streams = [r for r in self.runs if isinstance(r, stream.StreamRun)]
        for backend in silence.candidates(streams, now_s):
            self.checks.check(backend)
        for run in streams:
            run.watch(now_s)

    def _ask_others(self, backend):
        self.node.publish(
            node_messages.CheckRequest(backend.server_id, backend.born_ms)
        )

    def _take_check(self, body):
        backend = self.node.backends.get(body.server_id)
        if (
            backend is not None
            and backend.born_ms == body.born_ms
            and backend.zone == self.zone
        ):
            self.checks.check(backend)

    def _note_report(self, backend, report):
        self.book.record_slowness(backend.server_id, report.slowness)

    def suspect(self, backend, reason):
        """Leave a server out of new work, here and at the other nodes."""
        if self.node.backends.suspect(
            backend.server_id, backend.born_ms, reason
        ):
            self.metrics.count('suspicions')
            self.node.publish(
                node_messages.Suspicion(
                    backend.server_id, backend.born_ms, reason
                )
            )

    def note_failed_run(self, call, server):
        """Count a crash if the server of a failed run is found dead."""
        self.timers.after(
            CRASH_CHECK_S, lambda: self._count_crash(call.fingerprint, server)
        )

    def _count_crash(self, fingerprint, server):
        if self.node.backends.works(server):
            return
        if self.crashes.record(fingerprint, server.server_id, server.born_ms):
            self.metrics.count('crashed_runs')
            self.node.publish(
                node_messages.CrashNote(
                    fingerprint, server.server_id, server.born_ms
                )
            )

    def service_of(self, route):
        """Return the service that a call on a route goes to."""
        names = [name for name, _ in route.backends]
        weights = [weight for _, weight in route.backends]
        name = names[0]
        if len(names) > 1:
            name = self.rng.choices(names, weights)[0]
        return self.node.document.services[name]

    async def handle(self, call, responder):
        """Answer a call; raise PimentowalkError if nothing was answered."""
        if self.crashes.is_quarantined(call.fingerprint):
            raise errors.PimentowalkError(
                'this request crashed its backend servers before',
                code='quarantined',
                step='admit',
            )
        service = self.service_of(call.route)
        self.budget.count_request(service.name)
        kind = stream.StreamRun if service.engine else plain.PlainRun
        run = kind(self, call, service, responder)
        self.runs.add(run)
        try:
            await run.run()
            self.crashes.clear(call.fingerprint)
            self._log_done(call, run)
        finally:
            self.runs.discard(run)

    def _log_done(self, call, run):
        elapsed_s = self.timers.now_s() - call.received_s
        self.metrics.record_s('request', elapsed_s)
        LOG.info(
            'answered',
            extra=logs.fields(
                step='answer',
                request_id=call.request_id,
                route=call.route.name,
                elapsed_ms=int(elapsed_s * 1000),
                version=self.node.document_version,
                **run.summary(),
            ),
        )

    def log_denied_repeat(self, call, service, share):
        """Log that the budget of repeats allows no other try."""
        self.metrics.count('denied_repeats')
        LOG.info(
            'the budget of repeats is used up',
            extra=logs.fields(
                step='budget',
                request_id=call.request_id,
                service=service.name,
                share=share,
            ),
        )

    def log_failed_try(self, call, target, error):
        """Log why a try failed."""
        self.metrics.count(f'failed_tries_{error.code}')
        LOG.info(
            'try failed: %s',
            error.message,
            extra=logs.fields(
                step=error.step,
                peer=target.backend.address,
                request_id=call.request_id,
                culprit=getattr(error, 'culprit', ''),
                code=error.code,
                outcome=type(error).__name__,
                hops=len(target.hops),
            ),
        )
