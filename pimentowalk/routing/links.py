"""Delays of links from measured round trips, and penalties of links."""

import collections

import attrs

# One way, until a round trip has been measured.
SAME_ZONE_DELAY_S = 0.000_25
OTHER_ZONE_DELAY_S = 0.001
# The weight of a new measurement in the moving average.
MEASURED_WEIGHT = 0.2
PENALTY_S = 2.0
MAX_PENALTY_S = 60.0
# Links come back without notice, so a penalty halves in this time.
PENALTY_HALF_LIFE_S = 10.0
# A penalty below this is dropped.
FORGOTTEN_S = 0.001
# A server to which links from this many sources failed is taken as lost.
SOURCES_OF_LOST_SERVER = 2
# Old links are dropped, so that servers which come and go use no memory.
MAX_LINKS = 20_000


@attrs.define
class _Penalty:
    value_s: float
    since_s: float

    def at(self, now_s):
        age_s = now_s - self.since_s
        return self.value_s * 0.5 ** (age_s / PENALTY_HALF_LIFE_S)


class LinkTracker:
    """Delays and penalties of links between servers, and from this entry.

    Links are named by the ids of their ends; `origin` names this entry.
    """

    def __init__(self, timers, origin, zone):
        self.origin = origin
        self.zone = zone
        self._timers = timers
        self._delays = collections.OrderedDict()
        self._zone_delays = {}
        self._penalties = collections.OrderedDict()
        self._failed_sources = collections.defaultdict(dict)

    def record_round_trip(self, source_id, source_zone, target, round_trip_s):
        """Take over a measured round trip between two ends."""
        one_way_s = round_trip_s / 2
        _average(self._delays, (source_id, target.server_id), one_way_s)
        _average(self._zone_delays, (source_zone, target.zone), one_way_s)
        while len(self._delays) > MAX_LINKS:
            self._delays.popitem(last=False)

    def delay_s(self, source_id, source_zone, target):
        """Return the delay one way, estimated by zone if not measured."""
        delay_s = self._delays.get((source_id, target.server_id))
        if delay_s is None:
            delay_s = self._zone_delays.get((source_zone, target.zone))
        if delay_s is not None:
            return delay_s
        if source_zone == target.zone:
            return SAME_ZONE_DELAY_S
        return OTHER_ZONE_DELAY_S

    def record_failure(self, source_id, target_id):
        """Add a penalty to a link on which an attempt failed."""
        now_s = self._timers.now_s()
        key = (source_id, target_id)
        old = self._penalties.pop(key, None)
        value_s = PENALTY_S + (2 * old.at(now_s) if old else 0.0)
        self._penalties[key] = _Penalty(min(value_s, MAX_PENALTY_S), now_s)
        self._failed_sources[target_id][source_id] = now_s
        while len(self._penalties) > MAX_LINKS:
            (source, target), _ = self._penalties.popitem(last=False)
            self._drop_source(source, target)

    def record_success(self, source_id, target_id):
        """Clear the penalty of a link on which an attempt finished."""
        if self._penalties.pop((source_id, target_id), None) is not None:
            self._drop_source(source_id, target_id)

    def _drop_source(self, source_id, target_id):
        sources = self._failed_sources.get(target_id)
        if sources is None:
            return
        sources.pop(source_id, None)
        if not sources:
            del self._failed_sources[target_id]

    def penalty_s(self, source_id, target_id):
        """Return the penalty of a link in seconds of cost.

        Failures on links from several sources tell of a lost server, whose
        penalty then holds for links from any source.
        """
        sources = self._failed_sources.get(target_id)
        if not sources:
            return 0.0
        values = self._fresh_penalties(sources, target_id)
        value_s = values.get(source_id, 0.0)
        if len(values) < SOURCES_OF_LOST_SERVER:
            return value_s
        ranked = sorted(values.values())
        return max(value_s, ranked[-SOURCES_OF_LOST_SERVER])

    def _fresh_penalties(self, sources, target_id):
        now_s = self._timers.now_s()
        values = {
            source: self._penalties[source, target_id].at(now_s)
            for source in sources
        }
        for source, value_s in list(values.items()):
            if value_s < FORGOTTEN_S:
                del values[source]
                self.record_success(source, target_id)
        return values


def _average(table, key, value):
    old = table.get(key)
    if old is not None:
        value = old + MEASURED_WEIGHT * (value - old)
    table[key] = value
