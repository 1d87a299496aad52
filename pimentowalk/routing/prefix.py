"""Affinity of prompts to chains that have cached their prefix."""

import collections

from pimentowalk.core import identifiers

# Prefix lengths in characters for which the serving chain is remembered.
# Engines cache prefixes in blocks, so a few lengths suffice.
PREFIX_CHARACTERS = (256, 1024, 4096, 16_384)
MAX_PREFIXES = 10_000
CHARACTERS_PER_TOKEN = 4


def prefix_keys(service, adapter, prompt):
    """Return (key, tokens) of the prefixes of a prompt, longest first."""
    return tuple(
        (
            identifiers.hash64(service, adapter, prompt[:length]),
            length // CHARACTERS_PER_TOKEN,
        )
        for length in reversed(PREFIX_CHARACTERS)
        if length <= len(prompt)
    )


class PrefixTable:
    """Map each prefix to the chain that last served it."""

    def __init__(self, limit=MAX_PREFIXES):
        self._limit = limit
        self._chains = collections.OrderedDict()

    def remember(self, keys, server_ids):
        """Record that a chain has served these prefixes."""
        for key, _ in keys:
            self._chains.pop(key, None)
            self._chains[key] = tuple(server_ids)
        while len(self._chains) > self._limit:
            self._chains.popitem(last=False)

    def find(self, keys):
        """Return the chain of the longest known prefix and its tokens."""
        for key, tokens in keys:
            chain = self._chains.get(key)
            if chain is not None:
                return chain, tokens
        return (), 0
