"""Server-sent events of a stream that may resume at another server."""

import re

# A line that is neither a field, nor a comment, nor empty.
INVALID_LINE = re.compile(
    rb'^(?![A-Za-z-]*:|(?:data|event|id|retry)?\r?$).', re.MULTILINE
)
# A line of an event, unlike a comment.
CONTENT_LINE = re.compile(rb'^(?:data|event|id|retry)', re.MULTILINE)
ID_LINE = re.compile(rb'^id:[ ]?(\d+)[ ]*\r?$', re.MULTILINE)


class EventFilter:
    """Split a byte stream into whole events and drop duplicates.

    A server may stop in the middle of an event, and a server that resumes
    the stream may repeat events. Only whole events with a higher id than the
    last one are returned; events without an id are always returned.
    `has_unnumbered` tells whether one without an id was the last, so that no
    server can go on after it.

    >>> events = EventFilter(0)
    >>> events.feed(b'id: 1\\ndata: a\\n\\nid: 2\\n')
    b'id: 1\\ndata: a\\n\\n'
    >>> events.last_id
    1
    """

    def __init__(
        self, last_id, max_event_bytes=262_144, max_comment_bytes=65_536
    ):
        self.last_id = last_id
        self.has_unnumbered = False
        self._max_event_bytes = max_event_bytes
        self._max_comment_bytes = max_comment_bytes
        self._comment_bytes = 0
        self._partial = b''

    def discard_partial(self):
        """Discard the incomplete event of the previous server."""
        self._partial = b''
        self._comment_bytes = 0

    @property
    def has_partial(self):
        """Return whether the last event is incomplete."""
        return bool(self._partial.strip())

    @property
    def partial_bytes(self):
        """Return the length of the incomplete event."""
        return len(self._partial)

    def feed(self, data):
        """Return the whole events that the data completes.

        Raises ValueError for data that is no event, such as the text of an
        error, for an event that is too long, and for too many bytes of
        comments without an event between them.
        """
        data = self._partial + data
        end = _end_of_events(data)
        if end == 0:
            if len(data) > self._max_event_bytes:
                raise ValueError('event is too long')
            self._partial = data
            return b''
        whole = data[:end]
        if INVALID_LINE.search(whole):
            raise ValueError('a line of an event is no field')
        self._partial = data[end:]
        self._count_comments(whole)
        ids = [int(found) for found in ID_LINE.findall(whole)]
        if len(ids) < count_events(whole):
            self.has_unnumbered = self._ends_unnumbered(whole)
        else:
            self.has_unnumbered = False
        if not ids:
            return whole
        if ids[0] > self.last_id:
            self.last_id = ids[-1]
            return whole
        return self._without_duplicates(whole)

    def _count_comments(self, whole):
        if has_event(whole):
            self._comment_bytes = 0
            return
        self._comment_bytes += len(whole)
        if self._comment_bytes > self._max_comment_bytes:
            raise ValueError('too many bytes without an event')

    def _ends_unnumbered(self, whole):
        """Return whether the last event that is no comment has no id."""
        for event in reversed(_split(whole)):
            if has_event(event):
                return ID_LINE.search(event) is None
        return self.has_unnumbered

    def _without_duplicates(self, whole):
        kept = []
        for event in _split(whole):
            found = ID_LINE.search(event)
            if found is None:
                kept.append(event)
            elif int(found[1]) > self.last_id:
                self.last_id = int(found[1])
                kept.append(event)
        return b''.join(kept)


def has_event(whole):
    """Return whether one of some whole events is no comment.

    >>> has_event(b': still there\\n\\n')
    False
    """
    return CONTENT_LINE.search(whole) is not None


def count_events(whole):
    """Return the number of events, or comments, in whole ones.

    >>> count_events(b'data: a\\n\\ndata: b\\r\\n\\r\\n')
    2
    """
    return whole.count(b'\n\n') + whole.count(b'\r\n\r\n')


def _split(whole):
    return re.split(rb'(?<=\n\n)|(?<=\r\n\r\n)', whole)


def _end_of_events(data):
    ends = (data.rfind(b'\n\n') + 2, data.rfind(b'\r\n\r\n') + 4)
    return max(ends[0] if ends[0] > 1 else 0, ends[1] if ends[1] > 3 else 0)
