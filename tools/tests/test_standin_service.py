"""Guard the stand-in booking service, by which R4 is judged."""

import contextlib

import aiohttp
import pytest

from tools import standin_service


@contextlib.asynccontextmanager
async def running(**options):
    service = standin_service.BookingService(**options)
    await service.start()
    base = f'http://127.0.0.1:{service.port}'
    try:
        async with aiohttp.ClientSession(base) as session:
            yield service, session
    finally:
        await service.stop()


async def book(session, booking):
    async with session.post('/bookings', json={'id': booking}) as response:
        return response.status


async def test_each_run_of_an_id_is_counted():
    """A record that merges runs would hide a booking made twice."""
    async with running() as (_, session):
        assert await book(session, 'a') == 201
        assert await book(session, 'a') == 201
        assert await book(session, 'b') == 201
        async with session.get('/bookings') as response:
            assert await response.json() == {'ran': {'a': 2, 'b': 1}}
        async with session.post('/bookings', data=b'{}') as response:
            assert response.status == 400
        async with session.get('/healthz') as response:
            assert response.status == 200


async def test_a_lost_answer_is_counted_as_run(tmp_path):
    """The dangerous case is the booking that ran without an answer."""
    record = tmp_path / 'ran.jsonl'
    async with running(fail_every=2, record_file=str(record)) as (
        service,
        session,
    ):
        assert await book(session, 'a') == 201
        with pytest.raises(aiohttp.ClientError):
            await book(session, 'b')
        assert service.ran == {'a': 1, 'b': 1}
    assert record.read_text() == '{"id": "a"}\n{"id": "b"}\n'


async def test_the_marker_crashes():
    """Quarantine is tested with bodies that end the process."""
    crashes = []
    async with running(
        crash_marker='POISON', crash=lambda: crashes.append(1)
    ) as (_, session):
        await book(session, 'clean')
        assert not crashes
        await book(session, 'POISON')
    assert crashes
