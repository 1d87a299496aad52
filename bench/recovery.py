"""Measure the time to recover from the failure of each part under load.

The daemons and stand-in engines run as processes on loopback while callers
keep all engines busy. Run it with `python -m bench.recovery`; it prints JSON
lines.
"""

import asyncio
import itertools
import json
import os
import signal
import tempfile
import time

import attrs

from bench import common
from bench import outages
from bench import path
from pimentowalk.control import client as control_client
from pimentowalk.control import commands
from pimentowalk.core import errors
from pimentowalk.core import identifiers
from pimentowalk.topology import contracts
from pimentowalk.topology import instances
from tools import demo
from tools import demo_keys
from tools import deployment as deployments
from tools import load

CHAINS = 3
CALLERS = 36
TOKENS = 40
ENGINE = ('--tokens-per-s', '300', '--base-s', '0', '--cache-tokens', '0')
TARGET_SHARE = 0.9
# After a restart: announcement, and the ramp-up of a joining server.
SETTLE_S = 3.0
RETRY_S = 0.05
PROBE_S = 0.02
PROBE_TIMEOUT_S = 0.3
GOAL_LEADERLESS_S = 2.0


@attrs.define
class Sent:
    """One request of one caller and what became of it."""

    caller: int
    entry: int
    body: dict
    outcome: load.Outcome


class Callers:
    """Callers that each send one request after the other until stopped."""

    def __init__(self, site, session):
        self.sent = []
        self._site = site
        self._session = session
        self._stopping = False
        self._tasks = [
            asyncio.ensure_future(self._call(n)) for n in range(CALLERS)
        ]

    async def _call(self, number):
        key = self._site.key(path.ACCOUNT)
        entry = number % len(self._site.entries)
        for turn in itertools.count():
            if self._stopping:
                return
            body = path.body(number * 100_000 + turn, TOKENS)
            url = self._site.entries[entry]
            outcome = await load.complete(self._session, url, key, body)
            self.sent.append(Sent(number, entry, body, outcome))
            if not outcome.complete:
                # A balancer sends the next request to another entry.
                if outcome.code.startswith('client:'):
                    entry = (entry + 1) % len(self._site.entries)
                await asyncio.sleep(RETRY_S)

    async def stop(self):
        """Let the requests in progress finish."""
        self._stopping = True
        await asyncio.gather(*self._tasks)

    def times(self, callers=None):
        """Return the sorted arrival times of tokens at some callers."""
        return sorted(
            moment
            for one in self.sent
            if callers is None or one.caller in callers
            for moment in one.outcome.token_times_s
        )


@attrs.define
class Control:
    """Times at which control answered as leader and accepted publishes."""

    addresses: list
    accepted_s: list = attrs.field(factory=list)
    led_s: list = attrs.field(factory=list)
    failures: list = attrs.field(factory=list)

    def client(self, addresses):
        """Return a client with the operator's token."""
        return control_client.ControlClient(
            addresses, token=demo.OPERATOR_TOKEN
        )

    async def publish(self):
        """Publish changes one after the other, as one operator would."""
        client = self.client(self.addresses)
        for number in itertools.count(1):
            try:
                found = await client.request(commands.ReadConfiguration())
                version = found.configuration.version
                await client.request(change(number, version))
                self.accepted_s.append(time.monotonic())
            except errors.PimentowalkError as error:
                self.failures.append((time.monotonic(), error.code))
            await asyncio.sleep(PROBE_S)

    async def watch(self, address):
        """Ask one instance for what only a leader with a quorum answers."""
        client = self.client([address])
        while True:
            try:
                query = commands.HighestFence('probe')
                await client.request(query, PROBE_TIMEOUT_S)
                self.led_s.append(time.monotonic())
            except (errors.PimentowalkError, TimeoutError):
                pass
            await asyncio.sleep(PROBE_S)

    async def leader(self):
        """Return the node id of the leader."""
        client = self.client(self.addresses)
        found = await client.request(commands.ListMembers())
        await client.close()
        return found.leader_id


def change(number, version):
    """Return a publish that changes the limit of an unused account."""
    account = contracts.ClientAccount(
        'probe',
        demo_keys.key_sha256('probe'),
        requests_per_s=float(number),
    )
    return commands.Publish(
        identifiers.new_change_id(),
        'demo',
        version,
        {'probe': commands.Source(accounts=[account])},
    )


@attrs.define
class Episode:
    """One failure: what was concerned, and when."""

    name: str
    part: str
    share: float
    at_s: float = 0.0
    load_average: float = 0.0
    requests: set = attrs.field(factory=set)


def requests_at(site, server):
    """Return the ids of the requests that an engine has recorded."""
    file = site.folder / f'{server}.record'
    rows = file.read_bytes().rpartition(b'\n')[0].splitlines()
    return {json.loads(row)['request'] for row in rows}


def concerned(episode, sent):
    """Return the callers whose requests the failed part had."""
    found = set()
    for one in sent:
        outcome = one.outcome
        under_way = outcome.begin_s <= episode.at_s <= outcome.end_s
        if episode.part.startswith('entry'):
            hit = f'entry-{one.entry + 1}' == episode.part
        else:
            hit = outcome.request_id in episode.requests
        if under_way and (hit or episode.part.startswith('control')):
            found.add(one.caller)
    return found


def judge(site, sent, begin_s, end_s):
    """Return how the requests of an episode ended."""
    counts = {'requests': 0, 'cut': 0, 'refused': 0, 'wrong': 0}
    codes = {}
    for one in sent:
        outcome = one.outcome
        if not (outcome.end_s >= begin_s and outcome.begin_s < end_s):
            continue
        counts['requests'] += 1
        reference = site.reference(one.body)
        if outcome.complete:
            counts['wrong'] += outcome.text != reference
            continue
        counts['wrong'] += not reference.startswith(outcome.text)
        counts['refused' if outcome.not_run else 'cut'] += 1
        codes[outcome.code] = codes.get(outcome.code, 0) + 1
    return {**counts, 'codes': codes}


