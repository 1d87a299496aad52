"""How long answers usually take, relative to a model of the servers."""

# Weight of a new answer, so that some dozens count.
WEIGHT = 0.03
# Fewer answers do not show the usual time.
MIN_ANSWERS = 5


def first_event_s(engine, hops, prompt_tokens):
    """Return the time to the first event by the model of an engine."""
    total_s = 0.0
    for hop in hops:
        accelerator = engine.accelerators.get(hop.backend.accelerator)
        if accelerator is None:
            continue
        share = (hop.end_layer - hop.first_layer) / engine.total_layers
        read_s = prompt_tokens / engine.read_tokens_per_s
        step_s = engine.step_ms / 1000
        total_s += share * (
            read_s * accelerator.read_factor + step_s * accelerator.step_factor
        )
    return total_s


class AnswerTimes:
    """Keep the mean ratio of answer times to their model, by service.

    The model of a service without an engine is one second.

    >>> times = AnswerTimes()
    >>> for _ in range(5):
    ...     times.record('svc', 0.2)
    >>> round(times.expected_s('svc'), 2)
    0.2
    """

    def __init__(self):
        self._ratios = {}

    def record(self, service, elapsed_s, model_s=1.0):
        """Record the time to an answer of a server that is not paced."""
        if model_s <= 0:
            return
        count, ratio = self._ratios.get(service, (0, 0.0))
        weight = max(WEIGHT, 1 / (count + 1))
        ratio += weight * (elapsed_s / model_s - ratio)
        self._ratios[service] = count + 1, ratio

    def expected_s(self, service, model_s=1.0):
        """Return the usual time to an answer, 0 if it is unknown."""
        count, ratio = self._ratios.get(service, (0, 0.0))
        return ratio * model_s if count >= MIN_ANSWERS else 0.0

    def keep_only(self, services):
        """Forget all other services."""
        for service in self._ratios.keys() - set(services):
            del self._ratios[service]
