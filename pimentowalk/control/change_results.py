"""The results of accepted changes, by change id."""

import collections

from pimentowalk.control import commands
from pimentowalk.control import parts
from pimentowalk.core import errors
from pimentowalk.core import identifiers

# Three days at 10,000 changes a day; an operator resends within minutes.
CHANGES_KEPT = 30_000


def digest(content):
    """Return a hash of a command in the form of its log record."""
    return identifiers.hash64(content)


@parts.part('changes')
class Changes:
    """Remember accepted changes so that a resend gets the same result."""

    def __init__(self, limit=CHANGES_KEPT):
        self._limit = limit
        self._entries = collections.OrderedDict()

    def earlier(self, body, content):
        """Return the earlier result as JSON data, or None.

        Raises Conflict if the id was used for another change.
        """
        entry = self._entries.get(body.change_id)
        if entry is None:
            return None
        if entry[0] != digest(content):
            raise errors.Conflict(
                f'change id {body.change_id} was used for another change'
            )
        return entry[1]

    def remember(self, body, content, result):
        """Keep the result of an accepted change."""
        data = commands.CONVERTER.unstructure(result)
        self._entries[body.change_id] = [digest(content), data]
        while len(self._entries) > self._limit:
            self._entries.popitem(last=False)

    def snapshot(self):
        """Return the entries as JSON data."""
        return [[key, *entry] for key, entry in self._entries.items()]

    def restore(self, data):
        """Replace the entries."""
        self._entries = collections.OrderedDict(
            (key, entry) for key, *entry in data
        )
