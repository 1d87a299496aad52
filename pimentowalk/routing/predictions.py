"""Predict the pauses between the events of a stream over a path.

The model of the engine gives the pause of a path under its load. What it
leaves out is learned from measured pauses, for each path and, for paths that
are new, for each kind of accelerator.
"""

import collections

import attrs

# Weights of a new pause in the running means, those of the estimate of round
# trips in TCP: a path with 10 events a second follows its load in a second.
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
# Deviation, as a share of the predicted pause, before any was measured. The
# model knows neither the phase of a batch nor the load of the last 0.4 s.
DEFAULT_DEVIATION_SHARE = 0.25
# A path with fewer measured pauses uses those of its kinds of accelerators.
MIN_PATH_PAUSES = 5
# A pause of a stream that waits for a lost server is no property of its path.
MAX_RATIO = 4.0
# Paths that are remembered; a gateway uses a few dozen at a time.
MAX_PATHS = 512
MS_PER_S = 1000.0


@attrs.frozen
class HopLoad:
    """The requests in flight at a server, and how slow it is (1: normal)."""

    requests: float = 0.0
    slowness: float = 1.0


@attrs.frozen
class Pause:
    """A predicted pause and its mean absolute deviation."""

    mean_s: float
    deviation_s: float


def _factor(engine, backend, load):
    """Return how much slower than the reference a server runs a step."""
    accelerator = engine.accelerators.get(backend.accelerator)
    return (accelerator.step_factor if accelerator else 1.0) * load.slowness


def _step_s(engine, batch, context_tokens):
    """Return the time of one step of all layers at the reference speed."""
    step_ms = engine.step_ms + batch * (
        engine.step_per_sequence_ms
        + engine.step_per_1000_tokens_ms * context_tokens / 1000
    )
    return step_ms / MS_PER_S


def pass_times_s(engine, hops, loads, context_tokens=0):
    """Return the time that each hop takes to run an event of one sequence."""
    return [
        (hop.end_layer - hop.first_layer)
        / max(1, engine.total_layers)
        * _factor(engine, hop.backend, loads(hop.backend.server_id))
        * _step_s(engine, 1.0, context_tokens)
        * engine.steps_per_pass
        for hop in hops
    ]


def expected_pause_s(engine, hops, loads, context_tokens=0):
    """Return the expected pause between two events of a path.

    `loads(server_id)` returns a `HopLoad`. The sequences at a server are
    spread over the path in proportion to the time that a pass takes at each
    hop; those that arrive during a pass wait for half of it on average and
    run together in the next one.
    """
    times_s = pass_times_s(engine, hops, loads, context_tokens)
    cycle_s = sum(times_s)
    if cycle_s <= 0:
        return 0.0
    one_step_s = _step_s(engine, 1.0, context_tokens)
    pause_s = 0.0
    for hop, time_s in zip(hops, times_s, strict=True):
        others = max(0.0, loads(hop.backend.server_id).requests - 1)
        batch = 1 + others * time_s / cycle_s
        growth = _step_s(engine, batch, context_tokens) / one_step_s
        busy_share = min(1.0, others * time_s / cycle_s)
        pause_s += time_s * growth * (1 + busy_share / 2)
    return pause_s


def read_time_s(engine, hops, tokens, loads):
    """Return the time that hops need to read a prompt before its next event.

    The chunks of a prompt follow each other through the hops, so that the
    slowest hop bounds all chunks but the first one.
    """
    chunk = engine.chunk_tokens or tokens
    chunks = max(1.0, tokens / max(1, chunk))
    whole_s = tokens / engine.read_tokens_per_s
    whole_s += engine.read_per_pairs_ms * tokens**2 / 1e6 / MS_PER_S
    times_s = [0.0]
    for hop in hops:
        kind = engine.accelerators.get(hop.backend.accelerator)
        factor = kind.read_factor if kind else 1.0
        factor *= loads(hop.backend.server_id).slowness
        layers = hop.end_layer - hop.first_layer
        times_s.append(whole_s * factor * layers / engine.total_layers)
    return sum(times_s) / chunks + max(times_s) * (1 - 1 / chunks)


@attrs.define
class _Measured:
    """Running mean and deviation of measured over predicted pauses."""

    ratio: float = 1.0
    deviation: float = DEFAULT_DEVIATION_SHARE
    count: int = 0

    def add(self, ratio):
        """Add a measured ratio."""
        if not self.count:
            self.ratio = ratio
        error = ratio - self.ratio
        self.ratio += MEAN_WEIGHT * error
        self.deviation += DEVIATION_WEIGHT * (abs(error) - self.deviation)
        self.count += 1


class PausePredictor:
    """Predict pauses of paths, corrected by those that were measured.

    `tracker.hop_load(server_id)` returns a `HopLoad`; `metrics` records the
    error.
    """

    def __init__(self, tracker, metrics):
        self._tracker = tracker
        self._metrics = metrics
        self._paths = collections.OrderedDict()
        self._kinds = collections.defaultdict(_Measured)

    def loads(self, server_id):
        """Return the `HopLoad` of a server."""
        return self._tracker.hop_load(server_id)

    def path(self, engine, hops, tokens=0):
        """Return the `PathPauses` of a stream with a context of tokens."""
        return PathPauses(self, engine, tuple(hops), tokens)

    def measured(self, path):
        """Return measured over predicted pauses of a path or its kinds."""
        known = self._paths.get(path.key)
        if known is not None and known.count >= MIN_PATH_PAUSES:
            return known
        mean = _Measured(0.0, 0.0)
        for kind, share in path.kind_shares.items():
            mean.ratio += share * self._kinds[kind].ratio
            mean.deviation += share * self._kinds[kind].deviation
        return mean

    def record(self, path, ratio, error_s):
        """Learn from a measured pause of a path."""
        self._metrics.record_s('pause_prediction_error', error_s)
        known = self._paths.pop(path.key, None) or _Measured()
        self._paths[path.key] = known
        known.add(ratio)
        while len(self._paths) > MAX_PATHS:
            self._paths.popitem(last=False)
        for kind in path.kind_shares:
            self._kinds[kind].add(ratio)


class PathPauses:
    """The predicted pauses of one stream over its path."""

    def __init__(self, predictor, engine, hops, tokens):
        self._predictor = predictor
        self._engine = engine
        self._hops = hops
        self._tokens = tokens
        self.key = tuple((h.backend.server_id, h.end_layer) for h in hops)
        layers = sum(hop.end_layer - hop.first_layer for hop in hops) or 1
        self.kind_shares = collections.Counter()
        for hop in hops:
            kind = engine.model, hop.backend.accelerator
            share = (hop.end_layer - hop.first_layer) / layers
            self.kind_shares[kind] += share
        self._model_s = 0.0
        self.update()

    def update(self):
        """Compute the pause again for the present load of the servers."""
        self._model_s = expected_pause_s(
            self._engine, self._hops, self._predictor.loads, self._tokens
        )

    def predict(self):
        """Return the expected `Pause`."""
        known = self._predictor.measured(self)
        return Pause(
            self._model_s * known.ratio, self._model_s * known.deviation
        )

    def record(self, pause_s):
        """Learn from a measured pause."""
        if self._model_s > 0:
            error_s = abs(pause_s - self.predict().mean_s)
            ratio = min(MAX_RATIO, pause_s / self._model_s)
            self._predictor.record(self, ratio, error_s)
