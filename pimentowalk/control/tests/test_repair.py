"""Guard the changes of members that control makes by itself."""

import pytest

from pimentowalk.control import members
from pimentowalk.control import repair


def _member(name, *, voter=True, identity=None):
    return members.Member(name, identity or f'disk-{name}', '', 0, '', voter)


def _candidate(name, identity=None):
    return repair.AvailableInstance(
        name, identity or f'disk-{name}', '10.0.0.1', 7
    )


def _step(found, candidates, *, silent=(), target=3):
    def silent_s(member):
        return 60.0 if member.node_id in silent else 0.0

    step = repair.next_change(found, candidates, silent_s, target)
    return step and (step.action, step.node_id)


THREE = [_member('a'), _member('b'), _member('c')]
ALL = [_candidate('a'), _candidate('b'), _candidate('c')]


def test_complete_cluster_is_left_alone():
    """A change of members without need risks the quorum."""
    assert _step(THREE, ALL) is None


def test_lost_disk_is_added_again_as_a_learner():
    """Its former vote is void, as it forgot what it had acknowledged."""
    found = [*ALL[:2], _candidate('c', 'fresh')]
    assert _step(THREE, found) == (members.ADD_LEARNER, 'c')


def test_learner_gets_a_missing_vote():
    """Two voters bear no loss."""
    found = [*THREE[:2], _member('c', voter=False)]
    assert _step(found, ALL) == (members.PROMOTE, 'c')


def test_silent_learner_gets_no_vote():
    """A vote that nobody uses makes the quorum harder to reach."""
    found = [*THREE[:2], _member('c', voter=False)]
    assert _step(found, ALL[:2]) is None


def test_replacement_votes_before_the_lost_voter_goes():
    """The number of voters must not fall below the target meanwhile."""
    found = [*THREE, _member('d', voter=False)]
    candidates = [*ALL[:2], _candidate('d')]
    assert _step(found, candidates, silent='c') == (members.PROMOTE, 'd')


def test_lost_voter_goes_once_it_is_replaced():
    """Four voters, one of them lost, bear one loss less."""
    found = [*THREE, _member('d')]
    candidates = [*ALL[:2], _candidate('d')]
    assert _step(found, candidates, silent='c') == (members.REMOVE, 'c')


def test_lost_voter_without_replacement_keeps_its_vote():
    """It may come back with its disk."""
    assert _step(THREE, ALL[:2], silent='c') is None


def test_more_voters_are_made_for_a_higher_tolerance():
    """Five voters are needed to bear two losses."""
    found = [*THREE, _member('d', voter=False)]
    candidates = [*ALL, _candidate('d')]
    assert _step(found, candidates, target=5) == (members.PROMOTE, 'd')


@pytest.mark.parametrize('count', [repair.MAX_MEMBERS])
def test_full_cluster_drops_a_lost_learner_first(count):
    """Eight instances at most are set aside for control."""
    found = [*THREE]
    found += [_member(f'x{n}', voter=False) for n in range(count - 3)]
    candidates = [*ALL, _candidate('new')]
    assert _step(found, candidates) is None
    step = _step(found, candidates, silent=('x0',))
    assert step == (members.REMOVE, 'x0')
