"""Decide which of the announced backend servers are used."""

import attrs


@attrs.frozen
class Verdict:
    """Why an announced server gets no work, empty if it may.

    `is_replaced` tells that a newer server is the reason.
    """

    reason: str = ''
    is_replaced: bool = False


USED = Verdict()


def _replaced(reason):
    return Verdict(reason, is_replaced=True)


class Succession:
    """Compare the servers that share an address or an id.

    A server of a service that is not named by the configuration replaces no
    other one, and is not used.
    """

    def __init__(self, index, departures, is_named):
        self._index = index
        self._departures = departures
        self._is_named = is_named

    def newer_at_address(self, backend):
        """Return newer incarnations with other ids at the same address."""
        return [
            record.backend
            for record in self._index.at_address(backend.address)
            if record.backend.server_id != backend.server_id
            and record.backend.born_ms > backend.born_ms
        ]

    def rivals(self, backend):
        """Return the other records with the id or the address of a server."""
        found = [
            *self._index.of_id(backend.server_id),
            *self._index.at_address(backend.address),
        ]
        return [r for r in found if r.backend.identity != backend.identity]

    def unnamed_successor(self, backend):
        """Return a newer server of an unnamed service at an address, or None.

        While there is no configuration, no service is known to be unnamed.
        """
        return next(
            (
                other
                for other in self.newer_at_address(backend)
                if self._is_named(other.service) is False
            ),
            None,
        )

    def review(self, records):
        """Decide again on some records; return those that change."""
        changed = []
        for record in records:
            verdict = self.verdict(record.backend)
            if verdict.reason != record.unused_reason:
                changed.append(record)
            record.unused_reason = verdict.reason
            record.is_replaced = verdict.is_replaced
        return changed

    def verdict(self, backend):
        """Return whether an announced server is used."""
        departure = self._departures.in_force(backend)
        if departure is not None:
            return _replaced(f'replaced by service {departure.cause}')
        for other in self.newer_at_address(backend):
            if other.service == backend.service or self._may_replace(other):
                return _replaced(f'replaced by server {other.server_id}')
        same_id = [r.backend for r in self._index.of_id(backend.server_id)]
        successors = [b for b in same_id if self._may_replace(b)]
        for other in successors:
            if other.born_ms > backend.born_ms:
                return _replaced(f'replaced by service {other.service}')
        if self._is_named(backend.service) is False:
            return Verdict('the configuration does not name its service')
        for other in successors:
            if other.order > backend.order:
                return Verdict(f'announced later for {other.service}')
        return USED

    def _may_replace(self, other):
        return self._is_named(other.service) is True
