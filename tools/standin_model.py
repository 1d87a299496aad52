"""A stand-in language model: a hash chain over layers.

Every layer keeps a running hash of its inputs, which stands for its KV
cache. A missing, repeated or swapped layer or token therefore changes every
later token of the answer.
"""

import attrs
import xxhash

HIDDEN_BYTES = 8
BEGIN_TOKEN = 0
VOCABULARY = 50_000
# One token in this many ends an answer before `max_tokens`.
STOP_MODULUS = 2_000
SYLLABLES = ('ba', 'de', 'fi', 'go', 'ku', 'la', 'me', 'ni', 'ro', 'su')


def _digest(*parts, seed=0):
    return xxhash.xxh3_64_digest(b'\0'.join(parts), seed=seed)


def prompt_tokens(prompt):
    """Return the token ids of a prompt: one to begin, one a word.

    >>> len(prompt_tokens('polish the plaque'))
    4
    """
    words = [
        xxhash.xxh3_64_intdigest(word.encode()) % VOCABULARY
        for word in prompt.split()
    ]
    return [BEGIN_TOKEN, *words]


def token_text(token):
    """Return the text of a generated token, with a space before it.

    >>> token_text(1203)
    ' defibago'
    """
    digits = f'{token:04}'
    return ' ' + ''.join(SYLLABLES[int(digit)] for digit in digits)


@attrs.frozen
class Weights:
    """A model, its version and an adapter; '' means no adapter."""

    model: str
    version: str
    adapter: str = ''

    def embed(self, token):
        """Return the hidden state of an input token."""
        return _digest(self._key(), b'embed', token.to_bytes(8, 'big'))

    def layer_seeds(self, first_layer, end_layer):
        """Return one number for each layer, which stands for its weights."""
        key = self._key()
        return [
            xxhash.xxh3_64_intdigest(key, seed=layer)
            for layer in range(first_layer, end_layer)
        ]

    def _key(self):
        names = (self.model, self.version, self.adapter)
        return '\0'.join(names).encode()


def empty_states(layer_count):
    """Return the KV cache of a sequence without input."""
    return [bytes(HIDDEN_BYTES)] * layer_count


def run_layers(seeds, states, hidden):
    """Pass one hidden state through layers; change the states in place."""
    digest = xxhash.xxh3_64_digest
    for position, seed in enumerate(seeds):
        hidden = digest(states[position] + hidden, seed)
        states[position] = hidden
    return hidden


def sample(hidden, index, seed, temperature):
    """Return the token id at an index of the answer.

    Temperature 0 is greedy: the seed has no effect.
    """
    salt = seed if temperature > 0 else 0
    data = hidden + index.to_bytes(8, 'big')
    return xxhash.xxh3_64_intdigest(data, salt) % VOCABULARY


def finish_reason(token, index, max_tokens):
    """Return '' while the answer goes on, else 'stop' or 'length'.

    `max_tokens` bounds the whole answer, recomputed tokens included.
    """
    if token % STOP_MODULUS == 1:
        return 'stop'
    return 'length' if index + 1 >= max_tokens else ''


def reference_answer(
    weights,
    total_layers,
    prompt,
    *,
    max_tokens,
    seed=0,
    temperature=0.0,
    generated=(),
):
    """Return the token ids that follow `generated`, from one process."""
    seeds = weights.layer_seeds(0, total_layers)
    states = empty_states(total_layers)
    inputs = prompt_tokens(prompt) + list(generated)
    answer = []
    index = len(generated)
    while True:
        for token in inputs:
            hidden = run_layers(seeds, states, weights.embed(token))
        token = sample(hidden, index, seed, temperature)
        answer.append(token)
        if finish_reason(token, index, max_tokens):
            return answer
        inputs = [token]
        index += 1


def reference_text(*args, **options):
    """Return the text of `reference_answer`."""
    return ''.join(map(token_text, reference_answer(*args, **options)))
