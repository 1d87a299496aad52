"""Decision rules of the replicated log, as pure functions.

The replica and the specification in specs/ both decide by these rules, so
that what the specification explores is what the replica runs.
"""

import attrs


def quorum(voter_count):
    """Return how many voters are a majority.

    >>> [quorum(count) for count in (1, 2, 3, 4, 5)]
    [1, 2, 2, 3, 3]
    """
    return voter_count // 2 + 1


@attrs.frozen
class Ballot:
    """What decides a vote: term, last log position, and who is asked.

    `voter_identity` is the identity under which the candidate will count
    the vote.
    """

    term: int
    candidate: str
    last_term: int
    last_index: int
    voter_identity: str


def grants_vote(ballot, term, voted_for, last_term, last_index, identity):
    """Return whether a replica in this state votes for the candidate.

    A replica that lost its disk has a new identity, and with it neither the
    votes nor the entries that the old identity answered for; it must not
    vote in its place.
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

    `own_term_at_previous` is None where the own log has no such entry.
    """
    return own_term_at_previous == previous_term


def first_missing(records, own_term_at):
    """Return the offset of the first record that the own log lacks.

    `own_term_at(index)` returns None for an index past the end. An entry
    with another term conflicts and counts as lacking.
    """
    for offset, record in enumerate(records):
        if own_term_at(record.index) != record.term:
            return offset
    return len(records)


def committed_index(match_indexes, commit_index, term, term_at):
    """Return the commit index of a leader.

    `match_indexes` has one synced index for each voter. Only an entry of
    the leader's own term commits by counting: an entry of an older term may
    be on a majority and still be replaced by a later leader.
    """
    if not match_indexes:
        return commit_index
    ranked = sorted(match_indexes, reverse=True)
    index = ranked[quorum(len(ranked)) - 1]
    if index > commit_index and term_at(index) == term:
        return index
    return commit_index


def lease_end_s(sent_s, lease_s):
    """Return until when a leader may answer without another round.

    `sent_s` has, for each voter, when the latest append that it accepted
    was sent. No other leader can be elected before a majority has been
    silent for the election timeout, which is longer than the lease.
    """
    if not sent_s:
        return float('-inf')
    ranked = sorted(sent_s, reverse=True)
    return ranked[quorum(len(ranked)) - 1] + lease_s


def holds_lease(now_s, end_s):
    """Return whether the lease of a leader still runs."""
    return now_s < end_s


def may_change_members(members_index, commit_index, commit_term, term):
    """Return whether a leader may propose another change of members.

    Two changes at once could give majorities that share no voter. The same
    holds where a leader has not yet committed an entry of its own term, for
    it may not know of an earlier change.
    """
    return members_index <= commit_index and commit_term == term


@attrs.frozen
class Rules:
    """The rules that a replica uses; tests replace one to seed a fault."""

    grants_vote: object = grants_vote
    accepts_append: object = accepts_append
    first_missing: object = first_missing
    committed_index: object = committed_index
    lease_end_s: object = lease_end_s
    holds_lease: object = holds_lease
    may_change_members: object = may_change_members
