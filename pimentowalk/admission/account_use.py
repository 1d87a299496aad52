"""Division of account rate limits among entries by recent demand."""

# This share of each rate is divided evenly, so that an entry can serve the
# first callers of an account before it has reported its demand.
EVEN_SHARE = 0.2
# Entries report about every two seconds. One that has missed several reports
# has stopped or is cut off.
EXPIRY_S = 10.0
# A new leader divides rates evenly until all entries have had time to report.
# Otherwise the first one to report would get nearly the whole rate.
WARM_UP_S = 5.0
# Totals are kept in integer millionths, because float sums that are updated
# for days would drift. Demands above MAX_DEMAND are clipped.
UNIT = 1_000_000
MAX_DEMAND = 1e6


class DemandTable:
    """Demand of each entry for each client account.

    >>> table = DemandTable()
    >>> table.record_demands('entry-1', {'a': 3.0}, 2, now_s=0.0)
    {'a': 0.5}
    >>> table.record_demands('entry-2', {'a': 1.0}, 2, now_s=6.0)
    {'a': 0.3}
    """

    def __init__(self):
        self._reports = {}
        self._totals = {}
        self._started_s = None

    def record_demands(self, entry_id, demands, live_entries, now_s):
        """Record the demands of an entry; return its shares of the rates.

        The shares of all entries add up to at most 1 once each of them has
        reported after the last change.
        """
        self._expire(now_s)
        if not self._reports:
            self._started_s = now_s
        self._remove_report(entry_id)
        demand_units = _to_units(demands)
        self._reports[entry_id] = (now_s, demand_units)
        for name, demand in demand_units.items():
            total, count = self._totals.get(name, (0, 0))
            self._totals[name] = (total + demand, count + 1)
        entries = max(live_entries, len(self._reports))
        if now_s - self._started_s < WARM_UP_S:
            return dict.fromkeys(demand_units, 1 / entries)
        return {
            name: round(
                EVEN_SHARE / entries
                + (1 - EVEN_SHARE) * demand / self._totals[name][0],
                9,
            )
            for name, demand in demand_units.items()
        }

    def _expire(self, now_s):
        # Reports are ordered by time.
        for entry_id, (reported_s, _) in list(self._reports.items()):
            if now_s - reported_s <= EXPIRY_S:
                return
            self._remove_report(entry_id)

    def _remove_report(self, entry_id):
        _, demands = self._reports.pop(entry_id, (0, {}))
        for name, demand in demands.items():
            total, count = self._totals[name]
            if count == 1:
                del self._totals[name]
            else:
                self._totals[name] = (total - demand, count - 1)


def _to_units(demands):
    """Convert demands to integer units; leave out zero demands."""
    positive = {name: d for name, d in demands.items() if d > 0}
    units = {
        name: round(min(demand, MAX_DEMAND) * UNIT)
        for name, demand in positive.items()
    }
    return {name: demand for name, demand in units.items() if demand}
