"""Keep enough voters: add, promote and remove members without operators."""

import logging

import attrs

from pimentowalk.control import members as control_members
from pimentowalk.core import errors
from pimentowalk.core import logs
from pimentowalk.topology import instances

LOG = logging.getLogger(__name__)

PERIOD_S = 0.25
CHANGE_TIMEOUT_S = 3.0
# A voter that is silent this long gives its vote to a learner that has
# caught up. A restart takes about a second and must not cost the vote.
VOTER_SILENT_S = 3.0
LEARNER_SILENT_S = 20.0
MAX_MEMBERS = 8


@attrs.frozen
class AvailableInstance:
    """An instance with a disk that was heard lately."""

    node_id: str
    identity: str
    host: str
    port: int


@attrs.frozen
class Step:
    """One change of members."""

    action: str
    node_id: str
    reason: str


def next_step(members, candidates, silent_s, target_voters):
    """Return the next change of members, or None.

    `silent_s(member)` tells how long a member was not heard. A lost disk
    is replaced first. A silent voter goes only after a learner has its
    vote, so that the number of voters never falls below the target.
    """
    by_node = {m.node_id: m for m in members}
    for one in candidates:
        known = by_node.get(one.node_id)
        if known is not None and known.identity != one.identity:
            return Step(
                control_members.ADD_LEARNER, one.node_id, 'the disk is new'
            )
    heard = {(one.node_id, one.identity) for one in candidates}
    voters = [m for m in members if m.voter]
    learners = [
        m for m in members if not m.voter and (m.node_id, m.identity) in heard
    ]
    lost = [m for m in voters if silent_s(m) > VOTER_SILENT_S]
    if len(voters) > target_voters and lost:
        return Step(control_members.REMOVE, lost[0].node_id, 'a silent voter')
    needed = len(voters) < target_voters or (
        len(voters) == target_voters and lost
    )
    if needed and learners:
        return Step(
            control_members.PROMOTE, learners[0].node_id, 'votes are missing'
        )
    return _admit(members, by_node, candidates, silent_s)


def _admit(members, by_node, candidates, silent_s):
    """Return the change that admits a new instance, or None."""
    new = [one for one in candidates if one.node_id not in by_node]
    if not new:
        return None
    if len(members) < MAX_MEMBERS:
        return Step(
            control_members.ADD_LEARNER, new[0].node_id, 'a new instance'
        )
    for member in members:
        if not member.voter and silent_s(member) > LEARNER_SILENT_S:
            return Step(
                control_members.REMOVE, member.node_id, 'a silent learner'
            )
    return None


class Repair:
    """Carry out the steps at the leader.

    `candidates()` returns the instances with a disk that are connected.
    """

    def __init__(self, replica, candidates, timers, target_voters):
        self._replica = replica
        self._candidates = candidates
        self._timers = timers
        self._target = target_voters
        self._heard_s = {}
        self._led_term = 0

    async def run(self):
        """Check until cancelled."""
        while True:
            await self._timers.sleep(PERIOD_S)
            if self._replica.is_leader:
                await self._check()

    async def _check(self):
        now_s = self._timers.now_s()
        if self._led_term != self._replica.term:
            # What was heard before another led says nothing now.
            self._led_term = self._replica.term
            self._heard_s = {}
        candidates = self._candidates()
        for one in candidates:
            self._heard_s[one.node_id] = now_s
        for member in self._replica.members():
            self._heard_s.setdefault(member.node_id, now_s)
        self._heard_s[self._replica.node_id] = now_s
        step = next_step(
            self._replica.members(),
            candidates,
            lambda m: now_s - self._heard_s[m.node_id],
            self._target,
        )
        if step is not None:
            await self._take(step, candidates)

    async def _take(self, step, candidates):
        found = {one.node_id: one for one in candidates}.get(step.node_id)
        instance = instances.Instance(
            step.node_id,
            found.host if found else '',
            found.port if found else 0,
        )
        fields = logs.fields(
            step='repair',
            peer=step.node_id,
            action=step.action,
            reason=step.reason,
        )
        try:
            await self._replica.change_members(
                step.action, instance, CHANGE_TIMEOUT_S
            )
        except (errors.PimentowalkError, TimeoutError) as error:
            LOG.info('change of members refused: %s', error, extra=fields)
        else:
            LOG.info('members changed', extra=fields)
