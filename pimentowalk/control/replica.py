"""A replica of the replicated log."""

import asyncio
import contextlib
import logging
import random as random_module
import time

from pimentowalk.control import applier as control_applier
from pimentowalk.control import bootstrap
from pimentowalk.control import changes
from pimentowalk.control import consensus as control_consensus
from pimentowalk.control import election
from pimentowalk.control import handover
from pimentowalk.control import log as control_log
from pimentowalk.control import members as control_members
from pimentowalk.control import peer as control_peer
from pimentowalk.control import receiver as control_receiver
from pimentowalk.control import rules as control_rules
from pimentowalk.control import snapshot as control_snapshot
from pimentowalk.core import errors
from pimentowalk.core import identifiers
from pimentowalk.core import timers as core_timers
from pimentowalk.wire import connection
from pimentowalk.wire import messages

LOG = logging.getLogger(__name__)

# A record and its frame must fit into one frame of 1 MiB.
MAX_COMMAND_BYTES = 768 << 10
SNAPSHOT_EVERY = 4096
KEPT_RECORDS = 1024
READ_TIMEOUT_S = 2.0


class Replica:
    """One voter or learner of the control cluster.

    `voters` are those of the settings; they count only at the first start
    of a cluster, see `bootstrap.Bootstrap`. `handle` answers the frames of
    other replicas; the owner accepts the connections. The state machine has
    `apply(index, command, time_s) -> result`, `snapshot() -> bytes` and
    `restore(bytes)`.
    """

    # The bodies that the owner passes to `handle`.
    FRAMES = control_receiver.FRAMES

    def __init__(
        self,
        node_id,
        folder,
        voters,
        state_machine,
        timers,
        *,
        zone='',
        log=None,
        dial=None,
        timing=None,
        rules=None,
        random=None,
        clock=time.time,
        snapshot_every=SNAPSHOT_EVERY,
        kept_records=KEPT_RECORDS,
    ):
        self._hello = messages.Hello(
            node_id, 'control', identifiers.new_incarnation(), zone
        )
        self._dial = dial or self._dial_peer
        self._clock = clock
        self._stamp_s = 0.0
        self._log = log or control_log.DurableLog(folder)
        self._consensus = control_consensus.Consensus(
            node_id,
            self._log,
            timers,
            timing or control_consensus.Timing(),
            rules or control_rules.Rules(),
        )
        self._applier = control_applier.Applier(
            self._consensus, state_machine, snapshot_every, kept_records
        )
        self._connect_parts(voters, random or random_module.Random())
        self._peers = {}
        self._tasks = []
        self._running = False

    def _connect_parts(self, voters, random):
        self._consensus.on_members = self._sync_peers
        self._elections = election.Elections(
            self._consensus,
            lambda: [peer for peer, _ in self._peers.values()],
            random,
        )
        self._receiver = control_receiver.Receiver(
            self._consensus,
            voters,
            self._elections.campaign,
            self._applier.install_snapshot,
        )
        self._bootstrap = bootstrap.Bootstrap(
            self._consensus, voters, self._dial
        )

    async def _dial_peer(self, host, port):
        return await connection.dial(host, port, self._hello)

    @property
    def node_id(self):
        """Return the node id."""
        return self._consensus.node_id

    @property
    def identity(self):
        """Return the identity of the data folder."""
        return self._consensus.identity

    @property
    def leader_id(self):
        """Return the node id of the leader, empty if unknown."""
        return self._consensus.leader_id

    @property
    def is_leader(self):
        """Return whether this replica leads and holds its lease now."""
        return self._consensus.holds_lease()

    @property
    def term(self):
        """Return the current term."""
        return self._consensus.term

    @property
    def commit_index(self):
        """Return the index of the last committed record."""
        return self._consensus.commit_index

    @property
    def applied_index(self):
        """Return the index of the last applied record."""
        return self._applier.applied_index

    def members(self):
        """Return the members, `members.Member` each."""
        return list(self._consensus.members.members)

    async def wait_role_change(self):
        """Wait until the leader, as this replica knows it, changes."""
        await self._consensus.role_changed.wait()

    async def wait_applied_change(self):
        """Wait until further records have been applied."""
        await self._applier.wait_applied_change()

    async def start(self):
        """Read the folder and take part; raise DamagedData."""
        log = self._log
        snapshot = await log.run_file_operation(control_snapshot.load)
        if snapshot is None:
            await log.open()
        else:
            await log.open(snapshot.last_index, snapshot.last_term)
        self._running = True
        if snapshot is None:
            self._consensus.load_members(0, control_members.MemberSet())
        self._applier.load(snapshot)
        self._consensus.heard_s = self._consensus.timers.now_s()
        for loop in (
            self._elections.run(),
            self._applier.run(),
            self._sync_appended(),
            self._bootstrap.run(),
        ):
            task = asyncio.ensure_future(loop)
            task.add_done_callback(self._end_on_error)
            self._tasks.append(task)

    def _end_on_error(self, task):
        # Without one of its loops a replica would look alive and do
        # nothing, or answer from a state that is no longer updated.
        if not task.cancelled() and task.exception() is not None:
            self._log.on_fatal(task.exception())

    async def stop(self):
        """Hand over leadership if there is a voter to take it, and end."""
        with contextlib.suppress(errors.PimentowalkError):
            await self.transfer_leadership()
        await self.abort()

    async def abort(self):
        """End without handing over."""
        self._running = False
        self._consensus.become_follower()
        self._sync_peers()
        await core_timers.cancel_all(self._tasks)
        self._applier.fail_waiters('the replica stopped')
        await self._log.close()

    async def handle(self, connection, envelope):
        """Answer a frame of another replica."""
        if not self._running:
            raise errors.PimentowalkError('stopped', code='draining')
        await self._receiver.handle(connection, envelope)

    def _sync_peers(self):
        """Start and end the tasks of peers as the members change."""
        wanted = {}
        if self._running:
            for member in self._consensus.members.members:
                wanted[(member.node_id, member.identity)] = member
            wanted.pop((self.node_id, self.identity), None)
        for key in self._peers.keys() - wanted.keys():
            _, task = self._peers.pop(key)
            self._consensus.progress.pop(key)
            task.cancel()
        for key in wanted.keys() - self._peers.keys():
            self._start_peer(key, wanted[key])

    def _start_peer(self, key, member):
        peer = control_peer.Peer(
            member,
            self._consensus,
            self._dial,
            lambda: self._applier.snapshot,
        )
        self._consensus.progress[key] = peer.progress
        self._peers[key] = (peer, asyncio.ensure_future(peer.run()))

    async def _sync_appended(self):
        # Records that are proposed during one sync share the next one.
        while True:
            await self._consensus.appended.wait()
            self._consensus.appended.clear()
            await self._log.sync()
            self._consensus.advance_commit()

    def _check_leads(self, step):
        """Raise NotLeader or NoQuorum; nothing has been done then."""
        consensus = self._consensus
        if consensus.role != control_consensus.LEADER or (
            consensus.transferring
        ):
            leader_id = consensus.leader_id
            raise errors.NotLeader(
                f'{self.node_id} does not lead',
                step=step,
                peer='' if leader_id == self.node_id else leader_id,
            )
        if not consensus.holds_lease():
            raise errors.NoQuorum('no majority answers', step=step)

    async def propose(self, command, timeout_s):
        """Return the result of a command once it is committed and applied.

        NotLeader (`peer` is the leader's id) and NoQuorum are proofs that
        the command was not and will not be applied. OutcomeUnknown is not.
        An error that the state machine raised is raised here. A result is
        returned even if leadership ended meanwhile, since what is committed
        stays so.
        """
        if len(command) > MAX_COMMAND_BYTES:
            raise errors.PimentowalkError(
                f'a command of {len(command)} bytes exceeds '
                f'{MAX_COMMAND_BYTES}',
                code='too_large',
                step='propose',
            )
        self._check_leads('propose')
        self._stamp_s = max(
            self._stamp_s, self._applier.last_time_s, self._clock()
        )
        content = control_applier.encode_command(command, self._stamp_s)
        return await self._append(
            control_consensus.COMMAND, content, timeout_s
        )

    async def _append(self, kind, content, timeout_s):
        record = self._consensus.append_as_leader(kind, content)
        return await self._within(
            self._applier.result_future(record), timeout_s
        )

    async def _within(self, future, timeout_s):
        timers = self._consensus.timers
        timeout = timers.after(timeout_s, lambda: _give_up(future))
        try:
            return await future
        finally:
            timeout.cancel()

    async def read_barrier(self, timeout_s=READ_TIMEOUT_S):
        """Return once local reads see every change answered before.

        Raises NotLeader or NoQuorum. The lease is checked again at the
        end, because this process may have been frozen in between.
        """
        self._check_leads('read')
        consensus = self._consensus
        term = consensus.term
        # A new leader knows what is committed only after its own record.
        while consensus.log.term_at(consensus.commit_index) != term:
            await self._wait(consensus.commit_advanced.wait(), timeout_s)
            self._check_leads('read')
        index = consensus.commit_index
        await self._wait(self._applier.wait_applied(index), timeout_s)
        self._check_leads('read')
        if consensus.term != term:
            raise errors.NoQuorum('the term changed', step='read')

    async def _wait(self, waiting, timeout_s):
        task = asyncio.ensure_future(waiting)
        timeout = self._consensus.timers.after(timeout_s, task.cancel)
        try:
            await asyncio.wait([task])
            if task.cancelled():
                raise errors.NoQuorum('not committed in time', step='read')
        finally:
            task.cancel()
            timeout.cancel()

    async def transfer_leadership(self):
        """Hand leadership to the voter that is furthest along.

        Raises NotLeader, or NoQuorum if nobody took over; this replica
        does not lead afterwards unless it is the only voter.
        """
        self._check_leads('transfer')
        peers = [peer for peer, _ in self._peers.values()]
        await handover.hand_over(self._consensus, peers)

    async def change_members(self, action, instance, timeout_s):
        """Add a learner, promote it, or remove a member; return members.

        Raises Conflict where the change is refused: one change at a time,
        and a learner is promoted only once it has caught up.
        """
        self._check_leads('change members')
        learner = None
        if action == control_members.ADD_LEARNER:
            learner = await changes.find_learner(
                self._consensus, self._dial, instance
            )
            self._check_leads('change members')
        changed = changes.changed_members(
            self._consensus, action, instance.instance_id, learner
        )
        await self._append(
            control_consensus.MEMBERS, changed.encode(), timeout_s
        )
        return list(changed.members)


def _give_up(future):
    if not future.done():
        future.set_exception(
            errors.OutcomeUnknown('not committed in time', step='propose')
        )
