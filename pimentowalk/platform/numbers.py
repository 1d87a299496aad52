"""Ranges of the numbers that configurations and announcements contain."""

import attrs

from pimentowalk.core import errors
from pimentowalk.topology import documents

# JSON numbers up to here are exact in the double precision of most writers.
MAX_WHOLE = 2**53
# Sums and products of a few of them stay finite and exact enough.
MAX_REAL = 1e15
# Frames carry larger numbers, but readers may take them as signed.
MAX_COUNTER = 2**63 - 1
# Paths and plans count layers one by one.
MAX_LAYERS = 10_000
MAX_SLOTS = 1_000_000


@attrs.frozen
class Range:
    """The least and the largest value of a field, which may have fractions."""

    minimum: float
    maximum: float
    is_whole: bool = True


REAL = Range(0, MAX_REAL, is_whole=False)
WHOLE = Range(0, MAX_WHOLE)
COUNTER = Range(0, MAX_COUNTER)
LAYER = Range(0, MAX_LAYERS)
CONFIGURATION = {
    'version': Range(1, documents.MAX_VERSION),
    # Routes and client accounts.
    'timeout-ms': REAL,
    'latency-target-ms': REAL,
    'gap-target-ms': REAL,
    'weight': REAL,
    'priority': WHOLE,
    'attempts': WHOLE,
    # Services and their engines.
    'max-connections': WHOLE,
    'layers': LAYER,
    'layer-mb': REAL,
    'kv-token-bytes': REAL,
    'load-s': REAL,
    'loads_at_once': WHOLE,
    'step_ms': REAL,
    'per_seq_ms': REAL,
    'context_per_k': REAL,
    'pairs_per_m': REAL,
    'read_per_s': REAL,
    'chunk': WHOLE,
    'stride': Range(1, MAX_WHOLE),
    'activation-bytes': REAL,
    'pipe-mbps': REAL,
    'prompt': WHOLE,
    'answer': WHOLE,
    'size-mb': REAL,
    'pace': REAL,
    'read-factor': REAL,
    # Limits.
    'max-header-bytes': WHOLE,
    'max-body-bytes': WHOLE,
    'header-timeout-ms': REAL,
    'idle-timeout-ms': REAL,
}
ANNOUNCEMENT = {
    'born': COUNTER,
    'sequence': COUNTER,
    'slots': Range(0, MAX_SLOTS),
    'from': LAYER,
    'to': LAYER,
    'version': COUNTER,
    'warmup-left-ms': COUNTER,
}


def check(value, key, ranges):
    """Return the number of a field; raise PimentowalkError if out of range."""
    allowed = ranges[key]
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    # A NaN fails both comparisons.
    if not is_number or not allowed.minimum <= value <= allowed.maximum:
        raise _invalid(
            f'{key} is no number from {allowed.minimum} to {allowed.maximum}'
        )
    if not allowed.is_whole:
        return value
    if value != int(value):
        raise _invalid(f'{key} is not whole')
    return int(value)


def _invalid(reason):
    return errors.PimentowalkError(
        reason, code='bad_request', step='read numbers'
    )
