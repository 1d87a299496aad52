"""The load of all nodes that report to a control instance, summed up."""

import collections

import attrs

from pimentowalk.admission import account_shares
from pimentowalk.routing import load_totals
from pimentowalk.wire import node_messages

# A report that is this many behind the newest one is not late: the node has
# restarted and counts anew.
RESTART_GAP = 16


@attrs.frozen
class _Use:
    """Parts of the last report of a node."""

    sequence: int
    repeats: list
    completions: list
    answers: list
    accounts: list
    other_accounts_tokens: int
    waiting_streams: int
    waiting_within_share: int


class LoadSums:
    """Build one `LoadSummary` of the reports of all nodes.

    A node hears one frame in each batch, whose size depends on the servers in
    use, instead of the reports of all other nodes.
    """

    def __init__(self):
        self._totals = load_totals.LoadTotals()
        self._uses = {}
        self._account_tokens = {}
        self._has_changed = False

    def record(self, body, now_s):
        """Record the `LoadNews` of a node, unless it is older than known."""
        behind = self.sequence_of(body.node_id) - body.sequence
        if 0 < behind < RESTART_GAP and body.sequence:
            return
        loads = {x.server_id: (x.requests, x.tokens) for x in body.loads}
        self._totals.record(body.node_id, loads, now_s)
        self._add_accounts(self._uses.get(body.node_id), -1)
        self._uses[body.node_id] = _Use(
            body.sequence,
            body.repeats,
            body.completions,
            body.answers,
            body.accounts,
            body.other_accounts_tokens,
            body.waiting_streams,
            body.waiting_within_share,
        )
        self._add_accounts(body, 1)
        self._has_changed = True

    def sequence_of(self, node_id):
        """Return the sequence of the included report of a node, or 0."""
        use = self._uses.get(node_id)
        return use.sequence if use is not None else 0

    def take_summary(self, now_s):
        """Return the summary if it has changed since the last one."""
        for node_id in self._totals.expire(now_s):
            self._add_accounts(self._uses.pop(node_id), -1)
            self._has_changed = True
        if not self._has_changed:
            return None
        self._has_changed = False
        uses = self._uses.values()
        accounts, rest = self._sum_accounts()
        return node_messages.LoadSummary(
            len(self._totals),
            [
                node_messages.ServerLoad(server_id, requests, tokens)
                for server_id, (
                    requests,
                    tokens,
                ) in self._totals.by_server().items()
            ],
            self._sum_repeats(),
            self._sum_completions(),
            self._sum_answers(),
            accounts,
            rest,
            sum(use.waiting_streams for use in uses),
            sum(use.waiting_within_share for use in uses),
        )

    def _sum_answers(self):
        sums = {}
        for use in self._uses.values():
            for item in use.answers:
                answers, percent = sums.get(item.server_id, (0, 0))
                sums[item.server_id] = (
                    answers + item.answers,
                    percent + item.slowdown_percent,
                )
        return [
            node_messages.ServerAnswers(server_id, answers, percent)
            for server_id, (answers, percent) in sums.items()
        ]

    def _sum_accounts(self):
        """Return the largest sums by account, and the sum of the rest."""
        accounts, rest = account_shares.largest(self._account_tokens)
        rest += sum(x.other_accounts_tokens for x in self._uses.values())
        return accounts, rest

    def _add_accounts(self, use, sign):
        """Add or subtract a report; summing all anew takes too long."""
        for item in use.accounts if use is not None else ():
            total = self._account_tokens.get(item.account, 0)
            total += sign * item.tokens
            if total:
                self._account_tokens[item.account] = total
            else:
                self._account_tokens.pop(item.account, None)

    def _sum_completions(self):
        sums = collections.Counter()
        for use in self._uses.values():
            for item in use.completions:
                sums[item.trait] += item.completions
        return [
            node_messages.TraitCount(trait, count)
            for trait, count in sums.items()
        ]

    def _sum_repeats(self):
        sums = {}
        for use in self._uses.values():
            for item in use.repeats:
                requests, repeats = sums.get(item.service, (0, 0))
                sums[item.service] = (
                    requests + item.requests,
                    repeats + item.repeats,
                )
        return [
            node_messages.RepeatUse(service, requests, repeats)
            for service, (requests, repeats) in sums.items()
        ]
