"""What one gateway knows, for operators."""

import attrs


@attrs.frozen
class MemberStatus:
    """A control instance."""

    node_id: str
    votes: bool
    linked: bool


@attrs.frozen
class BackendStatus:
    """A backend server; ages are in seconds."""

    server_id: str
    address: str
    service: str
    zone: str
    state: str
    layers: str
    heard_s: float
    suspected: bool


@attrs.frozen
class AccountStatus:
    """A client account; its keys are counted, not shown."""

    name: str
    keys: int


@attrs.frozen
class GatewayStatus:
    """The state of one gateway; `lease_age_s` is -1 before the first one."""

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


def gateway_status(node, freshness):
    """Return the status of a node."""
    news = node.control_news()
    document = node.document
    known = freshness.age_s != float('inf')
    return GatewayStatus(
        node_id=node.node_id,
        version=node.document_version,
        lease_age_s=round(freshness.age_s, 3) if known else -1.0,
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
    )


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
    found = [
        BackendStatus(
            record.backend.server_id,
            record.backend.address,
            record.backend.service,
            record.backend.zone,
            record.backend.state,
            f'{record.backend.first_layer}-{record.backend.end_layer}',
            round(now_s - record.heard_s, 3),
            record.suspect_since_s is not None,
        )
        for record in node.backends.records()
    ]
    return sorted(found, key=lambda b: (b.service, b.zone, b.layers))
