"""Division of account rates among entries by their recent demand."""

# This part of each rate is divided evenly, so that an entry whose first
# caller of an account has just arrived can serve it before it has reported.
EVEN_PART = 0.2
# Entries report about every two seconds; one that has missed several
# reports has stopped or is cut off.
EXPIRY_S = 10.0
# A new leader knows no demands. Until all entries can have reported, rates
# are divided evenly, since the first one would otherwise get nearly all.
WARM_UP_S = 5.0
# Demands are added up in whole millionths, because sums of floats that are
# changed for days would drift. Larger demands than this are cut.
UNIT = 1_000_000
MAX_DEMAND = 1e6


class DemandTable:
    """Keep the demand of each entry for each client account.

    >>> table = DemandTable()
    >>> table.report('entry-1', {'a': 3.0}, 2, now_s=0.0)
    {'a': 0.5}
    >>> table.report('entry-2', {'a': 1.0}, 2, now_s=6.0)
    {'a': 0.3}
    """

    def __init__(self):
        self._reports = {}
        self._totals = {}
        self._started_s = None

    def report(self, entry_id, demands, live_entries, now_s):
        """Take over an entry's demands; return its shares of the rates.

        The shares of all entries add up to at most 1 once each has
        reported after the last change.
        """
        self._expire(now_s)
        if not self._reports:
            self._started_s = now_s
        self._drop(entry_id)
        wanted = _in_units(demands)
        self._reports[entry_id] = (now_s, wanted)
        for name, demand in wanted.items():
            total, count = self._totals.get(name, (0, 0))
            self._totals[name] = (total + demand, count + 1)
        entries = max(live_entries, len(self._reports))
        if now_s - self._started_s < WARM_UP_S:
            return dict.fromkeys(wanted, 1 / entries)
        return {
            name: round(
                EVEN_PART / entries
                + (1 - EVEN_PART) * demand / self._totals[name][0],
                9,
            )
            for name, demand in wanted.items()
        }

    def _expire(self, now_s):
        # Reports are kept in the order of their times.
        for entry_id, (reported_s, _) in list(self._reports.items()):
            if now_s - reported_s <= EXPIRY_S:
                return
            self._drop(entry_id)

    def _drop(self, entry_id):
        _, demands = self._reports.pop(entry_id, (0, {}))
        for name, demand in demands.items():
            total, count = self._totals[name]
            if count == 1:
                del self._totals[name]
            else:
                self._totals[name] = (total - demand, count - 1)


def _in_units(demands):
    """Return positive demands as integers."""
    positive = {name: d for name, d in demands.items() if d > 0}
    units = {
        name: round(min(demand, MAX_DEMAND) * UNIT)
        for name, demand in positive.items()
    }
    return {name: demand for name, demand in units.items() if demand}
