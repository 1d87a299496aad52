"""Run a call at one server of a plain service."""

import asyncio

from pimentowalk.core import errors
from pimentowalk.dispatch import call_run
from pimentowalk.dispatch import calls

# A safe call that is silent for this share of its time is tried elsewhere.
SAFE_PATIENCE_SHARE = 0.45
LEAST_PATIENCE_S = 0.15
SERVER_FAULT = 500
# A server in another zone is chosen if it has this much less of its slots
# in use.
ZONE_SHARE = 0.15
# A server that fails all calls counts as one with so many more of its slots
# in use.
FAILURE_WEIGHT = 2.0
# Tells equal servers apart.
JITTER = 0.05


def choose_server(backends, book, outcomes, *, zone, avoid, rng):
    """Return the server with the least work for its slots, or None."""
    best = None
    for backend in backends:
        if backend.server_id in avoid:
            continue
        load = book.requests(backend.server_id) / max(backend.slots, 1)
        load += 0 if backend.zone == zone else ZONE_SHARE
        load += outcomes.failure_share(backend.server_id) * FAILURE_WEIGHT
        load += rng.random() * JITTER
        if best is None or load < best[0]:
            best = load, backend
    return best[1] if best else None


class PlainRun(call_run.CallRun):
    """One call of a plain service with its tries."""

    def _choose(self):
        dispatcher = self._dispatcher
        backend = choose_server(
            dispatcher.node.backends.usable(self._service.name),
            dispatcher.book,
            dispatcher.outcomes,
            zone=dispatcher.zone,
            avoid=self._avoid,
            rng=dispatcher.rng,
        )
        return calls.Target(backend) if backend else None

    def _is_last(self):
        route = self._call.route
        return not route.is_repeatable or self._runs + 1 >= route.attempts

    async def _try(self):
        dispatcher = self._dispatcher
        call = self._call
        target = self._target
        last = self._is_last()
        left_s = call.ends_s - dispatcher.timers.now_s()
        patience_s = left_s
        if not last:
            patience_s = max(left_s * SAFE_PATIENCE_SHARE, LEAST_PATIENCE_S)
        ids = [target.backend.server_id]
        dispatcher.book.begin(ids, 0)
        answer = None
        try:
            async with asyncio.timeout(patience_s):
                answer = await dispatcher.transport.send(
                    call, target, self._remaining_ms(), 0
                )
                if answer.status >= SERVER_FAULT and not last:
                    raise calls.Broken(
                        f'status {answer.status}', peer=target.backend.address
                    )
                # The whole body is read first, so that an answer that
                # breaks off can still be replaced by another one.
                body = await _read_all(answer)
            dispatcher.outcomes.record(
                target.backend.server_id,
                failed=answer.status >= SERVER_FAULT,
            )
            await self._responder.start(answer)
            await self._responder.write(body)
            await self._responder.finish()
        except TimeoutError:
            raise calls.Broken(
                f'no answer within {patience_s:.2f} s',
                peer=target.backend.address,
            ) from None
        finally:
            dispatcher.book.end(ids, 0)
            if answer is not None:
                answer.close()

    def _note_failure(self, error):
        dispatcher = self._dispatcher
        target = self._target
        if not isinstance(error, calls.Refused):
            self._runs += 1
        self._avoid.add(target.backend.server_id)
        dispatcher.outcomes.record(target.backend.server_id, failed=True)
        dispatcher.log_failed_try(self._call, target, error)
        if calls.proves_server_down(error):
            dispatcher.suspect(target.backend, error.message)
        else:
            dispatcher.checks.check(target.backend)
        if not isinstance(error, calls.Refused):
            dispatcher.note_failed_run(self._call, target.backend)

    def _final(self, failure):
        call = self._call
        if self._dispatcher.timers.now_s() >= call.ends_s:
            return errors.PimentowalkError(
                'no answer in time', code='deadline', step='forward'
            )
        if failure is None or not self._runs:
            return errors.PimentowalkError(
                'no backend server took the call',
                code='not_run',
                step='forward',
                peer=failure.peer if failure else '',
            )
        return errors.OutcomeUnknown(
            failure.message, step=failure.step, peer=failure.peer
        )


async def _read_all(answer):
    pieces = []
    while piece := await answer.read():
        pieces.append(piece)
    return b''.join(pieces)
