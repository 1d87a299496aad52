"""Choice of a server of a plain service."""

SAMPLED_SERVERS = 3


def choose(state, service, avoid=frozenset()):
    """Return the cheapest of a few random servers, or None.

    The cost is the time in the queue, the link delay and its penalty.
    """
    servers = state.index.plain(service)
    if not servers:
        return None
    count = min(SAMPLED_SERVERS, len(servers))
    sample = state.rng.sample(servers, count)
    near = [s for s in servers if s.zone == state.links.zone]
    if near:
        sample.append(state.rng.choice(near))
    fit = [s for s in sample if s.server_id not in avoid]
    if not fit:
        fit = [s for s in servers if s.server_id not in avoid] or sample
    return min(fit, key=lambda server: _cost_s(state, server))


def _cost_s(state, server):
    links = state.links
    return (
        state.loads.wait_s(server)
        + links.delay_s(links.origin, links.zone, server)
        + links.penalty_s(links.origin, server.server_id)
    )
