"""State of the servers being paced, and the pace that is switched off."""

import collections

import attrs

START = 'start'
PAUSE = 'pause'
SUSPICION = 'suspicion'
SLOW = 'slow spell'
ROLLOUT = 'new layers'
# A quarter of the usual load shows whether a server is warm, and a server with
# a quarter of its capacity can still finish it. A pause or a suspicion that is
# withdrawn is no reason to be cold.
START_SHARES = {
    START: 0.25,
    ROLLOUT: 0.25,
    SLOW: 0.25,
    PAUSE: 0.5,
    SUSPICION: 0.5,
}
ANSWERED, ABANDONED = 'answered', 'abandoned'
MAX_SAMPLES = 64
# The cost of a server that may not receive another request now, as of one
# whose memory is full.
FULL_COST_S = 8.0


@attrs.define(eq=False)
class Probe:
    """A request without an answer yet.

    `paced_ids` are the servers of its path that are being paced. `model_s` is
    the time to the answer by the model of the service, `expected_s` the usual
    one, 0 if it is unknown.
    """

    service: str
    backends: tuple
    paced_ids: tuple
    begun_s: float
    model_s: float
    expected_s: float


@attrs.frozen
class Sample:
    """The slowdown of the answer to a request."""

    begun_s: float
    answered_s: float
    slowdown: float


@attrs.define(eq=False)
class Paced:
    """The state of a server that is being paced.

    `wanted` counts the requests of this gateway that chose the server, and
    `denied_s` is when the last one was denied. `load` is the mean number of
    requests at the server over all gateways, `held_s` the time to an answer.
    `rounding` is added to shares, so that their sum is the limit on average.
    """

    backend: object
    reason: str
    limiter: object
    begin_s: float
    wanted: int = 0
    denied_s: float = float('-inf')
    updated_s: float = float('-inf')
    samples: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_SAMPLES)
    )
    probes: set = attrs.field(factory=set)
    refusals: int = 0
    refused_s: float = float('-inf')
    expected_s: float = 0.0
    held_s: float = 0.0
    load: float = 0.0
    rounding: float = 0.0
    rounded_s: float = float('-inf')


class Unpaced:
    """The pace of servers where it is switched off."""

    def __len__(self):
        return 0

    def has_room(self, backend):
        """Return True: no server is limited."""
        return True

    def costs_s(self, backends):
        """Return no additional costs."""
        return {}

    def slots(self, backend):
        """Return the slots of a server."""
        return backend.slots

    def begin(self, service, backends, model_s=1.0):
        """Return None: the request is not observed."""

    def end(self, probe, outcome):
        """Ignore the end of a request."""

    def record_refusal(self, server_id):
        """Ignore a refusal."""

    def record_start(self, backend, warmup_left_s=0.0):
        """Ignore a start."""

    def record_return(self, backend, reason, delay_s=0.0):
        """Ignore a return."""

    def record_slowness(self, backend, factor):
        """Ignore how slow a server says it is."""

    def keep_services(self, services):
        """Do nothing, since no service has state."""

    def report(self):
        """Return nothing to report."""
        return []

    def record_report(self, node_id, answers):
        """Ignore the answers that another gateway saw."""

    def record_summary(self, answers):
        """Ignore the answers that other gateways saw."""

    def keep_only(self, server_ids):
        """Do nothing, since no server has state."""


OFF = Unpaced()
