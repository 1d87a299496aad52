"""Sequences of the stand-in engine and its prefix cache."""

import collections

import attrs
import xxhash

from tools import standin_model as model

# Prefixes are cached in whole blocks, as paged KV caches keep them.
BLOCK_TOKENS = 16


@attrs.define
class Work:
    """One step that waits or runs: its inputs and what is left to do.

    Inputs are token ids in the first stage and hidden states in others.
    """

    index: int
    inputs: list
    outputs: list[bytes] = attrs.field(factory=list)
    cached_tokens: int = 0
    arrival: int = 0
    block_keys: list[bytes] = attrs.field(factory=list)

    @property
    def left_tokens(self):
        """Return the number of inputs that are still to run."""
        return len(self.inputs) - len(self.outputs)


@attrs.define(eq=False)
class Sequence:
    """One attempt of a request in one stage."""

    name: str
    weights: model.Weights
    first_layer: int
    end_layer: int
    seeds: list[int]
    states: list[bytes]
    seed: int = 0
    temperature: float = 0.0
    priority: int = 0
    max_tokens: int = 16
    prompt: str = ''
    generated: list[int] = attrs.field(factory=list)
    paused: bool = False
    prefilled: bool = False
    session: object = None
    work: collections.deque = attrs.field(factory=collections.deque)

    def export(self):
        """Return the KV cache and parameters as a JSON object."""
        fields = attrs.asdict(
            self,
            recurse=True,
            filter=lambda field, _: field.name in EXPORTED,
        )
        fields['states'] = [state.hex() for state in self.states]
        return fields

    def import_state(self, state):
        """Replace the KV cache by an exported one; raise ValueError."""
        for name in ('weights', 'first_layer', 'end_layer'):
            if state[name] != self.export()[name]:
                raise ValueError(f'the state has another {name}')
        self.states = [bytes.fromhex(one) for one in state['states']]
        self.prefilled = state['prefilled']


EXPORTED = (
    'weights',
    'first_layer',
    'end_layer',
    'seed',
    'temperature',
    'max_tokens',
    'prefilled',
)


@attrs.frozen
class CachedBlock:
    """The layer states after a block of inputs, and the block's outputs."""

    states: tuple
    outputs: tuple


class PrefixCache:
    """Keep the KV cache of prompt prefixes, least recently used out first.

    The key of a block covers all inputs up to its end, so that a block is
    only found behind an equal prefix.
    """

    def __init__(self, capacity_tokens):
        self.capacity_blocks = capacity_tokens // BLOCK_TOKENS
        self.hit_tokens = 0
        self._blocks = collections.OrderedDict()

    def __len__(self):
        return len(self._blocks) * BLOCK_TOKENS

    def load(self, sequence, work):
        """Replay the cached prefix of the first step of a sequence."""
        work.block_keys = _block_keys(sequence, work.inputs)
        # The last input always runs, as its output is what is sampled.
        usable = (len(work.inputs) - 1) // BLOCK_TOKENS
        for key in work.block_keys[:usable]:
            block = self._blocks.get(key)
            if block is None:
                break
            self._blocks.move_to_end(key)
            sequence.states[:] = block.states
            work.outputs.extend(block.outputs)
        work.cached_tokens = len(work.outputs)
        self.hit_tokens += work.cached_tokens

    def store(self, sequence, work):
        """Keep the block that ends at the last output of a first step."""
        end = len(work.outputs)
        if end % BLOCK_TOKENS or not work.block_keys:
            return
        key = work.block_keys[end // BLOCK_TOKENS - 1]
        outputs = tuple(work.outputs[-BLOCK_TOKENS:])
        self._blocks[key] = CachedBlock(tuple(sequence.states), outputs)
        while len(self._blocks) > self.capacity_blocks:
            self._blocks.popitem(last=False)

    def clear(self):
        """Drop all blocks."""
        self._blocks.clear()


def _block_keys(sequence, inputs):
    digest = xxhash.xxh3_128(repr(sequence.weights).encode())
    digest.update(f'{sequence.first_layer}:{sequence.end_layer}'.encode())
    keys = []
    for count, one in enumerate(inputs, 1):
        digest.update(
            one if isinstance(one, bytes) else one.to_bytes(8, 'big')
        )
        if count % BLOCK_TOKENS == 0:
            keys.append(digest.digest())
    return keys
