"""Account rates, shared over the live entries."""

import math

import attrs

from pimentowalk.admission import account_use

# A share may be saved up for this time, so that short bursts pass.
BURST_S = 5.0
# An entry that an account has not used lets a first burst through while it
# asks for a share. All entries together let through the rate of this time.
OPENING_S = 8.0
# While control cannot be reached, other entries may have been counted out
# and may use the whole rate, so this entry keeps to a part of its share.
CUT_OFF_PART = 0.5
CUT_OFF_AFTER_S = 10.0
# Demand is averaged over about this time, and forgotten below this rate.
AVERAGE_S = 4.0
LEAST_DEMAND = 1e-4
REPORT_PERIOD_S = 2.0
# An account without a granted share is reported this soon.
PROMPT_REPORT_S = 0.25


class TokenBucket:
    """A bucket that fills at a rate and may go into debt.

    A cost above the depth is let through when the bucket is full, since it
    would otherwise never be; the debt then holds back what follows.

    >>> bucket = TokenBucket(0.0)
    >>> bucket.set_rate(2.0, 10.0, 0.0)
    >>> bucket.wait_s(10.0, 0.0)
    0.0
    >>> bucket.take(10.0)
    >>> bucket.wait_s(4.0, 0.0)
    2.0
    """

    def __init__(self, now_s):
        self.rate = 0.0
        self.depth = 1.0
        self._level = None
        self._filled_s = now_s

    def set_rate(self, rate, depth, now_s):
        """Change the rate and the depth from now on."""
        if self._level is None:
            self._level = depth
        else:
            self._fill(now_s)
            self._level = min(self._level, depth)
        self.rate = rate
        self.depth = depth

    def _fill(self, now_s):
        gained = (now_s - self._filled_s) * self.rate
        self._level = min(self._level + gained, self.depth)
        self._filled_s = now_s

    def wait_s(self, cost, now_s):
        """Return the time until a cost fits, 0 if it does now."""
        self._fill(now_s)
        missing = min(cost, self.depth) - self._level
        # Rounding of the wait itself must not cause a second, tiny wait.
        if missing <= 1e-9 * self.depth:
            return 0.0
        return missing / self.rate if self.rate > 0 else math.inf

    def take(self, cost):
        """Charge a cost, or give one back if negative."""
        self._level = min(self._level - cost, self.depth)


@attrs.define
class _Use:
    """The buckets of an account and its demand at this entry.

    `demand` is a part of the account's rate, refused requests included.
    """

    requests: TokenBucket
    tokens: TokenBucket
    since_s: float
    wanted_requests: float = 0.0
    wanted_tokens: float = 0.0
    demand: float | None = None


class AccountLimits:
    """Enforce this entry's share of the rates of client accounts.

    `live_entries` returns the number of live entries from the directory.
    The shares come from control by `grant`, in return for `demands`. While
    no grant arrives, the entry takes itself to be cut off.
    """

    def __init__(self, timers, live_entries):
        self._timers = timers
        self._live_entries = live_entries
        self._entries = 1
        self._uses = {}
        self._shares = {}
        self._granted_s = -math.inf
        self._reported_s = -math.inf
        self._unknown = False

    @property
    def is_cut_off(self):
        """Return whether no share was granted for a while."""
        silent_s = self._timers.now_s() - self._granted_s
        return silent_s > CUT_OFF_AFTER_S

    def share(self, name):
        """Return the share of an account's rate that holds here."""
        if self.is_cut_off:
            # The directory may have lost other entries meanwhile.
            self._entries = max(self._entries, self._live_entries())
            return CUT_OFF_PART / self._entries
        self._entries = max(self._live_entries(), 1)
        granted = self._shares.get(name)
        if granted is not None:
            return granted
        return account_use.EVEN_PART / self._entries

    def charge(self, account, tokens):
        """Charge a request; returns 0, or the seconds to wait first.

        A request that has to wait is not charged.
        """
        now_s = self._timers.now_s()
        use = self._use(account, now_s)
        use.wanted_requests += 1
        use.wanted_tokens += tokens
        wait_s = max(
            use.requests.wait_s(1, now_s), use.tokens.wait_s(tokens, now_s)
        )
        if wait_s > 0:
            return self._told(account, wait_s)
        use.requests.take(1)
        use.tokens.take(tokens)
        return 0.0

    def _told(self, account, wait_s):
        """Shorten a wait that a share to be granted soon will shorten."""
        if self.is_cut_off or account.name in self._shares:
            return wait_s
        self._unknown = True
        return min(wait_s, REPORT_PERIOD_S)

    def correct(self, account, predicted_tokens, used_tokens):
        """Replace the predicted cost of a request by the actual one."""
        use = self._uses.get(account.name)
        if use is not None:
            use.tokens.take(used_tokens - predicted_tokens)

    def _use(self, account, now_s):
        use = self._uses.get(account.name)
        if use is None:
            use = _Use(TokenBucket(now_s), TokenBucket(now_s), now_s)
            self._uses[account.name] = use
        share = self.share(account.name)
        saved_s = max(share * BURST_S, min(1, OPENING_S / self._entries))
        for bucket, rate in (
            (use.requests, account.requests_per_s),
            (use.tokens, account.tokens_per_s),
        ):
            # Below one, a request that costs one would never pass.
            depth = max(rate * saved_s, 1.0)
            bucket.set_rate(rate * share, depth, now_s)
        return use

    def is_report_due(self):
        """Return whether the demands should be reported now."""
        silent_s = self._timers.now_s() - self._reported_s
        period_s = PROMPT_REPORT_S if self._unknown else REPORT_PERIOD_S
        return silent_s >= period_s

    def demands(self, accounts):
        """Return the recent demand for each account, to be reported.

        `accounts` are the accounts of the configuration by name; others
        are forgotten.
        """
        now_s = self._timers.now_s()
        self._reported_s = now_s
        self._unknown = False
        for name in self._uses.keys() - accounts.keys():
            del self._uses[name]
        found = {}
        for name, use in self._uses.items():
            demand = _averaged(use, accounts[name], now_s)
            if demand >= LEAST_DEMAND:
                found[name] = demand
        return found

    def grant(self, shares):
        """Take over the shares that control granted."""
        self._granted_s = self._timers.now_s()
        self._shares = dict(shares)


def _averaged(use, account, now_s):
    """Return the demand of an account as a part of its rate."""
    elapsed_s = now_s - use.since_s
    wanted = max(
        use.wanted_requests / max(account.requests_per_s, LEAST_DEMAND),
        use.wanted_tokens / max(account.tokens_per_s, LEAST_DEMAND),
    )
    recent = wanted / max(elapsed_s, 1.0)
    if use.demand is None:
        use.demand = recent
    else:
        weight = 1 - math.exp(-elapsed_s / AVERAGE_S)
        use.demand += weight * (recent - use.demand)
    use.since_s = now_s
    use.wanted_requests = use.wanted_tokens = 0.0
    return use.demand
