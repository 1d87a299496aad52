"""Memory that less urgent streams leave free for more urgent ones."""

import math

import attrs

# Rates are averages over about this time: long enough for some tens of
# arrivals at one of 24 gateways, short enough to follow a change of traffic.
AVERAGING_S = 5.0
# Keeps rates finite if streams ended at once.
MIN_HELD_S = 0.01
# A rate is an average over this time at least.
MIN_COVERED_S = 1.0
# The reserve covers this many standard deviations of the number of more
# urgent streams at a server, whose arrivals are assumed to be independent.
SAFETY_FACTOR = 0.75
# A larger reserve would leave servers idle: reservations may reach 1.25 of the
# memory, so that a server stays full in practice down to this difference.
MAX_RESERVE_SHARE = 0.25
# Each priority is admitted at least this often relative to all streams.
GUARANTEED_SHARE = 0.25
# Below this many recent arrivals a low share of admissions is chance.
MIN_ARRIVALS = 2.0
# With fewer recent ends the time that streams hold capacity is unknown.
MIN_ENDS = 5.0


class DecayingSum:
    """A sum whose parts lose their weight exponentially.

    >>> now_s = 0.0
    >>> total = DecayingSum(lambda: now_s)
    >>> total.add(10.0)
    >>> now_s = AVERAGING_S * math.log(2)
    >>> round(total.value(), 6)
    5.0
    """

    def __init__(self, now_s):
        self._now_s = now_s
        self._begun_s = self._updated_s = now_s()
        self._value = 0.0

    def value(self):
        """Return the sum now."""
        age_s = self._now_s() - self._updated_s
        return self._value * math.exp(-age_s / AVERAGING_S)

    def add(self, amount):
        """Add an amount at full weight."""
        self._value = self.value() + amount
        self._updated_s = self._now_s()

    def rate_per_s(self):
        """Return the average rate since the first addition, or 0."""
        age_s = self._now_s() - self._begun_s
        # A sum that has just begun covers less time than an old one.
        covered_s = AVERAGING_S * -math.expm1(-age_s / AVERAGING_S)
        return self.value() / max(covered_s, MIN_COVERED_S)


class _Flow:
    """The recent streams of one priority."""

    def __init__(self, now_s):
        self.arrivals = DecayingSum(now_s)
        self.tokens = DecayingSum(now_s)
        self.admissions = DecayingSum(now_s)
        self.ends = DecayingSum(now_s)
        self.held_s = DecayingSum(now_s)
        self.in_flight = 0

    def concurrent(self):
        """Return how many streams are in flight if all are admitted."""
        ends = self.ends.value()
        if ends <= 0:
            return 0.0
        return self.arrivals.rate_per_s() * self.held_s.value() / ends

    def mean_tokens(self):
        """Return the mean reservation of a stream."""
        arrivals = self.arrivals.value()
        return self.tokens.value() / arrivals if arrivals > 0 else 0.0


@attrs.frozen
class Place:
    """A server, as part of the capacity of its service.

    `total_tokens` is what all servers of the service hold over all layers.
    """

    capacity_tokens: float
    total_tokens: float
    slots: int
    live_gateways: int


