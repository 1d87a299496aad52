"""Choose a service for each call and run the call there."""

import asyncio
import logging
import random

import attrs

from pimentowalk.admission import account_shares
from pimentowalk.admission import room as admission_room
from pimentowalk.core import errors
from pimentowalk.core import logs
from pimentowalk.dispatch import calls
from pimentowalk.dispatch import checks as dispatch_checks
from pimentowalk.dispatch import crash_reports
from pimentowalk.dispatch import durations as response_durations
from pimentowalk.dispatch import held_bytes
from pimentowalk.dispatch import load_exchange
from pimentowalk.dispatch import pacing
from pimentowalk.dispatch import pause_watch
from pimentowalk.dispatch import pauses as server_pauses
from pimentowalk.dispatch import plain
from pimentowalk.dispatch import plain_stream
from pimentowalk.dispatch import silence
from pimentowalk.dispatch import stream
from pimentowalk.dispatch import transport as dispatch_transport
from pimentowalk.routing import hops as routing_hops
from pimentowalk.routing import outcomes as routing_outcomes
from pimentowalk.routing import pace_state
from pimentowalk.topology import backends
from pimentowalk.topology import documents
from pimentowalk.wire import node_messages

LOG = logging.getLogger(__name__)

# Nodes exchange their loads at this interval. A stream lasts about two
# seconds, so other nodes know of it for most of that time; a shorter interval
# costs more on the links between zones than the better choice is worth.
LOAD_REPORT_INTERVAL_S = 0.5
PROGRESS_CHECK_INTERVAL_S = 0.05
CLEANUP_INTERVAL_S = 10.0
EXPIRY_INTERVAL_S = 0.25


