"""Queued work of servers, corrected by what was sent since the report."""

import collections

import attrs

# Engines report load with a lag. Work that was sent within this time before
# a report arrived is taken as not yet counted in it.
REPORT_LAG_S = 0.5
# A report loses half its weight in this time, because a server that gets no
# work from this entry sends it no further reports.
REPORT_HALF_LIFE_S = 5.0
# Work whose end was never reported stops counting after this time.
SENT_EXPIRY_S = 30.0
DEFAULT_TOKENS_PER_S = 100.0
# Requests queue at heads only, so the load of other stages shows in their
# running sequences. Each counts as this much queued work.
RUNNING_TOKENS = 32


@attrs.define(eq=False)
class Charge:
    """Work that was sent to the servers of one chain."""

    server_ids: tuple
    tokens: int
    sent_s: float


@attrs.define
class _Known:
    queued_tokens: float = 0.0
    tokens_per_s: float = 0.0
    reported_s: float = 0.0
    sent: dict = attrs.field(factory=collections.OrderedDict)
    sent_tokens: int = 0


class LoadTracker:
    """Estimate the queue and the speed of each server."""

    def __init__(self, timers):
        self._timers = timers
        self._known = {}

    def record_reports(self, loads):
        """Take over load reports of servers."""
        now_s = self._timers.now_s()
        for load in loads:
            known = self._known.setdefault(load.server_id, _Known())
            known.queued_tokens = (
                load.queued_tokens + load.running * RUNNING_TOKENS
            )
            known.reported_s = now_s
            if load.tokens_per_s > 0:
                known.tokens_per_s = load.tokens_per_s
            self._forget_sent(known, now_s - REPORT_LAG_S)

    def charge(self, server_ids, tokens):
        """Count work as sent; returns the charge to settle later."""
        charge = Charge(tuple(server_ids), tokens, self._timers.now_s())
        for server_id in charge.server_ids:
            known = self._known.setdefault(server_id, _Known())
            known.sent[id(charge)] = charge
            known.sent_tokens += tokens
        return charge

    def settle(self, charge):
        """Stop counting work whose attempt has ended."""
        for server_id in charge.server_ids:
            known = self._known.get(server_id)
            if known is not None and known.sent.pop(id(charge), None):
                known.sent_tokens -= charge.tokens

    def keep_only(self, server_ids):
        """Drop what is known of servers outside the view."""
        for server_id in self._known.keys() - server_ids:
            del self._known[server_id]

    def _forget_sent(self, known, before_s):
        while known.sent:
            charge = next(iter(known.sent.values()))
            if charge.sent_s > before_s:
                return
            known.sent.popitem(last=False)
            known.sent_tokens -= charge.tokens

    def queued_tokens(self, server_id):
        """Return the estimated work ahead of a new request in tokens."""
        known = self._known.get(server_id)
        if known is None:
            return 0.0
        now_s = self._timers.now_s()
        self._forget_sent(known, now_s - SENT_EXPIRY_S)
        age_s = now_s - known.reported_s
        reported = known.queued_tokens * 0.5 ** (age_s / REPORT_HALF_LIFE_S)
        return reported + known.sent_tokens

    def tokens_per_s(self, server):
        """Return the reported speed of a server, or the announced one."""
        known = self._known.get(server.server_id)
        if known is not None and known.tokens_per_s > 0:
            return known.tokens_per_s
        return server.capacity_tokens_per_s or DEFAULT_TOKENS_PER_S

    def wait_s(self, server):
        """Return the time that the queue of a server takes."""
        return self.queued_tokens(server.server_id) / self.tokens_per_s(server)
