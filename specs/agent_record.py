"""The record of a request at an agent, as the specifications keep it."""

import attrs

from pimentowalk.agent import rules


@attrs.frozen
class Record:
    """The record that one agent has of one request."""

    highest_attempt: int = -1
    highest_fenced: int = -1
    admitted: frozenset = frozenset()

    def close(self, attempt):
        """Return the record after a fence."""
        return attrs.evolve(
            self, highest_fenced=max(self.highest_fenced, attempt)
        )

    def for_rules(self):
        """Return the record as the rules take it."""
        return rules.RequestRecord(
            self.highest_attempt, self.highest_fenced, set(self.admitted)
        )
