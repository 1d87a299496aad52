"""Test that logging neither blocks a process nor exceeds its rate."""

import json
import logging
import os

import pytest

from pimentowalk.core import logs


@pytest.fixture
def pipe():
    read_fd, write_fd = os.pipe()
    yield read_fd, write_fd
    os.close(read_fd)
    os.close(write_fd)


def _record(level=logging.INFO, text='x'):
    return logging.LogRecord('test', level, '', 0, text, (), None)


def _handler(fd, rate=1000, now_s=lambda: 0.0):
    handler = logs.BoundedHandler(fd, rate, now_s)
    handler.setFormatter(logging.Formatter('{message}', style='{'))
    return handler


def test_unread_pipe_does_not_block(pipe):
    """A log reader that hangs must not block request handling."""
    handler = _handler(pipe[1], rate=10**9)
    for _ in range(1000):
        handler.emit(_record(text='x' * 1000))
    assert handler.dropped > 0


def test_lines_over_the_rate_are_dropped_and_counted(pipe):
    """A burst of failures must not cause a burst of log writes."""
    now = [0.0]
    handler = _handler(pipe[1], rate=5, now_s=lambda: now[0])
    for _ in range(8):
        handler.emit(_record())
    assert handler.dropped == 3
    now[0] = 1.0
    handler.emit(_record(text='later'))
    lines = os.read(pipe[0], 1 << 16).decode().splitlines()
    assert lines == ['x'] * 5 + ['lines dropped', 'later']


def test_warnings_are_exempt_from_the_rate_limit(pipe):
    """The rate limit must not drop the line that explains a failure."""
    handler = _handler(pipe[1], rate=1)
    handler.emit(_record())
    handler.emit(_record(logging.WARNING, 'important'))
    assert 'important' in os.read(pipe[0], 1 << 16).decode()


def test_fields_reach_the_line(pipe, monkeypatch):
    """Without the request id, log lines cannot be traced to a request."""
    root = logging.getLogger()
    monkeypatch.setattr(root, 'handlers', [])
    level = root.level
    handler = logs.BoundedHandler(pipe[1])
    logs.configure('gateway', 'INFO', handler)
    logging.getLogger('a').info('m', extra=logs.fields(request_id='r-1'))
    root.setLevel(level)
    line = json.loads(os.read(pipe[0], 1 << 16))
    assert (line['message'], line['request_id']) == ('m', 'r-1')
