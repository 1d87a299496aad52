"""Planned transfer of leadership."""

import contextlib
import logging

from pimentowalk.core import errors
from pimentowalk.core import logs
from pimentowalk.wire import messages

LOG = logging.getLogger(__name__)


async def hand_over(consensus, peers):
    """Ask the voter that is furthest along to lead; raise NoQuorum."""
    voters = [
        peer
        for peer in peers
        if peer.progress.match_index
        and consensus.members.is_voter(
            peer.member.node_id, peer.member.identity
        )
    ]
    if not voters:
        raise errors.NoQuorum('no voter to hand over to', step='transfer')
    # No answer is given as leader from here on, and never again in this
    # term: the next leader is elected before the lease ends.
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
    until_s = timers.now_s() + consensus.timing.election_s
    asked = False
    while consensus.is_leading(term) and timers.now_s() < until_s:
        caught_up = target.progress.match_index == consensus.log.last_index
        if caught_up and not asked:
            asked = True
            await _ask_to_lead(consensus, target, term)
        await timers.sleep(consensus.timing.heartbeat_s / 4)
    if consensus.is_leading(term):
        raise errors.NoQuorum('nobody took over', step='transfer')
    LOG.info('handed over', extra=logs.fields(step='transfer'))


async def _ask_to_lead(consensus, target, term):
    request = messages.TimeoutNow(
        term, consensus.cluster_id, target.member.identity
    )
    with contextlib.suppress(errors.PimentowalkError, TimeoutError):
        await target.call(request)
