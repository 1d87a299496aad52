"""How many requests a backend server that returns may hold now.

The limit counts the requests of all gateways. Each gateway uses an even share
of it, because gateways that each probe gently would together flood a server.
"""

import logging
import random

from pimentowalk.core import logs
from pimentowalk.routing import answer_sums
from pimentowalk.routing import answer_times
from pimentowalk.routing import pace_limits
from pimentowalk.routing import pace_state
from pimentowalk.routing import slow_spells
from pimentowalk.wire import node_messages

LOG = logging.getLogger(__name__)

# Answers of this time are reported to the other gateways.
REPORT_WINDOW_S = 0.5
# Reports of other gateways are this old at most when they arrive: the period
# of the reports and that of the sums at control.
REPORT_LAG_S = 0.75
# A sum shows only answers to requests that began after a change if the change
# was this long before it.
EVIDENCE_LAG_S = REPORT_LAG_S + REPORT_WINDOW_S
# So many own answers outweigh those that other gateways reported late.
ENOUGH_ANSWERS = 3
UPDATE_INTERVAL_S = 0.02
# A server that says it is this much slower than its kind is paced.
SLOW_SPELL_RATIO = 1.5
# Where shares are less than one, requests are taken to last as long as the
# delay until other gateways know of them, if they do not last longer.
FILL_S = 0.375
# The share of the room of a server that is corrected in that time. Larger ones
# let the load oscillate, since the room is known late.
CORRECTION = 0.5
# Requests that choose a returning server, relative to those that a warm one
# answers. A larger value leaves a warm server idle for longer (8 s with 2 at
# 390 gateways), a smaller one lets more reach a cold one.
WANTED_RATIO = 1.5
# Weight of a sum of reports in the mean of the requests at a server.
LOAD_WEIGHT = 0.3
# Until answers show how long they take.
DEFAULT_EXPECTED_S = 0.5
# A path through a server that has denied a request is costly for this long.
DENIAL_EXPIRY_S = 0.1
# Answers are compared with their predictions after this multiple of them. The
# first ones to arrive are those of the shortest requests.
COHORT_RATIO = 1.25


