"""The requests of a lunch-hour swing, drawn with a fixed seed."""

import random

import attrs

from bench import fairness
from tools import demo
from tools import load

SEED = 20261204
CHAINS = 2
ENGINE_TOKENS_PER_S = 600.0
BOUND_TOKENS_PER_S = CHAINS * ENGINE_TOKENS_PER_S
# Offered load of the accounts, relative to each other; all have the same
# weight, and at the crest even the smallest offers more than its share.
OFFERED = (3, 3, 3, 3, 4, 4, 6, 8, 10)
LIGHT = 'light'
LIGHT_REQUESTS_PER_S = 5.0
LOW_LOAD = 0.3
CREST_LOAD = 3.0
LOW_S = 4.0
RISE_S = 1.0
CREST_S = 8.0
FALL_S = 1.0
CREST_BEGIN_S = LOW_S + RISE_S
CREST_END_S = CREST_BEGIN_S + CREST_S
END_S = CREST_END_S + FALL_S
LONG_SHARE = 0.1
PROMPT = 'note about one tyre'
PROMPT_TOKENS = 5
SHORT = fairness.Uniform(3, 9)
LONG = fairness.Uniform(220, 340)
MEAN_COST = (
    PROMPT_TOKENS + LONG_SHARE * LONG.mean + (1 - LONG_SHARE) * SHORT.mean
)


@attrs.define
class Arrival:
    """One request, when it is sent and what became of it."""

    account: str
    at_s: float
    tokens: int
    seed: int
    long: bool = False
    outcome: load.Outcome | None = None

    @property
    def body(self):
        """Return the completion."""
        return {
            'model': demo.MODEL,
            'prompt': PROMPT,
            'max_tokens': self.tokens,
            'seed': self.seed,
            'temperature': 0.8,
        }


def load_at(time_s):
    """Return the offered load relative to the bound.

    >>> load_at(0.0), load_at(10.0)
    (0.3, 3.0)
    """
    up = (time_s - LOW_S) / RISE_S
    down = (END_S - time_s) / FALL_S
    part = min(1.0, max(0.0, min(up, down)))
    return LOW_LOAD + part * (CREST_LOAD - LOW_LOAD)


def arrivals(seed=SEED):
    """Return the requests of all accounts, in order of time."""
    chance = random.Random(seed)
    found = []
    peak = CREST_LOAD * BOUND_TOKENS_PER_S / MEAN_COST / sum(OFFERED)
    for number, offered in enumerate(OFFERED):
        for at_s in times(chance, offered * peak):
            # Thinning: of arrivals at the peak rate, keep the share that
            # the load has at their time.
            if chance.random() * CREST_LOAD < load_at(at_s):
                long = chance.random() < LONG_SHARE
                tokens = LONG(chance) if long else SHORT(chance)
                found.append(
                    Arrival(f'office-{number}', at_s, tokens, 0, long)
                )
    found.extend(
        Arrival(LIGHT, at_s, SHORT(chance), 0)
        for at_s in times(chance, LIGHT_REQUESTS_PER_S)
    )
    found.sort(key=lambda one: one.at_s)
    return [
        attrs.evolve(one, seed=number + 1) for number, one in enumerate(found)
    ]


def times(chance, per_s):
    """Return Poisson arrival times up to the end of the swing."""
    found = []
    at_s = chance.expovariate(per_s)
    while at_s < END_S:
        found.append(at_s)
        at_s += chance.expovariate(per_s)
    return found
