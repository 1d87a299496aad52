"""Callers, an operator and backend servers around some gateways."""

import asyncio
import collections
import contextlib
import re
import time

import aiohttp

from pimentowalk.platform.tests import peers
from pimentowalk.platform.tests import recording
from tools.soak import checks as soak_checks
from tools.soak import processes

ANNOUNCE_S = 0.5
CONFIGURE_S = 0.8
# What the settings and the gateways promise; see docs/platform.md.
REVOCATION_S = 5.0
RECOVERY_S = 12.0
# An instance counts as lost for this long after it is back with an empty disk.
CATCH_UP_S = 4.0
CALL_TIMEOUT_S = 6.0
DEADLINE_MS = 4000
EVENT = re.compile(r'id: (\d+)\ndata: ([^\n]*)\n\n')
PERMANENT_KEY = 'k1'


class World:
    """Everything of one run."""

    def __init__(self, folder, rng, *, gateways=5, models=4, plain=2):
        self.rng = rng
        self.gateways = processes.build(folder, gateways, disks=3)
        self.servers = recording.build(models, plain)
        self.checks = soak_checks.Checks()
        self.outcomes = []
        self.version = 10
        self.acknowledged = 0
        self.keys = {}
        self.revoked = {}
        self._disk_back_s = float('-inf')
        self._locks = collections.defaultdict(asyncio.Lock)
        self._tasks = []
        self._sessions = []
        self._number = 0

    def lock_of(self, gateway):
        """Return the lock of faults that need a gateway for themselves."""
        return self._locks[gateway.name]

    async def start(self):
        """Start everything and wait until requests are served."""
        for server in self.servers:
            await server.start()
        await asyncio.gather(*(g.start() for g in self.gateways))
        self.session = await self._new_session()
        self._tasks.append(asyncio.ensure_future(self._announce()))
        self._tasks.append(asyncio.ensure_future(self._operate()))
        await self.recovered('start', 20.0)

    async def _new_session(self):
        session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        )
        self._sessions.append(session)
        return session

    def add_callers(self, count):
        """Start callers that keep their connections open."""
        for _ in range(count):
            self._tasks.append(asyncio.ensure_future(self._call_for_ever()))

    async def stop(self):
        """End all that was started here."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for gateway in self.gateways:
            gateway.resume()
            await gateway.kill()
        for session in self._sessions:
            await session.close()
        for server in self.servers:
            await server.stop()

    async def _announce(self):
        number = 0
        while True:
            for server in self.servers:
                number += 1
                await self._announce_one(server, number)
            await asyncio.sleep(ANNOUNCE_S)

    async def _announce_one(self, server, number):
        path, text = peers.announcement(server)
        # A server moves on to another node when one does not acknowledge.
        for step in range(len(self.gateways)):
            gateway = self.gateways[(number + step) % len(self.gateways)]
            if not gateway.is_up:
                continue
            url = gateway.control(path)
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with (
                    asyncio.timeout(0.5),
                    self.session.put(url, data=text) as response,
                ):
                    if response.status == 200:
                        return

    def _configuration(self):
        """Return the next configuration, with keys that come and go."""
        self.version += self.rng.randint(1, 3)
        self.keys[f'key-{self.version}'] = self.version
        for key, since in list(self.keys.items()):
            if self.version - since > 12:
                del self.keys[key]
        accounts = {f'a-{key}': [key] for key in self.keys}
        accounts['north'] = [PERMANENT_KEY]
        return peers.configuration(self.version, accounts)

    async def _operate(self):
        while True:
            before = dict(self.keys)
            text = self._configuration()
            await self._put(text)
            self.acknowledged = self.version
            now_s = time.monotonic()
            for key in before.keys() - self.keys.keys():
                self.revoked[key] = now_s
            await asyncio.sleep(CONFIGURE_S * self.rng.uniform(0.3, 1.5))
            await self._read()

    async def _put(self, text):
        while True:
            gateway = self.rng.choice(self.gateways)
            status, _ = await self._operator_call('PUT', gateway, text)
            if status == 200:
                return
            if 400 <= status < 500:
                self.checks.fail('refused change', f'{status} at {gateway}')
                return
            await asyncio.sleep(0.1)

    async def _read(self):
        acknowledged = self.acknowledged
        gateway = self.rng.choice(self.gateways)
        status, text = await self._operator_call('GET', gateway)
        version = peers.version_of(text) if status == 200 else 0
        self.checks.of_read(status, version, acknowledged)

    async def _operator_call(self, method, gateway, text=None):
        """Return status and body; 0 if there was no clear answer."""
        url = gateway.control(peers.CONFIGURATION_PATH)
        try:
            async with (
                asyncio.timeout(1.0),
                self.session.request(method, url, data=text) as response,
            ):
                return response.status, await response.text()
        except (aiohttp.ClientError, TimeoutError):
            return 0, ''

    async def _call_for_ever(self):
        session = await self._new_session()
        while True:
            gateway = self.rng.choice(self.gateways)
            kind = self.rng.choice(list(peers.PATHS))
            keys = [PERMANENT_KEY, *self.keys, *list(self.revoked)[-4:]]
            key = self.rng.choice(keys)
            await self.call(session, gateway, kind, key)
            await asyncio.sleep(self.rng.uniform(0.0, 0.1))

    async def call(self, session, gateway, kind, key=PERMANENT_KEY):
        """Send one request; return its `Outcome`."""
        self._number += 1
        outcome = soak_checks.Outcome(
            f'r{self._number}', kind, gateway.name, key, time.monotonic()
        )
        self.outcomes.append(outcome)
        headers = peers.call_headers(outcome.request_id, key, DEADLINE_MS)
        method = 'GET' if kind == 'lookup' else 'POST'
        try:
            async with session.request(
                method, gateway.front(peers.PATHS[kind]), headers=headers
            ) as response:
                outcome.status = response.status
                outcome.seal = response.headers.get(peers.SEAL, '')
                await _read_body(response, outcome)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            outcome.error = type(error).__name__
        self.checks.of_answer(outcome, recording.EVENTS)
        return outcome

    async def recovered(self, what, limit_s=RECOVERY_S):
        """Wait until each gateway serves; note a violation if it does not."""
        end_s = time.monotonic() + limit_s
        waiting = {
            (g.name, kind) for g in self.gateways for kind in peers.PATHS
        }
        by_name = {g.name: g for g in self.gateways}
        while waiting and time.monotonic() < end_s:
            for name, kind in sorted(waiting):
                outcome = await self.call(self.session, by_name[name], kind)
                if outcome.status == 200 and outcome.is_complete:
                    waiting.discard((name, kind))
            await asyncio.sleep(0.1)
        if waiting:
            self.checks.fail('recover', f'{what}: {sorted(waiting)}')
        return not waiting

    def record_empty_disk(self):
        """Record that a gateway is back with an empty disk."""
        self._disk_back_s = time.monotonic()

    async def may_lose_a_disk(self):
        """Return whether no gateway is lost, so that one may be.

        A read alone does not tell: a gateway with an empty disk answers it
        before it is a voter again.
        """
        if time.monotonic() - self._disk_back_s < CATCH_UP_S:
            return False
        for gateway in self.gateways:
            if not gateway.is_up:
                return False
            status, _ = await self._operator_call('GET', gateway)
            if status != 200:
                return False
        return True

    def finish(self):
        """Check what only the whole run shows."""
        self.checks.of_runs(self.outcomes, self.servers)
        for outcome in self.outcomes:
            if outcome.key in self.revoked:
                self.checks.of_revoked(
                    outcome,
                    self.servers,
                    REVOCATION_S,
                    self.revoked[outcome.key],
                )
        for gateway in self.gateways:
            for code in gateway.ended:
                self.checks.fail('exit', f'{gateway.name} ended with {code}')


async def _read_body(response, outcome):
    if outcome.kind != 'stream' or outcome.status != 200:
        outcome.text = await response.text()
        outcome.is_complete = True
        return
    text = ''
    async for piece in response.content.iter_any():
        text += piece.decode()
        outcome.events = [data for _, data in EVENT.findall(text)]
    outcome.is_complete = True
