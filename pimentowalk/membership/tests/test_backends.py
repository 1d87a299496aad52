"""Guard what is known of backend servers that announce themselves."""

import attrs
import pytest

from pimentowalk.membership import backends as membership
from pimentowalk.topology import backends

PERIOD_S = 1.2
FIRST = backends.Backend('i-1', 100, 5, 'svc', '10.0.0.1', 80, 'z1')


class Clock:
    """A clock that moves by hand."""

    def __init__(self):
        self.now_s = 0.0

    def __call__(self):
        return self.now_s


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def table(clock):
    table = membership.BackendTable(clock, PERIOD_S)
    table.apply(FIRST)
    return table


def _ids(table):
    return [b.server_id for b in table.usable('svc')]


def test_late_announcement_is_ignored(table):
    """A delayed announcement must not bring back an older state."""
    table.apply(attrs.evolve(FIRST, sequence=7, state=backends.DRAINING))
    assert not table.apply(attrs.evolve(FIRST, sequence=6))
    assert _ids(table) == []


def test_new_incarnation_under_the_same_id_replaces_the_old(table):
    """Its sequence starts anew, and it holds nothing of before."""
    table.apply(attrs.evolve(FIRST, first_layer=0, end_layer=8, sequence=9))
    table.apply(attrs.evolve(FIRST, born_ms=200, sequence=0))
    assert table.get('i-1').layer_count == 0


def test_removed_server_is_not_brought_back(table):
    """An announcement that was sent before the removal may arrive late."""
    table.apply(attrs.evolve(FIRST, state=backends.GONE))
    assert not table.apply(attrs.evolve(FIRST, sequence=9))
    assert _ids(table) == []


def test_reused_address_forgets_the_former_server(table):
    """A request for the former server would reach another service."""
    other = attrs.evolve(FIRST, server_id='i-2', born_ms=300, service='b')
    table.apply(other)
    assert _ids(table) == []
    assert table.at_address('10.0.0.1:80').server_id == 'i-2'


def test_late_announcement_of_a_former_owner_is_ignored(table):
    """Its address belongs to another server by now."""
    table.apply(attrs.evolve(FIRST, server_id='i-2', born_ms=300))
    table.apply(attrs.evolve(FIRST, sequence=9))
    assert _ids(table) == ['i-2']


def test_silent_server_is_removed(table, clock):
    """A server that crashed announces nothing."""
    clock.now_s = membership.MISSED_PERIODS * PERIOD_S + 0.1
    table.apply(attrs.evolve(FIRST, server_id='i-2', host='10.0.0.2'))
    table.expire()
    assert _ids(table) == ['i-2']


def test_view_survives_a_suspension_of_this_node(table, clock):
    """A node that wakes up hears of nobody, but they are not lost."""
    clock.now_s = 60.0
    table.expire()
    assert _ids(table) == ['i-1']


def test_suspect_is_left_out_until_it_is_heard_again(table, clock):
    """An announcement from before the failure does not clear it."""
    assert table.suspect('i-1', 100, 'refused')
    table.apply(attrs.evolve(FIRST, sequence=6))
    assert _ids(table) == []
    clock.now_s = membership.SUSPECT_LEAST_S
    table.apply(attrs.evolve(FIRST, sequence=7))
    assert _ids(table) == ['i-1']


def test_suspicion_of_a_former_incarnation_is_ignored(table):
    """The failed one is gone; its successor works."""
    table.apply(attrs.evolve(FIRST, born_ms=200, sequence=0))
    assert not table.suspect('i-1', 100, 'refused')
    assert _ids(table) == ['i-1']


def test_change_of_use_is_told_apart_from_a_repeat():
    """Repeats are passed on in batches, changes at once."""
    repeat = attrs.evolve(FIRST, sequence=6)
    change = attrs.evolve(repeat, state=backends.DRAINING)
    assert membership.is_same_use(FIRST, repeat)
    assert not membership.is_same_use(FIRST, change)
    assert not membership.is_same_use(None, FIRST)


def test_silent_server_is_asked_before_it_is_removed(table, clock):
    """A cut between control instances hides announcements of servers that
    work; removing them moved layers and broke streams.
    """
    clock.now_s = table.silence_s + 0.1
    table.apply(attrs.evolve(FIRST, server_id='i-2', port=81))
    asked = []
    table.expire(asked.append)
    assert [b.server_id for b in asked] == ['i-1']
    assert sorted(_ids(table)) == ['i-1', 'i-2']
    table.confirm(FIRST)
    asked.clear()
    table.expire(asked.append)
    assert asked == []


def test_silent_server_that_does_not_answer_is_removed(table, clock):
    """A server that crashed sends nothing and must not be used for ever."""
    table.drop(attrs.evolve(FIRST, born_ms=99))
    assert _ids(table) == ['i-1']
    table.drop(FIRST)
    assert _ids(table) == []


def test_leaving_server_that_falls_silent_is_removed_unasked(table, clock):
    """A server that leaves ends without another word."""
    table.apply(attrs.evolve(FIRST, sequence=6, state=backends.DRAINING))
    clock.now_s = table.silence_s + 0.1
    table.apply(attrs.evolve(FIRST, server_id='i-2', port=81))
    table.expire(pytest.fail)
    assert table.get('i-1') is None


def test_server_that_is_not_known_any_more_has_not_failed(table):
    """Streams through a server that leaves or falls silent go on."""
    assert not table.has_failed(attrs.evolve(FIRST, server_id='i-9'))
    table.apply(attrs.evolve(FIRST, sequence=6, state=backends.GONE))
    assert not table.has_failed(FIRST)


@pytest.mark.parametrize('how', ['suspect', 'replaced'])
def test_server_that_crashed_has_failed(table, how):
    """Streams through a crashed server must go on elsewhere."""
    if how == 'suspect':
        table.suspect('i-1', 100, 'refused')
    else:
        table.apply(attrs.evolve(FIRST, born_ms=200, sequence=0))
    assert table.has_failed(FIRST)
