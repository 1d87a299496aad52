"""Sequences on one engine and the fencing records of their requests."""

import collections

import attrs

from pimentowalk.agent import rules

# A record must outlive all late frames of its request, which arrive within
# its deadline and retries. Entries may query a non-idempotent call for as long
# as its claim is kept.
RECORD_TTL_S = 600.0
CLAIM_RECORD_TTL_S = 25 * 3600.0


@attrs.define(eq=False)
class Sequence:
    """State of one attempt at one stage.

    `running_index` is the step that the engine is computing, or -1.
    `head_connection` is None where this agent is itself the head.
    """

    request_id: bytes
    attempt: int
    chain: list
    position: int
    next_index: int
    max_tokens: int
    account: str = ''
    fingerprint: int = 0
    isolate: bool = False
    head_connection: object = None
    priority: int = 0
    running_index: int = -1
    ranges: list = attrs.field(factory=list)
    lease_renewed_s: float = 0.0
    first_index: int = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.first_index = self.next_index

    @property
    def on_probation(self):
        """Return whether this is a suspect that is not yet cleared."""
        return rules.on_probation(
            self.isolate, self.first_index, self.next_index
        )

    @property
    def key(self):
        """Return the request id and the attempt."""
        return self.request_id, self.attempt

    @property
    def engine_id(self):
        """Return the id of the sequence in the protocol of the engine."""
        return f'{self.request_id.hex()}-{self.attempt}'

    @property
    def is_last_stage(self):
        """Return whether this is the last stage, which samples the tokens."""
        return self.position == len(self.chain) - 1

    @property
    def next_stage(self):
        """Return the address of the following stage."""
        return self.chain[self.position + 1]


class RequestRecords:
    """Keep one record per request until no late frame can arrive."""

    def __init__(self, timers):
        self._timers = timers
        self._records = {}
        self._expires_s = {}
        self._eviction_order = collections.deque()

    def __len__(self):
        return len(self._records)

    def get(self, request_id, ttl_s=RECORD_TTL_S):
        """Return the record of a request, new if needed; extend its expiry."""
        expires_s = self._timers.now_s() + ttl_s
        record = self._records.get(request_id)
        if record is None:
            record = self._records[request_id] = rules.RequestRecord()
            self._expires_s[request_id] = expires_s
            self._eviction_order.append(request_id)
            self._evict_expired()
        elif self._expires_s[request_id] < expires_s:
            self._expires_s[request_id] = expires_s
        return record

    def fence(self, request_id, attempt, ttl_s=RECORD_TTL_S):
        """Fence an attempt and all lower ones; return the record."""
        record = self.get(request_id, ttl_s)
        record.highest_fenced = max(record.highest_fenced, attempt)
        return record

    def _evict_expired(self):
        # Examining two records for each one added bounds both the size of
        # the table, to about the live records, and the time of a call.
        now_s = self._timers.now_s()
        for _ in range(2):
            request_id = self._eviction_order.popleft()
            if self._expires_s[request_id] <= now_s:
                del self._expires_s[request_id]
                del self._records[request_id]
            else:
                self._eviction_order.append(request_id)
