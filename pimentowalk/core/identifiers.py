"""Identifiers of requests, processes and changes, and a stable hash."""

import secrets
import uuid

import xxhash


def new_request_id():
    """Return a random 128-bit request id."""
    return secrets.token_bytes(16)


def new_incarnation():
    """Return a random non-zero 63-bit number that identifies a process run."""
    return secrets.randbits(63) | 1


def new_change_id():
    """Return a unique id for one operator change."""
    return uuid.uuid4().hex


def hash64(*parts):
    """Return a 64-bit hash of a sequence of strings and bytes.

    >>> hash64('entry-1', 'agent-2') == hash64('entry-1', 'agent-2')
    True
    """
    digest = xxhash.xxh3_64()
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        digest.update(len(data).to_bytes(4, 'big'))
        digest.update(data)
    return digest.intdigest()
