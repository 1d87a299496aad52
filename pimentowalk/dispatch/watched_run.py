"""Find out why a streamed run is silent, and let it go on elsewhere."""

import asyncio

from pimentowalk.dispatch import call_run
from pimentowalk.dispatch import calls
from pimentowalk.routing import hops as routing_hops

# Without an event for this long the head is asked which server stands
# still. Events follow each other within 40 ms, and a pause above 250 ms
# makes an answer late.
SILENCE_S = 0.15
# The first event may take longer: the prompt is read before it. Asked by
# now, a request can still begin elsewhere within its objective.
FIRST_SILENCE_S = 0.25
# The head is asked again after this time, which doubles up to the longest:
# its report lags by 200 ms, and under load all streams wait and ask.
ASK_AGAIN_S = 0.1
LONGEST_ASK_AGAIN_S = 0.8
# A run on a path with a suspect is moved without a question unless an
# event came just now.
SUSPECT_SILENCE_S = 0.06


class WatchedRun(call_run.CallRun):
    """A call whose answer comes in events over a path of servers."""

    def __init__(self, dispatcher, call, service, responder):
        super().__init__(dispatcher, call, service, responder)
        self.progress_s = 0.0
        self._tokens = call.prompt_tokens + call.expected_answer_tokens
        self._has_begun = False
        self._try_task = None
        self._interruption = None
        self._asking = None
        self._asks = 0
        self._recovering = None

    @property
    def has_begun(self):
        """Return whether the current try has brought an event."""
        return self._has_begun

    @property
    def servers(self):
        """Return the servers of the current path."""
        return self._target.servers if self._target else ()

    def _choose_hops(self, head=None):
        dispatcher = self._dispatcher
        return dispatcher.paths.choose(
            dispatcher.node.backends.usable(self._service.name),
            routing_hops.PathQuery(
                self._service.engine.total_layers,
                self._tokens,
                dispatcher.zone,
                frozenset(self._avoid),
                head,
            ),
        )

    def watch(self, now_s):
        """Look for the cause of a silence, see `Dispatcher.start`."""
        if self._try_task is None or self._try_task.done():
            return
        silent_s = now_s - self.progress_s
        if silent_s < SUSPECT_SILENCE_S:
            return
        if self._recovering is not None:
            return
        gone = self._missing_server()
        if gone is not None:
            self._recover(gone.address, 'a server of the path failed')
            return
        limit_s = SILENCE_S if self._has_begun else FIRST_SILENCE_S
        if silent_s >= limit_s and self._asking is None:
            self._asking = asyncio.ensure_future(self._ask())

    def _missing_server(self):
        """Return a server of the path that no longer runs its part."""
        table = self._dispatcher.node.backends
        for hop in self._target.hops:
            server = hop.backend
            if table.has_failed(server):
                return server
            known = table.get(server.server_id)
            if known is None:
                continue
            # One that is leaving finishes what it has begun.
            holds = (
                known.first_layer <= hop.first_layer
                and hop.end_layer <= known.end_layer
            )
            if known.state == server.state and not holds:
                return server
        return None

    async def _ask(self):
        """Ask the head which server stands still."""
        dispatcher = self._dispatcher
        head = self._target.backend
        try:
            report = await dispatcher.checks.report(head)
        except calls.NoAnswer:
            # The link may be at fault. A second silence makes the head a
            # suspect, which `watch` notices.
            dispatcher.checks.check(head)
            await self._ask_later()
            return
        except calls.TryFailed as error:
            self._interrupt(
                calls.Stalled(
                    error.message, peer=head.address, culprit=head.address
                )
            )
            return
        address = report.stalled.get(self._call.request_id)
        if address is None:
            await self._ask_later()
            return
        culprit = dispatcher.node.backends.at_address(address)
        if culprit is not None:
            dispatcher.checks.accuse(culprit)
        self._recover(address, 'the path stands still')

    async def _ask_later(self):
        pause_s = min(ASK_AGAIN_S * 2**self._asks, LONGEST_ASK_AGAIN_S)
        self._asks += 1
        await self._dispatcher.timers.sleep(pause_s)
        self._asking = None

    def _recover(self, address, reason):
        """Leave a failed server: by another path, or by another run."""
        if self._recovering is None:
            self._recovering = asyncio.ensure_future(
                self._leave(address, reason)
            )

    async def _leave(self, address, reason):
        for server in self._target.servers:
            if server.address == address:
                self._avoid.add(server.server_id)
        # Another run goes on within 100 ms. A new path for the same run
        # waits until its stalled step is given up, but needs no attempt.
        can_run = self._runs < self._call.route.attempts
        is_head = address == self._target.backend.address
        if can_run or is_head or not await self._move():
            self._interrupt(
                calls.Stalled(
                    reason, peer=self._target.backend.address, culprit=address
                )
            )

    async def _move(self):
        """Go on over other hops from the same head; return whether so."""
        dispatcher = self._dispatcher
        old = self._target
        hops = self._choose_hops(head=old.hops[0])
        if hops is None:
            return False
        target = calls.Target(old.backend, tuple(hops))
        try:
            await dispatcher.transport.reroute(
                old.backend, self._call.request_id, hops
            )
        except calls.TryFailed as error:
            dispatcher.log_failed_try(self._call, target, error)
            return False
        dispatcher.metrics.count('moved_paths')
        dispatcher.book.end(old.server_ids, self._tokens)
        dispatcher.book.begin(target.server_ids, self._tokens)
        self._target = target
        self.progress_s = dispatcher.timers.now_s()
        self._recovering = None
        return True

    def _interrupt(self, error):
        if self._try_task is not None and not self._try_task.done():
            self._interruption = error
            self._try_task.cancel()
