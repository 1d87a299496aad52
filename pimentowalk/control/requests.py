"""Handlers for commands and queries sent to a control instance."""

import logging

import attrs

from pimentowalk.admission import account_use
from pimentowalk.control import commands
from pimentowalk.control import member_changes
from pimentowalk.control import publishing
from pimentowalk.core import errors
from pimentowalk.core import logs
from pimentowalk.core import registry
from pimentowalk.wire import messages

LOG = logging.getLogger(__name__)

# Below the timeout of clients, so that they learn of an unknown outcome from
# the leader and not by their own timeout.
PROPOSE_TIMEOUT_S = 2.0
QUERIES = registry.Registry('control query')


class RequestHandler:
    """Execute requests on the replica, the state and the directory."""

    def __init__(
        self, node_id, replica, state, directory, operators, timers, clock
    ):
        self.node_id = node_id
        self.replica = replica
        self.state = state
        self.directory = directory
        self.timers = timers
        self.clock = clock
        self._operators = operators
        self.demand_table = account_use.DemandTable()

    async def answer(self, request, peer):
        """Return the `ControlReply` to a request; never raise."""
        try:
            result = await self._execute(request)
        except TimeoutError:
            return self._error(
                'outcome_unknown',
                f'no quorum within {PROPOSE_TIMEOUT_S} s',
            )
        except errors.PimentowalkError as error:
            return self._error(error.code, error.message)
        except Exception as error:
            LOG.exception(
                'request failed',
                extra=logs.fields(step=request.name, peer=peer),
            )
            # The command may have been appended before the exception.
            return self._error('outcome_unknown', type(error).__name__)
        if isinstance(result, commands.Refusal):
            return self._error(result.code, result.text)
        return messages.ControlReply('', '', commands.encode(result))

    def _error(self, code, text):
        leader_id = self.replica.leader_id or ''
        return messages.ControlReply(code, text, b'', leader_id)

    async def _execute(self, request):
        cls = commands.COMMANDS.get(request.name)
        if not cls.LOCAL and not self.replica.is_leader:
            raise errors.NotLeader(f'{self.node_id} is not the leader')
        body = commands.decode(request.content, cls)
        if cls.OPERATOR:
            name = self._operators.authenticate(request.token)
            if hasattr(body, 'author'):
                body = attrs.evolve(body, author=name)
        if query_name(body) in QUERIES.names():
            if not cls.LOCAL:
                await self.replica.read_barrier()
            return QUERIES.get(query_name(body))(self, body)
        if isinstance(body, commands.ChangeMembers):
            return await self._change_members(body)
        return await self.replica.propose(
            commands.to_log(body), PROPOSE_TIMEOUT_S
        )

    async def _change_members(self, body):
        await self.replica.read_barrier()
        content = commands.to_log(body)
        earlier = self.state.earlier_result(body, content)
        if earlier is not None:
            return earlier
        await member_changes.apply_change(self.replica, body)
        return await self.replica.propose(content, PROPOSE_TIMEOUT_S)


def query_name(body):
    """Return the name under which a query is registered."""
    if isinstance(body, commands.Publish) and body.dry_run:
        return 'Publish dry run'
    return body.NAME


@QUERIES.register('Publish dry run')
def dry_run(handler, body):
    """Validate a publish without applying it."""
    published = handler.state.part('publishing')
    changed, removed = published.check(body)
    return publishing.result(published.version, sorted([*changed, *removed]))


@QUERIES.register('ReadConfiguration')
def read_configuration(handler, body):
    """Return the accepted configuration."""
    published = handler.state.part('publishing')
    return commands.ConfigurationResult(
        published.configuration, published.sources()
    )


@QUERIES.register('HighestFence')
def highest_fence(handler, body):
    """Return the highest fencing number of a server."""
    fence = handler.state.part('fences').highest(body.server_id)
    return commands.FenceResult(fence)


@QUERIES.register('ListQuarantine')
def list_quarantine(handler, body):
    """Return the quarantined requests."""
    part = handler.state.part('quarantine')
    return commands.QuarantineResult(part.list_quarantined(handler.clock()))


@QUERIES.register('ListMembers')
def list_members(handler, body):
    """Return the members of the replicated log."""
    return commands.MembersResult(
        member_changes.list_members(handler.replica),
        handler.replica.leader_id or '',
    )


@QUERIES.register('FindServer')
def find_server(handler, body):
    """Return the announced record of a server."""
    server = handler.directory.server(body.server_id)
    if server is None:
        raise errors.PimentowalkError(
            f'no backend server {body.server_id!r} is announced',
            code='not_found',
        )
    return server


@QUERIES.register('ReadStatus')
def read_status(handler, body):
    """Return the state of the nodes that this instance hears from."""
    now_s = handler.timers.now_s()
    nodes = [
        commands.NodeStatus(
            node.node_id,
            node.role,
            node.zone,
            node.incarnation,
            node.version_in_force,
            node.draining,
            now_s - node.heard_s,
        )
        for node in handler.directory.nodes()
    ]
    return commands.StatusResult(
        handler.state.version,
        handler.node_id,
        handler.replica.leader_id or '',
        nodes,
    )


@QUERIES.register('ReadAudit')
def read_audit(handler, body):
    """Return audit records."""
    records = handler.state.part('audit').records_after(
        body.after_index, body.limit
    )
    return commands.AuditResult(records)


@QUERIES.register('ReportUse')
def report_use(handler, body):
    """Return the shares of an entry; only the leader divides rates."""
    shares = handler.demand_table.record_demands(
        body.entry_id,
        body.demands,
        handler.directory.live_entries,
        handler.timers.now_s(),
    )
    return commands.UseShares(shares)
