"""Test the membership changes that control makes automatically."""

import pytest

from pimentowalk.control import members
from pimentowalk.control import repair


def _member(node_id, *, voter=True, identity=None):
    return members.Member(
        node_id, identity or f'disk-{node_id}', '', 0, '', voter
    )


def _available(node_id, identity=None):
    return repair.AvailableInstance(
        node_id, identity or f'disk-{node_id}', '10.0.0.1', 7
    )


def _next_change(cluster_members, available, *, silent_ids=(), target=3):
    def silent_s(member):
        return 60.0 if member.node_id in silent_ids else 0.0

    change = repair.next_change(cluster_members, available, silent_s, target)
    return change and (change.action, change.node_id)


THREE_VOTERS = [_member('a'), _member('b'), _member('c')]
ALL_AVAILABLE = [_available('a'), _available('b'), _available('c')]


def test_complete_cluster_is_not_changed():
    """An unnecessary membership change puts the quorum at risk."""
    assert _next_change(THREE_VOTERS, ALL_AVAILABLE) is None


def test_instance_with_new_disk_is_added_as_a_learner():
    """Its old identity must not vote, as its acknowledged records are lost."""
    available = [*ALL_AVAILABLE[:2], _available('c', 'fresh')]
    assert _next_change(THREE_VOTERS, available) == (
        members.ADD_LEARNER,
        'c',
    )


def test_learner_is_promoted_if_a_voter_is_missing():
    """With two voters, the loss of one blocks commits."""
    cluster_members = [*THREE_VOTERS[:2], _member('c', voter=False)]
    assert _next_change(cluster_members, ALL_AVAILABLE) == (
        members.PROMOTE,
        'c',
    )


def test_silent_learner_is_not_promoted():
    """A voter that does not answer makes a quorum harder to reach."""
    cluster_members = [*THREE_VOTERS[:2], _member('c', voter=False)]
    assert _next_change(cluster_members, ALL_AVAILABLE[:2]) is None


def test_replacement_is_promoted_before_the_silent_voter_is_removed():
    """The number of voters must not fall below the target in between."""
    cluster_members = [*THREE_VOTERS, _member('d', voter=False)]
    available = [*ALL_AVAILABLE[:2], _available('d')]
    assert _next_change(cluster_members, available, silent_ids='c') == (
        members.PROMOTE,
        'd',
    )


def test_silent_voter_is_removed_after_its_replacement_is_promoted():
    """Four voters with one silent tolerate only one more failure."""
    cluster_members = [*THREE_VOTERS, _member('d')]
    available = [*ALL_AVAILABLE[:2], _available('d')]
    assert _next_change(cluster_members, available, silent_ids='c') == (
        members.REMOVE,
        'c',
    )


def test_silent_voter_without_replacement_is_kept():
    """It may come back with its disk intact."""
    assert (
        _next_change(THREE_VOTERS, ALL_AVAILABLE[:2], silent_ids='c') is None
    )


def test_learners_are_promoted_up_to_the_target():
    """Five voters are needed to tolerate two losses."""
    cluster_members = [*THREE_VOTERS, _member('d', voter=False)]
    available = [*ALL_AVAILABLE, _available('d')]
    assert _next_change(cluster_members, available, target=5) == (
        members.PROMOTE,
        'd',
    )


@pytest.mark.parametrize('member_count', [repair.MAX_MEMBERS])
def test_full_cluster_removes_a_silent_learner_first(member_count):
    """At most eight instances are members of control."""
    cluster_members = [*THREE_VOTERS]
    cluster_members += [
        _member(f'x{n}', voter=False) for n in range(member_count - 3)
    ]
    available = [*ALL_AVAILABLE, _available('new')]
    assert _next_change(cluster_members, available) is None
    change = _next_change(cluster_members, available, silent_ids=('x0',))
    assert change == (members.REMOVE, 'x0')
