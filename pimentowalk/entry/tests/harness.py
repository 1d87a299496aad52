"""An entry on loopback with fake agents and a fake session."""

import asyncio
import contextlib
import hashlib
import itertools
import json
import random
import types

import aiohttp
import attrs

from pimentowalk.control import commands
from pimentowalk.core import timers as core_timers
from pimentowalk.entry import daemon
from pimentowalk.entry.tests import fake_agent
from pimentowalk.entry.tests import fake_control
from pimentowalk.topology import contracts
from pimentowalk.wire import messages

KEY = 'secret-key-of-north'
OTHER_KEY = 'secret-key-of-south'
AUTH = {'Authorization': f'Bearer {KEY}'}


def configuration(**account_fields):
    """Return a small configuration with a model and a plain service."""
    accounts = [
        contracts.ClientAccount(
            name, hashlib.sha256(key.encode()).hexdigest(), **account_fields
        )
        for name, key in (('north', KEY), ('south', OTHER_KEY))
    ]
    services = [
        contracts.Service(
            'assist',
            model='m1',
            version='v1',
            total_layers=fake_agent.LAYERS,
            adapters=['formal'],
        ),
        contracts.Service('bookings', kind=contracts.PLAIN),
    ]
    routes = [
        contracts.Route('assist', 'assist', '/v1', timeout_s=30.0),
        contracts.Route(
            'bookings',
            'bookings',
            '/bookings',
            non_idempotent_methods=['POST'],
        ),
    ]
    return contracts.Configuration(
        5,
        {service.name: service for service in services},
        {route.name: route for route in routes},
        {account.name: account for account in accounts},
        {'service/assist': 3, 'account/north': 4},
    )


class Harness:
    """An entry, its agents, and a client session."""

    def __init__(self, timers):
        self.timers = timers
        self.session = fake_control.FakeSession(configuration())
        self.session.is_ready.set()
        settings = types.SimpleNamespace(
            http_host='127.0.0.1', http_port=0, drain_timeout_s=10.0
        )
        self.daemon = daemon.EntryDaemon(
            settings,
            messages.Hello('entry-1', 'entry', 1, 'z1'),
            self.session,
            commands,
            timers,
        )
        self.context.routing.rng = random.Random(1)
        self.agents = []
        self.client = None

    @property
    def context(self):
        return self.daemon.context

    async def start(self):
        await self.daemon.start()
        host, port = self.daemon.address
        self.client = aiohttp.ClientSession(f'http://{host}:{port}')

    async def stop(self):
        await self.client.close()
        await self.daemon.close()
        for agent in self.agents:
            await agent.stop()

    async def add_agent(self, server_id, first=0, end=8, **others):
        """Start an agent; `update_view` makes it visible to the entry."""
        agent = fake_agent.FakeAgent(server_id, first, end, **others)
        await agent.start()
        self.agents.append(agent)
        return agent

    def update_view(self, *agents):
        """Put these agents into the view, or all."""
        self.session.update_view(*(a.record() for a in agents or self.agents))

    async def complete(self, prompt='Hi', *, headers=AUTH, **fields):
        """Post a plain completion; returns the status and the JSON."""
        body = {'model': 'm1', 'prompt': prompt, 'seed': 1, 'max_tokens': 6}
        body.update(fields)
        async with self.client.post(
            '/v1/completions', json=body, headers=headers
        ) as response:
            return response.status, await response.json()

    async def stream(self, prompt='Hi', *, headers=AUTH, **fields):
        """Post a streamed completion; returns its events."""
        body = {'model': 'm1', 'prompt': prompt, 'seed': 1, 'max_tokens': 6}
        body.update(fields, stream=True)
        async with self.client.post(
            '/v1/completions', json=body, headers=headers
        ) as response:
            return events_of(await response.text())

    async def book(self, content=b'slot 3', *, key='', headers=None):
        """Post a booking; returns the status, headers and body."""
        all_headers = {**AUTH, **(headers or {})}
        if key:
            all_headers['Idempotency-Key'] = key
        async with self.client.post(
            '/bookings/new', data=content, headers=all_headers
        ) as response:
            return response.status, response.headers, await response.read()


def events_of(text):
    """Return (name, data) of server-sent events."""
    events = []
    for block in text.strip().split('\n\n'):
        fields = dict(line.split(': ', 1) for line in block.split('\n'))
        data = fields['data']
        value = data if data == '[DONE]' else json.loads(data)
        events.append((fields.get('event', ''), value))
    return events


def set_budget(entry, percent):
    """Set the retry budget of the model route; 0 has no reserve."""
    routes = entry.session.configuration.routes
    routes['assist'] = attrs.evolve(
        routes['assist'], retry_budget_percent=percent
    )


def text_of(events):
    """Return the text of the pieces among events."""
    return ''.join(
        value['choices'][0]['text']
        for name, value in events
        if not name and value != '[DONE]'
    )


def error_of(content):
    """Return the error of a JSON reply body."""
    return json.loads(content)['error']


@contextlib.asynccontextmanager
async def running(timers=None):
    """Run an entry for the length of a block."""
    harness = Harness(timers or core_timers.TimerService())
    await harness.start()
    try:
        yield harness
    finally:
        await harness.stop()


async def advance_until(timers, event, step_s=0.25):
    """Move manual time until an event is set.

    Time stands still afterwards, so what follows cannot time out.
    """
    while not event.is_set():
        await timers.advance(step_s)
        await asyncio.sleep(0.001)


async def until(condition):
    """Wait until a condition holds."""
    for _ in itertools.count():
        if condition():
            return
        await asyncio.sleep(0.001)
