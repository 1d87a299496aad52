"""Test streams whose servers send bytes that complete no event."""

import asyncio
import types

import pytest

from pimentowalk.dispatch import calls
from pimentowalk.dispatch import stream
from pimentowalk.dispatch import transport
from pimentowalk.dispatch.tests import fakes

EVENT = b'id: 1\ndata: a\n\n'
EVENT_TIMEOUT_S = 0.2


class ScriptedResponse(transport.Response):
    """Send chunks, each after a pause."""

    status = 200

    def __init__(self, chunks, pause_s):
        self._chunks = list(chunks)
        self._pause_s = pause_s
        self.is_closed = False

    async def read(self):
        await asyncio.sleep(self._pause_s)
        return self._chunks.pop(0) if self._chunks else b''

    def close(self):
        self.is_closed = True


class RecordingResponder(transport.Responder):
    """Collect what the client receives."""

    def __init__(self):
        self.body = b''
        self.is_finished = False

    async def start(self, response):
        self.started = True

    async def write(self, data):
        self.body += data

    async def finish(self):
        self.is_finished = True

    def abort(self):
        pass


def new_run(response):
    """Return a run that is sent to one server, and its responder."""
    dispatcher = fakes.dispatcher(fakes.server(1))
    dispatcher.limits = transport.ResponseLimits(
        event_bytes=1000, event_timeout_s=EVENT_TIMEOUT_S
    )

    async def send(*_):
        return response

    dispatcher.transport = types.SimpleNamespace(send=send)
    call = fakes.call(dispatcher.timers.now_s())
    call.deadline_s = call.expires_at_s
    responder = RecordingResponder()
    run = stream.StreamRun(
        dispatcher, call, types.SimpleNamespace(name='svc'), responder
    )
    run._target = calls.Target(fakes.server(1))
    return run, responder


async def test_bytes_without_an_event_end_the_try():
    """A stalled server that sends single bytes would hold its client."""
    response = ScriptedResponse([EVENT, *[b'x'] * 100], EVENT_TIMEOUT_S / 5)
    run, responder = new_run(response)
    with pytest.raises(calls.Broken, match='no event was completed'):
        await run._pass_response()
    assert responder.body == EVENT
    assert not responder.is_finished
    assert response.is_closed
    assert response._chunks


async def test_single_bytes_are_no_progress():
    """A trickle would hide a stalled server from the checks of silence."""
    run, _ = new_run(ScriptedResponse([EVENT, b'x', b'x', b'x'], 0.01))
    with pytest.raises(calls.Broken, match='within an event'):
        await run._pass_response()
    assert run.progress_s == run._last_event_s


async def test_slow_stream_is_not_cut():
    """A server under load may send each event later than the timeout."""
    events = [EVENT, EVENT.replace(b'1', b'2')]
    run, responder = new_run(ScriptedResponse(events, EVENT_TIMEOUT_S * 1.5))
    await run._pass_response()
    assert responder.body == b''.join(events)
    assert responder.is_finished


async def test_event_in_pieces_is_not_cut():
    """Each event may arrive in several pieces, over many events."""
    pieces = []
    for number in range(1, 20):
        pieces += [f'id: {number}\nda'.encode(), b'ta: a\n\n']
    run, responder = new_run(ScriptedResponse(pieces, EVENT_TIMEOUT_S / 10))
    await run._pass_response()
    assert responder.body == b''.join(pieces)


async def test_event_without_end_is_cut():
    """An event that never ends must not fill the memory of the node."""
    response = ScriptedResponse([b'x' * 400] * 100, 0.0)
    run, _ = new_run(response)
    with pytest.raises(calls.Broken, match='too long'):
        await run._pass_response()
    assert len(response._chunks) > 90
