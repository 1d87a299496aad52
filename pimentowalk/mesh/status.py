"""The state of one gateway, as operators see it."""

import attrs

from pimentowalk.admission import account_shares as admission_shares
from pimentowalk.placement import tiling

# Client accounts whose shares are shown, those with the most use.
SHOWN_ACCOUNTS = 8


@attrs.frozen
class MemberStatus:
    """A control instance."""

    node_id: str
    votes: bool
    linked: bool


@attrs.frozen
class BackendStatus:
    """A backend server; `heard_s` is the age of its last announcement.

    `unused_reason` tells why it gets no work although it is heard.
    """

    server_id: str
    address: str
    service: str
    zone: str
    state: str
    layers: str
    heard_s: float
    suspected: bool
    unused_reason: str = ''


@attrs.frozen
class ZoneStatus:
    """The layers that the usable servers of a service in a zone hold.

    `full_copies` is the least number of copies of a layer; at 0 the zone has
    no path of its own, and `missing_layers` tells how many layers it lacks.
    """

    service: str
    zone: str
    servers: int
    full_copies: int
    missing_layers: int


@attrs.frozen
class AccountStatus:
    """A client account; `keys` is the number of its keys."""

    name: str
    keys: int


@attrs.frozen
class GatewayStatus:
    """The state of one gateway; `lease_age_s` is -1 before the first lease."""

    node_id: str
    version: int
    lease_age_s: float
    lease_held: bool
    leader_id: str
    leads: bool
    draining: bool
    members: list[MemberStatus]
    backends: list[BackendStatus]
    accounts: list[AccountStatus]
    zones: list[ZoneStatus]
    account_shares: list[admission_shares.AccountShare] = attrs.field(
        factory=list
    )


def gateway_status(node, freshness, shares=None):
    """Return the status of a gateway node and of its `AccountShares`."""
    news = node.control_news()
    document = node.document
    has_lease_age = freshness.age_s != float('inf')
    return GatewayStatus(
        node_id=node.node_id,
        version=node.document_version,
        lease_age_s=round(freshness.age_s, 3) if has_lease_age else -1.0,
        lease_held=freshness.is_valid,
        leader_id=news.leader_id or '',
        leads=node.leads,
        draining=node.draining,
        members=_members(node, news),
        backends=_backends(node),
        accounts=[
            AccountStatus(account.name, len(account.keys))
            for account in (document.accounts if document else ())
        ],
        zones=zone_statuses(node),
        account_shares=shares.largest_shares(SHOWN_ACCOUNTS) if shares else [],
    )


def zone_statuses(node):
    """Return how completely each zone holds the layers of each service."""
    result = []
    services = node.document.services.values() if node.document else ()
    for service in services:
        if service.engine is None:
            continue
        zones = {}
        for backend in node.backends.usable(service.name):
            zones.setdefault(backend.zone, []).append(backend)
        for zone, servers in sorted(zones.items()):
            copies = tiling.coverage(servers, service.engine.total_layers)
            result.append(
                ZoneStatus(
                    service.name,
                    zone,
                    len(servers),
                    min(copies),
                    copies.count(0),
                )
            )
    return result


def missing_layers(node):
    """Return the number of layers that zones lack, over all services."""
    return sum(status.missing_layers for status in zone_statuses(node))


def incomplete_zones(node):
    """Return the number of zones without a path of their own."""
    return sum(not status.full_copies for status in zone_statuses(node))


def _members(node, news):
    votes = {}
    if node.replica is not None:
        votes = {m.node_id: m.voter for m in node.replica.members()}
    return [
        MemberStatus(
            address.node_id,
            votes.get(address.node_id, False),
            address.node_id == node.node_id
            or node.link(address.node_id) is not None,
        )
        for address in news.members
    ]


def _backends(node):
    now_s = node.backends.now_s()
    statuses = [
        BackendStatus(
            record.backend.server_id,
            record.backend.address,
            record.backend.service,
            record.backend.zone,
            record.backend.state,
            f'{record.backend.first_layer}-{record.backend.end_layer}',
            round(now_s - record.heard_s, 3),
            record.is_suspect,
            record.unused_reason,
        )
        for record in node.backends.all_records()
    ]
    return sorted(statuses, key=lambda b: (b.service, b.zone, b.layers))
