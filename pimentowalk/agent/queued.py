"""Take work out of a queue that will not be admitted."""


def expired(queue, now_s):
    """Yield the key of each request that waited too long, and the code."""
    for work in queue.expire(now_s):
        yield work.key, 'deadline' if work.due_s <= now_s else 'overloaded'


def emptied(queue):
    """Yield the keys of all that waits, each once it is removed."""
    for key in list(queue.waiting):
        queue.remove(key)
        yield key
