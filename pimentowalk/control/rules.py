"""Consensus rules of the replicated log, as pure functions.

The replica and the specification in specs/ call the same functions, so that
the model checker explores the code that the replica runs.
"""

import attrs


def quorum(voter_count):
    """Return the number of voters that form a majority.

    >>> [quorum(count) for count in (1, 2, 3, 4, 5)]
    [1, 2, 2, 3, 3]
    """
    return voter_count // 2 + 1


@attrs.frozen
class Ballot:
    """The contents of a vote request.

    `voter_identity` is the voter's identity under which the candidate
    counts the vote.
    """

    term: int
    candidate: str
    last_term: int
    last_index: int
    voter_identity: str


def grants_vote(ballot, term, voted_for, last_term, last_index, identity):
    """Return whether a replica in this state votes for the candidate.

    A replica that lost its disk has a new identity. It no longer has the
    votes and entries that it acknowledged under the old one, so it must not
    vote in the name of the old identity.
    """
    if ballot.voter_identity != identity:
        return False
    if ballot.term < term:
        return False
    if ballot.term == term and voted_for not in ('', ballot.candidate):
        return False
    return (ballot.last_term, ballot.last_index) >= (last_term, last_index)


def accepts_append(previous_term, own_term_at_previous):
    """Return whether records may follow the previous position.

    `own_term_at_previous` is None if the local log has no entry there.
    """
    return own_term_at_previous == previous_term


def first_missing(records, own_term_at):
    """Return the offset of the first record missing from the local log.

    `own_term_at(index)` returns None for an index past the end. An entry
    with another term conflicts and counts as missing.
    """
    for offset, record in enumerate(records):
        if own_term_at(record.index) != record.term:
            return offset
    return len(records)


def committed_index(match_indexes, commit_index, term, term_at):
    """Return the commit index of a leader.

    `match_indexes` has the synced index of each voter. Only entries of the
    leader's own term are committed by counting replicas: an entry of an
    older term may be on a majority and still be overwritten by a later
    leader.
    """
    if not match_indexes:
        return commit_index
    ranked = sorted(match_indexes, reverse=True)
    index = ranked[quorum(len(ranked)) - 1]
    if index > commit_index and term_at(index) == term:
        return index
    return commit_index


def lease_end_s(sent_s, lease_s):
    """Return when the lease ends under which a leader serves reads locally.

    `sent_s` has, for each voter, the send time of the last append that it
    accepted. No other leader can be elected until a majority has received
    nothing for the election timeout, which is longer than the lease.
    """
    if not sent_s:
        return float('-inf')
    ranked = sorted(sent_s, reverse=True)
    return ranked[quorum(len(ranked)) - 1] + lease_s


def holds_lease(now_s, end_s):
    """Return whether the lease of a leader is still valid."""
    return now_s < end_s


def may_change_members(members_index, commit_index, commit_term, term):
    """Return whether a leader may propose another membership change.

    Two concurrent changes could lead to majorities without a common voter.
    A leader that has not committed an entry of its own term must wait too,
    because an earlier change may be uncommitted.
    """
    return members_index <= commit_index and commit_term == term


@attrs.frozen
class Rules:
    """The rules that a replica uses; tests replace one to inject a fault."""

    grants_vote: object = grants_vote
    accepts_append: object = accepts_append
    first_missing: object = first_missing
    committed_index: object = committed_index
    lease_end_s: object = lease_end_s
    holds_lease: object = holds_lease
    may_change_members: object = may_change_members
