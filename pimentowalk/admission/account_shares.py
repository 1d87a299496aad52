"""Use of the servers by client accounts, and the order it gives to streams.

Load condition: more streams arrive than the servers hold, and one client
account sends more than usual.
"""

import collections
import contextlib
import functools
import heapq
import math

import attrs

from pimentowalk.admission import share_log
from pimentowalk.admission import usual_use
from pimentowalk.core import identifiers
from pimentowalk.routing import load_totals
from pimentowalk.wire import node_messages

# Weights of tokens. A prompt token is computed together with many others, an
# answer token takes a step of its own.
PROMPT_WEIGHT = 1
ANSWER_WEIGHT = 10
# Finished work counts less and less for this long, about twice the duration
# of a stream: shorter, the use of small accounts would be a matter of chance;
# longer, an account would pay for a surge long after its end.
FINISHED_S = 4.0
# Accounts that are exchanged by name. Their sums bound the frames.
MAX_ACCOUNTS = 32
# What an account may use above its share, as a share of all use. The others
# must lose at most 0.03 of their service, and small accounts that exceed
# their usual use by chance must not be held back.
MARGIN_SHARE = 0.02
# With many accounts, the margin is at most this part of an equal share.
MARGIN_OF_EQUAL = 0.5
# While streams within their shares wait, the part of a server that accounts
# over their shares leave free grows by this much with each summary, and
# shrinks otherwise. Control sends four summaries a second.
RESERVE_STEP = 0.02
RESERVE_DECAY = 0.01
MAX_RESERVE = 0.3
# Streams of accounts over their shares that run at this gateway: shrinks by
# the factor with each summary while others wait, and grows by the step
# otherwise. Without it, all gateways at once fill the room that a summary
# shows.
WINDOW_FACTOR = 0.95
WINDOW_STEP = 0.25
MIN_WINDOW = 1.0
MAX_WINDOW = 1000.0


@attrs.define(eq=False)
class Charge:
    """The use of one running stream, with the events that it has sent.

    The events correct the estimate of `answer_tokens` at the end.
    """

    key: int = 0
    prompt_tokens: int = 0
    answer_tokens: int = 0
    events: int = 0
    is_complete: bool = False

    @property
    def tokens(self):
        """Return the weighted tokens."""
        return weigh(self.prompt_tokens, self.answer_tokens)


@attrs.frozen
class AccountShare:
    """Use and share of an account, as parts of all use.

    `rank` is above 1 for an account over its share.
    """

    name: str
    use: float
    share: float
    rank: float


@attrs.frozen
class _Others:
    """What a summary says of all other gateways, and their number."""

    gateways: int = 0
    uses: dict = attrs.field(factory=dict)
    total: int = 0
    waiting: int = 0
    waiting_within: int = 0
    heard_s: float = -math.inf


def weigh(prompt_tokens, answer_tokens):
    """Return the weighted tokens of a stream."""
    return prompt_tokens * PROMPT_WEIGHT + answer_tokens * ANSWER_WEIGHT


def key_of(name):
    """Return the key of an account in the exchange."""
    return identifiers.hash64(name)


