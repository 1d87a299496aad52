"""The results of accepted changes, by change id."""

import collections
import json

import attrs

from pimentowalk.control import commands
from pimentowalk.control import parts
from pimentowalk.core import errors
from pimentowalk.core import identifiers

# Three days at 10,000 changes a day; an operator resends within minutes.
CHANGES_KEPT = 30_000


def digest(content):
    """Return a hash of a command in the form of its log record."""
    return identifiers.hash64(content)


def _as_sent_first(body, result):
    """Return a repeated publish with the version that it started from.

    An operator who lost the reply sends the same change again, but by then
    the version in force is the one that the change has made.
    """
    if not isinstance(body, commands.Publish) or 'version' not in result:
        return body
    return attrs.evolve(body, expected_version=result['version'] - 1)


@parts.part('changes')
class Changes(parts.Part):
    """Remember accepted changes so that a resend gets the same result."""

    def __init__(self, limit=CHANGES_KEPT):
        self._limit = limit
        self._entries = collections.OrderedDict()

    def earlier(self, body, content):
        """Return the earlier result as JSON data, or None.

        Raises Conflict if the id was used for another change.
        """
        text = self._entries.get(body.change_id)
        if text is None:
            return None
        _, known_digest, result = json.loads(text)
        if known_digest != digest(content):
            first = commands.to_log(_as_sent_first(body, result))
            if known_digest != digest(first):
                raise errors.Conflict(
                    f'change id {body.change_id} was used for another change'
                )
        return result

    def remember(self, body, content, result):
        """Keep the result of an accepted change."""
        data = commands.CONVERTER.unstructure(result)
        entry = [body.change_id, digest(content), data]
        self._entries[body.change_id] = json.dumps(entry)
        while len(self._entries) > self._limit:
            self._entries.popitem(last=False)

    def lines(self):
        """Return the entries."""
        return list(self._entries.values())

    def restore_lines(self, lines):
        """Replace the entries."""
        pairs = ((json.loads(line)[0], line) for line in lines)
        self._entries = collections.OrderedDict(pairs)
