"""Attempts of a head and the frames that prepare their stages."""

import asyncio

import attrs

from pimentowalk.agent import preparation
from pimentowalk.wire import messages

PREPARE_TIMEOUT_S = 2.0
# The reason of a CloseAttempt that follows a complete answer.
FINISHED = 'finished'
# Engines run a higher priority first where more sequences are open than
# run at once, as at a stage that several heads share.
SHORT_PRIORITY = 1


@attrs.define(eq=False)
class Attempt:
    """An attempt that a head queues or drives.

    `prepared` holds the stages that were asked to open a sequence.
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


def priority_of(work):
    """Return the priority of work at the engines: short before long."""
    return SHORT_PRIORITY if work.is_short else 0


def prepare_frame(frame, position, isolate=False, priority=0):
    """Return the frame that prepares one stage of an attempt."""
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
    """Return how long a stage may take to prepare an attempt."""
    if isolate:
        return PREPARE_TIMEOUT_S + preparation.ISOLATE_WAIT_S
    return PREPARE_TIMEOUT_S
