"""The stage role: sequences of one engine and the steps they run."""

import asyncio
import logging

from pimentowalk.agent import rules
from pimentowalk.core import errors
from pimentowalk.core import logs
from pimentowalk.wire import messages

LOG = logging.getLogger(__name__)

# Engines batch and queue by themselves; beyond this multiple of its places
# a stage refuses sequences of further heads.
OVERCOMMIT = 2


class StageRole:
    """Run steps of sequences on the engine and pass the results on.

    `events` has `local_tokens(tokens)` for a chain that ends here and
    `stage_failed(failure)` for attempts of which this agent is the head.
    """

    def __init__(self, own, engine, peers, records, timers, events):
        self._own = own
        self._engine = engine
        self._peers = peers
        self._records = records
        self._timers = timers
        self._events = events
        self.sequences = {}
        self.suspect_moved = asyncio.Event()
        self._names = {}

    @property
    def tokens_per_s(self):
        """Return the speed of the engine as it announced it."""
        hello = self._engine.last_hello
        return max(1.0, hello.capacity_tokens_per_s) if hello else 1.0

    @property
    def remaining_tokens(self):
        """Return how many tokens the open sequences may still need."""
        return sum(
            max(0, sequence.max_tokens - sequence.next_index)
            for sequence in self.sequences.values()
        )

    def heads(self):
        """Return the connections of the heads of the open sequences."""
        heads = {sequence.head for sequence in self.sequences.values()}
        return heads - {None}

    def check_prepare(self, frame, refusal_code):
        """Raise PimentowalkError if a sequence cannot be opened here."""
        if refusal_code:
            self._refuse(refusal_code, 'new work is refused')
        if frame.position >= len(frame.chain):
            raise errors.FrameError('malformed chain', step='prepare')
        place = frame.chain[frame.position]
        own = (self._own.server_id, self._own.incarnation)
        if (place.server_id, place.incarnation) != own:
            self._refuse('no_chain', 'this is not the stage of the chain')
        hello = self._engine.hello
        if (place.first_layer, place.end_layer) != (
            hello.first_layer,
            hello.end_layer,
        ):
            self._refuse('no_chain', 'other layers are loaded here')
        if (frame.model, frame.version) != (hello.model, hello.version):
            self._refuse('no_chain', 'another model is loaded here')
        if frame.adapter and frame.adapter not in hello.adapters:
            self._refuse('no_chain', 'the adapter is not loaded here')
        if len(self.sequences) >= OVERCOMMIT * rules.head_places(hello):
            self._refuse('overloaded', 'too many sequences')

    def _refuse(self, code, text):
        raise errors.NotRun(
            text, code=code, step='prepare', peer=self._own.server_id
        )

    def open(self, sequence, frame, **first_stage):
        """Open a sequence on the engine."""
        sequence.renewed_s = self._timers.now_s()
        self.sequences[sequence.key] = sequence
        self._names[sequence.name] = sequence
        self._engine.open(
            sequence.name,
            model=frame.model,
            version=frame.version,
            adapter=frame.adapter,
            seed=frame.seed,
            temperature=frame.temperature,
            priority=sequence.priority,
            max_tokens=frame.max_tokens,
            **first_stage,
        )

    def run(self, sequence, index, ranges, **inputs):
        """Run a step if it is the next one; return whether it was run."""
        record = self._records.of(sequence.request_id)
        accepted = rules.accepts_step(
            record,
            sequence.attempt,
            sequence.next_index,
            sequence.running_index,
            index,
        )
        if not accepted:
            return False
        sequence.next_index = index + 1
        if sequence.isolate:
            self.suspect_moved.set()
        sequence.running_index = index
        sequence.ranges = ranges
        sequence.renewed_s = self._timers.now_s()
        record.admitted.add(sequence.attempt)
        self._engine.step(
            {'sequence': sequence.name, 'index': index, **inputs}
        )
        return True

    def on_steps(self, batch):
        """Run the steps that the stage before has sent."""
        for step in batch.steps:
            sequence = self.sequences.get((step.request_id, step.attempt))
            if sequence is None or sequence.position == 0:
                continue
            sequence.priority = step.priority
            self.run(
                sequence,
                step.token_index,
                step.ranges,
                hidden=step.hidden.hex(),
            )

    def on_results(self, items):
        """Pass the results of one engine batch on."""
        local = []
        for item in items:
            sequence = self._names.get(item['sequence'])
            if sequence is None or sequence.running_index != item['index']:
                continue
            sequence.running_index = -1
            ranges = [*sequence.ranges, self._own_range()]
            if not sequence.is_last:
                self._forward(sequence, item, ranges)
            elif sequence.head is None:
                local.append(token_of(sequence, item, ranges))
            else:
                token = token_of(sequence, item, ranges)
                self._peers.to_peer(sequence.head, token)
        if local:
            self._events.local_tokens(local)

    def _own_range(self):
        hello = self._engine.hello
        return messages.LayerRange(hello.first_layer, hello.end_layer)

    def _forward(self, sequence, item, ranges):
        step = messages.Step(
            sequence.request_id,
            sequence.attempt,
            item['index'],
            bytes.fromhex(item['hidden']),
            ranges,
            sequence.priority,
        )
        self._peers.to_stage(sequence.next_stage, step)

    def on_engine_failed(self, message):
        """End the sequence that the engine gave up."""
        sequence = self._names.get(message['sequence'])
        if sequence is not None:
            code = message.get('code', '')
            code = code if code in errors.CODES else 'internal'
            self.fail(sequence, code, message.get('text', ''), 'engine')

    def on_unsent(self, items, error, stage):
        """Fail the sequences whose steps did not reach the next stage."""
        for step in items:
            if not isinstance(step, messages.Step):
                continue
            sequence = self.sequences.get((step.request_id, step.attempt))
            if sequence is not None:
                self.fail(
                    sequence,
                    error.code,
                    error.message,
                    'forward',
                    stage.server_id,
                )

    def on_link_lost(self, address):
        """Fail the sequences whose next stage has become unreachable."""
        for sequence in list(self.sequences.values()):
            if sequence.is_last:
                continue
            stage = sequence.next_stage
            if (stage.host, stage.port) == address:
                text = 'the connection to the next stage ended'
                self.fail(
                    sequence, 'peer_lost', text, 'forward', stage.server_id
                )

    def on_engine_lost(self):
        """Fail all sequences; return those that may be the cause."""
        lost = list(self.sequences.values())
        candidates = rules.crash_candidates(lost)
        for sequence in lost:
            self.fail(
                sequence,
                'peer_lost',
                'the engine ended its connection',
                'engine',
                engine_crashed=sequence in candidates,
            )
        return candidates

    def fail(
        self, sequence, code, text, step, peer='', *, engine_crashed=False
    ):
        """End a sequence and report it to its head."""
        self.close(sequence.request_id, sequence.attempt)
        failure = messages.StepFailed(
            sequence.request_id,
            sequence.attempt,
            code,
            text,
            step,
            peer or self._own.server_id,
            engine_crashed,
        )
        LOG.info(
            'step failed: %s: %s',
            code,
            text,
            extra=logs.fields(
                request_id=sequence.request_id, step=step, peer=failure.peer
            ),
        )
        if sequence.head is None:
            self._events.stage_failed(failure)
        else:
            self._peers.to_peer(sequence.head, failure)

    def release(self, key):
        """Forget a sequence and cancel it on the engine."""
        sequence = self.sequences.pop(key, None)
        if sequence is not None:
            del self._names[sequence.name]
            self._engine.close(sequence.name)
            self.suspect_moved.set()
        return sequence

    def close(self, request_id, attempt):
        """Fence an attempt and release it and all lower ones."""
        self._records.close(request_id, attempt)
        self.release_below(request_id, attempt + 1)

    def release_below(self, request_id, attempt):
        """Release the sequences of lower attempts of a request."""
        for key in list(self.sequences):
            if key[0] == request_id and key[1] < attempt:
                self.release(key)

    def on_head_lost(self, connection):
        """Cancel the sequences whose head has gone."""
        for sequence in list(self.sequences.values()):
            if sequence.head is connection:
                self.close(sequence.request_id, sequence.attempt)

    def renew(self, request_id, attempt):
        """Extend the lease of a sequence that its head still wants."""
        sequence = self.sequences.get((request_id, attempt))
        if sequence is not None:
            sequence.renewed_s = self._timers.now_s()

    def drop_expired(self):
        """Fail the sequences whose lease passed without a step."""
        now_s = self._timers.now_s()
        for sequence in list(self.sequences.values()):
            if sequence.head is None:
                continue
            if rules.lease_passed(sequence.renewed_s, now_s):
                text = 'no step and no renewal within the lease'
                self.fail(sequence, 'outcome_unknown', text, 'lease')


def token_of(sequence, item, ranges):
    """Return the token that the last stage made."""
    index = item['index']
    full = index + 1 >= sequence.max_tokens
    last = full or bool(item['end'])
    reason = ''
    if last:
        reason = item.get('finish_reason') or ('length' if full else 'stop')
    return messages.Token(
        sequence.request_id,
        sequence.attempt,
        index,
        item['token'],
        item['text'],
        ranges,
        last,
        index + 1 if last else 0,
        reason,
    )
