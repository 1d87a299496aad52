"""Guard which new streams begin while the servers are full.

The pattern: at a crest more streams come than the caches of the servers
hold. Where all were sent, the newest were read again and again, each step
took longer, and callers left streams of which none ended.
"""

import asyncio
import random
import types

import attrs
import pytest

from pimentowalk.admission import room as admission_room
from pimentowalk.core import errors
from pimentowalk.dispatch import stream
from pimentowalk.dispatch.tests import fakes
from pimentowalk.routing import hops
from pimentowalk.routing import outcomes
from pimentowalk.routing import work
from pimentowalk.topology import documents

ENGINE = documents.Engine(
    model='m',
    total_layers=8,
    layer_mb=1750.0,
    kv_token_bytes=1_000_000,
    load_s=14.0,
    accelerators={'v100': documents.Accelerator('v100', 15_000.0, 1.0, 1.0)},
)
SERVER = fakes.server(1, accelerator='v100', slots=96)
TOKENS = 400


class Admitted(stream.StreamRun):
    """A stream that ends as soon as it is sent."""

    tried = 0

    async def _try(self):
        self.tried += 1


@pytest.fixture
async def dispatcher():
    """Return what runs need: one server with room for 1,000 tokens."""
    found = fakes.dispatcher(SERVER)
    now_s = found.timers.now_s
    found.book = work.InFlightTracker('n1', now_s)
    found.book.set_engines({'svc': ENGINE})
    found.paths = hops.POLICIES.get('cheapest')(
        found.book, random.Random(1), outcomes.OutcomeTracker(now_s)
    )
    return found


def run_of(dispatcher, *, started=False):
    """Return a stream of 400 tokens that arrives now."""
    return Admitted(
        dispatcher,
        fakes.call(dispatcher.timers.now_s(), tokens=TOKENS),
        types.SimpleNamespace(name='svc', engine=ENGINE),
        fakes.responder(started=started),
    )


def fill(dispatcher, tokens):
    """Let other streams take memory."""
    assert dispatcher.book.capacity_tokens(SERVER) == 1000
    dispatcher.book.begin(['i-1'], tokens)


async def test_stream_begins_at_once_where_there_is_room(dispatcher):
    """Waiting costs the caller time."""
    fill(dispatcher, 500)
    run = run_of(dispatcher)
    await asyncio.wait_for(run.run(), 0.1)
    assert run.tried == 1


async def test_stream_waits_until_another_one_ends(dispatcher):
    """A stream that waits a little still begins in time."""
    fill(dispatcher, 900)
    run = run_of(dispatcher)
    running = asyncio.ensure_future(run.run())
    await asyncio.sleep(4 * admission_room.POLL_S)
    assert run.tried == 0
    dispatcher.book.end(['i-1'], 900)
    await asyncio.wait_for(running, 1.0)
    assert run.tried == 1


async def test_stream_without_room_is_refused_in_time(dispatcher, monkeypatch):
    """The caller can come back later only if it is told before it leaves."""
    monkeypatch.setattr(stream, 'ROOM_WAIT_S', 0.1)
    fill(dispatcher, 900)
    run = run_of(dispatcher)
    with pytest.raises(errors.PimentowalkError) as found:
        await run.run()
    assert found.value.code == 'overloaded'
    assert found.value.peer == SERVER.address
    assert run.tried == 0


async def test_stream_that_has_begun_does_not_wait(dispatcher):
    """What was begun is finished before new streams begin."""
    fill(dispatcher, 2000)
    run = run_of(dispatcher, started=True)
    await asyncio.wait_for(run.run(), 0.1)
    assert run.tried == 1


async def test_stream_waits_for_a_server_that_refused_another(dispatcher):
    """Pattern: two of three zones lose a layer, and all streams go to one.

    Each try at its full server was refused and drew on the budget of repeats,
    which then lacked for streams that had begun.
    """
    dispatcher.book.record_full('i-1')
    run = run_of(dispatcher)
    running = asyncio.ensure_future(run.run())
    await asyncio.sleep(work.FULL_EXPIRY_S / 2)
    assert run.tried == 0
    await asyncio.wait_for(running, work.FULL_EXPIRY_S)
    assert run.tried == 1


def refused_run(dispatcher):
    """Return a stream that has begun and was refused just now."""
    run = run_of(dispatcher, started=True)
    run._last_event_s = dispatcher.timers.now_s()
    run._tries = run._refusals = 1
    dispatcher.book.record_full('i-1')
    return run


async def test_refused_stream_that_has_begun_waits_for_room(dispatcher):
    """Ten tries at one full server take ten repeats within a second."""
    fill(dispatcher, 2000)
    run = refused_run(dispatcher)
    running = asyncio.ensure_future(run.run())
    await asyncio.sleep(work.FULL_EXPIRY_S / 2)
    assert run.tried == 0
    await asyncio.wait_for(running, work.FULL_EXPIRY_S)
    assert run.tried == 1


async def test_stream_that_has_begun_goes_before_new_ones(dispatcher):
    """Its caller has a part of the answer, and cannot come back."""
    order = []
    new, begun = run_of(dispatcher), refused_run(dispatcher)
    for name, run in (('new', new), ('begun', begun)):
        run._try = lambda name=name: note(name)

    async def note(name):
        order.append(name)

    await asyncio.gather(new.run(), begun.run())
    assert order == ['begun', 'new']


async def test_refused_stream_waits_for_room_at_a_server_that_returns(
    dispatcher,
):
    """The path appears while its server still counts as full, and nothing
    changes after that: the stream waited in vain until its caller gave up.
    """
    table = dispatcher.node.backends
    run = refused_run(dispatcher)
    table.suspect('i-1', 100, 'refused')
    running = asyncio.ensure_future(run.run())
    await asyncio.sleep(2 * stream.RESUME_PAUSE_S)
    table.apply(attrs.evolve(SERVER, born_ms=101))
    dispatcher.book.record_full('i-1')
    await asyncio.wait_for(running, 2 * work.FULL_EXPIRY_S)
    assert run.tried == 1


async def test_log_tells_how_full_the_path_was(dispatcher):
    """A late stream is explained by what the node knew when it chose."""
    fill(dispatcher, 500)
    run = run_of(dispatcher)
    await run.run()
    summary = run.summary()
    assert summary['memory_share'] == 0.9
    assert summary['slot_share'] == round(2 / SERVER.slots, 2)


async def test_missing_layer_is_not_called_a_lack_of_room(dispatcher):
    """Callers come back sooner where only a server has to be replaced."""
    dispatcher.node.backends.suspect('i-1', 100, 'refused')
    with pytest.raises(errors.PimentowalkError) as found:
        await run_of(dispatcher).run()
    assert found.value.code == 'no_chain'
