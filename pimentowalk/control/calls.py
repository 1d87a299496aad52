"""Send a control request to the leader and interpret the answer."""

import attrs

from pimentowalk.control import commands
from pimentowalk.core import errors
from pimentowalk.wire import messages

# Longer than the server waits for a quorum, so that an answer that is late
# but certain is not given up.
CALL_TIMEOUT_S = 3.0
RETRY_DELAY_S = 0.1
# The command did not reach the log; another instance or a later try may
# accept it.
NOT_APPENDED = frozenset({'not_leader', 'no_quorum', 'overloaded', 'draining'})
# A refusal with this code stays true: versions only rise, and change ids
# are not forgotten while a client retries.
LASTING = frozenset({'conflict', 'unauthorized'})


@attrs.define
class _Progress:
    """What is known of a request that is being retried."""

    target: str
    may_have_run: bool = False
    last: str = 'no control instance answers'


class Caller:
    """Retry requests at the control instances until a certain answer.

    `connect(instance_id)` returns a running PeerConnection or raises
    PeerLost.
    """

    def __init__(self, instance_ids, connect, timers, *, token=''):
        self._instance_ids = list(instance_ids)
        self._connect = connect
        self._timers = timers
        self._token = token
        self._leader_id = self._instance_ids[0]

    async def request(self, body, timeout_s=10.0):
        """Return the result of a command or query.

        Raises OutcomeUnknown if it may have been applied, and any other
        PimentowalkError only if it was not.
        """
        request = messages.ControlRequest(
            body.NAME, commands.encode(body), self._token
        )
        deadline_s = self._timers.now_s() + timeout_s
        progress = _Progress(self._leader_id)
        while True:
            remaining_s = deadline_s - self._timers.now_s()
            if remaining_s <= 0:
                raise self._given_up(body, progress)
            reply = await self._attempt(request, remaining_s, progress)
            if reply is not None and not self._must_retry(reply, progress):
                return self._result(body, reply, progress)
            await self._timers.sleep(min(RETRY_DELAY_S, remaining_s))

    async def _attempt(self, request, remaining_s, progress):
        try:
            connection = await self._connect(progress.target)
        except errors.PimentowalkError as error:
            progress.last = str(error)
            self._next_target(progress)
            return None
        try:
            return await connection.call(
                request, min(CALL_TIMEOUT_S, remaining_s)
            )
        except (errors.PeerLost, TimeoutError) as error:
            progress.may_have_run = True
            progress.last = f'{progress.target}: {error or "timeout"}'
            self._next_target(progress)
            return None

    def _next_target(self, progress):
        ids = self._instance_ids
        progress.target = ids[(ids.index(progress.target) + 1) % len(ids)]

    def _must_retry(self, reply, progress):
        if reply.code == 'outcome_unknown':
            progress.may_have_run = True
        elif reply.code not in NOT_APPENDED:
            return False
        progress.last = f'{progress.target}: {reply.code}: {reply.text}'
        known = reply.leader_id in self._instance_ids
        if known and reply.leader_id != progress.target:
            progress.target = reply.leader_id
        elif reply.code != 'overloaded':
            self._next_target(progress)
        return True

    def _result(self, body, reply, progress):
        if not body.LOCAL:
            self._leader_id = progress.target
        if not reply.code:
            return commands.decode(reply.content, body.RESULT)
        code = reply.code if reply.code in errors.CODES else 'internal'
        if progress.may_have_run and code not in LASTING and body.LOGGED:
            raise errors.OutcomeUnknown(
                f'an earlier try may have been applied; the last one was '
                f'refused: {reply.text}',
                step=body.NAME,
                peer=progress.target,
            )
        raise errors.PimentowalkError(
            reply.text, code=code, step=body.NAME, peer=progress.target
        )

    def _given_up(self, body, progress):
        if progress.may_have_run and body.LOGGED:
            return errors.OutcomeUnknown(
                f'the change may have been applied; send it again with the '
                f'same change id ({progress.last})',
                step=body.NAME,
            )
        return errors.NoQuorum(progress.last, step=body.NAME)
