"""Concurrency limits of one backend server, derived from its answers.

A limit is the number of requests in flight over all gateways. Each limiter
has the attribute `limit`, a method `update(now_s, evidence)` and a method
`is_done(now_s)` that tells when the server needs no limit any more.
"""

import attrs

from pimentowalk.core import registry

LIMITERS = registry.Registry('server pace')

MIN_LIMIT = 1.0
# Answers that take this much longer than predicted show that a server has
# more work than it can run at its full speed. Lengths of requests differ, so
# that few answers must deviate further.
SLOW_RATIO = 1.5
SLOW_RATIO_MARGIN = 0.5
# Below this ratio, a server runs at its full speed.
GOOD_RATIO = 1.25
GOOD_RATIO_MARGIN = 0.1
# A server that has slowed down is loaded less than it can run, so that the
# next answers show the difference.
CUT_MARGIN = 0.9
REFUSAL_FACTOR = 0.7
GROWTH_FACTOR = 1.5
# Answers at some load do not show how a server runs more than this multiple,
# unless no more requests come.
MAX_GROWTH = 3.0
# The answers that other gateways report are those of a lower load.
MAX_REPORTED_GROWTH = 2.0
# Delay before a limit that was cut grows; doubles with each cut.
HOLD_S = 0.5
MAX_HOLD_S = 4.0
# Without any answer, which is the case without requests, the limit grows
# after this time.
BLIND_S = 2.0
# The full limit has to hold for this long.
CONFIRM_S = 1.0


@attrs.frozen
class Evidence:
    """What the answers of a server since its last change of limit show.

    `slowdown` is the mean of the times to the answers relative to their
    predictions, `in_flight` the requests at the server over all gateways.
    `is_new` tells that the answers are to requests after the last change, and
    `load` is the number of requests when the answers of other gateways that
    are known by now began.
    """

    answers: int = 0
    slowdown: float = 1.0
    in_flight: float = 0.0
    refusals: int = 0
    expected_s: float = 0.0
    is_new: bool = True
    load: float = 0.0

    @property
    def is_slow(self):
        """Return whether the server has more work than it can run."""
        if not self.answers:
            return False
        margin = SLOW_RATIO_MARGIN / self.answers**0.5
        return self.slowdown > SLOW_RATIO + margin

    @property
    def is_good(self):
        """Return whether the server runs its work at full speed."""
        if not self.answers:
            return False
        margin = GOOD_RATIO_MARGIN / self.answers**0.5
        return self.slowdown < GOOD_RATIO - margin


@LIMITERS.register('adaptive')
class AdaptiveLimit:
    """Double while answers arrive as predicted, else follow the slowdown.

    The capacity of a server with more work than it can run is estimated as
    its requests divided by their slowdown. Growth after that is slower, and
    each further cut delays it more.
    """

    def __init__(self, now_s, demand, warm_up_s, start_share):
        self.demand = demand
        self.limit = max(MIN_LIMIT, demand * start_share)
        self.changed_s = now_s
        self._start_s = now_s
        self._start_limit = self.limit
        self._warm_s = now_s + warm_up_s
        self._hold_s = HOLD_S
        self._is_confirmed = False
        self.was_cut = warm_up_s > 0

    def update(self, now_s, evidence):
        """Adapt the limit to the answers since the last change."""
        if evidence.refusals:
            base = min(self.limit, max(evidence.in_flight, MIN_LIMIT))
            self._cut(now_s, base * REFUSAL_FACTOR)
        elif evidence.is_slow:
            base = max(evidence.in_flight, MIN_LIMIT)
            self._cut(now_s, base / evidence.slowdown * CUT_MARGIN)
        elif evidence.is_good:
            self._grow(now_s, evidence)
        elif not evidence.answers and now_s >= self._warm_s:
            if now_s - self.changed_s >= BLIND_S:
                self._confirm()
                self._set(now_s, self.limit * GROWTH_FACTOR)

    def _grow(self, now_s, evidence):
        unchanged_s = now_s - self.changed_s
        if self.limit >= self.demand:
            if unchanged_s >= CONFIRM_S:
                self._confirm()
        elif self.was_cut:
            if unchanged_s >= self._hold_s:
                limit = self.limit * GROWTH_FACTOR
                if unchanged_s < MAX_HOLD_S:
                    limit = min(
                        limit, MAX_REPORTED_GROWTH * evidence.in_flight
                    )
                self._set(now_s, max(self.limit, limit))
        else:
            # Answers of other gateways are known late, and stand for all
            # the time since the start.
            rounds = (now_s - self._start_s) / max(evidence.expected_s, 0.05)
            unlocked = self._start_limit * 2 ** min(rounds, 10)
            limit = max(2 * self.limit, unlocked)
            if not evidence.is_new:
                limit = min(unlocked, MAX_REPORTED_GROWTH * evidence.load)
            elif unchanged_s < BLIND_S:
                limit = min(limit, MAX_GROWTH * evidence.in_flight)
            else:
                limit = GROWTH_FACTOR * self.limit
            self._set(now_s, max(self.limit, limit))

    def _confirm(self):
        self._is_confirmed = self.limit >= self.demand

    def _cut(self, now_s, limit):
        if limit < self.limit:
            if self.was_cut:
                self._hold_s = min(2 * self._hold_s, MAX_HOLD_S)
            self.was_cut = True
            self._set(now_s, limit)

    def _set(self, now_s, limit):
        limit = min(max(limit, MIN_LIMIT), self.demand)
        if limit != self.limit:
            self.limit = limit
            self.changed_s = now_s

    def is_done(self, now_s):
        """Return whether the full limit has held."""
        return (
            self._is_confirmed
            and self.limit >= self.demand
            and now_s >= self._warm_s
        )
