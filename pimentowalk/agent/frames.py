"""Handlers for the frames that an agent receives from its peers."""

from pimentowalk.agent import attempts
from pimentowalk.agent import rules
from pimentowalk.agent import sequences
from pimentowalk.core import errors
from pimentowalk.wire import connection as wire
from pimentowalk.wire import messages

STATES = messages.AttemptState


class FrameHandlers:
    """Dispatch each frame to the component that handles its type.

    `agent` is a `node.Agent`.
    """

    def __init__(self, agent):
        self._agent = agent
        self._handlers = {
            messages.OpenAttempt: self._open_attempt,
            messages.PrepareAttempt: self._prepare_attempt,
            messages.CloseAttempt: self._close_attempt,
            messages.StepBatch: self._step_batch,
            messages.TokenBatch: self._token_batch,
            messages.StepFailed: self._step_failed,
            messages.RenewAttempts: self._renew_attempts,
            messages.LoadReport: self._load_report,
            messages.Empty: self._empty,
            messages.ServiceCall: self._service_call,
            messages.AttemptQuery: self._attempt_query,
            messages.Order: self._order,
            messages.Failure: self._failure,
        }

    async def on_frame(self, connection, envelope):
        """Handle one frame from a peer."""
        self._agent.lifecycle.check_clock()
        self._agent.session.observe_version(envelope.config_version)
        handler = self._handlers.get(type(envelope.body))
        if handler is None:
            await wire.ignore_frame(connection, envelope)
        await handler(connection, envelope)

    async def _open_attempt(self, connection, envelope):
        if not envelope.body.chain:
            raise errors.FrameError(
                'OpenAttempt has an empty chain', step='open'
            )
        self._agent.load_table.subscribe(connection)
        self._agent.head.open(connection, envelope.body)

    async def _prepare_attempt(self, connection, envelope):
        self._agent.preparation.handle(connection, envelope)

    async def _close_attempt(self, connection, envelope):
        frame = envelope.body
        if self._agent.is_plain:
            self._agent.service_calls.close(frame)
            return
        if connection.hello.role == 'entry':
            self._agent.head.close(connection, frame)
        else:
            self._clear_suspicion(frame)
        self._agent.stage.close(frame.request_id, frame.attempt)

    def _clear_suspicion(self, frame):
        key = (frame.request_id, frame.attempt)
        sequence = self._agent.stage.sequences.get(key)
        if sequence is not None and frame.reason == attempts.FINISHED_REASON:
            self._agent.suspect_table.clear(sequence.fingerprint)

    async def _step_batch(self, connection, envelope):
        self._agent.load_table.update(envelope.body.loads)
        self._agent.stage.on_steps(envelope.body)

    async def _token_batch(self, connection, envelope):
        self._agent.load_table.update(envelope.body.loads)
        self._agent.head.on_tokens(envelope.body.tokens)

    async def _step_failed(self, connection, envelope):
        self._agent.head.on_failed(envelope.body)

    async def _renew_attempts(self, connection, envelope):
        frame = envelope.body
        for key in zip(frame.request_ids, frame.attempts, strict=False):
            self._agent.stage.renew_lease(*key)

    async def _load_report(self, connection, envelope):
        self._agent.load_table.update(envelope.body.loads)
        self._agent.link_delays.update(envelope.body.links)

    async def _empty(self, connection, envelope):
        if envelope.call_id:
            await connection.reply(envelope, messages.Empty())

    async def _service_call(self, connection, envelope):
        frame = envelope.body
        if not self._agent.is_plain:
            raise errors.FrameError(
                'this backend server is not a plain service', step='call'
            )
        self._agent.load_table.subscribe(connection)

        def send_reply(reply):
            try:
                _post(connection, envelope, reply)
            except errors.FrameError as error:
                error_reply = messages.ServiceReply(
                    frame.request_id,
                    frame.attempt,
                    STATES.FAILED,
                    error.code,
                    error.message,
                )
                _post(connection, envelope, error_reply)

        self._agent.service_calls.open(connection, frame, send_reply)

    async def _attempt_query(self, connection, envelope):
        agent = self._agent
        frame = envelope.body
        key = (frame.request_id, frame.attempt)
        record = agent.records.fence(*key, sequences.CLAIM_RECORD_TTL_S)
        agent.head.abandon(*key)
        agent.service_calls.close(frame)
        if key in agent.service_calls.calls:
            await _reply(
                connection, envelope, _status(agent, key, STATES.ADMITTED)
            )
            return
        never_admitted = rules.was_never_admitted(
            record,
            frame.attempt,
            same_incarnation=frame.incarnation == agent.identity.incarnation,
        )
        state = STATES.CANCELLED if never_admitted else STATES.FAILED
        code = 'not_run' if never_admitted else 'outcome_unknown'
        status = _status(agent, key, state, code)
        await _reply(connection, envelope, status)

    async def _order(self, connection, envelope):
        # Orders of one connection are executed in the order of arrival: the
        # frames behind an order wait until the engine has answered.
        reply = await self._agent.orders.handle(envelope.body)
        await _reply(connection, envelope, reply)

    async def _failure(self, connection, envelope):
        raise errors.PeerLost(
            envelope.body.text, step='receive', peer=connection.peer
        )


def _status(agent, key, state, code=''):
    return messages.AttemptStatus(
        *key, state, code, step='query', peer=agent.identity.server_id
    )


def _post(connection, envelope, body):
    call_id = envelope.call_id | 1 if envelope.call_id else 0
    connection.post_encoded(connection.encode(body, call_id=call_id))


async def _reply(connection, envelope, body):
    if envelope.call_id:
        await connection.reply(envelope, body)
    else:
        await connection.send(body)