class AccountShares:
    """Count the use of client accounts and rank them by it.

    The share of an account is its part of the usual use, plus a margin. Usual
    use is learned while fewer streams wait than there are gateways, so that a
    surge does not count as usual. Shares take effect from two accounts on.

    >>> shares = AccountShares(lambda: 0.0)
    >>> shares.set_accounts(['a', 'b'])
    >>> _ = shares.begin('a', 100, 10)
    >>> shares.rank('a') > shares.rank('b')
    True
    """

    def __init__(self, now_s):
        self._now_s = now_s
        self._updated_s = now_s()
        self._names = {}
        self._running = collections.Counter()
        self._finished = {}
        self._own_total = 0.0
        self._waiting = collections.Counter()
        self._others = _Others()
        self._own_usual = usual_use.UsualUse()
        self._all_usual = usual_use.UsualUse()
        self._tokens_per_event = usual_use.RunningRatio()
        self._reserve = 0.0
        self._window = MAX_WINDOW
        self._running_streams = collections.Counter()
        self._log = share_log.ShareLog(now_s)

    @property
    def is_active(self):
        """Return whether accounts compete with each other."""
        return len(self._names) > 1

    def set_accounts(self, names):
        """Set the accounts of the configuration."""
        self._names = {key_of(name): name for name in names}

    @contextlib.contextmanager
    def running(self, name, prompt_tokens, answer_tokens):
        """Count a stream as in flight until the block exits."""
        charge = self.begin(name, prompt_tokens, answer_tokens)
        try:
            yield charge
        finally:
            self.end(charge)

    def begin(self, name, prompt_tokens, answer_tokens):
        """Count a stream as in flight; return its charge."""
        charge = Charge(key_of(name), prompt_tokens, answer_tokens)
        self._running[charge.key] += charge.tokens
        self._running_streams[charge.key] += 1
        self._own_total += charge.tokens
        return charge

    def end(self, charge):
        """Count a stream as finished with the answer that it really had."""
        self._running[charge.key] -= charge.tokens
        self._own_total -= charge.tokens
        self._running_streams[charge.key] -= 1
        if self._running_streams[charge.key] <= 0:
            del self._running[charge.key]
            del self._running_streams[charge.key]
        if charge.is_complete:
            self._tokens_per_event.add(charge.answer_tokens, charge.events)
        if self.is_active:
            answer_tokens = charge.events * self._tokens_per_event.value
            tokens = weigh(charge.prompt_tokens, answer_tokens)
            self._finished[charge.key] = (
                self._finished.get(charge.key, 0.0) + tokens
            )
            self._own_total += tokens

    @contextlib.contextmanager
    def waiting(self, name):
        """Count a stream as waiting until the block exits."""
        key = key_of(name)
        self._waiting[key] += 1
        try:
            yield
        finally:
            self._waiting[key] -= 1
            if not self._waiting[key]:
                del self._waiting[key]

    def update(self):
        """Let finished work count less, and learn what is usual."""
        now_s = self._now_s()
        elapsed_s = now_s - self._updated_s
        self._updated_s = now_s
        factor = math.exp(-elapsed_s / FINISHED_S)
        self._finished = {
            key: tokens * factor
            for key, tokens in self._finished.items()
            if tokens * factor >= 1
        }
        # Computed anew, since float sums that are updated for days drift.
        own = self._own_uses()
        self._own_total = float(sum(own.values()))
        self._log_over_share()
        others = self._known_others()
        waiting = sum(self._waiting.values()) + others.waiting
        if waiting >= max(1, others.gateways):
            return
        self._own_usual.learn(own, self._own_total, elapsed_s)
        if others.heard_s > -math.inf:
            total = self._own_total + others.total
            uses = collections.Counter(others.uses)
            uses.update(own)
            self._all_usual.learn(uses, total, elapsed_s)

    def _own_uses(self):
        uses = collections.Counter(self._running)
        uses.update(self._finished)
        return uses

    def _known_others(self):
        """Return what the others use, nothing once it is too old."""
        age_s = self._now_s() - self._others.heard_s
        if age_s > load_totals.REPORT_EXPIRY_S:
            self._others = _Others()
        return self._others

    def rank(self, name):
        """Return the use of an account relative to its share."""
        return self._rank(key_of(name))

    def ranking(self, name):
        """Return the function that ranks a waiting stream, or None."""
        if not self.is_active:
            return None
        return functools.partial(self.rank, name)

    def _rank(self, key):
        total = self._own_total + self._known_others().total
        if total <= 0:
            return 0.0
        return self._use(key) / total / self._share(key)

    def _use(self, key):
        own = self._running.get(key, 0) + self._finished.get(key, 0.0)
        return own + self._known_others().uses.get(key, 0)

    def _share(self, key):
        """Return the part of all use that an account may have."""
        is_alone = self._known_others().heard_s == -math.inf
        usual = self._own_usual if is_alone else self._all_usual
        accounts = max(1, len(self._names))
        margin = min(MARGIN_SHARE, MARGIN_OF_EQUAL / accounts)
        return usual.share(key, 1 / accounts) + margin

    def is_over(self, name):
        """Return whether an account uses more than its share."""
        return self.is_active and self.rank(name) > 1

    def reserved_share(self, name):
        """Return which part of a server the account must leave free now.

        It is 1 for an account that may start no stream here.
        """
        if not self.is_over(name):
            return 0.0
        if self._running_over() >= self._window:
            return 1.0
        return self._reserve

    def _running_over(self):
        """Return how many streams of accounts over their shares run here."""
        return sum(
            count
            for key, count in self._running_streams.items()
            if self._rank(key) > 1
        )

    def report(self, news):
        """Return a `LoadNews` with the use of this gateway."""
        if not self.is_active:
            return news
        uses, rest = largest(self._own_uses())
        return attrs.evolve(
            news,
            accounts=uses,
            other_accounts_tokens=rest,
            waiting_streams=sum(self._waiting.values()),
            waiting_within_share=self._count_waiting_within_share(),
        )

    def _count_waiting_within_share(self):
        return sum(
            count
            for key, count in self._waiting.items()
            if self._rank(key) <= 1
        )

    def record_summary(self, summary, own=None):
        """Replace the use of the other gateways.

        `own` is the report of this gateway that the summary includes. A
        summary without accounts is from an older release.
        """
        if not (self.is_active and summary.accounts):
            return
        own_uses = {x.account: x.tokens for x in own.accounts} if own else {}
        uses = {}
        for item in summary.accounts:
            tokens = item.tokens - own_uses.get(item.account, 0)
            if tokens > 0:
                uses[item.account] = tokens
        total = sum(x.tokens for x in summary.accounts)
        total += summary.other_accounts_tokens
        if own is not None:
            total -= sum(own_uses.values()) + own.other_accounts_tokens
        waiting = summary.waiting_streams
        within = summary.waiting_within_share
        if own is not None:
            waiting -= own.waiting_streams
            within -= own.waiting_within_share
        self._others = _Others(
            summary.nodes - (own is not None),
            uses,
            max(total, sum(uses.values())),
            max(0, waiting),
            max(0, within),
            self._now_s(),
        )
        self._adapt()

    def _adapt(self):
        """Adapt the room of accounts over their shares to a new summary."""
        within = self._others.waiting_within
        within += self._count_waiting_within_share()
        if within:
            self._reserve = min(MAX_RESERVE, self._reserve + RESERVE_STEP)
            window = min(self._window, self._running_over()) * WINDOW_FACTOR
            self._window = max(MIN_WINDOW, window)
        else:
            self._reserve = max(0.0, self._reserve - RESERVE_DECAY)
            self._window = min(self._window + WINDOW_STEP, MAX_WINDOW)

    @property
    def reserve(self):
        """Return what accounts over their shares leave free of a server."""
        return self._reserve if self.is_active else 0.0

    def _log_over_share(self):
        waiting = self._known_others().waiting_within
        waiting += self._count_waiting_within_share()
        if waiting:
            self._log.log(
                self.largest_shares(share_log.MAX_ACCOUNTS),
                waiting=waiting,
                reserve=self._reserve,
            )

    def largest_shares(self, count):
        """Return the `AccountShare`s of the accounts with the most use."""
        others = self._known_others()
        total = self._own_total + others.total
        if not self.is_active or total <= 0:
            return []
        used = {*self._running, *self._finished, *others.uses}
        keys = used & {*self._names, key_of('')}
        return [
            AccountShare(
                self._names.get(key, ''),
                round(self._use(key) / total, 4),
                round(self._share(key), 4),
                round(self._rank(key), 3),
            )
            for key in heapq.nlargest(
                count, keys, key=lambda k: (self._use(k), k)
            )
        ]

    def rank_of_largest(self, place):
        """Return the rank of the account in a place by use, 0 if none."""
        found = self.largest_shares(place + 1)
        return found[place].rank if len(found) > place else 0.0


def largest(uses):
    """Return the largest uses by account, and the sum of the rest."""
    named = heapq.nlargest(
        MAX_ACCOUNTS, uses.items(), key=lambda item: (item[1], item[0])
    )
    named = [
        node_messages.AccountUse(key, int(tokens))
        for key, tokens in named
        if tokens >= 1
    ]
    rest = sum(uses.values()) - sum(item.tokens for item in named)
    return named, max(0, int(rest))
