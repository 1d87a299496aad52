"""Infer from silent streams which server of their paths has failed."""

# Streams that are silent this long are compared. Events follow each other
# within 40 ms in most cases, and nine in ten streams have no longer pause.
SILENT_S = 0.11
# If more servers than this are shared equally, nothing tells them apart, and
# asking all of them for each silent stream loads nodes and servers when they
# are late already.
MOST_CANDIDATES = 3


def candidates(runs, now_s):
    """Return the servers that most silent streams share, if they are few.

    Each run has `progress_s`, `has_begun` and `servers`. A server of a
    stream that moves has not failed. The others may only be slow: streams
    also fall silent together under load, so each candidate is asked before
    it is left out.
    """
    silent, moving = [], []
    for run in runs:
        if run.has_begun:
            is_silent = now_s - run.progress_s > SILENT_S
            (silent if is_silent else moving).append(run)
    if not silent:
        return []
    cleared = {s.server_id for run in moving for s in run.servers}
    counts = {}
    servers = {}
    for run in silent:
        for server in run.servers:
            if server.server_id not in cleared:
                servers[server.server_id] = server
                counts[server.server_id] = counts.get(server.server_id, 0) + 1
    most = max(counts.values(), default=0)
    found = [servers[i] for i, count in counts.items() if count == most]
    return found if len(found) <= MOST_CANDIDATES else []
