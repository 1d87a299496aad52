"""Queued work of servers: the last report plus what was sent since."""

import collections

import attrs

# Load reports of engines lag: work that was sent less than this long before a
# report arrived is assumed to be missing from it.
REPORT_LAG_S = 0.5
# The reported queue halves in this time, because a server that receives no
# work from this entry sends it no further reports.
REPORT_HALF_LIFE_S = 5.0
# Work that was never settled stops counting after this time.
SENT_EXPIRY_S = 30.0
DEFAULT_TOKENS_PER_S = 100.0
# Requests queue only at the first stage of a chain. The load of the other
# stages is estimated from their running sequences, each of which counts as
# this much queued work.
TOKENS_PER_RUNNING_SEQUENCE = 32


@attrs.define(eq=False)
class SentWork:
    """Work sent to the servers of one chain and not yet settled."""

    server_ids: tuple
    tokens: int
    sent_s: float


@attrs.define
class _ServerLoad:
    queued_tokens: float = 0.0
    tokens_per_s: float = 0.0
    reported_s: float = 0.0
    sent: dict = attrs.field(factory=collections.OrderedDict)
    sent_tokens: int = 0


class LoadTracker:
    """Estimate the queue length and the speed of each server."""

    def __init__(self, timers):
        self._timers = timers
        self._loads = {}

    def record_reports(self, loads):
        """Record load reports of servers."""
        now_s = self._timers.now_s()
        for load in loads:
            state = self._loads.setdefault(load.server_id, _ServerLoad())
            state.queued_tokens = (
                load.queued_tokens + load.running * TOKENS_PER_RUNNING_SEQUENCE
            )
            state.reported_s = now_s
            if load.tokens_per_s > 0:
                state.tokens_per_s = load.tokens_per_s
            self._expire_sent(state, now_s - REPORT_LAG_S)

    def charge(self, server_ids, tokens):
        """Count work as sent; return it, to be settled later."""
        charge = SentWork(tuple(server_ids), tokens, self._timers.now_s())
        for server_id in charge.server_ids:
            state = self._loads.setdefault(server_id, _ServerLoad())
            state.sent[id(charge)] = charge
            state.sent_tokens += tokens
        return charge

    def settle(self, charge):
        """Stop counting work whose attempt has ended."""
        for server_id in charge.server_ids:
            state = self._loads.get(server_id)
            if state is not None and state.sent.pop(id(charge), None):
                state.sent_tokens -= charge.tokens

    def keep_only(self, server_ids):
        """Drop the state of all servers except these."""
        for server_id in self._loads.keys() - server_ids:
            del self._loads[server_id]

    def _expire_sent(self, state, before_s):
        while state.sent:
            charge = next(iter(state.sent.values()))
            if charge.sent_s > before_s:
                return
            state.sent.popitem(last=False)
            state.sent_tokens -= charge.tokens

    def queued_tokens(self, server_id):
        """Return the estimated tokens queued ahead of a new request."""
        state = self._loads.get(server_id)
        if state is None:
            return 0.0
        now_s = self._timers.now_s()
        self._expire_sent(state, now_s - SENT_EXPIRY_S)
        age_s = now_s - state.reported_s
        reported = state.queued_tokens * 0.5 ** (age_s / REPORT_HALF_LIFE_S)
        return reported + state.sent_tokens

    def tokens_per_s(self, server):
        """Return the reported speed of a server, or the announced one."""
        state = self._loads.get(server.server_id)
        if state is not None and state.tokens_per_s > 0:
            return state.tokens_per_s
        return server.capacity_tokens_per_s or DEFAULT_TOKENS_PER_S

    def wait_s(self, server):
        """Return the estimated queueing time at a server."""
        return self.queued_tokens(server.server_id) / self.tokens_per_s(server)
