"""Infer which server has failed from the streams that have stalled.

`candidates` is used for streams whose route bounds no pause, `overdue_servers`
for those whose pauses are predicted and bounded.
"""

import math

import attrs

from pimentowalk.core import identifiers

# Where a route bounds no pause, streams without an event for this long are
# compared. On fast paths, events usually follow each other within 40 ms, and
# nine in ten streams have no longer pause.
SILENT_AFTER_S = 0.11
# If more servers than this are shared equally, nothing singles one out, and
# checking all of them for each silent stream loads nodes and servers that
# are late already.
MAX_CANDIDATES = 3
# A stream is silent after its expected pause and this many mean deviations,
# fewer than the four of a retransmission in TCP, since a check costs far less
# than a pause that is too long.
DEVIATIONS = 1.5
# A lone silent stream waits for as many more: single pauses are often long,
# while a lost server silences all streams over it. With 0.5, sound streams
# cause 3 checks a second at each of 12 gateways, with 1.0 one, but then 0.71
# instead of 0.81 of customer B's streams leave a dark server in time (8 seeds
# of bench.server_losses, 24 gateways).
LONE_DEVIATIONS = 0.5
# A threshold below this share of the expected pause would be passed by sound
# streams again and again.
MIN_SILENT_SHARE = 1.2
# On fast paths, gateways and links delay events by more than their pauses
# deviate.
MIN_SILENT_S = 0.06
# The first event of another path follows after this multiple of its pause,
# since the prompt is read first (docs/design/server-losses.md).
# A later threshold notices the loss too late for the longest pause of a route.
RESUME_PAUSES = 1.6
# A server that has crashed refuses a check within a few milliseconds, and a
# gateway under load reads the refusal by now.
PROBE_ANSWER_S = 0.03
# Two gateways of one zone in three should check each of the tied servers.
CHECKS_PER_SERVER = 6
# Checks for silence that a gateway sends in a row and in a second. A path has
# 10 to 14 servers, all of which few gateways have to check at once.
CHECK_BURST = 16
CHECKS_PER_S = 8.0


@attrs.frozen
class Limits:
    """Times since the last event of a stream, in seconds.

    The next event is expected after `due_s`. After `silent_s` a stream is
    silent, after `lone_s` also its servers are checked that no other silent
    stream uses, and after `ask_s` the head is asked.
    """

    due_s: float
    silent_s: float
    lone_s: float
    ask_s: float


def limits(pause, longest_pause_s):
    """Return the limits of a stream with a predicted and a longest pause."""
    silent_s = pause.mean_s + DEVIATIONS * pause.deviation_s
    resume_s = PROBE_ANSWER_S + RESUME_PAUSES * pause.mean_s
    silent_s = min(silent_s, longest_pause_s - resume_s)
    silent_s = max(silent_s, MIN_SILENT_SHARE * pause.mean_s, MIN_SILENT_S)
    lone_s = silent_s + LONE_DEVIATIONS * pause.deviation_s
    return Limits(pause.mean_s, silent_s, lone_s, lone_s + PROBE_ANSWER_S)


class CheckBudget:
    """Bound the checks that silent streams cause at one gateway.

    Under an overload all streams are late, and checks would take the
    processor time that their events need.
    """

    def __init__(self, now_s):
        self._now_s = now_s
        self._left = CHECK_BURST
        self._filled_s = now_s()

    def take(self):
        """Return whether another check may be sent."""
        now_s = self._now_s()
        self._left += (now_s - self._filled_s) * CHECKS_PER_S
        self._left = min(CHECK_BURST, self._left)
        self._filled_s = now_s
        if self._left < 1:
            return False
        self._left -= 1
        return True


def overdue_servers(runs, now_s, gateway_id, answered_s):
    """Return the servers that may have stopped streams, the first to check.

    Each run has `progress_s`, `has_output`, `servers` and `limits`. An event
    that comes through a server after another stream's event was due proves
    that the server works, as does an answer; `answered_s(server_id)` returns
    the time of the last one. Of the servers of a silent stream, those that
    most silent streams share are suspect. The order depends on a hash of
    gateway and server, so that the gateways check different ones first.
    """
    silent = []
    heard_s = {}
    for run in runs:
        if not run.has_output:
            continue
        for server in run.servers:
            known_s = heard_s.get(server.server_id, 0.0)
            heard_s[server.server_id] = max(known_s, run.progress_s)
        if now_s - run.progress_s > run.limits.silent_s:
            silent.append(run)
    unproven = [_unproven(run, heard_s, answered_s) for run in silent]
    counts = {}
    for servers in unproven:
        for server in servers:
            counts[server.server_id] = counts.get(server.server_id, 0) + 1
    found = {}
    for run, servers in zip(silent, unproven, strict=True):
        most = max((counts[s.server_id] for s in servers), default=0)
        if most == 1 and now_s - run.progress_s <= run.limits.lone_s:
            continue
        for server in servers:
            if counts[server.server_id] == most:
                found[server.server_id] = server
    return sorted(
        found.values(),
        key=lambda s: identifiers.hash64(gateway_id, s.server_id),
    )


def checks_at_once(tied, gateways):
    """Return how many of the tied servers a gateway checks at once."""
    share = CHECKS_PER_SERVER / max(1, gateways)
    return max(MAX_CANDIDATES, math.ceil(tied * min(1.0, share)))


def _unproven(run, heard_s, answered_s):
    """Return the servers of a silent run that nothing proves to work."""
    due_s = run.progress_s + run.limits.due_s
    return [
        server
        for server in run.servers
        if heard_s[server.server_id] <= due_s
        and answered_s(server.server_id) <= due_s
    ]


def candidates(runs, now_s):
    """Return the servers that most silent streams share, if they are few.

    Each run has `progress_s`, `has_output` and `servers`. A server of a
    stream that makes progress has not failed. The candidates may only be
    slow, since streams also stall together under load: each must be checked
    before it is excluded.
    """
    silent, progressing = [], []
    for run in runs:
        if run.has_output:
            is_silent = now_s - run.progress_s > SILENT_AFTER_S
            (silent if is_silent else progressing).append(run)
    if not silent:
        return []
    working = {s.server_id for run in progressing for s in run.servers}
    counts = {}
    servers = {}
    for run in silent:
        for server in run.servers:
            if server.server_id not in working:
                servers[server.server_id] = server
                counts[server.server_id] = counts.get(server.server_id, 0) + 1
    most = max(counts.values(), default=0)
    found = [servers[i] for i, count in counts.items() if count == most]
    return found if len(found) <= MAX_CANDIDATES else []
