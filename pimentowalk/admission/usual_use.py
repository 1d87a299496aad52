"""Slow averages of the use of client accounts."""

import attrs

# Time over which usual use is averaged. It must be far longer than a surge,
# and short enough to follow the day.
USUAL_S = 300.0
# Accounts below this part of the usual use are forgotten.
MIN_SHARE = 1e-6
# Streams over which the ratio of expected tokens to events is averaged.
RATIO_STREAMS = 200


class UsualUse:
    """Average the use of accounts over `USUAL_S`, less after a start."""

    def __init__(self):
        self._uses = {}
        self._total = 0.0
        self._learned_s = 0.0

    def learn(self, uses, total, elapsed_s):
        """Average in the uses of a time: {account: tokens}, and their sum."""
        if total <= 0 or elapsed_s <= 0:
            return
        self._learned_s = min(USUAL_S, self._learned_s + elapsed_s)
        gain = min(1.0, elapsed_s / self._learned_s)
        self._total += gain * (total - self._total)
        for key in self._uses.keys() | uses:
            old = self._uses.get(key, 0.0)
            self._uses[key] = old + gain * (uses.get(key, 0) - old)
            if self._uses[key] < MIN_SHARE * self._total:
                del self._uses[key]

    def share(self, key, default):
        """Return the part of an account, `default` before any is known."""
        if self._total <= 0:
            return default
        return self._uses.get(key, 0.0) / self._total


@attrs.define
class RunningRatio:
    """The ratio of expected answer tokens to events of recent streams.

    Servers do not say how many tokens an event has.
    """

    tokens: float = 0.0
    events: float = 0.0

    @property
    def value(self):
        """Return the mean number of tokens of an event."""
        return self.tokens / self.events if self.events else 1.0

    def add(self, tokens, events):
        """Add a complete stream; older ones count less."""
        if events <= 0:
            return
        keep = 1 - 1 / RATIO_STREAMS
        self.tokens = self.tokens * keep + tokens
        self.events = self.events * keep + events
