"""A load client: streamed completions and bookings, timed and recorded."""

import asyncio
import json
import time

import aiohttp
import attrs

REQUEST_TIMEOUT_S = 120.0
DONE = '[DONE]'


@attrs.define
class Outcome:
    """What one caller saw of one request."""

    status: int = 0
    text: str = ''
    complete: bool = False
    code: str = ''
    not_run: bool = False
    request_id: str = ''
    retry_after_s: float = 0.0
    token_times_s: list[float] = attrs.field(factory=list)
    begin_s: float = 0.0
    end_s: float = 0.0
    body: bytes = b''

    @property
    def first_token_s(self):
        """Return the time to the first token, or to the end without one."""
        times = self.token_times_s
        return (times[0] if times else self.end_s) - self.begin_s

    @property
    def gaps_s(self):
        """Return the times between tokens."""
        times = self.token_times_s
        return [b - a for a, b in zip(times, times[1:], strict=False)]


def client_session():
    """Return an HTTP session without a limit on connections."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S),
    )


async def complete(session, url, key, body, headers=None):
    """Send a streamed completion and return its outcome; never raise."""
    outcome = Outcome(begin_s=time.monotonic())
    try:
        async with session.post(
            f'{url}/v1/completions',
            json={'stream': True, **body},
            headers={'Authorization': f'Bearer {key}', **(headers or {})},
        ) as response:
            outcome.status = response.status
            outcome.request_id = response.headers.get('X-Request-Id', '')
            retry_after = response.headers.get('Retry-After', '0')
            outcome.retry_after_s = float(retry_after)
            if response.content_type == 'text/event-stream':
                await _read_events(response, outcome)
            else:
                _note_error(outcome, await response.read())
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        outcome.code = f'client:{type(error).__name__}'
    outcome.end_s = time.monotonic()
    return outcome


async def _read_events(response, outcome):
    async for line in response.content:
        if not line.startswith(b'data:'):
            continue
        data = line[5:].strip().decode()
        if data == DONE:
            outcome.complete = True
            continue
        event = json.loads(data)
        if 'error' in event:
            _note_error(outcome, data.encode())
            continue
        for choice in event.get('choices', ()):
            if choice.get('text'):
                outcome.text += choice['text']
                outcome.token_times_s.append(time.monotonic())


def _note_error(outcome, content):
    outcome.body = content
    try:
        error = json.loads(content)['error']
        outcome.code = error['code']
        outcome.not_run = bool(error.get('not_run'))
    except (ValueError, KeyError, TypeError):
        outcome.code = 'unreadable'


async def book(session, url, path, key, booking, idempotency_key=None):
    """Send one booking and return its outcome; never raise."""
    headers = {'Authorization': f'Bearer {key}'}
    if idempotency_key is not None:
        headers['Idempotency-Key'] = idempotency_key
    outcome = Outcome(begin_s=time.monotonic())
    try:
        async with session.post(
            f'{url}{path}', json=booking, headers=headers
        ) as response:
            outcome.status = response.status
            outcome.request_id = response.headers.get('X-Request-Id', '')
            outcome.body = await response.read()
            outcome.complete = response.status < 300
            if not outcome.complete:
                _note_error(outcome, outcome.body)
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        outcome.code = f'client:{type(error).__name__}'
    outcome.end_s = time.monotonic()
    return outcome


async def fetch(session, url, key=''):
    """Return the status and body of a GET request; 0 if it failed."""
    headers = {'Authorization': f'Bearer {key}'} if key else {}
    try:
        async with session.get(url, headers=headers) as response:
            return response.status, await response.read()
    except (aiohttp.ClientError, TimeoutError, OSError):
        return 0, b''


async def run_all(coroutines):
    """Run coroutines at once and return their results in order."""
    return await asyncio.gather(*coroutines)
