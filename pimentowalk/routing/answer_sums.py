"""The answers of servers that other gateways have reported."""

# Reports are dropped after this time without another one.
EXPIRY_S = 2.0


class AnswerSums:
    """Sum up answers and slowdowns by server, over all gateways.

    Control sends the sums; instances of older releases forward each report.
    """

    def __init__(self, now_s):
        self._now_s = now_s
        self._sums = {}
        self._reports = {}
        self.updated_s = float('-inf')

    @property
    def is_current(self):
        """Return whether this gateway hears from the others."""
        return self._now_s() - self.updated_s <= EXPIRY_S

    def of_server(self, server_id):
        """Return the number of answers and the sum of their slowdowns."""
        if not self.is_current:
            self._sums = {}
        return self._sums.get(server_id, (0, 0.0))

    def record_report(self, node_id, answers):
        """Replace the answers that one other gateway reported."""
        now_s = self._now_s()
        self._reports[node_id] = now_s, answers
        self._reports = {
            known_id: (at_s, items)
            for known_id, (at_s, items) in self._reports.items()
            if now_s - at_s <= EXPIRY_S
        }
        self._add_up(
            item for _, items in self._reports.values() for item in items
        )

    def record_summary(self, answers):
        """Replace the sums over all gateways."""
        self._reports.clear()
        self._add_up(answers)

    def _add_up(self, answers):
        self.updated_s = self._now_s()
        self._sums = {}
        for item in answers:
            count, total = self._sums.get(item.server_id, (0, 0.0))
            self._sums[item.server_id] = (
                count + item.answers,
                total + item.slowdown_percent / 100,
            )
