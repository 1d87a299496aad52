"""Sequences of one engine and the records of their requests."""

import collections

import attrs

from pimentowalk.agent import rules

# Late frames of a request arrive within its deadline and its retries. A
# non-idempotent call can be asked about as long as its claim is kept.
RECORD_S = 600.0
CLAIM_RECORD_S = 25 * 3600.0


@attrs.define(eq=False)
class Sequence:
    """One attempt at one stage.

    `running_index` is the step that the engine has, or -1. `head` is the
    connection to the head, None where this agent is the head.
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
    head: object = None
    priority: int = 0
    running_index: int = -1
    ranges: list = attrs.field(factory=list)
    renewed_s: float = 0.0
    first_index: int = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.first_index = self.next_index

    @property
    def on_probation(self):
        """Return whether this is a suspect that may crash the engine."""
        return rules.on_probation(
            self.isolate, self.first_index, self.next_index
        )

    @property
    def key(self):
        """Return the request id and the attempt."""
        return self.request_id, self.attempt

    @property
    def name(self):
        """Return the sequence id that the engine uses."""
        return f'{self.request_id.hex()}-{self.attempt}'

    @property
    def is_last(self):
        """Return whether this stage makes the tokens."""
        return self.position == len(self.chain) - 1

    @property
    def next_stage(self):
        """Return the address of the following stage."""
        return self.chain[self.position + 1]


class RequestRecords:
    """Keep one record per request until it can no longer matter."""

    def __init__(self, timers):
        self._timers = timers
        self._records = {}
        self._expiry = {}
        self._order = collections.deque()

    def __len__(self):
        return len(self._records)

    def of(self, request_id, keep_s=RECORD_S):
        """Return the record of a request and keep it for a while longer."""
        due_s = self._timers.now_s() + keep_s
        record = self._records.get(request_id)
        if record is None:
            record = self._records[request_id] = rules.RequestRecord()
            self._expiry[request_id] = due_s
            self._order.append(request_id)
            self._sweep()
        elif self._expiry[request_id] < due_s:
            self._expiry[request_id] = due_s
        return record

    def close(self, request_id, attempt, keep_s=RECORD_S):
        """Fence an attempt and all lower ones; return the record."""
        record = self.of(request_id, keep_s)
        record.highest_fenced = max(record.highest_fenced, attempt)
        return record

    def _sweep(self):
        # Two examined for each one added: the table cannot outgrow its
        # live part, and no call takes long.
        now_s = self._timers.now_s()
        for _ in range(2):
            request_id = self._order.popleft()
            if self._expiry[request_id] <= now_s:
                del self._expiry[request_id]
                del self._records[request_id]
            else:
                self._order.append(request_id)
