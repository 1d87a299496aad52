"""Logs as JSON lines."""

import logging
import os
import select
import sys
import time

from pythonjsonlogger import json as json_logger

# A node at the crest answers about 20 requests a second, with one line each
# and a few for failures.
LINES_PER_S = 200
# A pipe that select calls writable takes this much without blocking.
MAX_LINE_BYTES = 4096


class BoundedHandler(logging.Handler):
    """Write lines without ever blocking, and not more than a rate.

    Lines that do not fit are counted, and the next line that does is
    preceded by one that tells how many were dropped. Warnings and errors
    pass the rate, but not a pipe that nobody reads.
    """

    def __init__(self, fd, lines_per_s=LINES_PER_S, now_s=time.monotonic):
        super().__init__()
        self._fd = fd
        self._rate = lines_per_s
        self._now_s = now_s
        self._allowed = float(lines_per_s)
        self._counted_s = now_s()
        self.dropped = 0

    def emit(self, record):
        """Write a record, or count it as dropped."""
        if not (self._takes(record) and self._is_writable()):
            self.dropped += 1
            return
        if self.dropped:
            lost, self.dropped = self.dropped, 0
            notice = logging.LogRecord(
                __name__, logging.WARNING, '', 0, 'lines dropped', (), None
            )
            notice.dropped = lost
            self._write(notice)
        self._write(record)

    def _takes(self, record):
        now_s = self._now_s()
        earned = (now_s - self._counted_s) * self._rate
        self._allowed = min(self._allowed + earned, self._rate)
        self._counted_s = now_s
        if record.levelno >= logging.WARNING:
            return True
        if self._allowed < 1:
            return False
        self._allowed -= 1
        return True

    def _is_writable(self):
        return bool(select.select([], [self._fd], [], 0)[1])

    def _write(self, record):
        try:
            line = self.format(record).encode()[: MAX_LINE_BYTES - 1]
            os.write(self._fd, line + b'\n')
        except (OSError, ValueError):
            self.dropped += 1


def configure(program, level='INFO', handler=None):
    """Write the logs of this process to stderr as JSON lines.

    `handler` takes the place of the one that writes to stderr.

    Calls pass `extra={'request_id': ..., 'step': ..., 'peer': ...}`.
    """
    handler = handler or logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        json_logger.JsonFormatter(
            '{asctime}{levelname}{name}{message}',
            style='{',
            rename_fields={'asctime': 'time', 'levelname': 'level'},
            static_fields={'program': program},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)


def fields(*, request_id=b'', step='', peer='', **others):
    """Return the `extra` argument of a log call, without empty fields."""
    if isinstance(request_id, bytes):
        request_id = request_id.hex()
    values = {'request_id': request_id, 'step': step, 'peer': peer}
    values.update(others)
    return {name: value for name, value in values.items() if value != ''}
