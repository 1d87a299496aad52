"""Account rates, shared over the live entries."""

import attrs

# A share may be saved up for this time, so that callers who reach one entry
# in bursts get the rate that other entries leave unused in between.
BURST_S = 5.0
# While control cannot be reached, other entries may have been counted out
# and may use the whole rate, so this entry keeps to a part of its share.
CUT_OFF_SHARE = 0.5


class TokenBucket:
    """A bucket that fills at a rate and may go into debt.

    A cost above the depth is let through when the bucket is full, since it
    would otherwise never be; the debt then holds back what follows.

    >>> bucket = TokenBucket(0.0)
    >>> bucket.set_rate(2.0, 0.0)
    >>> bucket.wait_s(10.0, 0.0)
    0.0
    >>> bucket.take(10.0)
    >>> bucket.wait_s(4.0, 0.0)
    2.0
    """

    def __init__(self, now_s):
        self.rate = 0.0
        self._level = None
        self._filled_s = now_s

    @property
    def depth(self):
        """Return how much the bucket holds."""
        # Below one, a request that costs one would never pass undelayed.
        return max(self.rate * BURST_S, 1.0)

    def set_rate(self, rate, now_s):
        """Change the rate from now on."""
        if rate == self.rate and self._level is not None:
            return
        self._fill(now_s)
        self.rate = rate
        if self._level is None:
            self._level = self.depth
        self._level = min(self._level, self.depth)

    def _fill(self, now_s):
        if self._level is not None:
            gained = (now_s - self._filled_s) * self.rate
            self._level = min(self._level + gained, self.depth)
        self._filled_s = now_s

    def wait_s(self, cost, now_s):
        """Return the time until a cost fits, 0 if it does now."""
        self._fill(now_s)
        missing = min(cost, self.depth) - self._level
        if missing <= 1e-9:
            return 0.0
        return missing / self.rate if self.rate > 0 else float('inf')

    def take(self, cost):
        """Charge a cost, or give one back if negative."""
        self._level = min(self._level - cost, self.depth)


@attrs.define
class _Buckets:
    requests: TokenBucket
    tokens: TokenBucket


class AccountLimits:
    """Enforce this entry's share of the rates of client accounts.

    `live_entries` returns the number of live entries from the directory;
    `cut_off` returns whether control cannot be reached.
    """

    def __init__(self, timers, live_entries, cut_off=lambda: False):
        self._timers = timers
        self._live_entries = live_entries
        self._cut_off = cut_off
        self._entries = 1
        self._buckets = {}

    def share(self):
        """Return the share of each rate that this entry enforces."""
        if self._cut_off():
            return CUT_OFF_SHARE / self._entries
        self._entries = max(self._live_entries(), 1)
        return 1 / self._entries

    def charge(self, account, tokens):
        """Charge a request; returns 0, or the seconds to wait first.

        A request that has to wait is not charged.
        """
        now_s = self._timers.now_s()
        buckets = self._buckets_of(account, now_s)
        wait_s = max(
            buckets.requests.wait_s(1, now_s),
            buckets.tokens.wait_s(tokens, now_s),
        )
        if wait_s > 0:
            return wait_s
        buckets.requests.take(1)
        buckets.tokens.take(tokens)
        return 0.0

    def correct(self, account, predicted_tokens, used_tokens):
        """Replace the predicted cost of a request by the actual one."""
        buckets = self._buckets.get(account.name)
        if buckets is not None:
            buckets.tokens.take(used_tokens - predicted_tokens)

    def _buckets_of(self, account, now_s):
        buckets = self._buckets.get(account.name)
        if buckets is None:
            buckets = _Buckets(TokenBucket(now_s), TokenBucket(now_s))
            self._buckets[account.name] = buckets
        share = self.share()
        buckets.requests.set_rate(account.requests_per_s * share, now_s)
        buckets.tokens.set_rate(account.tokens_per_s * share, now_s)
        return buckets

    def forget_except(self, names):
        """Drop the buckets of accounts that no longer exist."""
        for name in set(self._buckets) - set(names):
            del self._buckets[name]
