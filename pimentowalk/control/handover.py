"""Planned transfer of leadership."""

import contextlib
import logging

from pimentowalk.core import errors
from pimentowalk.core import logs
from pimentowalk.wire import messages

LOG = logging.getLogger(__name__)


async def transfer_leadership(consensus, peers):
    """Transfer leadership to the most up-to-date voter; raise NoQuorum."""
    voters = [
        peer
        for peer in peers
        if peer.progress.match_index
        and consensus.members.is_voter(
            peer.member.node_id, peer.member.identity
        )
    ]
    if not voters:
        raise errors.NoQuorum(
            'no voter can take over the leadership', step='transfer'
        )
    # From here on this replica must not answer as leader in this term,
    # because the next leader may be elected before the lease ends.
    consensus.transferring = True
    term = consensus.term
    target = max(voters, key=lambda peer: peer.progress.match_index)
    try:
        await _wait_for_successor(consensus, target, term)
    finally:
        if consensus.is_leading(term):
            consensus.become_follower()


async def _wait_for_successor(consensus, target, term):
    timers = consensus.timers
    deadline_s = timers.now_s() + consensus.timing.election_timeout_s
    is_requested = False
    while consensus.is_leading(term) and timers.now_s() < deadline_s:
        caught_up = target.progress.match_index == consensus.log.last_index
        if caught_up and not is_requested:
            is_requested = True
            await _send_timeout_now(consensus, target, term)
        await timers.sleep(consensus.timing.heartbeat_s / 4)
    if consensus.is_leading(term):
        raise errors.NoQuorum(
            f'{target.member.node_id} did not take over the leadership',
            step='transfer',
        )
    LOG.info('leadership transferred', extra=logs.fields(step='transfer'))


async def _send_timeout_now(consensus, target, term):
    request = messages.TimeoutNow(
        term, consensus.cluster_id, target.member.identity
    )
    with contextlib.suppress(errors.PimentowalkError, TimeoutError):
        await target.call(request)
