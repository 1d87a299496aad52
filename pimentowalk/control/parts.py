"""Registries of the parts of the control state and their commands."""

import attrs

from pimentowalk.core import registry

PARTS = registry.Registry('part of the control state')
HANDLERS = registry.Registry('handler of a logged command')


@attrs.define
class Context:
    """The log record that is being applied.

    A handler sets `changed` to false if it changed nothing, and `detail`
    for the audit record.
    """

    index: int
    time_s: float
    changed: bool = True
    detail: str = ''


class Part:
    """Base of the parts of the control state.

    Small tables go into `snapshot()` as JSON data. Large ones keep their
    entries as JSON text without line breaks and return them as `lines()`,
    so that a snapshot does not stop the process to convert them.
    """

    def snapshot(self):
        """Return the small tables as JSON data."""
        return None

    def restore(self, data):
        """Replace the small tables."""

    def lines(self):
        """Return the entries of the large table."""
        return []

    def restore_lines(self, lines):
        """Replace the entries of the large table."""


def part(name):
    """Register a subclass of `Part`."""
    return PARTS.register(name)


def handles(name):
    """Register `handler(state, command, context) -> result`."""
    return HANDLERS.register(name)
