"""Registries of the parts of the control state and their commands."""

import attrs

from pimentowalk.core import registry

PARTS = registry.Registry('part of the control state')
HANDLERS = registry.Registry('handler of a logged command')


@attrs.frozen
class Context:
    """The place and time of the log record that is being applied."""

    index: int
    time_s: float


def part(name):
    """Register a class with `snapshot()` and `restore(data)`."""
    return PARTS.register(name)


def handles(name):
    """Register `handler(state, command, context) -> result`."""
    return HANDLERS.register(name)
