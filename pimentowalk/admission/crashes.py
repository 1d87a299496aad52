"""Find the requests that crash backend servers, over all nodes.

A request is known by its traits: the hash of the whole request, and those of
the parts of its prompt that other requests may share. A crash is explained by
any trait of a request that the server had begun but not answered. The traits
that explain repeated crashes are barred, as few of them as possible; traits
of requests that run to completion meanwhile are innocent bystanders.
"""

import collections
import logging

import attrs

from pimentowalk.core import identifiers
from pimentowalk.core import logs
from pimentowalk.wire import node_messages

LOG = logging.getLogger(__name__)

# A trait is barred after this many crashes. Traits of other requests are
# rarely present at three crashes without a completion in between.
MIN_CRASHES = 3
# Several traits that nothing tells apart are barred after this many.
MIN_CRASHES_IF_TIED = 5
# A trait is barred from this weight on: the crashes that it explains, times
# the share of crashes among its outcomes. While servers crash, few requests
# complete, so that a lower share takes more crashes.
MIN_WEIGHT = 2.5
HIGH_SHARE = 0.75
MIN_WEIGHT_AT_LOW_SHARE = 4.0
# Of several traits, one that hardly ever completes is suspected before one
# that was present at more crashes: the share counts with this exponent.
SHARE_EXPONENT = 3
# Completions count from this long before the first crash with a trait. Older
# ones do not: a new version of a server may crash on what the last completed.
EARLIER_S = 10.0
# A crash is judged this long after a node has learnt of it, since reports of
# completions at other nodes take 0.75 s.
JUDGED_AFTER_S = 1.0
# Servers that fail within this time have a common cause, such as a rack that
# lost power, and count as one crash.
CORRELATION_S = 0.2
# A barred trait is tried again after this time; each further crash doubles it.
BAR_S = 120.0
MAX_BAR_S = 3600.0
# Nodes end a bar up to this share later, so that few of them try at once.
BAR_SPREAD_SHARE = 0.25
CRASH_RETENTION_S = 7200.0
MAX_CRASHES = 64
MAX_TRAITS_PER_CRASH = 256
MAX_COMPLETED_TRAITS = 8192
MAX_REPORTED_TRAITS = 64


@attrs.define
class Crash:
    """A crashed server incarnation, and the traits of its requests.

    It counts as a cause for bars from `judged_from_s` on. `silent_traits` are
    those of requests without any output, which the server may have just begun,
    `other_traits` those of the others.
    """

    at_s: float
    judged_from_s: float
    silent_traits: set
    other_traits: set

    @property
    def candidates(self):
        """Return the traits that may have caused the crash."""
        return self.silent_traits or self.other_traits


@attrs.frozen
class Bar:
    """Why requests with a trait are rejected, and until when."""

    trait: int
    crashes: int
    completions: int
    until_s: float


class EarlierCompletions:
    """Count completions by trait in the last period and the one before."""

    def __init__(self, now_s):
        self._now_s = now_s
        self._started_s = now_s()
        self._counts = collections.Counter()
        self._last_counts = collections.Counter()

    def add(self, trait):
        """Count a completion."""
        self._rotate()
        if trait in self._counts or len(self._counts) < MAX_COMPLETED_TRAITS:
            self._counts[trait] += 1

    def pop(self, trait):
        """Remove a trait; return its completions."""
        self._rotate()
        return self._counts.pop(trait, 0) + self._last_counts.pop(trait, 0)

    def _rotate(self):
        elapsed_s = self._now_s() - self._started_s
        if elapsed_s < EARLIER_S:
            return
        is_recent = elapsed_s < 2 * EARLIER_S
        self._last_counts = (
            self._counts if is_recent else collections.Counter()
        )
        self._counts = collections.Counter()
        self._started_s = self._now_s()