def report(site, episode, callers, control, healthy):
    """Print one episode; `healthy` is the rate before the first failure.

    The remaining servers can give their share of the healthy rate. Failures
    that leave all servers are compared with the rate just before.
    """
    at_s = episode.at_s
    end_s = at_s + outages.OBSERVE_S
    times = callers.times()
    before = outages.mean_rate(times, at_s)
    possible = before if episode.share == 1.0 else episode.share * healthy
    target = TARGET_SHARE * possible
    found = outages.recovery(times, at_s, target)
    after = outages.mean_rate(times, end_s)
    hit = concerned(episode, callers.sent)
    gaps = [
        outages.longest_gap_s(callers.times({n}), at_s, end_s) for n in hit
    ]
    fields = {
        'callers_concerned': len(hit),
        'silence_s': outages.longest_gap_s(callers.times(hit), at_s, end_s),
        'longest_caller_gap_s': max(gaps, default=0.0),
        'healthy_tokens_per_s': healthy,
        'tokens_per_s_before': before,
        'remaining_share': episode.share,
        'target_tokens_per_s': target,
        'lowest_tokens_per_s': found.lowest,
        'tokens_per_s_after': after,
        'back_at_90_percent_s': found.first_s,
        'lasting_at_90_percent_s': found.lasting_s,
        **judge(site, callers.sent, at_s, end_s),
    }
    if episode.part.startswith('control'):
        leaderless_s = outages.longest_gap_s(control.led_s, at_s, end_s)
        fields['leaderless_s'] = leaderless_s
        fields['no_publish_s'] = outages.longest_gap_s(
            control.accepted_s, at_s, end_s
        )
        fields['publish_errors'] = [
            code for when, code in control.failures if at_s <= when < end_s
        ]
        fields['goal_leaderless_s'] = GOAL_LEADERLESS_S
        fields['goal_met'] = leaderless_s < GOAL_LEADERLESS_S
    numbers = {
        name: round(value, 3) if isinstance(value, float) else value
        for name, value in fields.items()
    }
    common.emit(
        'recovery.episode',
        fault=episode.name,
        part=episode.part,
        load_average=episode.load_average,
        **numbers,
    )
    common.emit(
        'recovery.rates', fault=episode.name, **outages.rates(times, at_s)
    )


def timeline(times, episodes):
    """Print the throughput of the whole run and when parts failed."""
    begin_s = times[0]
    seconds = [number * 0.5 for number in range(int(times[-1] - begin_s) * 2)]
    counts = dict.fromkeys(seconds, 0)
    for moment in times:
        second = int((moment - begin_s) * 2) / 2
        if second in counts:
            counts[second] += 1
    common.emit(
        'recovery.timeline',
        seconds=seconds,
        tokens_per_s=[count * 2 for count in counts.values()],
        faults={one.name: round(one.at_s - begin_s, 3) for one in episodes},
        restarts_after_s=outages.OBSERVE_S,
    )


async def faults(site, control):
    """Cause the failures in turn; yield each after its observation."""
    left = (CHAINS - 1) / CHAINS
    model = demo.MODEL
    # Failures of servers alternate with others, so that a restarted server
    # has its full share again before the next one fails.
    plan = [
        ('agent killed', f'agent-{model}-1-1', signal.SIGKILL, left),
        ('leader killed', 'control', signal.SIGKILL, 1.0),
        ('engine killed', f'engine-{model}-2-1', signal.SIGKILL, left),
        ('leader frozen', 'control', signal.SIGSTOP, 1.0),
        ('agent frozen', f'agent-{model}-3-1', signal.SIGSTOP, left),
        ('entry killed', 'entry-2', signal.SIGKILL, 1.0),
    ]
    for name, part, number, share in plan:
        if part == 'control':
            part = await control.leader()
        await asyncio.sleep(SETTLE_S + outages.BEFORE_S)
        episode = Episode(name, part, share)
        process = site.processes[part]
        server = part.partition('-')[2]
        if part.startswith(('agent', 'engine')):
            episode.requests = requests_at(site, server)
        episode.load_average = os.getloadavg()[0]
        episode.at_s = time.monotonic()
        process.signal(number)
        common.note(f'{name}: {part}')
        await asyncio.sleep(outages.OBSERVE_S)
        if number == signal.SIGSTOP:
            process.signal(signal.SIGCONT)
        else:
            process.handle.wait()
            process.start()
        yield episode


async def measure(folder):
    """Run all episodes on one deployment under one load."""
    with path.Site(folder, chains=CHAINS, engine_options=ENGINE) as site:
        site.start(entries=2)
        files = site.unlimited()
        await deployments.wait_until(
            lambda: path.publish(site, files), what='the publish'
        )
        addresses = [
            instances.Instance(node, deployments.LOOPBACK, port)
            for node, port in site.control
        ]
        control = Control(addresses)
        async with load.client_session() as session:
            await site.ready(session)
            callers = Callers(site, session)
            probes = [
                asyncio.ensure_future(one)
                for one in (control.publish(), *map(control.watch, addresses))
            ]
            episodes = [one async for one in faults(site, control)]
            for probe in probes:
                probe.cancel()
            await callers.stop()
            times = callers.times()
            healthy = outages.mean_rate(times, episodes[0].at_s)
            for episode in episodes:
                report(site, episode, callers, control, healthy)
            timeline(times, episodes)


def main():
    """Run the measurements of recovery."""
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(measure(folder))


if __name__ == '__main__':
    main()
