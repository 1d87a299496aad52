"""Attempts at a head agent and the frames that prepare their stages."""

import asyncio

import attrs

from pimentowalk.agent import preparation
from pimentowalk.wire import messages

PREPARE_TIMEOUT_S = 2.0
# Reason in the CloseAttempt that a head sends after a complete answer.
FINISHED_REASON = 'finished'
# Engines run sequences of higher priority first when more are open than run
# at once, for example at a stage that several heads share.
SHORT_PRIORITY = 1


@attrs.define(eq=False)
class Attempt:
    """An attempt that is queued or running at its head.

    `entry` is the connection to the entry that opened it, `sequence` the
    head's own sequence once it runs, `preparing` the task that prepares the
    later stages, and `prepared` the stages that were asked to open a
    sequence.
    """

    frame: messages.OpenAttempt
    entry: object
    sequence: object = None
    preparing: asyncio.Task | None = None
    prepared: list = attrs.field(factory=list)

    @property
    def key(self):
        """Return the request id and the attempt."""
        return self.frame.request_id, self.frame.attempt


def engine_priority(work):
    """Return the engine priority of queued work: short before long."""
    return SHORT_PRIORITY if work.is_short else 0


def prepare_frame(frame, position, isolate=False, priority=0):
    """Return the PrepareAttempt for one stage of an attempt."""
    return messages.PrepareAttempt(
        frame.request_id,
        frame.attempt,
        frame.model,
        frame.version,
        frame.adapter,
        frame.seed,
        frame.temperature,
        position,
        frame.max_tokens,
        frame.chain,
        len(frame.generated),
        frame.account,
        frame.fingerprint,
        isolate,
        priority,
    )


def prepare_timeout_s(isolate):
    """Return the timeout for preparing one stage; a suspect may wait."""
    if isolate:
        return PREPARE_TIMEOUT_S + preparation.SUSPECT_WAIT_S
    return PREPARE_TIMEOUT_S
