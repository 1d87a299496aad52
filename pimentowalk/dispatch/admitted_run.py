"""Admission of streams while the servers are full."""

import abc

from pimentowalk.dispatch import stream_admission
from pimentowalk.dispatch import watched_run

# Started streams that wait for capacity go before all new ones.
STARTED_PRIORITY = -1


class AdmittedRun(watched_run.WatchedRun):
    """A streamed call that waits until servers have capacity for it."""

    def __init__(self, dispatcher, call, service, responder):
        super().__init__(dispatcher, call, service, responder)
        self._admission_wait_s = 0.0
        self._memory_share = 0.0
        # The admission of the call, from its first try on.
        self._admission = None
        # Whether it was counted that other accounts need capacity first.
        self._has_reserve = False

    @property
    def _shares(self):
        return self._dispatcher.account_shares

    @property
    def _account_name(self):
        account = self._call.account
        return account.name if account else ''

    def _reserved_share(self):
        """Return which part of a server other accounts need; count it once."""
        reserved = self._shares.reserved_share(self._account_name)
        if reserved and not self._has_reserve:
            self._has_reserve = True
            self._dispatcher.metrics.count('streams_over_share')
        return reserved

    @abc.abstractmethod
    def _admission_times_s(self):
        """Return when a new stream is overdue, and until when it waits."""

    def _choose_successor(self):
        queue, priority = self._admission.queue, self._call.priority
        if not self._responder.started and queue.must_wait(priority):
            return None
        return super()._choose_successor()

    async def _select_target(self):
        """Choose a path, after the streams that already wait for capacity."""
        if self._standby is not None:
            self._target = self._standby.target
            return
        if self._admission is None:
            self._begin_admission()
            if not self._responder.started:
                self._admission.record_arrival(self._tokens)
        if self._responder.started:
            await self._select_for_started()
        else:
            await self._select_for_new()

    def _begin_admission(self):
        due_s, _ = self._admission_times_s()
        self._admission = stream_admission.StreamAdmission(
            self._dispatcher, self._service, self._call, due_s
        )

    async def _select_for_new(self):
        admission, priority = self._admission, self._call.priority
        if not admission.queue.must_wait(priority):
            self._target = self._choose()
            if self._target is not None:
                admission.record_admission(self._admission_wait_s)
            if not self._lacks_capacity:
                return
        is_early = admission.must_refuse()
        if is_early:
            self._target = None
            self._lacks_capacity = True
        else:
            due_s, until_s = self._admission_times_s()
            await self._wait_for_capacity(priority, due_s, until_s)
        if self._target is None:
            admission.record_refusal(
                is_early=is_early, memory_share=self._memory_share
            )
        else:
            admission.record_admission(self._admission_wait_s)

    async def _select_for_started(self):
        """Choose a path for a stream whose client cannot retry."""
        self._target = self._choose()
        if self._lacks_capacity:
            end_s = self._wait_end_s()
            await self._wait_for_capacity(STARTED_PRIORITY, end_s, end_s)

    async def _wait_for_capacity(self, priority, due_s, until_s):
        timers = self._dispatcher.timers
        since_s = timers.now_s()
        with self._shares.waiting(self._account_name):
            self._target = await self._admission.queue.wait(
                self._choose,
                priority,
                due_s=due_s,
                until_s=until_s,
                account_rank=self._shares.ranking(self._account_name),
            )
        self._lacks_capacity = self._target is None
        self._admission_wait_s += timers.now_s() - since_s
        self._dispatcher.metrics.record_s('room_wait', self._admission_wait_s)

    def _record_begin(self):
        """Count a try that holds capacity from now on."""
        if self._admission is not None:
            self._admission.record_begin()

    def _record_held(self, held_s):
        """Count the end of a try, and for how long it held capacity."""
        if self._admission is not None:
            self._admission.record_held(held_s)

    def _return_s(self):
        """Return after how long a refused caller should return, or 0."""
        return self._admission.return_s if self._admission else 0.0
