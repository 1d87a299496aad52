"""Rate limits of client accounts, shared by the live entries."""

import math

import attrs

from pimentowalk.admission import account_use

# A bucket holds this much time of its share, so that short bursts pass.
BURST_S = 5.0
# An entry that an account has not used yet admits an initial burst while it
# requests a share. All entries together admit this much time of the rate.
INITIAL_BURST_S = 8.0
# While control is unreachable, the shares of this entry may have been given to
# other entries, so it uses only a fraction of an even share.
CUT_OFF_FRACTION = 0.5
CUT_OFF_AFTER_S = 10.0
# Time constant of the average of demand. Demands below MIN_DEMAND are not
# reported.
AVERAGE_S = 4.0
MIN_DEMAND = 1e-4
REPORT_PERIOD_S = 2.0
# Report period while there is demand of an account without a granted share.
NEW_ACCOUNT_REPORT_S = 0.25


class TokenBucket:
    """A token bucket whose level may become negative.

    A cost above the depth is admitted when the bucket is full, since it would
    never be admitted otherwise. The debt then delays later requests.

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
        """Return the time until a cost is admitted, 0 if it is now."""
        self._fill(now_s)
        missing = min(cost, self.depth) - self._level
        # Rounding errors must not cause a second, tiny wait.
        if missing <= 1e-9 * self.depth:
            return 0.0
        return missing / self.rate if self.rate > 0 else math.inf

    def take(self, cost):
        """Charge a cost; a negative cost is refunded."""
        self._level = min(self._level - cost, self.depth)


@attrs.define
class _AccountUsage:
    """The buckets of an account and its demand at this entry.

    `demand` is a fraction of the rate of the account. It includes rejected
    requests.
    """

    requests: TokenBucket
    tokens: TokenBucket
    averaged_s: float
    demanded_requests: float = 0.0
    demanded_tokens: float = 0.0
    demand: float | None = None


class AccountLimits:
    """Enforce the share of this entry of the rates of client accounts.

    `live_entries` returns the number of live entries in the directory. The
    entry reports `demands` to control and receives its shares by `grant`. It
    is considered cut off while no grant arrives.
    """

    def __init__(self, timers, live_entries):
        self._timers = timers
        self._live_entries = live_entries
        self._entries = 1
        self._usage = {}
        self._shares = {}
        self._granted_s = -math.inf
        self._reported_s = -math.inf
        self._has_new_account = False

    @property
    def is_cut_off(self):
        """Return whether no grant arrived for CUT_OFF_AFTER_S."""
        silent_s = self._timers.now_s() - self._granted_s
        return silent_s > CUT_OFF_AFTER_S

    def share(self, name):
        """Return the share of the rate of an account for this entry."""
        if self.is_cut_off:
            # The directory may be out of date, so the count never decreases.
            self._entries = max(self._entries, self._live_entries())
            return CUT_OFF_FRACTION / self._entries
        self._entries = max(self._live_entries(), 1)
        granted = self._shares.get(name)
        if granted is not None:
            return granted
        return account_use.EVEN_SHARE / self._entries

    def charge(self, account, tokens):
        """Charge a request; return 0, or the seconds to wait before it.

        A request that has to wait is not charged.
        """
        now_s = self._timers.now_s()
        usage = self._usage_of(account, now_s)
        usage.demanded_requests += 1
        usage.demanded_tokens += tokens
        wait_s = max(
            usage.requests.wait_s(1, now_s), usage.tokens.wait_s(tokens, now_s)
        )
        if wait_s > 0:
            return self._cap_wait_s(account, wait_s)
        usage.requests.take(1)
        usage.tokens.take(tokens)
        return 0.0

    def _cap_wait_s(self, account, wait_s):
        """Limit the wait to the time until a share may be granted."""
        if self.is_cut_off or account.name in self._shares:
            return wait_s
        self._has_new_account = True
        return min(wait_s, REPORT_PERIOD_S)

    def correct(self, account, predicted_tokens, used_tokens):
        """Replace the predicted cost of a request by the actual one."""
        usage = self._usage.get(account.name)
        if usage is not None:
            usage.tokens.take(used_tokens - predicted_tokens)

    def _usage_of(self, account, now_s):
        usage = self._usage.get(account.name)
        if usage is None:
            usage = _AccountUsage(
                TokenBucket(now_s), TokenBucket(now_s), now_s
            )
            self._usage[account.name] = usage
        share = self.share(account.name)
        burst_s = max(share * BURST_S, min(1, INITIAL_BURST_S / self._entries))
        for bucket, rate in (
            (usage.requests, account.requests_per_s),
            (usage.tokens, account.tokens_per_s),
        ):
            # With a depth below 1, a request that costs 1 would never pass.
            depth = max(rate * burst_s, 1.0)
            bucket.set_rate(rate * share, depth, now_s)
        return usage

    def is_report_due(self):
        """Return whether the demands should be reported now."""
        silent_s = self._timers.now_s() - self._reported_s
        period_s = (
            NEW_ACCOUNT_REPORT_S if self._has_new_account else REPORT_PERIOD_S
        )
        return silent_s >= period_s

    def demands(self, accounts):
        """Return the recent demand for each account, for a report.

        `accounts` maps names to the accounts of the configuration; the usage
        of other accounts is dropped.
        """
        now_s = self._timers.now_s()
        self._reported_s = now_s
        self._has_new_account = False
        for name in self._usage.keys() - accounts.keys():
            del self._usage[name]
        demands = {}
        for name, usage in self._usage.items():
            demand = _update_demand(usage, accounts[name], now_s)
            if demand >= MIN_DEMAND:
                demands[name] = demand
        return demands

    def grant(self, shares):
        """Replace the shares by those that control granted."""
        self._granted_s = self._timers.now_s()
        self._shares = dict(shares)


def _update_demand(usage, account, now_s):
    """Update and return the average demand as a fraction of the rate."""
    elapsed_s = now_s - usage.averaged_s
    demanded = max(
        usage.demanded_requests / max(account.requests_per_s, MIN_DEMAND),
        usage.demanded_tokens / max(account.tokens_per_s, MIN_DEMAND),
    )
    recent = demanded / max(elapsed_s, 1.0)
    if usage.demand is None:
        usage.demand = recent
    else:
        weight = 1 - math.exp(-elapsed_s / AVERAGE_S)
        usage.demand += weight * (recent - usage.demand)
    usage.averaged_s = now_s
    usage.demanded_requests = usage.demanded_tokens = 0.0
    return usage.demand
