"""Registries to which decorators add entries."""

from pimentowalk.core import errors


class Registry:
    """Map names to the classes or functions registered under them.

    >>> shapes = Registry('shape')
    >>> @shapes.register('square')
    ... class Square:
    ...     pass
    >>> shapes.get('square') is Square
    True
    """

    def __init__(self, subject):
        self.subject = subject
        self._entries = {}

    def register(self, name):
        """Return a decorator that registers its argument under a name."""

        def decorate(entry):
            if name in self._entries:
                raise ValueError(
                    f'{self.subject} {name!r} is already registered'
                )
            self._entries[name] = entry
            return entry

        return decorate

    def get(self, name):
        """Return the entry with a name; raise PimentowalkError if unknown."""
        try:
            return self._entries[name]
        except KeyError:
            raise errors.PimentowalkError(
                f'unknown {self.subject} {name!r}; '
                f'known: {", ".join(self.names())}',
                code='not_found',
            ) from None

    def entries(self):
        """Return pairs of name and entry in the order of registration."""
        return list(self._entries.items())

    def names(self):
        """Return the registered names, sorted."""
        return sorted(self._entries)
