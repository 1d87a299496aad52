"""Results of accepted changes, by change id, to deduplicate retries."""

import collections
import json

import attrs

from pimentowalk.control import commands
from pimentowalk.control import parts
from pimentowalk.core import errors
from pimentowalk.core import identifiers

# Three days at 10,000 changes per day; operators retry within minutes.
MAX_CHANGES = 30_000


def digest(content):
    """Return a hash of a command as encoded in its log record."""
    return identifiers.hash64(content)


def _as_first_sent(body, result):
    """Return a retried publish with its original expected version.

    An operator who lost the reply sends the same change again, but may
    then expect the version that the first attempt created.
    """
    if not isinstance(body, commands.Publish) or 'version' not in result:
        return body
    return attrs.evolve(body, expected_version=result['version'] - 1)


@parts.part('changes')
class ChangeResults(parts.Part):
    """Store results of accepted changes so that a retry gets the same one."""

    def __init__(self, limit=MAX_CHANGES):
        self._limit = limit
        self._entries = collections.OrderedDict()

    def earlier_result(self, body, content):
        """Return the earlier result as JSON data, or None.

        Raises Conflict if the id was used for another change.
        """
        text = self._entries.get(body.change_id)
        if text is None:
            return None
        _, recorded_digest, result = json.loads(text)
        if recorded_digest != digest(content):
            first_content = commands.to_log(_as_first_sent(body, result))
            if recorded_digest != digest(first_content):
                raise errors.Conflict(
                    f'change id {body.change_id} was used for another change'
                )
        return result

    def record_result(self, body, content, result):
        """Store the result of an accepted change; evict the oldest ones."""
        data = commands.CONVERTER.unstructure(result)
        entry = [body.change_id, digest(content), data]
        self._entries[body.change_id] = json.dumps(entry)
        while len(self._entries) > self._limit:
            self._entries.popitem(last=False)

    def lines(self):
        """Return one line of JSON per change."""
        return list(self._entries.values())

    def restore_lines(self, lines):
        """Replace the entries with those of a snapshot."""
        pairs = ((json.loads(line)[0], line) for line in lines)
        self._entries = collections.OrderedDict(pairs)
