"""Server selection for plain services, which have no chains."""

SAMPLED_SERVERS = 3


def choose(state, service, avoid=frozenset()):
    """Return the cheapest of a few random servers, or None.

    The cost is the queueing time, the link delay and the link penalty.
    """
    servers = state.index.plain(service)
    if not servers:
        return None
    count = min(SAMPLED_SERVERS, len(servers))
    sample = state.rng.sample(servers, count)
    same_zone = [s for s in servers if s.zone == state.links.zone]
    if same_zone:
        sample.append(state.rng.choice(same_zone))
    candidates = [s for s in sample if s.server_id not in avoid]
    if not candidates:
        candidates = [s for s in servers if s.server_id not in avoid] or sample
    return min(candidates, key=lambda server: _cost_s(state, server))


def _cost_s(state, server):
    links = state.links
    return (
        state.loads.wait_s(server)
        + links.delay_s(links.origin, links.zone, server)
        + links.penalty_s(links.origin, server.server_id)
    )
