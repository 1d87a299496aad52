"""Remove work from a queue that will not be admitted."""


def pop_expired(queue, now_s):
    """Remove work that waited too long; yield its key and an error code."""
    for work in queue.expire(now_s):
        yield work.key, 'deadline' if work.due_s <= now_s else 'overloaded'


def pop_all(queue):
    """Remove all waiting work; yield the key of each after its removal."""
    for key in list(queue.waiting):
        queue.remove(key)
        yield key
