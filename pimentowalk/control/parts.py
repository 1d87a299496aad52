"""Registries of the parts of the control state and command handlers."""

import attrs

from pimentowalk.core import registry

PARTS = registry.Registry('part of the control state')
HANDLERS = registry.Registry('handler of a logged command')
SKIP_HANDLERS = registry.Registry('handler of a skipped command')


@attrs.define
class Context:
    """Context of the log record that is being applied.

    A handler sets `changed` to false if the state did not change, and
    `detail` to the text of the audit record.
    """

    index: int
    time_s: float
    changed: bool = True
    detail: str = ''


class Part:
    """Base class of the parts of the control state.

    `snapshot()` returns small tables as JSON data. Large tables store their
    entries as JSON text without line breaks, which `lines()` returns, so
    that a snapshot does not block the process to convert them.
    """

    def snapshot(self):
        """Return the small tables as JSON data."""
        return None

    def restore(self, data):
        """Restore the small tables."""

    def lines(self):
        """Return the entries of the large table."""
        return []

    def restore_lines(self, lines):
        """Restore the entries of the large table."""


def part(name):
    """Register a subclass of `Part`."""
    return PARTS.register(name)


def handles(name):
    """Register `handler(state, command, context) -> result`."""
    return HANDLERS.register(name)


def handles_skipped(name):
    """Register `handler(state)` for records that cannot be decoded."""
    return SKIP_HANDLERS.register(name)
