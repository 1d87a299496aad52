"""The stage role: runs the steps of sequences on one engine."""

import asyncio
import logging

from pimentowalk.agent import rules
from pimentowalk.core import errors
from pimentowalk.core import logs
from pimentowalk.wire import messages

LOG = logging.getLogger(__name__)

# Engines batch and queue steps themselves. A stage opens up to this multiple
# of the sequences that a head runs concurrently and refuses further ones.
OVERCOMMIT_FACTOR = 2


class StageRole:
    """Run steps of sequences on the engine and forward the results.

    `listener` has the callbacks `local_tokens(tokens)` for chains that
    consist of this stage alone, and `stage_failed(failure)` for attempts of
    which this agent is the head.
    """

    def __init__(self, identity, engine, peers, records, timers, listener):
        self._identity = identity
        self._engine = engine
        self._peers = peers
        self._records = records
        self._timers = timers
        self._listener = listener
        self.sequences = {}
        self.suspect_progressed = asyncio.Event()
        self._by_engine_id = {}

    @property
    def tokens_per_s(self):
        """Return the throughput that the engine announced."""
        hello = self._engine.last_hello
        return max(1.0, hello.capacity_tokens_per_s) if hello else 1.0

    @property
    def remaining_tokens(self):
        """Return how many tokens the open sequences may still generate."""
        return sum(
            max(0, sequence.max_tokens - sequence.next_index)
            for sequence in self.sequences.values()
        )

    def head_connections(self):
        """Return the connections to the heads of the open sequences."""
        connections = {
            sequence.head_connection for sequence in self.sequences.values()
        }
        return connections - {None}

    def check_prepare(self, frame, refusal_code):
        """Raise PimentowalkError if a sequence cannot be opened here."""
        if refusal_code:
            self._refuse(refusal_code, f'new work is refused: {refusal_code}')
        if frame.position >= len(frame.chain):
            raise errors.FrameError(
                f'position {frame.position} is outside the chain',
                step='prepare',
            )
        address = frame.chain[frame.position]
        expected = (self._identity.server_id, self._identity.incarnation)
        if (address.server_id, address.incarnation) != expected:
            self._refuse(
                'no_chain', 'this agent is not the stage named in the chain'
            )
        hello = self._engine.hello
        if (address.first_layer, address.end_layer) != (
            hello.first_layer,
            hello.end_layer,
        ):
            self._refuse('no_chain', 'the engine has other layers loaded')
        if (frame.model, frame.version) != (hello.model, hello.version):
            self._refuse('no_chain', 'the engine has another model loaded')
        if frame.adapter and frame.adapter not in hello.adapters:
            self._refuse(
                'no_chain', f'adapter {frame.adapter!r} is not loaded'
            )
        if len(self.sequences) >= OVERCOMMIT_FACTOR * rules.max_head_attempts(
            hello
        ):
            self._refuse('overloaded', 'too many sequences are open')

    def _refuse(self, code, text):
        raise errors.NotRun(
            text, code=code, step='prepare', peer=self._identity.server_id
        )

    def open(self, sequence, frame, **first_stage_inputs):
        """Open a sequence on the engine."""
        sequence.lease_renewed_s = self._timers.now_s()
        self.sequences[sequence.key] = sequence
        self._by_engine_id[sequence.engine_id] = sequence
        self._engine.open(
            sequence.engine_id,
            model=frame.model,
            version=frame.version,
            adapter=frame.adapter,
            seed=frame.seed,
            temperature=frame.temperature,
            priority=sequence.priority,
            max_tokens=frame.max_tokens,
            **first_stage_inputs,
        )

    def run_step(self, sequence, index, ranges, **inputs):
        """Run a step if it is the next one; return whether it was accepted."""
        record = self._records.get(sequence.request_id)
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
            self.suspect_progressed.set()
        sequence.running_index = index
        sequence.ranges = ranges
        sequence.lease_renewed_s = self._timers.now_s()
        record.admitted.add(sequence.attempt)
        self._engine.step(
            {'sequence': sequence.engine_id, 'index': index, **inputs}
        )
        return True

    def on_steps(self, batch):
        """Run the steps that the previous stage has sent."""
        for step in batch.steps:
            sequence = self.sequences.get((step.request_id, step.attempt))
            if sequence is None or sequence.position == 0:
                continue
            sequence.priority = step.priority
            self.run_step(
                sequence,
                step.token_index,
                step.ranges,
                hidden=step.hidden.hex(),
            )

    def on_results(self, items):
        """Forward the results of one engine batch."""
        local = []
        for item in items:
            sequence = self._by_engine_id.get(item['sequence'])
            if sequence is None or sequence.running_index != item['index']:
                continue
            sequence.running_index = -1
            ranges = [*sequence.ranges, self._layer_range()]
            if not sequence.is_last_stage:
                self._forward(sequence, item, ranges)
            elif sequence.head_connection is None:
                local.append(build_token(sequence, item, ranges))
            else:
                token = build_token(sequence, item, ranges)
                self._peers.to_peer(sequence.head_connection, token)
        if local:
            self._listener.local_tokens(local)

    def _layer_range(self):
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
        """Fail the sequence for which the engine reported an error."""
        sequence = self._by_engine_id.get(message['sequence'])
        if sequence is not None:
            code = message.get('code', '')
            code = code if code in errors.CODES else 'internal'
            self.fail(sequence, code, message.get('text', ''), 'engine')

    def on_unsent(self, items, error, stage):
        """Fail the sequences whose steps could not be sent."""
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
        """Fail the sequences whose connection to the next stage has closed."""
        for sequence in list(self.sequences.values()):
            if sequence.is_last_stage:
                continue
            stage = sequence.next_stage
            if (stage.host, stage.port) == address:
                text = 'the connection to the next stage closed'
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
                'the connection to the engine closed',
                'engine',
                engine_crashed=sequence in candidates,
            )
        return candidates

    def fail(
        self, sequence, code, text, step, peer='', *, engine_crashed=False
    ):
        """Close a sequence and report the failure to its head."""
        self.close(sequence.request_id, sequence.attempt)
        failure = messages.StepFailed(
            sequence.request_id,
            sequence.attempt,
            code,
            text,
            step,
            peer or self._identity.server_id,
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
        if sequence.head_connection is None:
            self._listener.stage_failed(failure)
        else:
            self._peers.to_peer(sequence.head_connection, failure)

    def release(self, key):
        """Remove a sequence and cancel it on the engine."""
        sequence = self.sequences.pop(key, None)
        if sequence is not None:
            del self._by_engine_id[sequence.engine_id]
            self._engine.close(sequence.engine_id)
            self.suspect_progressed.set()
        return sequence

    def close(self, request_id, attempt):
        """Fence an attempt and release it and all lower ones."""
        self._records.fence(request_id, attempt)
        self.release_lower(request_id, attempt + 1)

    def release_lower(self, request_id, attempt):
        """Release the sequences of lower attempts of a request."""
        for key in list(self.sequences):
            if key[0] == request_id and key[1] < attempt:
                self.release(key)

    def on_head_lost(self, connection):
        """Cancel the sequences whose connection to the head has closed."""
        for sequence in list(self.sequences.values()):
            if sequence.head_connection is connection:
                self.close(sequence.request_id, sequence.attempt)

    def renew_lease(self, request_id, attempt):
        """Renew the lease of a sequence on request of its head."""
        sequence = self.sequences.get((request_id, attempt))
        if sequence is not None:
            sequence.lease_renewed_s = self._timers.now_s()

    def expire_leases(self):
        """Fail the sequences whose lease has expired."""
        now_s = self._timers.now_s()
        for sequence in list(self.sequences.values()):
            if sequence.head_connection is None:
                continue
            if rules.lease_expired(sequence.lease_renewed_s, now_s):
                text = 'no step and no renewal within the lease'
                self.fail(sequence, 'outcome_unknown', text, 'lease')


def build_token(sequence, item, ranges):
    """Return the token in a result of the last stage."""
    index = item['index']
    at_limit = index + 1 >= sequence.max_tokens
    last = at_limit or bool(item['end'])
    reason = ''
    if last:
        reason = item.get('finish_reason') or (
            'length' if at_limit else 'stop'
        )
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
