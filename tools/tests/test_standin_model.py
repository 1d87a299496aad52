"""Guard the stand-in model, by which answers are judged."""

import hypothesis
from hypothesis import strategies

from tools import standin_model as model

WEIGHTS = model.Weights('skrivar-7b', '3')
LAYERS = 6


def run(prompt, count, *, layers=None, tokens=None):
    """Return the last hidden state over the given layers and tokens."""
    seeds = WEIGHTS.layer_seeds(0, LAYERS)
    order = layers if layers is not None else list(range(LAYERS))
    states = model.empty_states(len(order))
    chosen = [seeds[layer] for layer in order]
    for token in tokens or model.prompt_tokens(prompt):
        hidden = model.run_layers(chosen, states, WEIGHTS.embed(token))
    return hidden


def test_layer_and_token_faults_change_the_result():
    """A model that hides a fault would let a wrong answer pass."""
    tokens = model.prompt_tokens('a long worn tyre')
    right = run('', 1, tokens=tokens)
    faults = [
        run('', 1, tokens=tokens, layers=[0, 1, 2, 4, 5]),
        run('', 1, tokens=tokens, layers=[0, 1, 2, 2, 3, 4, 5]),
        run('', 1, tokens=tokens, layers=[0, 2, 1, 3, 4, 5]),
        run('', 1, tokens=tokens[:-1]),
        run('', 1, tokens=[*tokens, tokens[-1]]),
        run('', 1, tokens=[tokens[0], tokens[2], tokens[1], *tokens[3:]]),
    ]
    assert len({right, *faults}) == len(faults) + 1


def test_weights_seed_and_version_change_the_answer():
    """An answer of another version must not look right."""
    answers = [
        model.reference_answer(weights, LAYERS, 'hei', max_tokens=8, **more)
        for weights, more in [
            (WEIGHTS, {}),
            (model.Weights('skrivar-7b', '4'), {}),
            (model.Weights('skrivar-7b', '3', 'nynorsk'), {}),
            (WEIGHTS, {'temperature': 1.0, 'seed': 1}),
            (WEIGHTS, {'temperature': 1.0, 'seed': 2}),
        ]
    ]
    assert len(set(map(tuple, answers))) == len(answers)
    greedy = model.reference_answer(
        WEIGHTS, LAYERS, 'hei', max_tokens=8, seed=5
    )
    assert greedy == answers[0]


@hypothesis.settings(max_examples=50, derandomize=True, deadline=None)
@hypothesis.given(strategies.text(max_size=40), strategies.integers(0, 11))
def test_a_continuation_is_the_same_answer(prompt, cut):
    """A resumed attempt must not produce another answer."""
    whole = model.reference_answer(
        WEIGHTS, LAYERS, prompt, max_tokens=12, seed=4, temperature=0.7
    )
    head = whole[: min(cut, len(whole) - 1)]
    rest = model.reference_answer(
        WEIGHTS,
        LAYERS,
        prompt,
        max_tokens=12,
        seed=4,
        temperature=0.7,
        generated=head,
    )
    assert head + rest == whole
