"""Test which connections make room for new ones."""

import asyncio
import contextlib

import attrs
import pytest

from pimentowalk.core import errors
from pimentowalk.core import timers as core_timers
from pimentowalk.platform import intake as client_intake
from pimentowalk.platform.tests import test_intake
from pimentowalk.settings import gateway as gateway_settings
from tools.tests import waiting

REQUEST = (test_intake.HEAD % 'GET' + '\r\n').replace('/book/', '/look/')
MAX_CONNECTIONS = 2


def _limit_connections(gateway):
    gateway.intake.settings = attrs.evolve(
        gateway.intake.settings, max_connections=MAX_CONNECTIONS
    )


async def _connect_others(gateway, stack):
    """Connect clients that send nothing, one more than there is room for."""
    for _ in range(MAX_CONNECTIONS):
        await stack.enter_async_context(test_intake.connect(gateway))
        await asyncio.sleep(0.05)


@contextlib.asynccontextmanager
async def _waiting_request(gateway, servers, *, ahead):
    """Send a whole request that waits for the start; yield its reader.

    With `ahead`, it is read behind another request of its connection.
    """
    async with test_intake.connect(gateway) as (reader, writer):
        if ahead:
            released = asyncio.Event()
            for server in servers:
                server.released = released
            writer.write(REQUEST.encode() * 2)
            await waiting.until(lambda: gateway.dispatcher.runs)
            gateway.node.has_view = False
            released.set()
            assert await test_intake.read_status(reader) == 200
        else:
            gateway.node.has_view = False
            writer.write(REQUEST.encode())
        await waiting.until(lambda: gateway.drain.active_count)
        yield reader
        gateway.node.has_view = True


@pytest.mark.parametrize('ahead', [False, True])
async def test_whole_request_is_not_cut_for_a_new_connection(cluster, ahead):
    """LOST: a request that waited for the start got no answer.

    Its connection was closed as one that had sent no whole request.
    """
    gateway = cluster.gateways[0]
    _limit_connections(gateway)
    servers = cluster.servers[2:]
    async with (
        contextlib.AsyncExitStack() as stack,
        _waiting_request(gateway, servers, ahead=ahead) as reader,
    ):
        await _connect_others(gateway, stack)
        assert gateway.intake.connection_count <= MAX_CONNECTIONS
        gateway.node.has_view = True
        assert await test_intake.read_status(reader) == 200


@attrs.define(eq=False)
class FakeConnection:
    """The state of a connection that an `Intake` asks for."""

    has_whole_request: bool = False
    has_requests_ahead: bool = False
    has_unsent_bytes: bool = False
    is_cut: bool = False
    refusal: object = None

    def cut(self, reason):
        """Record that the connection was cut."""
        self.is_cut = True

    def end_request(self):
        """Do nothing, since no header section is held."""


def test_connection_with_an_unsent_response_is_not_cut():
    """LOST: an answer was cut whose last bytes its caller had not read."""
    timers = core_timers.ManualTimerService()
    limit = client_intake.Intake(
        gateway_settings.ClientSettings(max_connections=3), timers, None
    )
    unsent, whole, idle, *others = [FakeConnection() for _ in range(5)]
    for connection in (unsent, whole, idle):
        assert limit.admit(connection)
    unsent.has_unsent_bytes = whole.has_whole_request = True
    assert limit.admit(others[0])
    assert idle.is_cut
    others[0].has_whole_request = True
    assert not limit.admit(others[1])
    whole.has_whole_request = False
    limit.end_request(whole)
    assert limit.admit(others[1])
    assert whole.is_cut
    assert not unsent.is_cut


def test_client_that_sends_requests_ahead_makes_room():
    """A few clients that pipeline shut new ones out until all had ended."""
    timers = core_timers.ManualTimerService()
    limit = client_intake.Intake(
        gateway_settings.ClientSettings(max_connections=2), timers, None
    )
    ahead, alone, new = [FakeConnection() for _ in range(3)]
    for connection in (alone, ahead):
        assert limit.admit(connection)
        connection.has_whole_request = True
    ahead.has_requests_ahead = True
    assert not limit.admit(new)
    assert isinstance(ahead.refusal, errors.NotRun)
    assert alone.refusal is None
    assert not (ahead.is_cut or alone.is_cut)


async def test_answered_connection_outside_the_routes_makes_room(cluster):
    """A few clients that sent `OPTIONS *` shut all new ones out."""
    gateway = cluster.gateways[0]
    _limit_connections(gateway)
    async with contextlib.AsyncExitStack() as stack:
        for _ in range(MAX_CONNECTIONS):
            reader, writer = await stack.enter_async_context(
                test_intake.connect(gateway)
            )
            writer.write(b'OPTIONS * HTTP/1.1\r\nHost: a.example\r\n\r\n')
            assert await test_intake.read_status(reader) == 404
        reader, writer = await stack.enter_async_context(
            test_intake.connect(gateway)
        )
        writer.write(REQUEST.encode())
        assert await test_intake.read_status(reader) == 200
