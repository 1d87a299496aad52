"""One replica of the replicated log: its tasks and its public API."""

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
from pimentowalk.control import founding
from pimentowalk.control import handover
from pimentowalk.control import log as control_log
from pimentowalk.control import members as control_members
from pimentowalk.control import peer as control_peer
from pimentowalk.control import receiver as control_receiver
from pimentowalk.control import rules as control_rules
from pimentowalk.control import snapshot as control_snapshot
from pimentowalk.core import errors
from pimentowalk.core import identifiers
from pimentowalk.core import tasks
from pimentowalk.core import timers as core_timers
from pimentowalk.wire import connection
from pimentowalk.wire import messages

LOG = logging.getLogger(__name__)

# A record must fit into one wire frame of 1 MiB, with the frame around it.
MAX_COMMAND_BYTES = 768 << 10
SNAPSHOT_EVERY_RECORDS = 4096
KEPT_RECORDS = 1024
READ_TIMEOUT_S = 2.0


class Replica:
    """One voter or learner of the control cluster.

    `voters` come from the settings and are used only to create the cluster.
    `first_start` says that the folder of none of them was used before; then
    a majority of them creates it, see `founding`. Otherwise all of them are
    needed, see `bootstrap.Bootstrap`. The caller accepts connections and
    passes the frames of other replicas to `handle`. The state machine has
    `apply(index, command, time_s) -> result`, `snapshot() -> bytes` and
    `restore(bytes)`.
    """

    # The frame bodies that the caller passes to `handle`.
    FRAMES = control_receiver.FRAMES

    def __init__(
        self,
        node_id,
        folder,
        voters,
        state_machine,
        timers,
        *,
        first_start=False,
        zone='',
        log=None,
        dial=None,
        timing=None,
        rules=None,
        random=None,
        clock=time.time,
        snapshot_every=SNAPSHOT_EVERY_RECORDS,
        kept_records=KEPT_RECORDS,
    ):
        self._hello = messages.Hello(
            node_id, 'control', identifiers.new_incarnation(), zone
        )
        self._dial = dial or self._dial_peer
        self._clock = clock
        self._last_timestamp_s = 0.0
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
        self._first_vote = None
        if first_start:
            self._first_vote = founding.founding_vote(node_id, voters)
            voters = []
        self._create_components(voters, random or random_module.Random())
        self._peers = {}
        self._tasks = []
        self._running = False

    def _create_components(self, voters, random):
        self._consensus.on_members_changed = self._update_peers
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
        """Return whether this replica leads and its lease has not ended."""
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
        """Return the members as a list of `members.Member`."""
        return list(self._consensus.members.members)

    async def wait_role_change(self):
        """Wait until the known leader or this replica's role changes."""
        await self._consensus.role_changed.wait()

    async def wait_applied_change(self):
        """Wait until further records have been applied."""
        await self._applier.wait_applied_change()

    async def start(self):
        """Load the data folder and start the tasks; raise DamagedData."""
        log = self._log
        snapshot = await log.run_file_operation(control_snapshot.load)
        if snapshot is None:
            await log.open(first_vote=self._first_vote)
            await founding.complete(log)
        else:
            await log.open(snapshot.last_index, snapshot.last_term)
        self._running = True
        if snapshot is None:
            self._consensus.load_members(0, control_members.MemberSet())
        self._applier.load(snapshot)
        self._consensus.last_contact_s = self._consensus.timers.now_s()
        for coroutine in (
            self._elections.run(),
            self._applier.run(),
            self._applier.run_snapshots(),
            self._sync_loop(),
            self._bootstrap.run(),
        ):
            task = asyncio.ensure_future(coroutine)
            task.add_done_callback(self._report_task_failure)
            self._tasks.append(task)

    def _report_task_failure(self, task):
        # If one of its tasks has failed, a replica would appear to run but
        # do nothing, or answer from a state that is no longer updated.
        if not task.cancelled() and task.exception() is not None:
            self._log.on_fatal(task.exception())

    async def stop(self):
        """Transfer leadership if another voter can take it, and stop."""
        with contextlib.suppress(errors.PimentowalkError):
            await self.transfer_leadership()
        await self.abort()

    async def abort(self):
        """Stop without a transfer of leadership."""
        self._running = False
        self._consensus.become_follower()
        self._update_peers()
        await core_timers.cancel_all(self._tasks)
        self._applier.fail_waiters('the replica stopped')
        await self._log.close()

    async def handle(self, connection, envelope):
        """Answer a frame from another replica."""
        if not self._running:
            raise errors.PimentowalkError('stopped', code='draining')
        await self._receiver.handle(connection, envelope)

    def _update_peers(self):
        """Start and cancel peer tasks to match the current members."""
        wanted_members = {}
        if self._running:
            for member in self._consensus.members.members:
                wanted_members[(member.node_id, member.identity)] = member
            wanted_members.pop((self.node_id, self.identity), None)
        for key in self._peers.keys() - wanted_members.keys():
            _, task = self._peers.pop(key)
            self._consensus.progress.pop(key)
            task.cancel()
        for key in wanted_members.keys() - self._peers.keys():
            self._start_peer(key, wanted_members[key])

    def _start_peer(self, key, member):
        peer = control_peer.Peer(
            member,
            self._consensus,
            self._dial,
            lambda: self._applier.snapshot,
        )
        self._consensus.progress[key] = peer.progress
        task = tasks.start(
            peer.run, self._consensus.timers, 'peer', peer=member.node_id
        )
        self._peers[key] = (peer, task)

    async def _sync_loop(self):
        # Records proposed during a sync are all written by the next one.
        while True:
            await self._consensus.sync_requested.wait()
            self._consensus.sync_requested.clear()
            await self._log.sync()
            self._consensus.advance_commit()

    def _require_leadership(self, step):
        """Raise NotLeader or NoQuorum unless the lease is held."""
        consensus = self._consensus
        if consensus.role != control_consensus.LEADER or (
            consensus.transferring
        ):
            leader_id = consensus.leader_id
            raise errors.NotLeader(
                f'{self.node_id} is not the leader',
                step=step,
                peer='' if leader_id == self.node_id else leader_id,
            )
        if not consensus.holds_lease():
            raise errors.NoQuorum(
                'no majority of the voters answers', step=step
            )

    async def propose(self, command, timeout_s):
        """Return the result of a command once it is committed and applied.

        NotLeader (`peer` is the leader's id) and NoQuorum guarantee that the
        command was not and will not be applied. OutcomeUnknown does not.
        An error raised by the state machine is raised here. A result is
        returned even if leadership was lost meanwhile, since a committed
        record stays committed.
        """
        if len(command) > MAX_COMMAND_BYTES:
            raise errors.PimentowalkError(
                f'a command of {len(command)} bytes exceeds the limit of '
                f'{MAX_COMMAND_BYTES} bytes',
                code='too_large',
                step='propose',
            )
        self._require_leadership('propose')
        self._last_timestamp_s = max(
            self._last_timestamp_s, self._applier.last_time_s, self._clock()
        )
        content = control_applier.encode_command(
            command, self._last_timestamp_s
        )
        return await self._append_and_wait(
            control_consensus.COMMAND, content, timeout_s
        )

    async def _append_and_wait(self, kind, content, timeout_s):
        record = self._consensus.append_as_leader(kind, content)
        return await self._await_result(
            self._applier.result_future(record), timeout_s
        )

    async def _await_result(self, future, timeout_s):
        timers = self._consensus.timers
        timeout = timers.after(timeout_s, lambda: _set_outcome_unknown(future))
        try:
            return await future
        finally:
            timeout.cancel()

    async def read_barrier(self, timeout_s=READ_TIMEOUT_S):
        """Return once local reads reflect every change acknowledged so far.

        Raises NotLeader or NoQuorum. The lease is checked again at the end,
        because this process may have been suspended in between.
        """
        self._require_leadership('read')
        consensus = self._consensus
        term = consensus.term
        # A new leader does not know the commit index until a record of its
        # own term is committed.
        while consensus.log.term_at(consensus.commit_index) != term:
            await self._await_or_no_quorum(
                consensus.commit_advanced.wait(), timeout_s
            )
            self._require_leadership('read')
        index = consensus.commit_index
        await self._await_or_no_quorum(
            self._applier.wait_applied(index), timeout_s
        )
        self._require_leadership('read')
        if consensus.term != term:
            raise errors.NoQuorum(
                f'the term changed from {term} to {consensus.term}',
                step='read',
            )

    async def _await_or_no_quorum(self, awaitable, timeout_s):
        task = asyncio.ensure_future(awaitable)
        timeout = self._consensus.timers.after(timeout_s, task.cancel)
        try:
            await asyncio.wait([task])
            if task.cancelled():
                raise errors.NoQuorum(
                    f'not committed and applied within {timeout_s} s',
                    step='read',
                )
        finally:
            task.cancel()
            timeout.cancel()

    async def transfer_leadership(self):
        """Transfer leadership to the most up-to-date voter.

        Raises NotLeader, or NoQuorum if no voter took over. Afterwards this
        replica is a follower, unless it is the only voter.
        """
        self._require_leadership('transfer')
        peers = [peer for peer, _ in self._peers.values()]
        await handover.transfer_leadership(self._consensus, peers)

    async def change_members(self, action, instance, timeout_s):
        """Add, promote or remove a member; return the new members.

        Raises Conflict if the change is refused: only one change may be
        uncommitted, and a learner is promoted only once it has caught up.
        """
        self._require_leadership('change members')
        learner = None
        if action == control_members.ADD_LEARNER:
            learner = await changes.find_learner(
                self._consensus, self._dial, instance
            )
            self._require_leadership('change members')
        changed = changes.changed_members(
            self._consensus, action, instance.instance_id, learner
        )
        await self._append_and_wait(
            control_consensus.MEMBERS, changed.encode(), timeout_s
        )
        return list(changed.members)


def _set_outcome_unknown(future):
    if not future.done():
        future.set_exception(
            errors.OutcomeUnknown('not committed in time', step='propose')
        )
