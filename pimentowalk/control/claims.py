"""Durable claims on idempotency keys, part of the control state."""

import collections
import json

import attrs

from pimentowalk.control import commands
from pimentowalk.control import parts
from pimentowalk.core import errors

RETENTION_S = 86_400.0
# Beyond this limit new claims are refused. Evicting a claim early could let
# its call run twice.
MAX_CLAIMS = 200_000
# A claim with a longer reply is settled as unknown, because a retry must not
# get a truncated reply.
MAX_REPLY_BYTES = 1 << 16
# Beyond this total the oldest replies are dropped and their claims become
# unknown.
MAX_TOTAL_REPLY_BYTES = 64 << 20

OPEN = 'open'
SETTLED = 'settled'
UNKNOWN = 'unknown'
RELEASED = 'released'
OUTCOMES = {'done': SETTLED, 'unknown': UNKNOWN}


def table_key(body):
    """Return the table key; the account keeps keys of accounts apart."""
    return json.dumps([body.account, body.key])


def reply_bytes(claim):
    """Return the size of the recorded headers and body."""
    headers = sum(len(h.name) + len(h.value) for h in claim.headers)
    return headers + len(claim.body)


@parts.part('claims')
class Claims(parts.Part):
    """Hold claims in the order in which they were opened.

    Each claim is stored as JSON text: to convert 200,000 attrs objects for
    a snapshot would block the process for seconds.
    """

    def __init__(
        self, limit=MAX_CLAIMS, max_total_bytes=MAX_TOTAL_REPLY_BYTES
    ):
        self._limit = limit
        self._max_total_bytes = max_total_bytes
        self._claims = collections.OrderedDict()
        self._reply_sizes = collections.OrderedDict()
        self._total_reply_bytes = 0

    def __len__(self):
        return len(self._claims)

    def get(self, key):
        """Return the claim of a table key, or None."""
        text = self._claims.get(key)
        if text is None:
            return None
        return commands.CONVERTER.loads(text, commands.Claim)

    def _put(self, key, claim):
        self._claims[key] = commands.CONVERTER.dumps(claim)
        self._total_reply_bytes -= self._reply_sizes.pop(key, 0)
        size = reply_bytes(claim)
        if size:
            self._reply_sizes[key] = size
            self._total_reply_bytes += size

    def expire(self, time_s):
        """Remove claims that are older than the retention time."""
        while self._claims:
            key = next(iter(self._claims))
            if self.get(key).opened_s + RETENTION_S > time_s:
                break
            del self._claims[key]
            self._total_reply_bytes -= self._reply_sizes.pop(key, 0)

    def open(self, body, time_s):
        """Return the result of `OpenClaim` and whether it created a claim."""
        key = table_key(body)
        old = self.get(key)
        if old is None:
            if len(self._claims) >= self._limit:
                raise errors.PimentowalkError(
                    f'the limit of {self._limit} claims is reached',
                    code='overloaded',
                )
            return self._create(key, body, time_s), True
        if old.body_hash != body.body_hash:
            return commands.ClaimResult('key_reused'), False
        if old.state == RELEASED:
            return self._replace_released(key, old, body, time_s)
        if old.state == OPEN and old.claim_id == body.claim_id:
            return commands.ClaimResult('new', old), False
        return commands.ClaimResult(old.state, old), False

    def _replace_released(self, key, old, body, time_s):
        # A delayed duplicate of the released command must not claim the key
        # again: its caller has already received the code `not_run`.
        if old.claim_id == body.claim_id:
            raise errors.Conflict(f'claim {body.claim_id} was released')
        del self._claims[key]
        return self._create(key, body, time_s), True

    def _create(self, key, body, time_s):
        claim = commands.Claim(
            claim_id=body.claim_id,
            body_hash=body.body_hash,
            request_id=body.request_id,
            attempt=body.attempt,
            server=body.server,
            state=OPEN,
            opened_s=time_s,
        )
        self._put(key, claim)
        return commands.ClaimResult('new', claim)

    def _get_owned(self, key, claim_id):
        claim = self.get(key)
        if claim is None:
            raise errors.PimentowalkError(
                f'claim {claim_id} does not exist', code='not_found'
            )
        if claim.claim_id != claim_id:
            raise errors.Conflict(f'claim {claim.claim_id} holds the key')
        return claim

    def settle(self, body):
        """Record an outcome; return whether the claim changed."""
        state = OUTCOMES.get(body.outcome)
        if state is None:
            raise errors.PimentowalkError(
                f'outcome {body.outcome!r} is not done or unknown',
                code='bad_request',
            )
        key = table_key(body)
        claim = self._get_owned(key, body.claim_id)
        if claim.state == RELEASED:
            raise errors.Conflict(f'claim {body.claim_id} was released')
        # The first recorded reply is final; an unknown outcome is replaced
        # by a reply that is found later.
        if claim.state == SETTLED or claim.state == state:
            return False
        settled = attrs.evolve(claim, state=state)
        if state == SETTLED:
            settled = attrs.evolve(
                settled,
                status=body.status,
                headers=body.headers,
                body=body.body,
            )
        if reply_bytes(settled) > MAX_REPLY_BYTES:
            settled = attrs.evolve(claim, state=UNKNOWN)
        self._put(key, settled)
        self._drop_oldest_replies()
        return True

    def _drop_oldest_replies(self):
        while self._total_reply_bytes > self._max_total_bytes:
            key = next(iter(self._reply_sizes))
            claim = self.get(key)
            self._put(
                key,
                attrs.evolve(
                    claim, state=UNKNOWN, status=0, headers=[], body=b''
                ),
            )

    def release(self, body):
        """Release a claim; return whether it changed."""
        key = table_key(body)
        claim = self._get_owned(key, body.claim_id)
        if claim.state == RELEASED:
            return False
        if claim.state != OPEN:
            raise errors.Conflict(f'the claim is {claim.state}')
        self._put(key, attrs.evolve(claim, state=RELEASED))
        return True

    def snapshot(self):
        """Return the sizes of recorded replies as JSON data."""
        return list(self._reply_sizes.items())

    def restore(self, data):
        """Restore the sizes of recorded replies."""
        self._reply_sizes = collections.OrderedDict(data)
        self._total_reply_bytes = sum(self._reply_sizes.values())

    def lines(self):
        """Return one line per claim: its key and its JSON, tab-separated."""
        return [f'{key}\t{text}' for key, text in self._claims.items()]

    def restore_lines(self, lines):
        """Restore the claims."""
        pairs = (line.split('\t') for line in lines)
        self._claims = collections.OrderedDict(pairs)


def _describe(body):
    return f'{body.account}/{body.key} claim {body.claim_id}'


@parts.handles('OpenClaim')
def open_claim(state, body, context):
    """Apply an `OpenClaim` command."""
    claims = state.part('claims')
    claims.expire(context.time_s)
    result, context.changed = claims.open(body, context.time_s)
    context.detail = _describe(body)
    return result


@parts.handles('SettleClaim')
def settle_claim(state, body, context):
    """Apply a `SettleClaim` command."""
    claims = state.part('claims')
    claims.expire(context.time_s)
    context.changed = claims.settle(body)
    context.detail = f'{_describe(body)} {body.outcome}'
    return commands.Done(repeated=not context.changed)


@parts.handles('ReleaseClaim')
def release_claim(state, body, context):
    """Apply a `ReleaseClaim` command."""
    claims = state.part('claims')
    claims.expire(context.time_s)
    context.changed = claims.release(body)
    context.detail = _describe(body)
    return commands.Done(repeated=not context.changed)
