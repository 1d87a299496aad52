"""Send control requests to the leader and interpret the replies."""

import attrs

from pimentowalk.control import commands
from pimentowalk.core import errors
from pimentowalk.wire import messages

# Longer than the server waits for a quorum, so that the client does not time
# out before a late but definite reply arrives.
CALL_TIMEOUT_S = 3.0
RETRY_DELAY_S = 0.1
# With these codes the command was not appended to the log; a retry, also at
# another instance, may be accepted.
NOT_APPENDED = frozenset({'not_leader', 'no_quorum', 'overloaded', 'draining'})
# Refusals that no retry can change: versions only increase, and change ids
# are kept for longer than a client retries.
PERMANENT_REFUSALS = frozenset({'conflict', 'unauthorized'})


@attrs.define
class _RetryState:
    """State of a request across its retries."""

    target: str
    may_be_applied: bool = False
    last_failure: str = 'no control instance answers'


class Caller:
    """Retry requests at the control instances until a definite reply.

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
        state = _RetryState(self._leader_id)
        while True:
            remaining_s = deadline_s - self._timers.now_s()
            if remaining_s <= 0:
                raise self._timeout_error(body, state)
            reply = await self._attempt(request, remaining_s, state)
            if reply is not None and not self._must_retry(reply, state):
                return self._result(body, reply, state)
            await self._timers.sleep(min(RETRY_DELAY_S, remaining_s))

    async def _attempt(self, request, remaining_s, state):
        try:
            connection = await self._connect(state.target)
        except errors.PimentowalkError as error:
            state.last_failure = str(error)
            self._select_next_target(state)
            return None
        try:
            return await connection.call(
                request, min(CALL_TIMEOUT_S, remaining_s)
            )
        except (errors.PeerLost, TimeoutError) as error:
            state.may_be_applied = True
            state.last_failure = f'{state.target}: {error or "timeout"}'
            self._select_next_target(state)
            return None

    def _select_next_target(self, state):
        ids = self._instance_ids
        state.target = ids[(ids.index(state.target) + 1) % len(ids)]

    def _must_retry(self, reply, state):
        if reply.code == 'outcome_unknown':
            state.may_be_applied = True
        elif reply.code not in NOT_APPENDED:
            return False
        state.last_failure = f'{state.target}: {reply.code}: {reply.text}'
        known = reply.leader_id in self._instance_ids
        if known and reply.leader_id != state.target:
            state.target = reply.leader_id
        elif reply.code != 'overloaded':
            self._select_next_target(state)
        return True

    def _result(self, body, reply, state):
        if not body.LOCAL:
            self._leader_id = state.target
        if not reply.code:
            return commands.decode(reply.content, body.RESULT)
        code = reply.code if reply.code in errors.CODES else 'internal'
        if (
            state.may_be_applied
            and code not in PERMANENT_REFUSALS
            and body.LOGGED
        ):
            raise errors.OutcomeUnknown(
                f'an earlier attempt may have been applied; the last one was '
                f'refused: {reply.text}',
                step=body.NAME,
                peer=state.target,
            )
        raise errors.PimentowalkError(
            reply.text, code=code, step=body.NAME, peer=state.target
        )

    def _timeout_error(self, body, state):
        if state.may_be_applied and body.LOGGED:
            return errors.OutcomeUnknown(
                f'the change may have been applied; send it again with the '
                f'same change id ({state.last_failure})',
                step=body.NAME,
            )
        return errors.NoQuorum(state.last_failure, step=body.NAME)
