"""Logs as JSON lines."""

import logging
import sys

from pythonjsonlogger import json as json_logger


def configure(program, level='INFO', stream=None):
    """Write the logs of this process to stderr, or a stream, as JSON lines.

    Calls pass `extra={'request_id': ..., 'step': ..., 'peer': ...}`.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
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
