"""Infer which server has failed from the streams that have stalled."""

# Streams without an event for this long are compared. Events usually follow
# each other within 40 ms, and nine in ten streams have no longer pause.
SILENT_AFTER_S = 0.11
# If more servers than this are shared equally, nothing singles one out, and
# checking all of them for each silent stream loads nodes and servers that
# are late already.
MAX_CANDIDATES = 3


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