class Headroom:
    """Measure the streams of each priority of a service at one gateway.

    It handles a burst of less urgent streams that would take the capacity
    which more urgent streams need a moment later. `capacity_tokens` is what
    the servers of the service hold over all layers, computed at
    `capacity_at_s`.
    """

    def __init__(self, now_s):
        self._now_s = now_s
        self._flows = {}
        # The starved priorities at the time for which they were computed.
        self._starved = frozenset()
        self._starved_at_s = None
        self.capacity_tokens = 0.0
        self.capacity_at_s = -math.inf

    def _flow(self, priority):
        if priority not in self._flows:
            self._flows[priority] = _Flow(self._now_s)
        return self._flows[priority]

    def record_arrival(self, priority, tokens):
        """Record a new stream."""
        flow = self._flow(priority)
        flow.arrivals.add(1.0)
        flow.tokens.add(tokens)
        self._starved_at_s = None

    def record_admission(self, priority):
        """Record that a stream may start."""
        self._flow(priority).admissions.add(1.0)
        self._starved_at_s = None

    def record_begin(self, priority):
        """Record that a stream holds a reservation from now on."""
        self._flow(priority).in_flight += 1

    def record_end(self, priority, held_s):
        """Record how long a stream held its reservation."""
        flow = self._flow(priority)
        flow.in_flight -= 1
        flow.ends.add(1.0)
        flow.held_s.add(held_s)

    def arrival_rate_per_s(self, below):
        """Return the arrivals of all priorities more urgent than one."""
        return sum(
            flow.arrivals.rate_per_s()
            for priority, flow in self._flows.items()
            if priority < below
        )

    def drain_rate_per_s(self):
        """Return the streams of this gateway that end in a second, or 0.

        It follows from the streams in flight and the time for which streams
        hold capacity. Past ends alone are too few at the begin of a burst,
        and until enough streams have ended, the rate is unknown.
        """
        flows = self._flows.values()
        ends = sum(flow.ends.value() for flow in flows)
        if ends < MIN_ENDS:
            return 0.0
        held_s = sum(flow.held_s.value() for flow in flows)
        in_flight = sum(flow.in_flight for flow in flows)
        return in_flight * ends / max(held_s, MIN_HELD_S)

    def admissions(self, priority):
        """Return the recent admissions of a priority."""
        return self._flow(priority).admissions.value()

    def is_starved(self, priority):
        """Return whether a priority is admitted too rarely.

        A share of all admissions that does not depend on the arrivals would
        give precedence to a priority that has few of them.
        """
        now_s = self._now_s()
        if self._starved_at_s != now_s:
            self._starved_at_s = now_s
            self._starved = self._find_starved()
        return priority in self._starved

    def _find_starved(self):
        counts = {
            priority: (flow.arrivals.value(), flow.admissions.value())
            for priority, flow in self._flows.items()
        }
        arrivals = sum(count for count, _ in counts.values())
        admissions = sum(count for _, count in counts.values())
        return frozenset(
            priority
            for priority, (arrived, admitted) in counts.items()
            if arrived >= MIN_ARRIVALS
            and admitted * arrivals < GUARANTEED_SHARE * arrived * admissions
        )

    def _reserved(self, priority, place, *, is_overdue):
        """Return (streams, tokens) to leave free at a server."""
        if place.total_tokens <= 0 or self.is_starved(priority):
            return 0.0, 0.0
        first_not_reserved = priority + is_overdue
        flows = [x for p, x in self._flows.items() if p < first_not_reserved]
        part = place.live_gateways * place.capacity_tokens / place.total_tokens
        streams = tokens_squared = 0.0
        for flow in flows:
            concurrent = flow.concurrent() * part
            streams += concurrent
            tokens_squared += concurrent * flow.mean_tokens() ** 2
        return (
            SAFETY_FACTOR * math.sqrt(streams),
            SAFETY_FACTOR * math.sqrt(tokens_squared),
        )

    def reserved_share(self, priority, place, *, is_overdue=False):
        """Return the share of a server's memory to leave free.

        It is the fluctuation of the more urgent streams within a holding
        time. An overdue stream also leaves room for those of its priority
        that can still meet their objective.
        """
        if place.capacity_tokens <= 0:
            return 0.0
        _, tokens = self._reserved(priority, place, is_overdue=is_overdue)
        return min(tokens / place.capacity_tokens, MAX_RESERVE_SHARE)

    def reserved_slot_share(self, priority, place, *, is_overdue=False):
        """Return the share of a server's slots to leave free."""
        streams, _ = self._reserved(priority, place, is_overdue=is_overdue)
        return min(streams / max(place.slots, 1), MAX_RESERVE_SHARE)