class ServerPace(pace_state.Unpaced):
    """Limit the requests at servers that have started or recovered.

    `in_flight` is the `work.InFlightTracker`, `live_nodes` returns the number
    of live gateways, `demand(backend)` how many requests a warm server holds.
    """

    def __init__(
        self,
        now_s,
        in_flight,
        *,
        live_nodes=lambda: 1,
        demand=lambda backend: backend.slots,
        rng=None,
        metrics=None,
        limiter='adaptive',
    ):
        self._now_s = now_s
        self._in_flight = in_flight
        self._live_nodes = live_nodes
        self._demand = demand
        self._rng = rng or random.Random()
        self._metrics = metrics
        self._limiter_class = pace_limits.LIMITERS.get(limiter)
        self._paced = {}
        self._spells = slow_spells.SlowSpells()
        self._times = answer_times.AnswerTimes()
        self._answers = answer_sums.AnswerSums(now_s)
        if metrics is not None:
            metrics.gauge('paced_servers', lambda: len(self._paced))
            metrics.gauge('paced_limit', self._sum_limits)

    def __len__(self):
        return len(self._paced)

    def _sum_limits(self):
        return round(sum(x.limiter.limit for x in self._paced.values()), 1)

    def record_start(self, backend, warmup_left_s=0.0):
        """Limit a server that has started, and may announce a warm-up."""
        self._begin_pace(backend, pace_state.START, 0.0, warmup_left_s)

    def record_return(self, backend, reason, delay_s=0.0):
        """Limit a server that is used again after a delay."""
        self._begin_pace(backend, reason, delay_s, 0.0)

    def _begin_pace(self, backend, reason, delay_s, warm_up_s):
        begin_s = self._now_s() + delay_s
        known = self._paced.get(backend.server_id)
        demand = max(pace_limits.MIN_LIMIT, float(self._demand(backend)))
        limiter = self._limiter_class(
            begin_s, demand, warm_up_s, pace_state.START_SHARES[reason]
        )
        self._paced[backend.server_id] = pace_state.Paced(
            backend,
            reason,
            limiter,
            begin_s,
            expected_s=self._times.expected_s(backend.service),
        )
        if known is not None and known.begin_s > self._now_s():
            # Each answer of a server that pauses asks for the same pause.
            return
        if self._metrics is not None:
            self._metrics.count('server_paces')
        self._log('the pace of a server begins', backend, reason, limiter)

    def _log(self, message, backend, reason, limiter, **others):
        LOG.info(
            message,
            extra=logs.fields(
                step='pace',
                peer=backend.address,
                server=backend.server_id,
                reason=reason,
                limit=round(limiter.limit, 1),
                demand=limiter.demand,
                **others,
            ),
        )

    def _state(self, server_id):
        """Return the updated state of a server, None if it has no limit."""
        state = self._paced.get(server_id)
        if state is None:
            return None
        now_s = self._now_s()
        if now_s - state.updated_s < UPDATE_INTERVAL_S:
            return state
        state.updated_s = now_s
        if now_s - state.rounded_s >= FILL_S:
            state.rounded_s = now_s
            state.rounding = self._rng.random()
        if now_s >= state.begin_s:
            evidence = self._evidence(state, now_s)
            if evidence.answers:
                state.held_s = evidence.slowdown * state.expected_s
            state.limiter.update(now_s, evidence)
            state.refusals = 0
        if state.limiter.is_done(now_s):
            del self._paced[server_id]
            self._log(
                'the pace of a server ends',
                state.backend,
                state.reason,
                state.limiter,
                paced_s=round(now_s - state.begin_s, 2),
            )
            return None
        return state

    def allowed(self, server_id):
        """Return how many requests a server may hold over all gateways."""
        state = self._state(server_id)
        return float('inf') if state is None else state.limiter.limit

    def slots(self, backend):
        """Return the slots of a server that may be used now, at least 1."""
        if backend.server_id not in self._paced:
            return backend.slots
        return max(1.0, min(backend.slots, self.allowed(backend.server_id)))

    def has_room(self, backend):
        """Return whether a request that chose a server may begin there."""
        state = self._state(backend.server_id)
        if state is None:
            return True
        state.wanted += 1
        if self._may_begin(state):
            return True
        state.denied_s = self._now_s()
        return False

    def _may_begin(self, state):
        server_id = state.backend.server_id
        limit = state.limiter.limit
        room = limit - self._in_flight.reported_requests(server_id)
        nodes = max(1, self._live_nodes())
        if limit < nodes:
            return room > 0 and self._rng.random() < self._chance(state, room)
        # Others may begin as many requests before their next reports.
        own = self._in_flight.own_requests(server_id)
        return own + 1 <= limit / nodes + state.rounding or room >= nodes

    def _chance(self, state, room):
        """Return the chance of a request where shares are less than one.

        All gateways together begin as many requests as keep the server at its
        limit, by Little's law. Each assumes that the others want as many as
        itself, and at least somewhat more than a warm server answers: they
        want an idle server more often than they do on average.
        """
        now_s = self._now_s()
        nodes = max(1, self._live_nodes())
        age_s = max(0.0, now_s - state.begin_s)
        limiter = state.limiter
        held_s = max(state.held_s, FILL_S)
        begun_per_s = (limiter.limit + CORRECTION * room) / held_s
        expected_s = state.expected_s or DEFAULT_EXPECTED_S
        assumed_per_s = WANTED_RATIO * limiter.demand / expected_s / nodes
        wanted_per_s = state.wanted / (age_s + 1 / assumed_per_s)
        wanted_per_s = max(assumed_per_s, wanted_per_s)
        return begun_per_s / (nodes * wanted_per_s)

    def costs_s(self, backends):
        """Return {server id: cost} of the servers that are being paced."""
        if not self._paced:
            return {}
        oldest_s = self._now_s() - DENIAL_EXPIRY_S
        found = {}
        for backend in backends:
            state = self._state(backend.server_id)
            if state is None:
                continue
            in_flight = self._in_flight.reported_requests(backend.server_id)
            share = min(1.0, (in_flight + 1) / state.limiter.limit)
            if state.denied_s > oldest_s:
                share = 1.0
            found[backend.server_id] = pace_state.FULL_COST_S * share * share
        return found

    def begin(self, service, backends, model_s=1.0):
        """Count a request at its servers; return its `Probe`."""
        paced = [
            state
            for state in (self._paced.get(b.server_id) for b in backends)
            if state is not None
        ]
        expected_s = self._times.expected_s(service, model_s)
        probe = pace_state.Probe(
            service,
            tuple(backends),
            tuple(s.backend.server_id for s in paced),
            self._now_s(),
            model_s,
            expected_s,
        )
        for state in paced:
            state.probes.add(probe)
            state.expected_s = expected_s
        if not paced and len(probe.backends) == 1 and expected_s > 0:
            self._spells.begin(probe)
            self._limit_if_slow(probe.backends[0], probe.begun_s)
        return probe

    def end(self, probe, outcome):
        """Record the first event or the whole answer of a request."""
        if probe is None:
            return
        now_s = self._now_s()
        for server_id in probe.paced_ids:
            state = self._paced.get(server_id)
            if state is None or probe not in state.probes:
                continue
            state.probes.discard(probe)
            if outcome == pace_state.ANSWERED and probe.expected_s > 0:
                state.samples.append(
                    pace_state.Sample(
                        probe.begun_s,
                        now_s,
                        slow_spells.slowdown(probe, now_s),
                    )
                )
        is_answered = outcome == pace_state.ANSWERED
        # Without any answer yet, all servers may be paced.
        if is_answered and not (probe.paced_ids and probe.expected_s):
            elapsed_s = now_s - probe.begun_s
            self._times.record(probe.service, elapsed_s, probe.model_s)
        if probe.paced_ids:
            return
        if len(probe.backends) == 1 and probe.expected_s > 0:
            self._spells.end(
                probe, now_s, is_answered=outcome == pace_state.ANSWERED
            )
            self._limit_if_slow(probe.backends[0], now_s)

    def _limit_if_slow(self, backend, now_s):
        """Limit a server whose answers have become slow without more work."""
        server_id = backend.server_id
        in_flight = self._in_flight.reported_requests(server_id)
        usual = max(1.0, in_flight / max(1.0, self._demand(backend)))
        if self._spells.is_slow(server_id, now_s, usual):
            self._spells.forget(server_id)
            self.record_return(backend, pace_state.SLOW)

    def record_refusal(self, server_id):
        """Record that a server had no room for a request."""
        state = self._paced.get(server_id)
        # A server that pauses refuses for that reason until its pause ends.
        if state is not None and self._now_s() >= state.begin_s:
            state.refusals += 1
            state.updated_s = float('-inf')

    def _evidence(self, state, now_s):
        """Return what the answers since the last change of limit show."""
        changed_s = state.limiter.changed_s
        newest_s = now_s - COHORT_RATIO * state.expected_s
        slowdowns = [
            x.slowdown
            for x in state.samples
            if changed_s <= x.begun_s <= newest_s
        ]
        slowdowns += [
            slow_spells.slowdown(x, now_s)
            for x in state.probes
            if changed_s <= x.begun_s <= newest_s and x.expected_s > 0
        ]
        count, total = len(slowdowns), sum(slowdowns)
        server_id = state.backend.server_id
        limiter = state.limiter
        has_share = limiter.limit >= self._live_nodes()
        is_new = (
            self._answers.updated_s >= changed_s + EVIDENCE_LAG_S
            or (has_share and changed_s <= state.begin_s)
            or not self._answers.is_current
        )
        if count < ENOUGH_ANSWERS:
            if is_new or not (has_share or limiter.was_cut):
                answers, slowdown = self._answers.of_server(server_id)
                count += answers
                total += slowdown
            elif not has_share and self._answers.is_current:
                # Gateways that act on one answer each would drift apart.
                count = 0
        return pace_limits.Evidence(
            count,
            total / count if count else 1.0,
            max(self._in_flight.reported_requests(server_id), state.load),
            state.refusals,
            state.expected_s,
            is_new or has_share,
            state.load,
        )

    def report(self):
        """Return the recent answers of the servers that are being paced."""
        oldest_s = self._now_s() - REPORT_WINDOW_S
        found = []
        for server_id, state in self._paced.items():
            slowdowns = [
                x.slowdown for x in state.samples if x.answered_s >= oldest_s
            ]
            if slowdowns:
                percent = int(100 * sum(slowdowns))
                found.append(
                    node_messages.ServerAnswers(
                        server_id, len(slowdowns), percent
                    )
                )
        return found

    def record_report(self, node_id, answers):
        """Replace the answers that one other gateway reported."""
        self._answers.record_report(node_id, answers)
        self._update_all()

    def record_summary(self, answers):
        """Replace the sums of the answers that all gateways reported."""
        self._answers.record_summary(answers)
        self._update_all()

    def _update_all(self):
        """Adapt all limits, since all gateways hear of the same answers."""
        for server_id, state in list(self._paced.items()):
            in_flight = self._in_flight.reported_requests(server_id)
            state.load += LOAD_WEIGHT * (in_flight - state.load)
            self._state(server_id)

    def record_slowness(self, backend, factor):
        """Limit a server that says it is slower than its kind."""
        is_paced = backend.server_id in self._paced
        if factor > SLOW_SPELL_RATIO and not is_paced:
            self.record_return(backend, pace_state.SLOW)

    def keep_services(self, services):
        """Forget the answer times of all other services."""
        self._times.keep_only(services)

    def keep_only(self, server_ids):
        """Drop the state of all servers except these."""
        for server_id in self._paced.keys() - server_ids:
            del self._paced[server_id]
        self._spells.keep_only(server_ids)
