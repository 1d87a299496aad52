"""Automatic membership changes that keep the number of voters."""

import logging

import attrs

from pimentowalk.control import members as control_members
from pimentowalk.core import errors
from pimentowalk.core import logs
from pimentowalk.topology import instances

LOG = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.25
CHANGE_TIMEOUT_S = 3.0
# After this time without contact, a voter is replaced by a learner that has
# caught up. A restart takes about a second and must not cause a replacement.
VOTER_SILENT_S = 3.0
LEARNER_SILENT_S = 20.0
MAX_MEMBERS = 8


@attrs.frozen
class AvailableInstance:
    """A connected instance that has a disk."""

    node_id: str
    identity: str
    host: str
    port: int


@attrs.frozen
class MemberChange:
    """One membership change, with the reason for the log."""

    action: str
    node_id: str
    reason: str


def next_change(members, available, silent_s, target_voters):
    """Return the next membership change, or None.

    `silent_s(member)` returns the time since the last contact with a
    member. An instance that lost its disk is added again first. A silent
    voter is removed only after a learner has been promoted in its place, so
    that the number of voters never falls below the target.
    """
    by_node = {m.node_id: m for m in members}
    for instance in available:
        member = by_node.get(instance.node_id)
        if member is not None and member.identity != instance.identity:
            return MemberChange(
                control_members.ADD_LEARNER,
                instance.node_id,
                'its data folder is new',
            )
    connected = {
        (instance.node_id, instance.identity) for instance in available
    }
    voters = [m for m in members if m.voter]
    learners = [
        m
        for m in members
        if not m.voter and (m.node_id, m.identity) in connected
    ]
    silent_voters = [m for m in voters if silent_s(m) > VOTER_SILENT_S]
    if len(voters) > target_voters and silent_voters:
        return MemberChange(
            control_members.REMOVE, silent_voters[0].node_id, 'a silent voter'
        )
    needs_promotion = len(voters) < target_voters or (
        len(voters) == target_voters and silent_voters
    )
    if needs_promotion and learners:
        return MemberChange(
            control_members.PROMOTE, learners[0].node_id, 'too few voters'
        )
    return _next_admission(members, by_node, available, silent_s)


def _next_admission(members, by_node, available, silent_s):
    """Return the next change towards adding a new instance, or None."""
    new_instances = [
        instance for instance in available if instance.node_id not in by_node
    ]
    if not new_instances:
        return None
    if len(members) < MAX_MEMBERS:
        return MemberChange(
            control_members.ADD_LEARNER,
            new_instances[0].node_id,
            'a new instance',
        )
    for member in members:
        if not member.voter and silent_s(member) > LEARNER_SILENT_S:
            return MemberChange(
                control_members.REMOVE, member.node_id, 'a silent learner'
            )
    return None


class Repair:
    """Apply membership changes at the leader, one at a time.

    `available()` returns the connected instances that have a disk.
    """

    def __init__(self, replica, available, timers, target_voters):
        self._replica = replica
        self._available = available
        self._timers = timers
        self._target_voters = target_voters
        self._last_contact_s = {}
        self._observed_term = 0

    async def run(self):
        """Check the members periodically until cancelled."""
        while True:
            await self._timers.sleep(CHECK_INTERVAL_S)
            if self._replica.is_leader:
                await self._check()

    async def _check(self):
        now_s = self._timers.now_s()
        if self._observed_term != self._replica.term:
            # Contact times from before another replica led are out of date.
            self._observed_term = self._replica.term
            self._last_contact_s = {}
        available = self._available()
        for instance in available:
            self._last_contact_s[instance.node_id] = now_s
        for member in self._replica.members():
            self._last_contact_s.setdefault(member.node_id, now_s)
        self._last_contact_s[self._replica.node_id] = now_s
        change = next_change(
            self._replica.members(),
            available,
            lambda m: now_s - self._last_contact_s[m.node_id],
            self._target_voters,
        )
        if change is not None:
            await self._apply(change, available)

    async def _apply(self, change, available):
        connected_instance = {
            instance.node_id: instance for instance in available
        }.get(change.node_id)
        instance = instances.Instance(
            change.node_id,
            connected_instance.host if connected_instance else '',
            connected_instance.port if connected_instance else 0,
        )
        fields = logs.fields(
            step='repair',
            peer=change.node_id,
            action=change.action,
            reason=change.reason,
        )
        try:
            await self._replica.change_members(
                change.action, instance, CHANGE_TIMEOUT_S
            )
        except (errors.PimentowalkError, TimeoutError) as error:
            LOG.info('membership change refused: %s', error, extra=fields)
        else:
            LOG.info('members changed', extra=fields)
