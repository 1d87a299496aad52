"""What the admission of one new stream decides, records and logs."""

import logging

import attrs

from pimentowalk.admission import headroom
from pimentowalk.core import logs

LOG = logging.getLogger(__name__)

# Servers load and lose layers rarely, and each stream that waits asks for its
# limits 50 times a second.
CAPACITY_AGE_S = 1.0
# Metrics have one name for each priority up to this one.
MAX_METRIC_PRIORITY = 9


@attrs.define(eq=False)
class StreamAdmission:
    """The admission of one stream at a service.

    After `due_s` the stream can no longer meet its objective.
    """

    dispatcher: object
    service: object
    call: object
    due_s: float
    return_s: float = 0.0
    _is_admitted: bool = False

    @property
    def queue(self):
        """Return the queue of the service."""
        return self.dispatcher.admission.of_service(self.service.name)

    def _now_s(self):
        return self.dispatcher.timers.now_s()

    def record_arrival(self, tokens):
        """Count the stream and its reservation."""
        self.queue.headroom.record_arrival(self.call.priority, tokens)

    def record_admission(self, wait_s):
        """Count that the stream was admitted first, after a wait."""
        if self._is_admitted:
            return
        self._is_admitted = True
        self.queue.headroom.record_admission(self.call.priority)
        self._count('admitted')
        label = min(self.call.priority, MAX_METRIC_PRIORITY)
        self.dispatcher.metrics.record_s(f'room_wait_priority_{label}', wait_s)

    def record_begin(self):
        """Count a try that holds its reservation from now on."""
        self.queue.headroom.record_begin(self.call.priority)

    def record_held(self, held_s):
        """Count the end of a try that held its reservation for a time."""
        self.queue.headroom.record_end(self.call.priority, held_s)

    def _count(self, name):
        label = min(self.call.priority, MAX_METRIC_PRIORITY)
        self.dispatcher.metrics.count(f'{name}_priority_{label}')

    def memory_limit(self, limit, server):
        """Return the share of a server's memory that the stream may fill."""
        return limit - self._reserve(server, 'reserved_share')

    def slot_limit(self, limit, server):
        """Return the share of a server's slots that the stream may fill."""
        return limit - self._reserve(server, 'reserved_slot_share')

    def _reserve(self, server, kind):
        queue = self.queue
        if not queue.has_priorities:
            return 0.0
        place = headroom.Place(
            self.dispatcher.in_flight.capacity_tokens(server),
            self._total_tokens(queue.headroom),
            server.slots,
            self.dispatcher.node.live_nodes,
        )
        is_overdue = self._now_s() > self.due_s
        reserve = getattr(queue.headroom, kind)
        return reserve(self.call.priority, place, is_overdue=is_overdue)

    def _total_tokens(self, measured):
        """Return the tokens that all servers hold over all layers."""
        now_s = self._now_s()
        if now_s - measured.capacity_at_s > CAPACITY_AGE_S:
            measured.capacity_at_s = now_s
            layers = self.service.engine.total_layers
            in_flight = self.dispatcher.in_flight
            measured.capacity_tokens = sum(
                in_flight.capacity_tokens(server) * server.layer_count / layers
                for server in self.dispatcher.usable(self.service.name)
                if server.layer_count > 0
            )
        return measured.capacity_tokens

    def must_refuse(self):
        """Return whether the stream would probably wait in vain."""
        left_s = self.due_s - self._now_s()
        return self.queue.must_refuse(self.call.priority, left_s)

    def record_refusal(self, *, is_early, memory_share):
        """Plan the return of the caller, and log what decided."""
        queue, priority = self.queue, self.call.priority
        self.return_s = queue.plan_return_s(priority)
        self._count('refused')
        LOG.info(
            'no capacity for a stream',
            extra=logs.fields(
                step='admit',
                request_id=self.call.request_id,
                service=self.service.name,
                priority=priority,
                is_early=is_early,
                waiting=len(queue),
                expected_wait_ms=int(queue.expected_wait_s(priority) * 1000),
                left_ms=int((self.due_s - self._now_s()) * 1000),
                drain_per_s=round(queue.headroom.drain_rate_per_s(), 1),
                memory_share=round(memory_share, 2),
                retry_after_ms=int(self.return_s * 1000),
            ),
        )
