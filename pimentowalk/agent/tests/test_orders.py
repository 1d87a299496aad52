"""Tests of the fencing of orders."""

import json

import pytest

from pimentowalk.agent import node
from pimentowalk.agent import orders
from pimentowalk.agent.tests import fakes
from pimentowalk.core import errors
from pimentowalk.wire import messages

IDENTITY = node.Identity('agent-1', 1, 'brass')


def order(fence, action='load_model', arguments=None):
    """Return an order."""
    content = json.dumps(arguments or {}).encode()
    return messages.Order(fence, action, content)


def make_handler(engine, folder='', control=None, drained=None):
    """Return the order handler of a newly started agent."""
    control = control or fakes.FakeControl()
    drain = (drained if drained is not None else []).append
    return orders.OrderHandler(
        IDENTITY, engine, str(folder), control.highest_fence, lambda: drain(1)
    )


async def test_stale_and_repeated_numbers_never_reach_the_engine():
    """Engines that do not check fencing numbers rely on the agent."""
    engine = fakes.RecordingEngine()
    handler = make_handler(engine)
    replies = [await handler.handle(order(n)) for n in (4, 4, 3, 5)]
    assert [r.done for r in replies] == [True, False, False, True]
    assert {r.code for r in replies if not r.done} == {'stale_fence'}
    assert [sent['fence'] for sent in engine.sent] == [4, 5]
    assert [r.highest_fence for r in replies] == [4, 4, 4, 5]


async def test_number_survives_a_restart_in_its_file(tmp_path):
    """A restarted agent must refuse orders that it ran before."""
    engine = fakes.RecordingEngine()
    control = fakes.FakeControl()
    control.fence = 2
    first = make_handler(engine, tmp_path / 'data', control)
    assert (await first.handle(order(7))).done
    restarted = make_handler(engine, tmp_path / 'data', control)
    assert (await restarted.handle(order(7))).code == 'stale_fence'
    assert (await restarted.handle(order(8))).done
    assert control.fence_requests == 1


async def test_number_is_stored_before_the_engine_gets_the_order(tmp_path):
    """An order must not run twice after a crash in between."""

    class Crashing(fakes.RecordingEngine):
        async def post_order(self, sent):
            assert orders.FenceFile(tmp_path).read() == sent['fence']
            raise errors.OutcomeUnknown('crashed')

    reply = await make_handler(Crashing(), tmp_path).handle(order(3))
    assert reply.code == 'outcome_unknown'
    restarted = make_handler(fakes.RecordingEngine(), tmp_path)
    assert (await restarted.handle(order(3))).code == 'stale_fence'


async def test_damaged_file_refuses_orders(tmp_path):
    """An unreadable number must not be taken as zero."""
    (tmp_path / orders.FILE_NAME).write_text('x')
    engine = fakes.RecordingEngine()
    reply = await make_handler(engine, tmp_path).handle(order(3))
    assert (reply.code, engine.sent) == ('damaged_data', [])


async def test_without_a_file_control_is_asked_before_the_first_order():
    """An agent without a data folder loses its number in a restart."""
    engine = fakes.RecordingEngine()
    control = fakes.FakeControl()
    control.fence = None
    handler = make_handler(engine, control=control)
    assert (await handler.handle(order(9))).code == 'no_quorum'
    control.fence = 9
    assert (await handler.handle(order(9))).code == 'stale_fence'
    assert (await handler.handle(order(10))).done
    assert (control.fence_requests, len(engine.sent)) == (2, 1)


@pytest.mark.parametrize(
    ('status', 'text', 'code'),
    [
        (409, 'old', 'stale_fence'),
        (500, 'broken', 'bad_request'),
        (503, '{"code": "overloaded"}', 'overloaded'),
        (503, '["overloaded"]', 'bad_request'),
        (503, '{"code": "no such code"}', 'bad_request'),
    ],
)
async def test_refusal_of_the_engine_is_reported(status, text, code):
    """The operator must see that the engine refused the order."""
    engine = fakes.RecordingEngine()
    engine.status = status
    engine.text = text
    reply = await make_handler(engine).handle(order(1))
    assert (reply.done, reply.code) == (False, code)


async def test_drain_order_is_not_forwarded():
    """Draining is done by the agent; engines have no such order."""
    engine = fakes.RecordingEngine()
    drained = []
    reply = await make_handler(engine, drained=drained).handle(
        order(1, 'drain')
    )
    assert (reply.done, drained, engine.sent) == (True, [1], [])


async def test_order_of_a_peer_reaches_the_engine(two_stages):
    """An order must arrive unchanged through frame and HTTP request."""
    sent = order(3, arguments={'model': 'brass'})
    reply = await two_stages.entry.call(sent)
    assert reply == messages.OrderReply(True, highest_fence=3)
    expected = {
        'fence': 3,
        'action': 'load_model',
        'arguments': {'model': 'brass'},
    }
    assert two_stages.head_engine.orders == [expected]
