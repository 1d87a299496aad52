"""Sums of the load reports of many nodes, kept by difference."""

# A report this old is dropped: its requests have ended or its node is down.
REPORT_EXPIRY_S = 2.0


class LoadTotals:
    """Sum the latest report of each node by server.

    Every node reports twice a second. Summing over all nodes on each lookup
    would take a third of the processor time of a small node.
    """

    def __init__(self):
        self._reports = {}
        self._totals = {}

    def __len__(self):
        return len(self._reports)

    def record(self, node_id, loads, now_s):
        """Replace the loads of a node: {server id: (requests, tokens)}."""
        self.remove(node_id)
        self._add(loads, 1)
        # Appended last, so that reports stay ordered by arrival.
        self._reports[node_id] = now_s, loads

    def remove(self, node_id):
        """Drop the loads of a node."""
        _, loads = self._reports.pop(node_id, (0.0, {}))
        self._add(loads, -1)

    def expire(self, now_s):
        """Drop the reports that are too old; return their nodes."""
        expired = []
        while self._reports:
            node_id, (received_s, _) = next(iter(self._reports.items()))
            if now_s - received_s <= REPORT_EXPIRY_S:
                break
            self.remove(node_id)
            expired.append(node_id)
        return expired

    def clear(self):
        """Drop all reports."""
        self._reports.clear()
        self._totals.clear()

    def of_server(self, server_id):
        """Return (requests, tokens) at a server over all nodes."""
        return self._totals.get(server_id, (0, 0))

    def by_server(self):
        """Return {server id: (requests, tokens)} of the servers with work."""
        return self._totals

    def _add(self, loads, sign):
        for server_id, (requests, tokens) in loads.items():
            old = self._totals.get(server_id, (0, 0))
            total = old[0] + sign * requests, old[1] + sign * tokens
            if total == (0, 0):
                self._totals.pop(server_id, None)
            else:
                self._totals[server_id] = total
