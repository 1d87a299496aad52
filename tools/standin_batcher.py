"""Continuous batching of the stand-in engine at a set speed."""

import asyncio
import collections
import itertools
import json
import os
import time

import attrs

from tools import standin_model as model

# An iteration is filled up to about this time, so that decode steps do not
# wait for whole prompts of other sequences.
ITERATION_S = 0.05
LEAST_BATCH_TOKENS = 32
MOST_BATCH_TOKENS = 2048
# Late timers are made up for at most this long, so that a process that was
# frozen does not run faster than its speed afterwards.
MAX_CATCH_UP_S = 0.05


@attrs.frozen
class Ran:
    """One step that an engine ran on its layers."""

    sequence: str
    index: int
    first_layer: int
    end_layer: int
    tokens: int
    cached_tokens: int

    def as_row(self):
        """Return the step as a JSON object."""
        request, _, attempt = self.sequence.rpartition('-')
        number = int(attempt) if attempt.isdecimal() else 0
        row = attrs.asdict(self)
        del row['sequence']
        return {'request': request, 'attempt': number, **row}


class Record:
    """Keep what ran, in memory and in a file that survives a crash."""

    def __init__(self, path='', limit=1_000_000):
        self.rows = collections.deque(maxlen=limit)
        self._file = open(path, 'ab', buffering=0) if path else None

    def add(self, ran):
        """Add one step."""
        self.rows.append(ran)
        if self._file is not None:
            self._file.write(json.dumps(ran.as_row()).encode() + b'\n')


def layers_ran(rows):
    """Return (request, attempt, index, layer) for rows of `/v1/record`."""
    return [
        (row['request'], row['attempt'], row['index'], layer)
        for row in rows
        for layer in range(row['first_layer'], row['end_layer'])
    ]


class Batcher:
    """Run the steps of many sequences in iterations.

    An iteration takes `base_s` plus its tokens divided by `tokens_per_s`;
    0 tokens a second stands for no limit. An iteration has one step each
    of up to `max_running` sequences; a higher priority runs first.
    `on_done(sequence, work)` is called for each finished step.
    """

    def __init__(
        self,
        cache,
        record,
        on_done,
        *,
        tokens_per_s=0.0,
        base_s=0.0,
        max_running=64,
        crash_marker='',
        crash=lambda: os._exit(70),
    ):
        self.sequences = {}
        self.tokens_per_s = tokens_per_s
        self.iterations = 0
        self.largest_batch = 0
        self._cache = cache
        self._record = record
        self._on_done = on_done
        self._base_s = base_s
        self._max_running = max_running
        self._crash_marker = crash_marker
        self._crash = crash
        self._arrivals = itertools.count()
        self._wake = asyncio.Event()

    def open(self, sequence):
        """Admit a sequence."""
        self.sequences[sequence.name] = sequence

    def close(self, name):
        """Cancel a sequence and drop its steps."""
        sequence = self.sequences.pop(name, None)
        if sequence is not None:
            sequence.work.clear()
        self._wake.set()

    def pause(self, name, paused):
        """Pause or resume a sequence."""
        self.sequences[name].paused = paused
        self._wake.set()

    def submit(self, sequence, work):
        """Queue a step."""
        work.arrival = next(self._arrivals)
        sequence.work.append(work)
        self._wake.set()

    def queued_tokens(self):
        """Return the number of inputs that wait to run."""
        return sum(
            work.left_tokens
            for sequence in self.sequences.values()
            for work in sequence.work
        )

    def running(self):
        """Return the number of sequences that are open and not paused."""
        return sum(not one.paused for one in self.sequences.values())

    def _ready(self):
        """Return the sequences with a step to run, most urgent first.

        The oldest step leads, so that none starves; decode steps come
        before prefills, so that answers go on while prompts are read.
        """
        waiting = [
            one
            for one in self.sequences.values()
            if one.work and not one.paused
        ]
        waiting.sort(key=lambda one: (-one.priority, one.work[0].arrival))
        rest = waiting[1:]
        rest.sort(key=lambda one: one.work[0].left_tokens > 1)
        return (waiting[:1] + rest)[: self._max_running]

    def _batch_tokens(self):
        if not self.tokens_per_s:
            return MOST_BATCH_TOKENS
        count = int(self.tokens_per_s * ITERATION_S)
        return min(max(count, LEAST_BATCH_TOKENS), MOST_BATCH_TOKENS)

    async def run(self):
        """Run iterations until cancelled."""
        due_s = time.monotonic()
        while True:
            batch = self._batch()
            if not batch:
                self._wake.clear()
                await self._wake.wait()
                # Other messages of the same instant join the batch.
                await asyncio.sleep(0)
                due_s = max(due_s, time.monotonic())
                continue
            due_s = max(due_s, time.monotonic() - MAX_CATCH_UP_S)
            due_s += self._run_batch(batch)
            # The schedule, not the wake-up time, starts the next iteration,
            # so that late timers do not lower the set speed.
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            self._finish(batch)

    def _batch(self):
        batch = []
        room = self._batch_tokens()
        chunk = room // 2
        for sequence in self._ready():
            if room <= 0:
                break
            work = sequence.work[0]
            if not sequence.prefilled and not work.outputs:
                self._cache.load(sequence, work)
            count = min(work.left_tokens, chunk, room)
            room -= count
            batch.append((sequence, work, count))
        return batch

    def _run_batch(self, batch):
        total = 0
        for sequence, work, count in batch:
            if self._crash_marker and self._crash_marker in sequence.prompt:
                self._crash()
            total += count
            start = len(work.outputs)
            for one in work.inputs[start : start + count]:
                hidden = one if sequence.first_layer else _embed(sequence, one)
                work.outputs.append(
                    model.run_layers(sequence.seeds, sequence.states, hidden)
                )
                if not sequence.prefilled:
                    self._cache.store(sequence, work)
        self.iterations += 1
        self.largest_batch = max(self.largest_batch, len(batch))
        if not self.tokens_per_s:
            return self._base_s
        return self._base_s + total / self.tokens_per_s

    def _finish(self, batch):
        for sequence, work, _ in batch:
            if work.left_tokens:
                continue
            self._record.add(_ran(sequence, work))
            # A sequence cancelled during the iteration has no steps left.
            if not sequence.work:
                continue
            sequence.work.popleft()
            sequence.prefilled = True
            self._on_done(sequence, work)


def _embed(sequence, token):
    return sequence.weights.embed(token)


def _ran(sequence, work):
    return Ran(
        sequence.name,
        work.index,
        sequence.first_layer,
        sequence.end_layer,
        len(work.inputs),
        work.cached_tokens,
    )