class CrashTracker:
    """Bar the traits of requests that crash server after server.

    `node_id` spreads the times at which nodes try barred traits again.
    `generation` increases with each new crash and each new judgement.
    """

    def __init__(self, now_s, node_id=''):
        self._now_s = now_s
        self._node_id = node_id
        self._crashes = {}
        # How many crashes with separate causes each trait may explain.
        self._crash_counts = collections.Counter()
        self._bars = {}
        # Completions since shortly before the first crash with a trait.
        self._own_completions = collections.Counter()
        self._other_completions = {}
        self._earlier_completions = EarlierCompletions(now_s)
        self._evaluate_at_s = float('inf')
        self.generation = 0

    def record(self, note):
        """Record a `CrashNote`; return whether it says anything new."""
        silent, others = set(note.silent_traits), set(note.other_traits)
        if note.fingerprint:
            # Older releases report one request at a time.
            others.add(note.fingerprint)
        age_s = note.age_ms / 1000
        if not (silent or others) or age_s > CRASH_RETENTION_S:
            return False
        now_s = self._now_s()
        key = note.server_id, note.born_ms
        crash = self._crashes.get(key)
        if crash is None:
            crash = Crash(now_s - age_s, now_s, set(), set())
            self._crashes[key] = crash
        known = len(crash.silent_traits) + len(crash.other_traits)
        _add_bounded(crash.silent_traits, silent)
        _add_bounded(crash.other_traits, others)
        is_new = len(crash.silent_traits) + len(crash.other_traits) != known
        if is_new:
            # Notes of the past come with the completions since then.
            wait_s = 0.0 if note.is_past else JUDGED_AFTER_S
            crash.judged_from_s = now_s + wait_s
            self._remove_oldest()
            self._count_crashes()
            self.generation += 1
        self.record_other_completions(
            {x.trait: x.completions for x in note.completions}
        )
        return is_new

    def _remove_oldest(self):
        oldest_s = self._now_s() - CRASH_RETENTION_S
        while self._crashes:
            key, crash = min(
                self._crashes.items(), key=lambda item: item[1].at_s
            )
            if len(self._crashes) <= MAX_CRASHES and crash.at_s > oldest_s:
                break
            del self._crashes[key]

    def _count_crashes(self):
        """Count the crashes by trait, and start to count completions."""
        self._crash_counts = _count_traits(_group(self._crashes.values()))
        # A later report of a crash may clear a trait; another crash may make
        # it suspect again, so that its completions are counted all the time.
        known = set()
        for crash in self._crashes.values():
            known |= crash.silent_traits | crash.other_traits
        for counts in (self._own_completions, self._other_completions):
            for trait in counts.keys() - known:
                del counts[trait]
        for trait in known - self._own_completions.keys():
            self._own_completions[trait] = self._earlier_completions.pop(trait)
        self._evaluate_at_s = self._now_s()

    def record_completion(self, traits):
        """Record that a request with some traits ran to completion."""
        for trait in traits:
            if trait in self._own_completions:
                self._own_completions[trait] += 1
                self._evaluate_if_barred(trait)
            else:
                self._earlier_completions.add(trait)

    def _evaluate_if_barred(self, trait):
        if trait in self._bars:
            self._evaluate_at_s = self._now_s()

    def completions(self):
        """Return the completions of this node that decide about traits."""
        decisive = [
            trait
            for trait, crashes in self._crash_counts.most_common()
            if crashes >= MIN_CRASHES - 1 and self._own_completions[trait]
        ]
        return [
            node_messages.TraitCount(trait, self._own_completions[trait])
            for trait in decisive[:MAX_REPORTED_TRAITS]
        ]

    def record_other_completions(self, counts):
        """Record the completions at all other nodes: {trait: count}."""
        for trait, count in counts.items():
            known = self._other_completions.get(trait, 0)
            if trait in self._own_completions and count > known:
                self._other_completions[trait] = count
                self._evaluate_if_barred(trait)

    def barred(self, traits):
        """Return the `Bar` that applies to a request, or None."""
        if self._now_s() >= self._evaluate_at_s:
            self._evaluate()
        for trait in traits:
            bar = self._bars.get(trait)
            if bar is not None and self._now_s() < bar.until_s:
                return bar
        return None

    def active_bars(self):
        """Return the bars that are in force."""
        self.barred(())
        now_s = self._now_s()
        return [bar for bar in self._bars.values() if now_s < bar.until_s]

    def notes(self):
        """Return all crashes as `CrashNote`s, for nodes that missed them."""
        now_s = self._now_s()
        return [
            node_messages.CrashNote(
                0,
                server_id,
                born_ms,
                int((now_s - crash.at_s) * 1000),
                sorted(crash.silent_traits),
                sorted(crash.other_traits),
                self._known_completions(crash.candidates),
                True,
            )
            for (server_id, born_ms), crash in self._crashes.items()
        ]

    def _known_completions(self, traits):
        """Return counts that do not grow each time that nodes pass them on."""
        counts = {
            trait: max(
                self._own_completions[trait],
                self._other_completions.get(trait, 0),
            )
            for trait in sorted(traits)
        }
        return [
            node_messages.TraitCount(trait, count)
            for trait, count in counts.items()
            if count
        ]

    def _count_completions(self, trait):
        own = self._own_completions[trait]
        return own + self._other_completions.get(trait, 0)

    def _evaluate(self):
        """Bar the traits that explain the most crashes, one after another."""
        self.generation += 1
        now_s = self._now_s()
        crashes = self._crashes.values()
        groups = _group(c for c in crashes if c.judged_from_s <= now_s)
        self._evaluate_at_s = min(
            (c.judged_from_s for c in crashes if c.judged_from_s > now_s),
            default=float('inf'),
        )
        counts = _count_traits(groups)
        unexplained = groups
        bars = {}
        while True:
            suspects = self._suspects(_count_traits(unexplained), counts)
            if not suspects:
                break
            best = max(suspects, key=lambda t: (suspects[t], t))
            explained = [group for group in unexplained if best in group[1]]
            tied = {
                trait
                for trait, rank in suspects.items()
                if rank == suspects[best]
                and all(trait in traits for _, traits in explained)
            }
            # The next crash may tell which of them was there by chance.
            if len(tied) == 1 or len(explained) >= MIN_CRASHES_IF_TIED:
                bars.update((t, self._bar(t, groups)) for t in tied)
            unexplained = [g for g in unexplained if best not in g[1]]
        for trait, bar in bars.items():
            known = self._bars.get(trait)
            if known is None or known.until_s <= now_s < bar.until_s:
                self._log_bar(bar)
        self._bars = bars

    def _suspects(self, explained, counts):
        """Return {trait: rank} of the traits that may be barred."""
        result = {}
        for trait, count in explained.items():
            if count < MIN_CRASHES:
                continue
            crashes = counts[trait]
            share = crashes / (crashes + self._count_completions(trait))
            min_weight = (
                MIN_WEIGHT if share >= HIGH_SHARE else MIN_WEIGHT_AT_LOW_SHARE
            )
            if count * share >= min_weight:
                result[trait] = count * share**SHARE_EXPONENT
        return result

    def _bar(self, trait, groups):
        times = [at_s for at_s, traits in groups if trait in traits]
        duration_s = BAR_S * 2.0 ** (len(times) - MIN_CRASHES)
        spread = identifiers.hash64(self._node_id, str(trait)) / 2**64
        duration_s = min(duration_s, MAX_BAR_S)
        duration_s *= 1 + BAR_SPREAD_SHARE * spread
        return Bar(
            trait,
            len(times),
            self._count_completions(trait),
            times[-1] + duration_s,
        )

    def _log_bar(self, bar):
        LOG.warning(
            'requests with a trait are rejected',
            extra=logs.fields(
                step='quarantine',
                trait=f'{bar.trait:016x}',
                crashes=bar.crashes,
                completions=bar.completions,
                for_s=round(bar.until_s - self._now_s(), 1),
            ),
        )


def _group(crashes):
    """Return (time, traits) of crashes that have separate causes."""
    groups = []
    for crash in sorted(crashes, key=lambda c: c.at_s):
        if groups and crash.at_s - groups[-1][0] <= CORRELATION_S:
            groups[-1][1].update(crash.candidates)
        else:
            groups.append((crash.at_s, set(crash.candidates)))
    return groups


def _count_traits(groups):
    return collections.Counter(t for _, traits in groups for t in traits)


def _add_bounded(known, added):
    room = MAX_TRAITS_PER_CRASH - len(known)
    if room > 0:
        known.update(sorted(added - known)[:room])
