"""Guard the order in which streams that wait for room begin."""

import asyncio

import pytest

from pimentowalk.admission import room
from pimentowalk.core import timers as core_timers


@pytest.fixture
async def timers():
    """Return timers whose time is moved by hand."""
    return core_timers.ManualTimerService()


@pytest.fixture
async def queue(timers):
    """Return an empty queue."""
    return room.AdmissionQueue(timers)


class Places:
    """Some places, each of which one stream takes."""

    def __init__(self):
        self.free = 0

    def find(self, name):
        """Return a function that takes a place for a name."""

        def take():
            if not self.free:
                return None
            self.free -= 1
            return name

        return take


async def begin(queue, places, waiting, due_s=20.0):
    """Let streams of (name, priority) wait; return their tasks."""
    tasks = [
        asyncio.ensure_future(
            queue.wait(places.find(name), priority, due_s=due_s, until_s=30.0)
        )
        for name, priority in waiting
    ]
    await asyncio.sleep(0)
    return tasks


async def test_urgent_streams_go_first_then_the_oldest(timers, queue):
    """A crest must not let late streams overtake, nor less urgent ones."""
    places = Places()
    names = [('late', 2), ('a', 1), ('urgent', 0), ('b', 1)]
    tasks = await begin(queue, places, names)
    order = []
    for task in tasks:
        task.add_done_callback(lambda done: order.append(done.result()))
    for _ in names:
        places.free += 1
        await timers.advance(2 * room.POLL_S)
    assert order == ['urgent', 'a', 'b', 'late']


async def test_streams_begin_one_by_one(timers, queue):
    """Other nodes learn late of what begins here, so that all at once would
    fill the servers again.
    """
    places = Places()
    places.free = 10
    tasks = await begin(queue, places, [(f's{n}', 1) for n in range(4)])
    await timers.advance(1.5 * room.POLL_S)
    assert sum(task.done() for task in tasks) == 1
    await timers.advance(4 * room.POLL_S)
    assert all(task.done() for task in tasks)


async def test_late_streams_let_the_others_go_first(timers, queue):
    """Pattern: a crest lasts for seconds. Served in order, every stream
    waits longer than its objective; only the refused ones must be late.
    """
    places = Places()
    late = await begin(queue, places, [('late', 1)], due_s=0.1)
    await timers.advance(0.2)
    assert not queue.must_wait(1)
    new = await begin(queue, places, [('new', 1)])
    assert queue.must_wait(1)
    places.free = 1
    await timers.advance(2 * room.POLL_S)
    assert new[0].done()
    assert not late[0].done()
    places.free = 1
    await timers.advance(2 * room.POLL_S)
    assert late[0].result() == 'late'


async def test_new_stream_waits_behind_others_of_its_rank(timers, queue):
    """Room that opens belongs to those that wait."""
    tasks = await begin(queue, Places(), [('a', 1)])
    assert queue.must_wait(1)
    assert queue.must_wait(2)
    assert not queue.must_wait(0)
    tasks[0].cancel()
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert not queue.must_wait(1)


async def test_stream_is_told_in_time_that_there_is_no_room():
    """A caller that waits too long leaves and cannot be told when to return.

    This queue runs on real time, since its limit is an asyncio timeout.
    """
    timers = core_timers.TimerService()
    queue = room.AdmissionQueue(timers)
    until_s = timers.now_s() + 0.1
    times = {'due_s': until_s, 'until_s': until_s}
    assert await queue.wait(lambda: None, 1, **times) is None
    assert len(queue) == 0
    assert await queue.wait(lambda: 'late', 1, **times) is None


async def test_first_stream_without_a_path_does_not_hold_others_back(
    timers, queue
):
    """Pattern: a stream that has begun avoids the only server with room."""
    places = Places()
    stuck = await begin(queue, Places(), [('stuck', -1)])
    others = await begin(queue, places, [('a', 1)])
    places.free = 1
    await timers.advance(2 * room.POLL_S)
    assert others[0].done()
    assert not stuck[0].done()