class Dispatcher:
    """Run calls at the backend servers that a node knows.

    `node` is the `mesh.node.MeshNode` whose table of backend servers is used,
    `transport` a `transport.Transport`, `in_flight` the `work.InFlightTracker`
    of all nodes' requests and `budget` the retry budget.
    """

    def __init__(
        self,
        node,
        transport,
        timers,
        *,
        in_flight,
        budget,
        crashes,
        metrics,
        zone,
        rng=None,
        path_policy='cheapest',
        limits=None,
        server_pace=pacing.OFF,
        refuses_early=False,
    ):
        self.node = node
        self.transport = transport
        self.timers = timers
        self.in_flight = in_flight
        self.budget = budget
        self.crashes = crashes
        self.metrics = metrics
        self.zone = zone
        self.limits = limits or dispatch_transport.ResponseLimits()
        self.held_bytes = held_bytes.HeldBytes(
            self.limits.held_bytes,
            metrics,
            request_limit_bytes=self.limits.request_bytes,
            stalled_s=self.limits.stalled_body_s,
            now_s=timers.now_s,
        )
        self.rng = rng or random.Random()
        self.outcomes = routing_outcomes.OutcomeTracker(timers.now_s)
        self.paths = routing_hops.POLICIES.get(path_policy)(
            in_flight, self.rng, self.outcomes
        )
        self.pauses = server_pauses.ServerPauses(
            timers.now_s, self.limits.max_pause_s
        )
        self.pace = pacing.make(server_pace, self)
        transport.on_notice = self._on_notice
        self.checks = dispatch_checks.ServerChecks(
            transport,
            timers,
            zone,
            self.suspect,
            self._record_report,
            self._delegate_check,
            self.pauses.is_paused,
        )
        self.durations = response_durations.DurationTracker()
        self.admission = admission_room.AdmissionQueues(
            timers, refuses_early=refuses_early
        )
        self.runs = set()
        self._watch = pause_watch.StreamWatch(
            node, self.checks, timers, in_flight, metrics
        )
        self._verifying = {}
        self.account_shares = account_shares.AccountShares(timers.now_s)
        self._loads = load_exchange.LoadExchange(
            node,
            in_flight,
            budget,
            crashes,
            self.account_shares,
            self.pace,
        )
        self._crash_reports = crash_reports.CrashReports(
            node, crashes, timers, metrics
        )
        node.subscribe(node_messages.CheckRequest, self._on_check_request)
        node.subscribe(node_messages.Suspicion, self._on_suspicion)
        node.on_document(self._on_document)
        node.backends.on_change(
            lambda: self._watch.check_changes(self._streams())
        )

    def start(self):
        """Start the periodic tasks."""
        self.timers.every(LOAD_REPORT_INTERVAL_S, self._loads.publish)
        self.timers.every(PROGRESS_CHECK_INTERVAL_S, self._check_progress)
        self.timers.every(
            pause_watch.CHECK_INTERVAL_S,
            lambda: self._watch.check(self._streams()),
        )
        self.timers.every(CLEANUP_INTERVAL_S, self._remove_departed)
        self.timers.every(EXPIRY_INTERVAL_S, self._expire_silent)

    def _on_document(self, document):
        self.in_flight.set_engines(
            {s.name: s.engine for s in document.services.values() if s.engine}
        )
        self._watch.set_routes(document.routes)
        self.durations.keep_only(route.name for route in document.routes)
        self.admission.set_priorities(document.stream_priorities())
        self.admission.keep_only(document.services)
        self.pace.keep_services(document.services)
        self._set_accounts(document)

    def _set_accounts(self, document):
        """Let client accounts compete where streams of priorities do."""
        competes = any(
            len(priorities) > 1
            for priorities in document.stream_priorities().values()
        )
        self.account_shares.set_accounts(
            account.name for account in document.accounts if competes
        )

    def _remove_departed(self):
        known = {server_id for server_id, _ in self.node.backends.identities()}
        trackers = (self.outcomes, self.checks, self.in_flight, self.pace)
        for tracker in trackers:
            tracker.keep_only(known)
        self.pauses.remove_past()

    def _on_notice(self, backend, notice):
        """Act on what a server says of itself beside an answer."""
        known = self.node.backends.current(backend)
        is_known = known is not None and known.born_ms == backend.born_ms
        if notice.is_leaving and not (is_known and known.is_leaving):
            self.metrics.count('leaving_servers')
            self._log_notice('a server says that it leaves', backend)
            self.node.announce(
                attrs.evolve(
                    known if is_known else backend,
                    state=backends.DRAINING,
                    is_leaving=True,
                    heard_ms=0,
                )
            )
        if notice.pause_s > 0:
            pause_s = self.pauses.record(backend, notice.pause_s)
            self.pace.record_return(backend, pace_state.PAUSE, pause_s)
            self.metrics.count('server_pauses')
            self._log_notice(
                'a server asks for a pause', backend, pause_s=pause_s
            )

    def _log_notice(self, message, backend, **others):
        LOG.info(
            message,
            extra=logs.fields(
                step='notice',
                peer=backend.address,
                server=backend.server_id,
                born_ms=backend.born_ms,
                **others,
            ),
        )

    def usable(self, service_name):
        """Return the servers that accept new work."""
        return self.node.backends.usable(service_name)

    def paused_ids(self, servers):
        """Return the ids of the servers that want no request of this node."""
        if not self.pauses:
            return frozenset()
        return frozenset(
            b.server_id for b in servers if self.pauses.is_paused(b)
        )

    @property
    def has_pauses(self):
        """Return whether a server may end its pause."""
        return bool(self.pauses)

    def _expire_silent(self):
        self.node.backends.expire(self._verify)

    def _verify(self, backend):
        """Check a server whose announcements have stopped, once at a time."""
        if backend.server_id not in self._verifying:
            task = asyncio.ensure_future(
                dispatch_checks.log_failed_check(
                    self._verify_silent(backend), backend
                )
            )
            self._verifying[backend.server_id] = task
            task.add_done_callback(
                lambda _: self._verifying.pop(backend.server_id)
            )

    async def _verify_silent(self, backend):
        if await self.checks.answers(backend):
            self.metrics.count('silent_servers_that_answered')
            self.node.backends.confirm(backend)
        else:
            self.node.backends.drop(backend)

    def _check_progress(self):
        """Check streams whose routes bound no pauses."""
        now_s = self.timers.now_s()
        streams = [r for r in self._streams() if r.pauses is None]
        for backend in silence.candidates(streams, now_s):
            self.checks.check(backend)
        for run in streams:
            run.check_progress(now_s)

    def _streams(self):
        return [r for r in self.runs if isinstance(r, stream.StreamRun)]

    def _delegate_check(self, backend):
        self.node.publish(
            node_messages.CheckRequest(backend.server_id, backend.born_ms)
        )

    def _on_check_request(self, body):
        backend = self.node.backends.get(body.server_id)
        if (
            backend is not None
            and backend.born_ms == body.born_ms
            and backend.zone == self.zone
        ):
            if self._watch.is_watched(backend.service):
                self._watch.probe(backend)
            else:
                self.checks.check(backend)

    def _on_suspicion(self, body):
        """Check whether a server is down that another node cannot reach."""
        used = [
            server
            for run in self._streams()
            for server in run.servers
            if (server.server_id, server.born_ms)
            == (body.server_id, body.born_ms)
        ]
        if body.is_down and used:
            self.checks.check(used[0])

    def _record_report(self, backend, report):
        self.in_flight.record_slowness(backend.server_id, report.slowness)
        self.pace.record_slowness(backend, report.slowness)

    def suspect(self, backend, reason, *, is_down=False):
        """Exclude a server from new work, here and at the other nodes."""
        if self.node.backends.suspect(
            backend.server_id, backend.born_ms, reason, is_down=is_down
        ):
            self.metrics.count('suspicions')
            self.node.publish(
                node_messages.Suspicion(
                    backend.server_id, backend.born_ms, reason, is_down
                )
            )

    def report_failed_run(self, call, server, *, has_output):
        """Report later that a run failed, if its server has crashed."""
        self._crash_reports.add(call, server, has_output=has_output)

    def is_barred(self, call):
        """Return whether a call may crash its server."""
        return self.crashes.barred(call.traits) is not None

    def reject_if_barred(self, call):
        """Raise PimentowalkError for a call that may crash its server."""
        bar = self.crashes.barred(call.traits)
        if bar is None:
            return
        self.metrics.count('barred_requests')
        raise errors.PimentowalkError(
            f'requests with trait {bar.trait:016x} have crashed '
            f'{bar.crashes} backend servers',
            code='quarantined',
            step='admit',
        )

    def choose_service(self, call):
        """Return a service of the route of a call, at random by weight.

        A newer document may lack the services of the route, so that both
        come from the document that admitted the call.
        """
        names = [name for name, _ in call.route.backends]
        weights = [weight for _, weight in call.route.backends]
        name = names[0]
        if len(names) > 1:
            name = self.rng.choices(names, weights)[0]
        return call.document.services[name]

    async def handle(self, call, responder):
        """Run a call; raise PimentowalkError if it could not be completed."""
        self.reject_if_barred(call)
        service = self.choose_service(call)
        self.budget.count_request(service.name)
        run = _run_class(call.route, service)(self, call, service, responder)
        run.pauses = self._watch.of_call(call, service)
        self.runs.add(run)
        try:
            await run.run()
            self.crashes.record_completion(call.traits)
            self._log_completed(call, run)
        finally:
            self.runs.discard(run)

    def _log_completed(self, call, run):
        elapsed_s = self.timers.now_s() - call.received_s
        self.metrics.record_s('request', elapsed_s)
        self.durations.record_s(
            call.route.name, elapsed_s, call.expected_answer_tokens
        )
        LOG.info(
            'answered',
            extra=logs.fields(
                step='answer',
                request_id=call.request_id,
                route=call.route.name,
                elapsed_ms=int(elapsed_s * 1000),
                version=call.document.version,
                **run.log_fields(),
            ),
        )

    def log_denied_retry(self, call, service, share):
        """Log that the retry budget allows no other try."""
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

    def log_cut_stream(self, call, lost, refusals):
        """Log why a started stream ends, with its `calls.LostTry` or None."""
        cause = lost.cause if lost else calls.SERVER_BROKE_OFF
        self.metrics.count(f'cut_streams_{cause}')
        LOG.info(
            'started stream cut',
            extra=logs.fields(
                step='recover',
                request_id=call.request_id,
                cause=cause,
                culprit=lost.culprit if lost else '',
                silent_ms=int(lost.silent_s * 1000) if lost else 0,
                refusals=refusals,
                version=call.document.version,
            ),
        )

    def log_kept_try(self, call, target, address, reason):
        """Log that a silent server is not left, since none can take over."""
        self.metrics.count('kept_tries')
        LOG.info(
            'no other server can take over: %s',
            reason,
            extra=logs.fields(
                step='recover',
                peer=target.backend.address,
                request_id=call.request_id,
                culprit=address,
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


def _run_class(route, service):
    """Return the class of the runs of a route at a service."""
    if service.engine:
        return stream.StreamRun
    if route.kind == documents.STREAMING:
        return plain_stream.PlainStreamRun
    return plain.PlainRun
