"""Logging as JSON lines."""

import logging
import os
import select
import sys
import time

from pythonjsonlogger import json as json_logger

# At peak load a node answers about 20 requests per second and logs one line
# for each, plus a few for failures.
MAX_LINES_PER_S = 200
# A pipe that select reports as writable accepts this much without blocking.
MAX_LINE_BYTES = 4096


class BoundedHandler(logging.Handler):
    """Write log lines without blocking and below a maximum rate.

    Lines over the limit are dropped and counted. The next line written is
    preceded by one with the number of dropped lines. Warnings and errors
    are exempt from the rate limit, but are dropped while the pipe is full.
    """

    def __init__(self, fd, lines_per_s=MAX_LINES_PER_S, now_s=time.monotonic):
        super().__init__()
        self._fd = fd
        self._lines_per_s = lines_per_s
        self._now_s = now_s
        self._tokens = float(lines_per_s)
        self._refilled_s = now_s()
        self.dropped = 0

    def emit(self, record):
        """Write a record, or drop and count it."""
        if not (self._take_token(record) and self._is_writable()):
            self.dropped += 1
            return
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            drop_record = logging.LogRecord(
                __name__, logging.WARNING, '', 0, 'lines dropped', (), None
            )
            drop_record.dropped = dropped
            self._write(drop_record)
        self._write(record)

    def _take_token(self, record):
        now_s = self._now_s()
        refill = (now_s - self._refilled_s) * self._lines_per_s
        self._tokens = min(self._tokens + refill, self._lines_per_s)
        self._refilled_s = now_s
        if record.levelno >= logging.WARNING:
            return True
        if self._tokens < 1:
            return False
        self._tokens -= 1
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

    `handler` replaces the default handler, which writes to stderr.

    Log calls pass `extra={'request_id': ..., 'step': ..., 'peer': ...}`.
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


def fields(*, request_id=b'', step='', peer='', **other_fields):
    """Return the `extra` argument of a log call, without empty fields."""
    if isinstance(request_id, bytes):
        request_id = request_id.hex()
    values = {'request_id': request_id, 'step': step, 'peer': peer}
    values.update(other_fields)
    return {name: value for name, value in values.items() if value != ''}
