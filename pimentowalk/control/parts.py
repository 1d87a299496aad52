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


def part(name):
    """Register a class with `snapshot()` and `restore(data)`."""
    return PARTS.register(name)


def handles(name):
    """Register `handler(state, command, context) -> result`."""
    return HANDLERS.register(name)
